//! Behaviour towards clients: invalid, incomplete and excessive requests, disconnects, and connection limits.

mod common;

use common::{Behaviour, Environment, ms, post, request, wait_until};
use serde_json::json;
use std::sync::atomic::Ordering;
use tokio::time::Instant;

fn body(parts: serde_json::Value) -> String {
    json!({"targets": parts, "query": "c41e77d0"}).to_string()
}

#[tokio::test]
async fn bad_requests_are_refused_with_a_reason_and_reach_no_server() {
    let environment = Environment::start(&[Behaviour::Answer; 2]).await.ready().await;
    let id = ("Req-Id", "bad");
    let owner = ("Req-Owner", "acme");
    let wait = ("Req-Deadline", "900m");
    let good = body(json!([{"partition": 0, "share": 1.0}]));
    let with = |parts| post("near", &[id, owner, wait], &body(parts));
    let cases: Vec<(u16, String)> = vec![
        (404, post("nowhere", &[id, owner, wait], &good)),
        (404, "POST /near/a%zz HTTP/1.1\r\nHost: api\r\nContent-Length: 0\r\n\r\n".replace("near", "x")),
        (404, "GET / HTTP/1.1\r\nHost: api\r\n\r\n".into()),
        (405, "GET /near/k1 HTTP/1.1\r\nHost: api\r\n\r\n".into()),
        (405, "POST /healthz HTTP/1.1\r\nHost: api\r\nContent-Length: 0\r\n\r\n".into()),
        (413, post("near", &[id, owner, wait], &"x".repeat(65 * 1024))),
        (400, post("near", &[owner, wait], &good)),
        (400, post("near", &[("Req-Id", "a b"), owner, wait], &good)),
        (400, post("near", &[("Req-Id", ""), owner, wait], &good)),
        (400, post("near", &[id, wait], &good)),
        (400, post("near", &[id, ("Req-Id", "other"), owner, wait], &good)),
        (400, post("near", &[id, owner, wait, ("Req-Deadline", "1900m")], &good)),
        (400, post("near", &[id, ("Req-Owner", "nobody"), wait], &good)),
        (400, post("near", &[id, owner], &good)),
        (400, post("near", &[id, owner, ("Req-Deadline", "900")], &good)),
        (400, post("near", &[id, owner, ("Req-Deadline", "-5m")], &good)),
        (400, post("near", &[id, owner, ("Req-Deadline", "NaNm")], &good)),
        (400, post("near", &[id, owner, ("Req-Deadline", "1e300m")], &good)),
        (400, post("near", &[id, owner, wait], "{")),
        (400, post("near", &[id, owner, wait], "\u{7f}\u{0}[[[[")),
        (400, with(json!([]))),
        (400, with(json!([{"partition": 0, "share": 0.5}, {"partition": 0, "share": 0.5}]))),
        (400, with(json!([{"partition": 16, "share": 1.0}]))),
        (400, with(json!([{"partition": -1, "share": 1.0}]))),
        (400, with(json!([{"partition": 0, "share": -1.0}, {"partition": 1, "share": 2.0}]))),
        (400, with(json!([{"partition": 0, "share": 0.1}]))),
        (400, post("near", &[id, owner, wait], &good.replace("1.0", "1e999"))),
    ];
    for (status, case) in cases {
        let reply = environment.client().await.ask(&case).await;
        assert_eq!(reply.status, status, "{case}");
        assert!(
            status == 405 || status == 404 || !reply.body.is_empty(),
            "the response to {case} states a reason"
        );
    }
    assert_eq!(environment.part_count(), 0);
    assert_eq!(environment.client().await.ask(&request("near", "good", 4, "900m")).await.status, 200);
}

#[tokio::test]
async fn chunked_bodies_and_deadlines_in_microseconds_are_accepted() {
    let environment = Environment::start(&[Behaviour::Answer; 2]).await.ready().await;
    let mut client = environment.client().await;
    let text = body(json!([{"partition": 3, "share": 0.5, "est_us": 9000}, {"partition": 9, "share": 0.5}]));
    let (first, second) = text.split_at(20);
    let head = "POST /book/7f3a HTTP/1.1\r\nHost: api\r\nreq-id: chunked\r\nreq-owner: acme\r\n\
                Req-Deadline: 900000.5u\r\nReq-Retry: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    client.send(head).await;
    for chunk in [first, second, ""] {
        client.send(&format!("{:x}\r\n{chunk}\r\n", chunk.len())).await;
        tokio::time::sleep(ms(10)).await;
    }
    let reply = client.next().await.expect("the request is answered");
    assert_eq!((reply.status, reply.count_values("chunked")), (200, 2));
    assert!(
        reply.head.contains("connection: close") && client.next().await.is_none(),
        "the connection closes after a chunked request"
    );
}

/// Guards against request smuggling: a second request in the body of one that states its length twice must
/// not be answered.
#[tokio::test]
async fn requests_that_state_their_length_twice_are_rejected_and_their_connection_closes() {
    let environment = Environment::start(&[Behaviour::Answer; 2]).await.ready().await;
    let smuggled = request("near", "hidden", 4, "900m");
    let text = body(json!([{"partition": 3, "share": 1.0}]));
    let whole = format!("{:x}\r\n{text}\r\n0\r\n\r\n{smuggled}", text.len());
    let empty = format!("0\r\n\r\n{smuggled}");
    let chunks = "transfer-ENCODING: chunked";
    for (body, length) in [(&whole, whole.len()), (&empty, empty.len()), (&empty, 5), (&whole, text.len())] {
        let length = format!("Content-Length: {length}");
        for [one, two] in [[&length[..], chunks], [chunks, &length], [chunks, chunks], [&length, &length]] {
            let head = "POST /near/a HTTP/1.1\r\nHost: api\r\nReq-Id: outer\r\nReq-Owner: acme";
            let mut client = environment.client().await;
            client.send(&format!("{head}\r\nReq-Deadline: 900m\r\n{one}\r\n{two}\r\n\r\n{body}")).await;
            assert_eq!(client.next().await.map(|r| r.status), Some(400), "{one}, {two}: {body}");
            assert!(client.next().await.is_none(), "the connection closes after the rejection");
        }
    }
    assert_eq!(environment.part_count(), 0);
    let pipelined = request("near", "one", 4, "900m") + &request("near", "two", 4, "900m");
    let mut client = environment.client().await;
    client.send(&pipelined).await;
    for id in ["one", "two"] {
        let reply = client.next().await.expect("the request is answered");
        assert_eq!(
            (reply.status, reply.count_values(id)),
            (200, 3),
            "pipelined requests are answered in order"
        );
    }
}

/// Guards against clients that occupy a connection with an incomplete request, or with none.
#[tokio::test]
async fn incomplete_requests_are_answered_or_closed_within_three_seconds() {
    let environment = Environment::start(&[Behaviour::Answer; 2]).await.ready().await;
    let whole = request("near", "whole", 4, "900m");
    let long = whole.replace("Content-Length: ", "Content-Length: 60000");
    let endless = format!("POST /near/a HTTP/1.1\r\nX-A: {}", "a".repeat(100_000));
    let negative = whole.replace("Content-Length: ", "Content-Length: -");
    let cases =
        ["", "\r\n", &whole[..40], &whole[..whole.len() - 9], &long, &endless, &negative, "\0\u{7f} \n\n"];
    let mut kept = environment.client().await;
    assert_eq!(kept.ask(&request("near", "first", 4, "900m")).await.status, 200);
    let mut asking = tokio::task::JoinSet::new();
    for case in cases.map(str::to_owned) {
        let mut client = environment.client().await;
        asking.spawn(async move {
            let started = Instant::now();
            // The write may fail, because the connection may be closed before it completes.
            let _ = tokio::io::AsyncWriteExt::write_all(&mut client.0, case.as_bytes()).await;
            let reply = client.next().await;
            assert!(reply.is_none_or(|r| (400..500).contains(&r.status)), "{case:.100}");
            assert!(client.next().await.is_none() && started.elapsed() < ms(3000), "{case:.100}");
        });
    }
    asking.join_all().await;
    let reply = kept.ask(&request("near", "second", 4, "900m")).await;
    assert_eq!(reply.status, 200, "a client that has sent a complete request keeps its connection");
    let parts_before = environment.part_count();
    let mut client = environment.client().await;
    let mut sent = 0;
    let head = post("near", &[], "").replace("Content-Length: 0", "Content-Length: 60000000");
    client.send(&head).await;
    while sent < 60_000_000
        && tokio::io::AsyncWriteExt::write_all(&mut client.0, &[b'x'; 65536]).await.is_ok()
    {
        sent += 65536;
    }
    assert!(sent < 30_000_000, "{sent} bytes of a body over the maximum were read");
    assert_eq!(environment.part_count(), parts_before);
}

#[tokio::test]
async fn the_id_of_an_open_query_is_rejected_and_may_be_reused_later() {
    let environment = Environment::start(&[Behaviour::Delayed(ms(200)); 2]).await.ready().await;
    let mut first = environment.client().await;
    first.send(&request("near", "twice", 4, "1900m")).await;
    wait_until("the first query is sent to the servers", || environment.part_count() > 0).await;
    assert_eq!(environment.client().await.ask(&request("near", "twice", 4, "1900m")).await.status, 409);
    assert_eq!(first.next().await.expect("the request is answered").status, 200);
    assert_eq!(first.ask(&request("near", "twice", 4, "1900m")).await.status, 200);
}

/// Guards against work that continues for a client that has disconnected.
#[tokio::test]
async fn a_disconnect_ends_the_query_and_cancels_its_parts() {
    let environment = Environment::start(&[Behaviour::Silent; 2]).await.ready().await;
    let mut client = environment.client().await;
    client.send(&request("book", "leaves", 4, "1900m")).await;
    wait_until("its parts are sent to the servers", || environment.part_count() == 4).await;
    let disconnected = Instant::now();
    drop(client);
    let closed = || environment.shards.iter().any(|s| s.closed.load(Ordering::SeqCst) > 0);
    let cancelled = || environment.shards.iter().map(|s| s.frames('C').len()).sum::<usize>() == 4 || closed();
    wait_until("its parts are cancelled, or their connections closed", cancelled).await;
    assert!(disconnected.elapsed() < ms(500), "the parts are cancelled long before the deadline");
    environment.shards.iter().for_each(|s| s.set_behaviour(Behaviour::Answer));
    assert_eq!(environment.client().await.ask(&request("near", "leaves", 4, "900m")).await.status, 200);
}

#[tokio::test]
async fn queries_over_the_maximum_are_rejected_at_once() {
    let environment = Environment::start(&[Behaviour::Silent; 2]).await.ready().await;
    let mut asking = tokio::task::JoinSet::new();
    for number in 0..30 {
        let mut client = environment.client().await;
        asking.spawn(async move {
            let started = Instant::now();
            let reply = client.ask(&request("near", &format!("held-{number}"), 4, "700m")).await;
            assert_eq!(reply.status, 503, "a query without any result is rejected: {reply:?}");
            assert!(
                reply.head.contains("retry-after: 0."),
                "the rejection has a Retry-After header: {reply:?}"
            );
            started.elapsed()
        });
    }
    let waited = asking.join_all().await;
    assert!(waited.iter().all(|w| *w < ms(900)), "all queries end within their deadlines: {waited:?}");
    let rejected_early = waited.iter().filter(|w| **w < ms(300)).count();
    assert!((10..30).contains(&rejected_early), "at least ten are rejected at once, others wait: {waited:?}");
    assert!(environment.part_count() <= 20 * 4, "at most twenty queries of four parts are open at once");
}

/// Guards against clients that send half a request and then nothing: others are served, and the program still
/// ends on SIGTERM.
#[tokio::test]
async fn slow_and_idle_clients_do_not_delay_others() {
    let mut environment = Environment::start(&[Behaviour::Answer; 2]).await.ready().await;
    let mut incomplete = Vec::new();
    for _ in 0..20 {
        let mut client = environment.client().await;
        client.send("POST /near/k1 HTTP/1.1\r\nHost: api\r\nReq-Id: ha").await;
        incomplete.push(client);
    }
    let reply = environment.client().await.ask(&request("near", "whole", 4, "900m")).await;
    assert_eq!((reply.status, reply.count_values("whole")), (200, 3));
    environment.signal("TERM");
    assert!(environment.wait_for_exit().await.success());
}

/// Guards against clients that the kernel has accepted but that are never served, because idle connections
/// hold all descriptors.
#[tokio::test]
async fn clients_over_the_descriptor_limit_are_served_in_place_of_idle_ones() {
    let environment = Environment::with(&[Behaviour::Delayed(ms(200)); 2], |config| {
        config["limits"]["sockets"] = 80.into()
    })
    .await;
    let environment = environment.ready().await;
    let mut busy = environment.client().await;
    busy.send(&request("near", "busy", 4, "1900m")).await;
    wait_until("its parts are sent to the servers", || environment.part_count() > 0).await;
    let mut idle = Vec::new();
    for _ in 0..40 {
        idle.push(environment.client().await);
    }
    let mut last = environment.client().await;
    for (client, id) in [(&mut last, "last"), (&mut busy, "busy")] {
        if id == "last" {
            client.send(&request("near", id, 4, "1900m")).await;
        }
        let reply = client.next().await.expect("the request is answered");
        assert_eq!((reply.status, reply.count_values(id)), (200, 3));
    }
    assert!(environment.descriptor_count() <= 80);
}
