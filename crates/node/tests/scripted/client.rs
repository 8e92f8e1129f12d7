//! Clients that check each response: that it belongs to their request, is complete and unchanged from the
//! server, and that its status makes no false promise.

use std::rc::Rc;
use std::time::Duration;

use ashvane_node::front;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use super::wire::{Message, ReadError, ResettableStream, stream_pair};
use super::{Ledger, RecordedRequest, TOP_K, World, ms};

/// Time beyond the deadline of a request within which its response must arrive.
const DEADLINE_SLACK: Duration = ms(25);
/// Time before the deadline from which on the gateway may give up a request that a server still works on.
const GIVE_UP_MARGIN: Duration = ms(15);
/// Statuses that promise that the request has not run and never will.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// A request that is about to be sent.
struct RequestDraft {
    attempt: String,
    bytes: Vec<u8>,
    /// Whether it is sent to several services, whose responses are gathered.
    is_fan_out: bool,
    deadline: Duration,
}

/// Draws a request and records it in the ledger.
fn draft_request(world: &World, rng: &mut fastrand::Rng, attempt: String) -> RequestDraft {
    let route = *rng.choice(&["one", "one", "once", "once", "lone", "all"]).expect("the list is not empty");
    let at_most_once = matches!(route, "once" | "lone");
    let method = if at_most_once { "POST" } else { "GET" };
    let target = format!("/{route}/{}?of={attempt}", rng.u32(..50));
    let chunked = at_most_once && rng.bool();
    let length = if at_most_once { rng.usize(usize::from(chunked)..3000) } else { 0 };
    let body: Vec<u8> = (0..length).map(|_| rng.u8(..)).collect();
    let deadline = ms(rng.u64(60..500));
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {}\r\n",
        deadline.as_millis()
    );
    let mut bytes = head.into_bytes();
    if chunked {
        bytes.extend(format!("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n", body.len()).into_bytes());
        bytes.extend(&body);
        bytes.extend(b"\r\n0\r\n\r\n");
    } else {
        bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
        bytes.extend(&body);
    }
    let request = RecordedRequest {
        method,
        target,
        body,
        at_most_once,
        is_sent_completely: false,
        run_count: 0,
        pending_count: 0,
        actions: Vec::new(),
        promised_not_to_run: false,
    };
    world.ledger.borrow_mut().requests.insert(attempt.clone(), request);
    RequestDraft { attempt, bytes, is_fan_out: route == "all", deadline }
}

/// Opens a connection to the gateway.
pub(crate) fn connect(world: &World) -> ResettableStream {
    let (client_end, gateway_end) = stream_pair();
    spawn_local(front::serve_connection(
        gateway_end,
        world.agent.clone(),
        world.data_plane.clone(),
        world.clients.clone(),
    ));
    client_end
}

/// Sends one request after another, on one connection or several.
pub(crate) async fn run_client(world: Rc<World>, client_number: usize, seed: u64, exchanges: usize) {
    let mut rng = fastrand::Rng::with_seed(seed << 8 | client_number as u64);
    let mut idle_connection: Option<ResettableStream> = None;
    for exchange_number in 0..exchanges {
        let mut stream = match idle_connection.take().filter(|_| rng.u32(..5) > 0) {
            Some(stream) => stream,
            None => connect(&world),
        };
        let draft = draft_request(&world, &mut rng, format!("{client_number}-{exchange_number}"));
        match rng.u32(..30) {
            0 => send_partially(&world, &mut rng, stream, &draft).await,
            1 => abandon(&world, &mut rng, stream, &draft).await,
            _ => {
                let is_reusable = exchange(&world, &mut stream, &draft).await;
                idle_connection = idle(&world, &mut rng, stream).await.filter(|_| is_reusable);
            }
        }
    }
}

/// Sends a part of a request and ends the connection.
async fn send_partially(
    world: &World, rng: &mut fastrand::Rng, mut stream: ResettableStream, draft: &RequestDraft,
) {
    world.ledger.borrow_mut().count("client: partial requests");
    let length = rng.usize(..draft.bytes.len());
    if stream.write_all(&draft.bytes[..length]).await.is_ok() {
        sleep(ms(rng.u64(..20))).await;
    }
    if rng.bool() {
        stream.reset();
    }
}

/// Sends a request and ends the connection before the response.
async fn abandon(world: &World, rng: &mut fastrand::Rng, mut stream: ResettableStream, draft: &RequestDraft) {
    world.ledger.borrow_mut().count("client: abandoned requests");
    mark_sent_completely(world, draft);
    if stream.write_all(&draft.bytes).await.is_ok() {
        sleep(ms(rng.u64(..10))).await;
    }
    if rng.bool() {
        stream.reset();
    }
}

fn mark_sent_completely(world: &World, draft: &RequestDraft) {
    world
        .ledger
        .borrow_mut()
        .requests
        .get_mut(&draft.attempt)
        .expect("the request is recorded")
        .is_sent_completely = true;
}

/// Keeps a connection idle for a while, and reports bytes that arrive unrequested. Returns it if it is still
/// open.
async fn idle(
    world: &World, rng: &mut fastrand::Rng, mut stream: ResettableStream,
) -> Option<ResettableStream> {
    let time = match rng.u32(..3) {
        0 => ms(rng.u64(..400)),
        1 => ms(0),
        // Without reading: surplus bytes would be read as the next response, and a close is noticed only at
        // the next request.
        _ => {
            sleep(ms(rng.u64(..200))).await;
            return Some(stream);
        }
    };
    let mut bytes = [0; 64];
    match timeout(time, stream.read(&mut bytes)).await {
        Err(_) => Some(stream),
        Ok(Ok(0) | Err(_)) => None,
        Ok(Ok(n)) => {
            let bytes = String::from_utf8_lossy(&bytes[..n]).into_owned();
            world.ledger.borrow_mut().report_violation(format!("MISMATCH: unrequested bytes {bytes:?}"));
            None
        }
    }
}

/// Sends a request and checks its response. Returns whether the connection can be used again.
async fn exchange(world: &World, stream: &mut ResettableStream, draft: &RequestDraft) -> bool {
    mark_sent_completely(world, draft);
    let began = Instant::now();
    let is_shutting_down = world.agent.is_shutting_down();
    // A gateway that is shutting down may close an idle connection; a request that it has not read is
    // dropped.
    let written = stream.write_all(&draft.bytes).await;
    let response = timeout(draft.deadline + DEADLINE_SLACK, stream.read_message()).await;
    let mut ledger = world.ledger.borrow_mut();
    ledger.count("client: requests");
    if (written.is_err() || matches!(response, Ok(Err(ReadError::Closed)))) && world.agent.is_shutting_down()
    {
        ledger.count("client: closed by shutdown");
        let request = ledger.requests.get_mut(&draft.attempt).expect("the request is recorded");
        // A client whose connection closes without a response may retry elsewhere, so the request must not run.
        request.promised_not_to_run = true;
        if !request.actions.is_empty() {
            ledger.report_violation(format!(
                "NO RESPONSE: {} was forwarded and has no response",
                draft.attempt
            ));
        }
        return false;
    }
    match response {
        Err(_) => {
            ledger.report_violation(format!("LATE: {} has no response within its deadline", draft.attempt))
        }
        Ok(Err(ReadError::Malformed(text))) => {
            ledger.report_violation(format!("MISMATCH: {} got an invalid response: {text}", draft.attempt))
        }
        Ok(Err(error)) => ledger
            .report_violation(format!("NO RESPONSE: {} has no complete response: {error:?}", draft.attempt)),
        Ok(Ok(response)) => {
            let is_early = began.elapsed() + GIVE_UP_MARGIN < draft.deadline;
            if let Err(reason) = check_response(&mut ledger, draft, &response, is_early) {
                let RecordedRequest { target, actions, .. } = &ledger.requests[&draft.attempt];
                let violation = format!("{reason}: {target} got {:?} after {actions:?}", response.start_line);
                ledger.report_violation(violation);
            }
            let is_reusable = response.header("connection") != Some("close");
            if is_shutting_down && is_reusable {
                ledger.report_violation(format!(
                    "SHUTDOWN: the response to {} does not announce that the connection closes",
                    draft.attempt
                ));
            }
            return is_reusable;
        }
    }
    false
}

fn check_response(
    ledger: &mut Ledger, draft: &RequestDraft, response: &Message, is_early: bool,
) -> Result<(), &'static str> {
    let status = response.status();
    if !response.start_line.starts_with("HTTP/1.1 ") || status < 200 {
        return Err("MISMATCH, not a final HTTP/1.1 response");
    }
    if response.headers.get("attempt-id").into_iter().flatten().any(|id| *id != draft.attempt) {
        return Err("MISMATCH, the Attempt-Id of another request");
    }
    if status < 300 {
        ledger.count("client: successes");
        return if draft.is_fan_out {
            check_gathered(ledger, draft, response)
        } else {
            check_relayed(ledger, draft, response)
        };
    }
    let request = ledger.requests.get_mut(&draft.attempt).expect("the request is recorded");
    if NOT_EXECUTED_STATUSES.contains(&status) {
        request.promised_not_to_run = true;
        if request.run_count > 0 {
            return Err("PROMISE BROKEN, the request has run");
        }
    }
    if is_early && !draft.is_fan_out && request.pending_count > 0 {
        return Err("GIVEN UP EARLY, a server still works on the request");
    }
    ledger.count("client: errors");
    Ok(())
}

/// Checks a success from one server: it must belong to this request and be complete and unchanged.
fn check_relayed(ledger: &Ledger, draft: &RequestDraft, response: &Message) -> Result<(), &'static str> {
    let seals = response.headers.get("server-seal").map(Vec::as_slice).unwrap_or_default();
    let [seal] = seals else { return Err("MISMATCH, not exactly one seal") };
    let sealed = ledger.sealed_responses.get(seal).ok_or("MISMATCH, a seal that no server has issued")?;
    if sealed.attempt != draft.attempt {
        return Err("MISMATCH, the response to another request");
    }
    if !sealed.is_success || response.header("content-encoding").is_some() {
        return Err("MISMATCH, not a success of the server, or encoded");
    }
    if sealed.body != response.body {
        return Err("MISMATCH, not the complete body of the server");
    }
    Ok(())
}

/// Checks a success gathered from several services: each part must belong to this request and come from
/// another service, and the body must hold the greatest of all their records.
fn check_gathered(ledger: &Ledger, draft: &RequestDraft, response: &Message) -> Result<(), &'static str> {
    let mut services = Vec::new();
    let mut records: Vec<&[u8]> = Vec::new();
    for seal in response.headers.get("part-seals").into_iter().flatten().flat_map(|seals| seals.split(',')) {
        let sealed = ledger
            .sealed_responses
            .get(seal.trim())
            .ok_or("MISMATCH, a part whose seal no server has issued")?;
        if sealed.attempt != draft.attempt || !sealed.is_success {
            return Err("MISMATCH, a part of another request, or a failure");
        }
        services.push(sealed.service);
        records.extend(sealed.body.chunks_exact(16));
    }
    let missing: usize = response.header("missing-parts").and_then(|n| n.parse().ok()).unwrap_or(0);
    let part_count = services.len();
    services.sort_unstable();
    services.dedup();
    if services.len() != part_count || part_count == 0 || part_count + missing != 3 {
        return Err("MISMATCH, the parts are not one of each service");
    }
    records.sort_unstable();
    let expected: Vec<u8> = records.into_iter().rev().take(TOP_K).flatten().copied().collect();
    if expected != response.body { Err("MISMATCH, not the greatest records") } else { Ok(()) }
}
