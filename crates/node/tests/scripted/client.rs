//! Clients that check what they get: whose answer it is, whether it is whole and the server's own, whether a promise holds.

use std::rc::Rc;
use std::time::Duration;

use ashvane_node::front;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use super::wire::{Message, ReadError, ResettableStream, stream_pair};
use super::{Ledger, RecordedRequest, TOP_K, World, ms};

/// Time beyond its deadline after which a client has been kept waiting.
const DEADLINE_SLACK: Duration = ms(25);
/// Time before the deadline from which on an answer may be given up.
const GIVE_UP_MARGIN: Duration = ms(15);
/// Statuses that promise that a request has not run and never will.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// A request that is about to be sent.
struct RequestDraft {
    attempt: String,
    bytes: Vec<u8>,
    is_fan_out: bool,
    deadline: Duration,
}

fn draft_request(world: &World, rng: &mut fastrand::Rng, attempt: String) -> RequestDraft {
    let route = *rng.choice(&["one", "one", "once", "once", "lone", "all"]).expect("some");
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

fn connect(world: &World) -> ResettableStream {
    let (client_end, gateway_end) = stream_pair();
    spawn_local(front::serve_connection(
        gateway_end,
        world.agent.clone(),
        world.data_plane.clone(),
        world.clients.clone(),
    ));
    client_end
}

/// Asks one thing after another, on one connection or on several.
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

/// Sends a part of a request and leaves.
async fn send_partially(
    world: &World, rng: &mut fastrand::Rng, mut stream: ResettableStream, draft: &RequestDraft,
) {
    world.ledger.borrow_mut().count("client: half");
    let length = rng.usize(..draft.bytes.len());
    if stream.write_all(&draft.bytes[..length]).await.is_ok() {
        sleep(ms(rng.u64(..20))).await;
    }
    if rng.bool() {
        stream.reset();
    }
}

/// Sends a request and leaves before the answer.
async fn abandon(world: &World, rng: &mut fastrand::Rng, mut stream: ResettableStream, draft: &RequestDraft) {
    world.ledger.borrow_mut().count("client: left");
    mark_sent_completely(world, draft);
    if stream.write_all(&draft.bytes).await.is_ok() {
        sleep(ms(rng.u64(..10))).await;
    }
    if rng.bool() {
        stream.reset();
    }
}

fn mark_sent_completely(world: &World, draft: &RequestDraft) {
    world.ledger.borrow_mut().requests.get_mut(&draft.attempt).expect("it is asked").is_sent_completely =
        true;
}

/// Stays for a while where no answer is due.
async fn idle(
    world: &World, rng: &mut fastrand::Rng, mut stream: ResettableStream,
) -> Option<ResettableStream> {
    let time = match rng.u32(..3) {
        0 => ms(rng.u64(..400)),
        1 => ms(0),
        // Whatever stands there is read as the next answer, and an end is not seen before the next request.
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
            world.ledger.borrow_mut().report_violation(format!("MIXED: nobody asked for {bytes:?}"));
            None
        }
    }
}

/// One request and its answer; says whether the connection goes on.
async fn exchange(world: &World, stream: &mut ResettableStream, draft: &RequestDraft) -> bool {
    mark_sent_completely(world, draft);
    let began = Instant::now();
    let is_shutting_down = world.agent.is_shutting_down();
    // One that leaves may close a connection that rests: what has not been read goes nowhere.
    let written = stream.write_all(&draft.bytes).await;
    let answer = timeout(draft.deadline + DEADLINE_SLACK, stream.read_message()).await;
    let mut ledger = world.ledger.borrow_mut();
    ledger.count("client: requests");
    if (written.is_err() || matches!(answer, Ok(Err(ReadError::Closed)))) && world.agent.is_shutting_down() {
        ledger.count("client: closed by one that leaves");
        let request = ledger.requests.get_mut(&draft.attempt).expect("it is asked");
        // It may be sent again elsewhere, as after a promise.
        request.promised_not_to_run = true;
        if !request.actions.is_empty() {
            ledger.report_violation(format!("LOST: {} was handed on and has no answer", draft.attempt));
        }
        return false;
    }
    match answer {
        Err(_) => ledger.report_violation(format!("LATE: {} has no answer in its time", draft.attempt)),
        Ok(Err(ReadError::Malformed(what))) => {
            ledger.report_violation(format!("MIXED: {} got {what}", draft.attempt))
        }
        Ok(Err(fault)) => {
            ledger.report_violation(format!("LOST: {} has no whole answer: {fault:?}", draft.attempt))
        }
        Ok(Ok(answer)) => {
            let is_early = began.elapsed() + GIVE_UP_MARGIN < draft.deadline;
            if let Err(reason) = check_response(&mut ledger, draft, &answer, is_early) {
                let RecordedRequest { target, actions, .. } = &ledger.requests[&draft.attempt];
                let what = format!("{reason}: {target} got {:?} after {actions:?}", answer.start_line);
                ledger.report_violation(what);
            }
            let is_reusable = answer.header("connection") != Some("close");
            if is_shutting_down && is_reusable {
                ledger.report_violation(format!("LEAVES: {} is not told to come no more", draft.attempt));
            }
            return is_reusable;
        }
    }
    false
}

fn check_response(
    ledger: &mut Ledger, draft: &RequestDraft, answer: &Message, is_early: bool,
) -> Result<(), &'static str> {
    let status = answer.status();
    if !answer.start_line.starts_with("HTTP/1.1 ") || status < 200 {
        return Err("MIXED, no answer in the protocol");
    }
    if answer.headers.get("attempt-id").into_iter().flatten().any(|id| *id != draft.attempt) {
        return Err("MIXED, another's answer");
    }
    if status < 300 {
        ledger.count("client: successes");
        return if draft.is_fan_out {
            check_gathered(ledger, draft, answer)
        } else {
            check_relayed(ledger, draft, answer)
        };
    }
    let request = ledger.requests.get_mut(&draft.attempt).expect("it is asked");
    if NOT_EXECUTED_STATUSES.contains(&status) {
        request.promised_not_to_run = true;
        if request.run_count > 0 {
            return Err("REFUSED, it has run");
        }
    }
    if is_early && !draft.is_fan_out && request.pending_count > 0 {
        return Err("ended early, though a server is at work on it");
    }
    ledger.count("client: refused or failed");
    Ok(())
}

/// A success of one server: its own, whole.
fn check_relayed(ledger: &Ledger, draft: &RequestDraft, answer: &Message) -> Result<(), &'static str> {
    let seals = answer.headers.get("server-seal").map(Vec::as_slice).unwrap_or_default();
    let [seal] = seals else { return Err("MIXED, not one seal") };
    let sealed = ledger.sealed_responses.get(seal).ok_or("MIXED, nobody's seal")?;
    if sealed.attempt != draft.attempt {
        return Err("MIXED, the answer to another request");
    }
    if !sealed.is_success || answer.header("content-encoding").is_some() {
        return Err("MIXED, no success of the server");
    }
    if sealed.body != answer.body {
        return Err("MIXED, not the server's whole body");
    }
    Ok(())
}

/// A success of several: each part one service's own, the body the greatest of all of their records.
fn check_gathered(ledger: &Ledger, draft: &RequestDraft, answer: &Message) -> Result<(), &'static str> {
    let mut services = Vec::new();
    let mut records: Vec<&[u8]> = Vec::new();
    for seal in answer.headers.get("part-seals").into_iter().flatten().flat_map(|seals| seals.split(',')) {
        let sealed = ledger.sealed_responses.get(seal.trim()).ok_or("MIXED, nobody's part")?;
        if sealed.attempt != draft.attempt || !sealed.is_success {
            return Err("MIXED, a part of another request, or a failure");
        }
        services.push(sealed.service);
        records.extend(sealed.body.chunks_exact(16));
    }
    let missing: usize = answer.header("missing-parts").and_then(|n| n.parse().ok()).unwrap_or(0);
    let part_count = services.len();
    services.sort_unstable();
    services.dedup();
    if services.len() != part_count || part_count == 0 || part_count + missing != 3 {
        return Err("MIXED, the parts are not the set");
    }
    records.sort_unstable();
    let greatest: Vec<u8> = records.into_iter().rev().take(TOP_K).flatten().copied().collect();
    if greatest != answer.body { Err("MIXED, not the greatest records") } else { Ok(()) }
}
