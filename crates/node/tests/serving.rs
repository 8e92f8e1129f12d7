//! Queries through a gateway over sockets: faults of servers, and the responses that clients get.

mod common;

use ashvane_node::operator_client::{self, Format};
use common::{
    Message, TestSystem, build_response, route_json, run_test, sealed_response, send_request, start_server,
};

/// Starts a system with one route to one service, with one server for each script.
async fn one_service(
    name: &str, kind: &str, scripts: Vec<common::Script>,
) -> (TestSystem, Vec<common::Server>) {
    let system = TestSystem::start(name);
    let mut servers = Vec::new();
    for (n, script) in scripts.into_iter().enumerate() {
        servers.push(start_server(&format!("i-{n}"), "s", script).await);
    }
    for s in &servers {
        system.send_heartbeat(s, "ready", 1).await;
    }
    system.configure(1, &route_json("r", kind, r#""service":"s""#), &["s"]).await;
    system.wait_until_ready().await;
    (system, servers)
}

/// Script of a server that always responds with success.
fn success(seal: &'static str) -> common::Script {
    Box::new(move |request| sealed_response(request, seal, b"body"))
}

/// Script of a server that handles its first request as given and responds to all others with success.
fn first_request(mut handle: impl FnMut(&Message) -> (Vec<u8>, bool) + 'static) -> common::Script {
    let mut done = false;
    Box::new(move |request| {
        if std::mem::replace(&mut done, true) {
            sealed_response(request, "later", b"body")
        } else {
            handle(request)
        }
    })
}

#[test]
fn a_request_is_forwarded_unchanged_but_for_hop_by_hop_headers() {
    run_test(async {
        let (system, servers) = one_service("as-it-came", "non_idempotent", vec![success("a")]).await;
        let request = "POST /r/x/y?q=1%202 HTTP/1.1\r\nHost: H.example:80\r\nAttempt-Id: 77\r\nX-Own: kept\r\n\
                       Connection: x-hop\r\nX-Hop: dropped\r\nTransfer-Encoding: chunked\r\n\r\n\
                       3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        let response = send_request(system.front, request).await.expect("the response is complete");
        assert_eq!(
            (response.status(), response.header("server-seal"), &response.body[..]),
            (200, "a", &b"body"[..])
        );
        let received = servers[0].requests.borrow();
        assert_eq!(
            (received[0].start_line.as_str(), &received[0].body[..]),
            ("POST /r/x/y?q=1%202 HTTP/1.1", &b"abcde"[..])
        );
        assert_eq!((received[0].header("attempt-id"), received[0].header("x-own")), ("77", "kept"));
        assert_eq!((received[0].header("target-instance"), received[0].header("x-hop")), ("i-0", ""));
        let remaining_ms: u64 = received[0].header("deadline-ms").parse().expect("Deadline-Ms is a number");
        assert!(remaining_ms > 0 && remaining_ms <= 2000, "{remaining_ms}");
    });
}

/// A server repeats one Attempt-Id in its response. With two in the request, the gateway could not match the
/// response.
#[test]
fn a_request_needs_exactly_one_id_and_is_forwarded_with_its_path_only() {
    run_test(async {
        let (system, servers) = one_service("one-id", "idempotent", vec![success("a")]).await;
        let head = "GET http://h.example/r/x?q=1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\n";
        let two = send_request(system.front, &format!("{head}Attempt-Id: 2\r\n\r\n"))
            .await
            .expect("the response is complete");
        assert_eq!((two.status(), servers[0].requests.borrow().len()), (400, 0));
        let one = send_request(system.front, &format!("{head}\r\n")).await.expect("the response is complete");
        assert_eq!((one.status(), one.header("server-seal")), (200, "a"));
        assert_eq!(servers[0].requests.borrow()[0].start_line, "GET /r/x?q=1 HTTP/1.1");
    });
}

/// Only a server can promise that a request has not run, by `Not-Executed` with an error status.
#[test]
fn a_promise_that_the_server_did_not_make_is_not_relayed() {
    run_test(async {
        for (n, (status, headers)) in [
            ("503 Ill", ""),
            ("429 Many", ""),
            ("408 Late", ""),
            ("200 OK", "Not-Executed: 1\r\nServer-Seal: a\r\n"),
        ]
        .into_iter()
        .enumerate()
        {
            let ran = move |request: &Message| (build_response(request, status, headers, b"it ran"), false);
            let (system, servers) =
                one_service(&format!("no-word-{n}"), "non_idempotent", vec![Box::new(ran)]).await;
            assert_eq!(system.get("/r/x", "1").await.status(), 502, "{status}");
            assert_eq!(servers[0].requests.borrow().len(), 1, "{status}: the request is not sent again");
        }
    });
}

#[test]
fn without_a_configuration_clients_are_asked_to_retry() {
    run_test(async {
        let system = TestSystem::start("no-configuration");
        let request = "GET /r/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\n\r\n";
        let response = system.wait_for_status(system.front, request, 503).await;
        assert!(response.header("retry-after").parse::<f64>().is_ok_and(|s| s > 0.0));
        system.configure(1, &route_json("r", "idempotent", r#""service":"s""#), &["s"]).await;
        system
            .wait_for_status(
                system.front,
                "GET /other/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\n\r\n",
                404,
            )
            .await;
        // No server is known, so the request has not run and is rejected at once.
        assert_eq!(system.get("/r/x", "2").await.status(), 503);
    });
}

#[test]
fn a_surplus_response_is_not_taken_for_the_next_one() {
    run_test(async {
        let surplus = |request: &Message| {
            let mut bytes = sealed_response(request, "a", b"one").0;
            bytes.extend(sealed_response(request, "a", b"one").0);
            (bytes, false)
        };
        let (system, _servers) = one_service("surplus", "idempotent", vec![first_request(surplus)]).await;
        for id in ["1", "2", "3", "4"] {
            let response = system.get("/r/x", id).await;
            assert_eq!(
                (response.status(), response.header("attempt-id")),
                (200, id),
                "the response belongs to the request"
            );
        }
    });
}

#[test]
fn a_truncated_response_is_not_relayed() {
    run_test(async {
        let cut = |request: &Message| {
            let whole = sealed_response(request, "cut", b"a long body that breaks off").0;
            (whole[..whole.len() - 5].to_vec(), true)
        };
        let (system, servers) =
            one_service("half", "idempotent", vec![first_request(cut), success("b")]).await;
        for id in ["1", "2", "3", "4", "5", "6"] {
            let response = system.get(&format!("/r/{id}"), id).await;
            assert_eq!((response.status(), &response.body[..]), (200, &b"body"[..]));
        }
        assert!(servers.iter().all(|s| !s.requests.borrow().is_empty()), "both servers got requests");
    });
}

#[test]
fn a_response_without_seal_or_with_encoded_body_is_not_relayed() {
    run_test(async {
        for (n, headers) in
            ["Server-Seal: a\r\nContent-Encoding: gzip\r\n", "X: no seal\r\n"].iter().enumerate()
        {
            let invalid =
                move |request: &Message| (build_response(request, "200 OK", headers, b"spoilt"), false);
            let (system, _) =
                one_service(&format!("spoilt-{n}"), "idempotent", vec![first_request(invalid)]).await;
            let response = system.get("/r/x", "1").await;
            assert_eq!(
                (response.status(), &response.body[..]),
                (200, &b"body"[..]),
                "the request is sent again"
            );
        }
    });
}

#[test]
fn a_non_idempotent_request_is_sent_again_only_if_the_server_did_not_run_it() {
    run_test(async {
        // Script of the first server, whether the request may be sent to the second one, and the status if it
        // may not.
        let full =
            |request: &Message| (build_response(request, "503 Full", "Not-Executed: 1\r\n", b""), false);
        let failed = |request: &Message| (build_response(request, "500 Failed", "", b"it ran"), false);
        let broken = |_: &Message| (Vec::new(), true);
        let scripts: [(&str, common::Script, bool, u16); 3] = [
            ("full", Box::new(full), true, 503),
            ("failed", Box::new(failed), false, 500),
            ("broken", Box::new(broken), false, 502),
        ];
        for (name, script, is_retried, status) in scripts {
            let (system, servers) = one_service(name, "non_idempotent", vec![script, success("b")]).await;
            // Enough paths that the first server is the preferred one for some of them.
            let mut first_server_count = 0;
            for id in 0..40 {
                let path = format!("/r/{id}");
                let response = system.get(&path, &id.to_string()).await;
                let mut send_count = 0;
                for s in &servers {
                    send_count += s
                        .requests
                        .borrow()
                        .iter()
                        .filter(|r| r.start_line.contains(&format!("{path} ")))
                        .count();
                }
                let reached_first_server =
                    servers[0].requests.borrow().iter().any(|r| r.start_line.contains(&format!("{path} ")));
                if reached_first_server {
                    first_server_count += 1;
                    assert_eq!(send_count > 1, is_retried, "{name}: {}", response.status());
                    assert_eq!(response.status(), if is_retried { 200 } else { status }, "{name}");
                }
            }
            assert!(first_server_count > 0, "{name}: the first server got no request");
        }
    });
}

#[test]
fn a_query_that_may_have_run_is_not_rejected_as_never_run() {
    run_test(async {
        let broken = || -> common::Script { Box::new(|_| (Vec::new(), true)) };
        let (system, _servers) = one_service("no-promise", "idempotent", vec![broken(), broken()]).await;
        assert_eq!(system.get("/r/x", "1").await.status(), 502, "503 would promise that it never ran");
    });
}

/// At the deadline of the request its call is still pending, so the server may still run it.
#[test]
fn a_query_whose_server_does_not_respond_is_not_rejected_as_never_run() {
    run_test(async {
        let silent = || -> common::Script { Box::new(|_| (Vec::new(), false)) };
        let (system, servers) = one_service("silent", "idempotent", vec![silent(), silent()]).await;
        for id in 0..5 {
            let head = "GET /r/x HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 100\r\n";
            let response = send_request(system.front, &format!("{head}Attempt-Id: {id}\r\n\r\n"))
                .await
                .expect("the response is complete");
            let reached_server = servers
                .iter()
                .any(|s| s.requests.borrow().iter().any(|r| r.header("attempt-id") == id.to_string()));
            assert!(
                !reached_server || response.status() == 502,
                "{}: 503 would promise that it never ran",
                response.status()
            );
            assert!(reached_server || id > 0, "the first request reaches a server");
        }
    });
}

#[test]
fn a_server_whose_address_has_another_one_gets_no_more_requests() {
    run_test(async {
        let other = |request: &Message| {
            (build_response(request, "421 Misdirected", "Instance-Id: i-x\r\n", b""), false)
        };
        let (system, servers) = one_service("other", "idempotent", vec![Box::new(other), success("b")]).await;
        for id in 0..30 {
            assert_eq!(system.get(&format!("/r/{id}"), &id.to_string()).await.status(), 200);
        }
        assert!(servers[0].requests.borrow().len() <= 1, "it gets no request after the first");
    });
}

#[test]
fn a_draining_server_gets_no_requests() {
    run_test(async {
        let (system, servers) = one_service("leaves", "idempotent", vec![success("a"), success("b")]).await;
        system.send_heartbeat(&servers[0], "draining", 2).await;
        let before = servers[0].requests.borrow().len();
        for id in 0..30 {
            assert_eq!(system.get(&format!("/r/{id}"), &id.to_string()).await.header("server-seal"), "b");
        }
        assert_eq!(servers[0].requests.borrow().len(), before);
    });
}

#[test]
fn a_gateway_redirects_control_calls_and_serves_by_replicated_state() {
    run_test(async {
        let control_node = TestSystem::start("with-a-disk");
        let gateway = TestSystem::start_gateway("without-a-disk", &control_node);
        let s = start_server("i-1", "s", success("a")).await;
        control_node.send_heartbeat(&s, "ready", 1).await;
        control_node.configure(3, &route_json("r", "idempotent", r#""service":"s""#), &["s"]).await;
        gateway.wait_until_ready().await;
        let response = send_request(gateway.control, "GET /api/configuration HTTP/1.1\r\nHost: c\r\n\r\n")
            .await
            .expect("the response is complete");
        let location = format!("http://{}/api/configuration", control_node.control);
        assert_eq!((response.status(), response.header("location")), (307, location.as_str()));
        assert_eq!(gateway.get("/r/x", "1").await.header("server-seal"), "a");
        // Changes at the control node reach the gateway: the route is removed.
        control_node.configure(4, "", &["s"]).await;
        let gone = "GET /r/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 2\r\n\r\n";
        gateway.wait_for_status(gateway.front, gone, 404).await;
        // A draining server gets no requests once its state has reached the gateway.
        control_node.configure(5, &route_json("r", "idempotent", r#""service":"s""#), &["s"]).await;
        control_node.send_heartbeat(&s, "draining", 2).await;
        let again = "GET /r/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 3\r\n\r\n";
        gateway.wait_for_status(gateway.front, again, 503).await;
    });
}

/// Guards against an operator client that fails, sends invalid configurations, or stops at the first
/// unreachable address.
#[test]
fn the_operator_client_gets_puts_and_shows_configurations() {
    run_test(async {
        let system = TestSystem::start("client");
        system.configure(2, &route_json("r", "idempotent", r#""service":"s""#), &["s"]).await;
        let addresses = vec!["127.0.0.1:9".to_owned(), system.control.to_string()];
        let calls = tokio::task::spawn_blocking(move || {
            let before = operator_client::get(&addresses).expect("a control node returns the configuration");
            let newer = before.replace(r#""version":2"#, r#""version":6"#);
            let sent = operator_client::put(&addresses, newer.clone().into_bytes())
                .expect("the configuration is accepted");
            let refused = operator_client::put(
                &addresses,
                before.replace(r#""service":"s""#, r#""service":"t""#).into_bytes(),
            );
            let older = operator_client::put(&addresses, before.into_bytes())
                .expect("the older configuration is acknowledged");
            let shown = operator_client::show(&addresses, "configuration", Format::Tables)
                .expect("a control node returns its status");
            let all = operator_client::show(&addresses, "all", Format::Json)
                .expect("a control node returns its status");
            (
                sent,
                refused.is_err(),
                older,
                shown,
                all,
                operator_client::get(&addresses).expect("a control node returns the newest configuration")
                    == newer,
            )
        });
        let (sent, refused, older, shown, all, same) = calls.await.expect("the client does not panic");
        assert!(sent.contains("version 6 is held") && refused && older.contains("nothing changed") && same);
        assert!(shown.contains("version  6") && all.contains(r#""duty":"set of disks""#), "{shown} {all}");
    });
}

/// Returns a record with this first byte.
fn record(first: u8) -> Vec<u8> {
    let mut record = vec![0; 16];
    record[0] = first;
    record
}

/// Starts a system whose route gathers from three shards; the third has the given script.
async fn three_shards(
    name: &str, third: common::Script, min_coverage: f64,
) -> (TestSystem, Vec<common::Server>) {
    let system = TestSystem::start(name);
    let mut servers = Vec::new();
    for (n, service) in ["s0", "s1"].iter().enumerate() {
        let body = [record(10 + n as u8), record(30 + n as u8), vec![9; 5]].concat();
        let seal = ["one", "two"][n];
        servers.push(
            start_server(&format!("i-{n}"), service, Box::new(move |r| sealed_response(r, seal, &body)))
                .await,
        );
    }
    servers.push(start_server("i-2", "s2", third).await);
    for s in &servers {
        system.send_heartbeat(s, "ready", 1).await;
    }
    let target = format!(r#""fan-out":["s0","s1","s2"],"top-k":3,"min-coverage":{min_coverage}"#);
    system.configure(1, &route_json("r", "idempotent", &target), &["s0", "s1", "s2"]).await;
    system.wait_until_ready().await;
    (system, servers)
}

#[test]
fn a_gathered_response_has_the_greatest_records_of_all_shards() {
    run_test(async {
        let third: common::Script = Box::new(|r| sealed_response(r, "three", &record(31)));
        let (system, servers) = three_shards("whole", third, 0.5).await;
        let response = system.get("/r/x", "1").await;
        assert_eq!(response.body, [record(31), record(31), record(30)].concat(), "duplicates are kept");
        let seals = response.start_line.clone() + response.header("missing-parts");
        assert!(seals.ends_with('0'), "no part is missing: {seals}");
        assert!(servers.iter().all(|s| s.requests.borrow()[0].header("attempt-id") == "1"));
    });
}

#[test]
fn a_failed_shard_is_left_out_or_fails_the_query_by_the_coverage() {
    run_test(async {
        for (name, min_coverage, status) in [("enough", 0.6, 200), ("too-few", 0.9, 502)] {
            // An error response is not used as a part, even with a seal.
            let third: common::Script =
                Box::new(|r| (build_response(r, "500 Failed", "Server-Seal: bad\r\n", &record(99)), false));
            let (system, _servers) = three_shards(name, third, min_coverage).await;
            let response = system.get("/r/x", "1").await;
            assert_eq!(response.status(), status, "{name}");
            if status == 200 {
                assert_eq!(
                    (response.header("missing-parts"), &response.body),
                    ("1", &[record(31), record(30), record(11)].concat())
                );
            }
        }
    });
}

/// Guards against a tolerance for rounded weights that makes two of three shards enough for a `min-coverage`
/// slightly above two thirds. The share of the shards is compared exactly.
#[test]
fn a_gathered_response_never_has_a_smaller_share_than_the_minimal_coverage() {
    run_test(async {
        let cases = [
            (0.6666, 200),
            (2.0 / 3.0, 200),
            ((2.0_f64 / 3.0).next_up(), 502),
            (0.6667, 502),
            (0.66671, 502),
            (0.66672, 502),
            (0.667, 502),
        ];
        let mut statuses = Vec::new();
        for (n, (min_coverage, _)) in cases.into_iter().enumerate() {
            let third: common::Script = Box::new(|r| (build_response(r, "500 Failed", "", b"failed"), false));
            let (system, _servers) = three_shards(&format!("coverage-{n}"), third, min_coverage).await;
            statuses.push((min_coverage, system.get("/r/x", "1").await.status()));
        }
        assert_eq!(statuses, cases);
    });
}

/// Guards against a response without any part where a route has a `min-coverage` of 0.
#[test]
fn a_gathered_response_has_at_least_one_part() {
    run_test(async {
        let system = TestSystem::start("coverage-none");
        let target = r#""fan-out":["a","b"],"top-k":3,"min-coverage":0"#;
        system.configure(1, &route_json("r", "idempotent", target), &["a", "b"]).await;
        let request = "GET /r/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\n\r\n";
        system.wait_for_status(system.front, request, 503).await;
    });
}

#[test]
fn invalid_control_calls_report_their_faults_and_change_nothing() {
    run_test(async {
        let system = TestSystem::start("control");
        system.configure(5, &route_json("r", "idempotent", r#""service":"s""#), &["s"]).await;
        let bad = r#"{"version":9,"routes":[{"name":"x","host":"h","path-prefix":"/a","kind":"maybe",
            "deadline-ms":0,"target-ms":1,"service":"nobody"}],"services":[]}"#;
        let response = send_request(system.control, &common::put_request("/api/configuration", bad))
            .await
            .expect("the response is complete");
        let text = String::from_utf8_lossy(&response.body).into_owned();
        assert_eq!(response.status(), 400);
        for part in ["slash", "idempotent", "above 0", "nobody"] {
            assert!(text.contains(part), "{part} is not in {text}");
        }
        // An older version is acknowledged and changes nothing.
        system.configure(4, "", &["s"]).await;
        let response = system
            .wait_for_status(system.control, "GET /api/configuration HTTP/1.1\r\nHost: c\r\n\r\n", 200)
            .await;
        assert!(String::from_utf8_lossy(&response.body).contains(r#""version":5"#));
        let response = send_request(
            system.control,
            &common::put_request("/api/instances/i-1", r#"{"address":"nowhere"}"#),
        )
        .await;
        assert_eq!(response.map(|response| response.status()), Some(400));
    });
}

/// Guards against the loss of a response that is sent before the body of its request was read: a socket that is closed
/// while it holds unread bytes is reset, and the reset discards what the client has not read yet.
#[test]
fn a_response_sent_before_the_body_was_read_reaches_the_client() {
    run_test(async {
        let (system, servers) = one_service("unread-body", "non_idempotent", vec![success("a")]).await;
        let body = "x".repeat(4 << 20);
        let head = format!(
            "POST /r/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        for _ in 0..5 {
            let response = send_request(system.front, &format!("{head}{body}")).await;
            assert_eq!(response.expect("the response is complete").status(), 413);
        }
        assert_eq!(servers[0].requests.borrow().len(), 0);
    });
}
