//! Queries over sockets: what a server may do wrong, and what the client then gets.

mod common;

use ashvane_node::operator_client::{self, Format};
use common::{Hall, Message, answer, ask, route, run, sealed, server};

/// A system with one route to one service, whose servers do this.
async fn one_service(name: &str, kind: &str, scripts: Vec<common::Script>) -> (Hall, Vec<common::Server>) {
    let hall = Hall::start(name);
    let mut servers = Vec::new();
    for (n, script) in scripts.into_iter().enumerate() {
        servers.push(server(&format!("i-{n}"), "s", script).await);
    }
    for s in &servers {
        hall.beat(s, "ready", 1).await;
    }
    hall.configure(1, &route("r", kind, r#""service":"s""#), &["s"]).await;
    hall.ready().await;
    (hall, servers)
}

fn well(seal: &'static str) -> common::Script {
    Box::new(move |request| sealed(request, seal, b"body"))
}

/// The first request gets this, all others are answered well.
fn first(mut once: impl FnMut(&Message) -> (Vec<u8>, bool) + 'static) -> common::Script {
    let mut done = false;
    Box::new(move |request| {
        if std::mem::replace(&mut done, true) { sealed(request, "later", b"body") } else { once(request) }
    })
}

#[test]
fn a_request_is_handed_on_as_it_came() {
    run(async {
        let (hall, servers) = one_service("as-it-came", "non_idempotent", vec![well("a")]).await;
        let request = "POST /r/x/y?q=1%202 HTTP/1.1\r\nHost: H.example:80\r\nAttempt-Id: 77\r\nX-Own: kept\r\n\
                       Connection: x-hop\r\nX-Hop: dropped\r\nTransfer-Encoding: chunked\r\n\r\n\
                       3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        let got = ask(hall.front, request).await.expect("an answer");
        assert_eq!((got.status(), got.header("server-seal"), &got.body[..]), (200, "a", &b"body"[..]));
        let seen = servers[0].got.borrow();
        assert_eq!(
            (seen[0].first.as_str(), &seen[0].body[..]),
            ("POST /r/x/y?q=1%202 HTTP/1.1", &b"abcde"[..])
        );
        assert_eq!((seen[0].header("attempt-id"), seen[0].header("x-own")), ("77", "kept"));
        assert_eq!((seen[0].header("target-instance"), seen[0].header("x-hop")), ("i-0", ""));
        let left: u64 = seen[0].header("deadline-ms").parse().expect("a number");
        assert!(left > 0 && left <= 2000, "{left}");
    });
}

/// A server gives one id back: with two in the request, the answer could not be told.
#[test]
fn a_request_has_one_id_and_a_path() {
    run(async {
        let (hall, servers) = one_service("one-id", "idempotent", vec![well("a")]).await;
        let head = "GET http://h.example/r/x?q=1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\n";
        let two = ask(hall.front, &format!("{head}Attempt-Id: 2\r\n\r\n")).await.expect("an answer");
        assert_eq!((two.status(), servers[0].got.borrow().len()), (400, 0));
        let one = ask(hall.front, &format!("{head}\r\n")).await.expect("an answer");
        assert_eq!((one.status(), one.header("server-seal")), (200, "a"));
        assert_eq!(servers[0].got.borrow()[0].first, "GET /r/x?q=1 HTTP/1.1");
    });
}

/// A promise that a request has not run is the server's to make: `Not-Executed`, and with a failure.
#[test]
fn a_promise_without_the_servers_word_is_not_handed_on() {
    run(async {
        for (n, (status, headers)) in [
            ("503 Ill", ""),
            ("429 Many", ""),
            ("408 Late", ""),
            ("200 OK", "Not-Executed: 1\r\nServer-Seal: a\r\n"),
        ]
        .into_iter()
        .enumerate()
        {
            let ran = move |request: &Message| (answer(request, status, headers, b"it ran"), false);
            let (hall, servers) =
                one_service(&format!("no-word-{n}"), "non_idempotent", vec![Box::new(ran)]).await;
            assert_eq!(hall.get("/r/x", "1").await.status(), 502, "{status}");
            assert_eq!(servers[0].got.borrow().len(), 1, "{status}: it does not go again");
        }
    });
}

#[test]
fn without_a_configuration_clients_are_asked_back() {
    run(async {
        let hall = Hall::start("no-configuration");
        let request = "GET /r/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\n\r\n";
        let got = hall.until(hall.front, request, 503).await;
        assert!(got.header("retry-after").parse::<f64>().is_ok_and(|s| s > 0.0));
        hall.configure(1, &route("r", "idempotent", r#""service":"s""#), &["s"]).await;
        hall.until(hall.front, "GET /other/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\n\r\n", 404)
            .await;
        // No server is known: it has not run, and is told so at once.
        assert_eq!(hall.get("/r/x", "2").await.status(), 503);
    });
}

#[test]
fn an_answer_to_an_earlier_query_is_no_answer() {
    run(async {
        let surplus = |request: &Message| {
            let mut bytes = sealed(request, "a", b"one").0;
            bytes.extend(sealed(request, "a", b"one").0);
            (bytes, false)
        };
        let (hall, _servers) = one_service("surplus", "idempotent", vec![first(surplus)]).await;
        for id in ["1", "2", "3", "4"] {
            let got = hall.get("/r/x", id).await;
            assert_eq!((got.status(), got.header("attempt-id")), (200, id), "in its own words");
        }
    });
}

#[test]
fn half_an_answer_is_none() {
    run(async {
        let cut = |request: &Message| {
            let whole = sealed(request, "cut", b"a long body that breaks off").0;
            (whole[..whole.len() - 5].to_vec(), true)
        };
        let (hall, servers) = one_service("half", "idempotent", vec![first(cut), well("b")]).await;
        for id in ["1", "2", "3", "4", "5", "6"] {
            let got = hall.get(&format!("/r/{id}"), id).await;
            assert_eq!((got.status(), &got.body[..]), (200, &b"body"[..]));
        }
        assert!(servers.iter().all(|s| !s.got.borrow().is_empty()), "both were asked");
    });
}

#[test]
fn what_is_not_the_servers_body_is_not_passed_on() {
    run(async {
        for (n, headers) in
            ["Server-Seal: a\r\nContent-Encoding: gzip\r\n", "X: no seal\r\n"].iter().enumerate()
        {
            let spoilt = move |request: &Message| (answer(request, "200 OK", headers, b"spoilt"), false);
            let (hall, _) = one_service(&format!("spoilt-{n}"), "idempotent", vec![first(spoilt)]).await;
            let got = hall.get("/r/x", "1").await;
            assert_eq!((got.status(), &got.body[..]), (200, &b"body"[..]), "it went again");
        }
    });
}

#[test]
fn a_booking_goes_again_only_on_the_servers_word() {
    run(async {
        // What the first server does, and whether the request may go to the second one.
        let full = |request: &Message| (answer(request, "503 Full", "Not-Executed: 1\r\n", b""), false);
        let failed = |request: &Message| (answer(request, "500 Failed", "", b"it ran"), false);
        let broken = |_: &Message| (Vec::new(), true);
        let scripts: [(&str, common::Script, bool, u16); 3] = [
            ("full", Box::new(full), true, 503),
            ("failed", Box::new(failed), false, 500),
            ("broken", Box::new(broken), false, 502),
        ];
        for (name, script, again, otherwise) in scripts {
            let (hall, servers) = one_service(name, "non_idempotent", vec![script, well("b")]).await;
            // Until the home of one of them is the first server.
            let mut seen = 0;
            for id in 0..40 {
                let path = format!("/r/{id}");
                let got = hall.get(&path, &id.to_string()).await;
                let mut runs = 0;
                for s in &servers {
                    runs += s.got.borrow().iter().filter(|r| r.first.contains(&format!("{path} "))).count();
                }
                let first_had_it =
                    servers[0].got.borrow().iter().any(|r| r.first.contains(&format!("{path} ")));
                if first_had_it {
                    seen += 1;
                    assert_eq!(runs > 1, again, "{name}: {}", got.status());
                    assert_eq!(got.status(), if again { 200 } else { otherwise }, "{name}");
                }
            }
            assert!(seen > 0, "{name}: the first server was never asked");
        }
    });
}

#[test]
fn a_query_that_may_have_run_is_not_promised() {
    run(async {
        let broken = || -> common::Script { Box::new(|_| (Vec::new(), true)) };
        let (hall, _servers) = one_service("no-promise", "idempotent", vec![broken(), broken()]).await;
        assert_eq!(hall.get("/r/x", "1").await.status(), 502, "503 would say that it never ran");
    });
}

/// At the deadline of a request the call for it is out yet: the server may be at work on it.
#[test]
fn a_query_whose_server_is_silent_is_not_promised() {
    run(async {
        let silent = || -> common::Script { Box::new(|_| (Vec::new(), false)) };
        let (hall, servers) = one_service("silent", "idempotent", vec![silent(), silent()]).await;
        for id in 0..5 {
            let head = "GET /r/x HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 100\r\n";
            let got = ask(hall.front, &format!("{head}Attempt-Id: {id}\r\n\r\n")).await.expect("an answer");
            let asked = servers
                .iter()
                .any(|s| s.got.borrow().iter().any(|r| r.header("attempt-id") == id.to_string()));
            assert!(!asked || got.status() == 502, "{}: 503 would say that it never ran", got.status());
            assert!(asked || id > 0, "the first one is sent");
        }
    });
}

#[test]
fn an_address_that_has_another_server() {
    run(async {
        let other =
            |request: &Message| (answer(request, "421 Misdirected", "Instance-Id: i-x\r\n", b""), false);
        let (hall, servers) = one_service("other", "idempotent", vec![Box::new(other), well("b")]).await;
        for id in 0..30 {
            assert_eq!(hall.get(&format!("/r/{id}"), &id.to_string()).await.status(), 200);
        }
        assert!(servers[0].got.borrow().len() <= 1, "it is asked no more");
    });
}

#[test]
fn a_server_that_leaves_gets_nothing_more() {
    run(async {
        let (hall, servers) = one_service("leaves", "idempotent", vec![well("a"), well("b")]).await;
        hall.beat(&servers[0], "draining", 2).await;
        let before = servers[0].got.borrow().len();
        for id in 0..30 {
            assert_eq!(hall.get(&format!("/r/{id}"), &id.to_string()).await.header("server-seal"), "b");
        }
        assert_eq!(servers[0].got.borrow().len(), before);
    });
}

#[test]
fn a_process_without_a_disk_sends_control_calls_on_and_serves_what_it_learns() {
    run(async {
        let control_node = Hall::start("with-a-disk");
        let gateway = Hall::gateway("without-a-disk", &control_node);
        let s = server("i-1", "s", well("a")).await;
        control_node.beat(&s, "ready", 1).await;
        control_node.configure(3, &route("r", "idempotent", r#""service":"s""#), &["s"]).await;
        gateway.ready().await;
        let got = ask(gateway.control, "GET /api/configuration HTTP/1.1\r\nHost: c\r\n\r\n")
            .await
            .expect("an answer");
        let location = format!("http://{}/api/configuration", control_node.control);
        assert_eq!((got.status(), got.header("location")), (307, location.as_str()));
        assert_eq!(gateway.get("/r/x", "1").await.header("server-seal"), "a");
        // What changes at the control_node reaches it: a route that is gone.
        control_node.configure(4, "", &["s"]).await;
        let gone = "GET /r/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 2\r\n\r\n";
        gateway.until(gateway.front, gone, 404).await;
        // And a server that leaves is not asked, once that is acknowledged and known.
        control_node.configure(5, &route("r", "idempotent", r#""service":"s""#), &["s"]).await;
        control_node.beat(&s, "draining", 2).await;
        let again = "GET /r/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 3\r\n\r\n";
        gateway.until(gateway.front, again, 503).await;
    });
}

/// Guards against a client that cannot be run, sends what is invalid, or gives up at the first silent address.
#[test]
fn the_operators_client_reads_sends_and_shows() {
    run(async {
        let hall = Hall::start("client");
        hall.configure(2, &route("r", "idempotent", r#""service":"s""#), &["s"]).await;
        let at = vec!["127.0.0.1:9".to_owned(), hall.control.to_string()];
        let calls = tokio::task::spawn_blocking(move || {
            let before = operator_client::get(&at).expect("the configuration");
            let newer = before.replace(r#""version":2"#, r#""version":6"#);
            let sent = operator_client::put(&at, newer.clone().into_bytes()).expect("it is taken");
            let refused = operator_client::put(
                &at,
                before.replace(r#""service":"s""#, r#""service":"t""#).into_bytes(),
            );
            let older = operator_client::put(&at, before.into_bytes()).expect("it is acknowledged");
            let shown = operator_client::show(&at, "configuration", Format::Tables).expect("shown");
            let all = operator_client::show(&at, "all", Format::Json).expect("shown");
            (
                sent,
                refused.is_err(),
                older,
                shown,
                all,
                operator_client::get(&at).expect("the newest") == newer,
            )
        });
        let (sent, refused, older, shown, all, same) = calls.await.expect("no panic");
        assert!(sent.contains("version 6 is held") && refused && older.contains("nothing changed") && same);
        assert!(shown.contains("version  6") && all.contains(r#""duty":"set of disks""#), "{shown} {all}");
    });
}

fn record(first: u8) -> Vec<u8> {
    let mut record = vec![0; 16];
    record[0] = first;
    record
}

async fn three_shards(name: &str, third: common::Script, least: f64) -> (Hall, Vec<common::Server>) {
    let hall = Hall::start(name);
    let mut servers = Vec::new();
    for (n, service) in ["s0", "s1"].iter().enumerate() {
        let body = [record(10 + n as u8), record(30 + n as u8), vec![9; 5]].concat();
        let seal = ["one", "two"][n];
        servers.push(server(&format!("i-{n}"), service, Box::new(move |r| sealed(r, seal, &body))).await);
    }
    servers.push(server("i-2", "s2", third).await);
    for s in &servers {
        hall.beat(s, "ready", 1).await;
    }
    let target = format!(r#""fan-out":["s0","s1","s2"],"top-k":3,"min-coverage":{least}"#);
    hall.configure(1, &route("r", "idempotent", &target), &["s0", "s1", "s2"]).await;
    hall.ready().await;
    (hall, servers)
}

#[test]
fn the_greatest_records_of_all_shards() {
    run(async {
        let third: common::Script = Box::new(|r| sealed(r, "three", &record(31)));
        let (hall, servers) = three_shards("whole", third, 0.5).await;
        let got = hall.get("/r/x", "1").await;
        assert_eq!(got.body, [record(31), record(31), record(30)].concat(), "equal ones all count");
        let seals = got.first.clone() + got.header("missing-parts");
        assert!(seals.ends_with('0'), "none is missing: {seals}");
        assert!(servers.iter().all(|s| s.got.borrow()[0].header("attempt-id") == "1"));
    });
}

#[test]
fn a_shard_that_fails_is_left_out_or_fails_the_whole() {
    run(async {
        for (name, least, status) in [("enough", 0.6, 200), ("too-few", 0.9, 502)] {
            // A failure with a stamp is no part.
            let third: common::Script =
                Box::new(|r| (answer(r, "500 Failed", "Server-Seal: bad\r\n", &record(99)), false));
            let (hall, _servers) = three_shards(name, third, least).await;
            let got = hall.get("/r/x", "1").await;
            assert_eq!(got.status(), status, "{name}");
            if status == 200 {
                assert_eq!(
                    (got.header("missing-parts"), &got.body),
                    ("1", &[record(31), record(30), record(11)].concat())
                );
            }
        }
    });
}

#[test]
fn control_calls_say_what_is_wrong_and_change_nothing() {
    run(async {
        let hall = Hall::start("control");
        hall.configure(5, &route("r", "idempotent", r#""service":"s""#), &["s"]).await;
        let bad = r#"{"version":9,"routes":[{"name":"x","host":"h","path-prefix":"/a","kind":"maybe",
            "deadline-ms":0,"target-ms":1,"service":"nobody"}],"services":[]}"#;
        let got = ask(hall.control, &common::put("/api/configuration", bad)).await.expect("an answer");
        let words = String::from_utf8_lossy(&got.body).into_owned();
        assert_eq!(got.status(), 400);
        for part in ["slash", "idempotent", "above 0", "nobody"] {
            assert!(words.contains(part), "{part} is not in {words}");
        }
        // An older one is acknowledged and changes nothing.
        hall.configure(4, "", &["s"]).await;
        let got = hall.until(hall.control, "GET /api/configuration HTTP/1.1\r\nHost: c\r\n\r\n", 200).await;
        assert!(String::from_utf8_lossy(&got.body).contains(r#""version":5"#));
        let got = ask(hall.control, &common::put("/api/instances/i-1", r#"{"address":"nowhere"}"#)).await;
        assert_eq!(got.map(|g| g.status()), Some(400));
    });
}
