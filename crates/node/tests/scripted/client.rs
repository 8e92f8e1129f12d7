//! Clients that check what they get: whose answer it is, whether it is whole and the server's own, whether a promise holds.

use std::rc::Rc;
use std::time::Duration;

use ashvane_node::front;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use super::wire::{Fault, Message, Wire, wires};
use super::{Ledger, RecordedRequest, TOP_K, World, ms};

/// Time beyond its deadline after which a client has been kept waiting.
const SLACK: Duration = ms(25);
/// Time before the deadline from which on an answer may be given up.
const BEFORE_DEADLINE: Duration = ms(15);
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// A request that is about to be sent.
struct Draft {
    attempt: String,
    bytes: Vec<u8>,
    gathered: bool,
    deadline: Duration,
}

fn draft(world: &World, rng: &mut fastrand::Rng, attempt: String) -> Draft {
    let route = *rng.choice(&["one", "one", "once", "once", "lone", "all"]).expect("some");
    let once = matches!(route, "once" | "lone");
    let method = if once { "POST" } else { "GET" };
    let target = format!("/{route}/{}?of={attempt}", rng.u32(..50));
    let chunked = once && rng.bool();
    let length = if once { rng.usize(usize::from(chunked)..3000) } else { 0 };
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
    let asked = RecordedRequest {
        method,
        target,
        body,
        once,
        whole: false,
        runs: 0,
        at_work: 0,
        deeds: Vec::new(),
        promised: false,
    };
    world.ledger.borrow_mut().asked.insert(attempt.clone(), asked);
    Draft { attempt, bytes, gathered: route == "all", deadline }
}

fn connect(world: &World) -> Wire {
    let (near, far) = wires();
    spawn_local(front::serve_connection(
        far,
        world.agent.clone(),
        world.data_plane.clone(),
        world.clients.clone(),
    ));
    near
}

/// Asks one thing after another, on one connection or on several.
pub(crate) async fn run_client(world: Rc<World>, number: usize, seed: u64, exchanges: usize) {
    let mut rng = fastrand::Rng::with_seed(seed << 8 | number as u64);
    let mut kept: Option<Wire> = None;
    for n in 0..exchanges {
        let mut wire = match kept.take().filter(|_| rng.u32(..5) > 0) {
            Some(wire) => wire,
            None => connect(&world),
        };
        let draft = draft(&world, &mut rng, format!("{number}-{n}"));
        match rng.u32(..30) {
            0 => half(&world, &mut rng, wire, &draft).await,
            1 => leave(&world, &mut rng, wire, &draft).await,
            _ => {
                let goes_on = exchange(&world, &mut wire, &draft).await;
                kept = rest(&world, &mut rng, wire).await.filter(|_| goes_on);
            }
        }
    }
}

/// Sends a part of a request and leaves.
async fn half(world: &World, rng: &mut fastrand::Rng, mut wire: Wire, draft: &Draft) {
    world.ledger.borrow_mut().count("client: half");
    let part = rng.usize(..draft.bytes.len());
    if wire.write_all(&draft.bytes[..part]).await.is_ok() {
        sleep(ms(rng.u64(..20))).await;
    }
    if rng.bool() {
        wire.reset();
    }
}

/// Sends a request and leaves before the answer.
async fn leave(world: &World, rng: &mut fastrand::Rng, mut wire: Wire, draft: &Draft) {
    world.ledger.borrow_mut().count("client: left");
    say_whole(world, draft);
    if wire.write_all(&draft.bytes).await.is_ok() {
        sleep(ms(rng.u64(..10))).await;
    }
    if rng.bool() {
        wire.reset();
    }
}

fn say_whole(world: &World, draft: &Draft) {
    world.ledger.borrow_mut().asked.get_mut(&draft.attempt).expect("it is asked").whole = true;
}

/// Stays for a while where no answer is due.
async fn rest(world: &World, rng: &mut fastrand::Rng, mut wire: Wire) -> Option<Wire> {
    let time = match rng.u32(..3) {
        0 => ms(rng.u64(..400)),
        1 => ms(0),
        // Whatever stands there is read as the next answer, and an end is not seen before the next request.
        _ => {
            sleep(ms(rng.u64(..200))).await;
            return Some(wire);
        }
    };
    let mut bytes = [0; 64];
    match timeout(time, wire.read(&mut bytes)).await {
        Err(_) => Some(wire),
        Ok(Ok(0) | Err(_)) => None,
        Ok(Ok(n)) => {
            let bytes = String::from_utf8_lossy(&bytes[..n]).into_owned();
            world.ledger.borrow_mut().wrong(format!("MIXED: nobody asked for {bytes:?}"));
            None
        }
    }
}

/// One request and its answer; says whether the connection goes on.
async fn exchange(world: &World, wire: &mut Wire, draft: &Draft) -> bool {
    say_whole(world, draft);
    let began = Instant::now();
    let leaving = world.agent.is_shutting_down();
    // One that leaves may close a connection that rests: what has not been read goes nowhere.
    let written = wire.write_all(&draft.bytes).await;
    let answer = timeout(draft.deadline + SLACK, wire.message()).await;
    let mut ledger = world.ledger.borrow_mut();
    ledger.count("client: requests");
    if (written.is_err() || matches!(answer, Ok(Err(Fault::Ended)))) && world.agent.is_shutting_down() {
        ledger.count("client: closed by one that leaves");
        let asked = ledger.asked.get_mut(&draft.attempt).expect("it is asked");
        // It may be sent again elsewhere, as after a promise.
        asked.promised = true;
        if !asked.deeds.is_empty() {
            ledger.wrong(format!("LOST: {} was handed on and has no answer", draft.attempt));
        }
        return false;
    }
    match answer {
        Err(_) => ledger.wrong(format!("LATE: {} has no answer in its time", draft.attempt)),
        Ok(Err(Fault::Nonsense(what))) => ledger.wrong(format!("MIXED: {} got {what}", draft.attempt)),
        Ok(Err(fault)) => ledger.wrong(format!("LOST: {} has no whole answer: {fault:?}", draft.attempt)),
        Ok(Ok(answer)) => {
            let early = began.elapsed() + BEFORE_DEADLINE < draft.deadline;
            if let Err(why) = check(&mut ledger, draft, &answer, early) {
                let RecordedRequest { target, deeds, .. } = &ledger.asked[&draft.attempt];
                let what = format!("{why}: {target} got {:?} after {deeds:?}", answer.start_line);
                ledger.wrong(what);
            }
            let goes_on = answer.header("connection") != Some("close");
            if leaving && goes_on {
                ledger.wrong(format!("LEAVES: {} is not told to come no more", draft.attempt));
            }
            return goes_on;
        }
    }
    false
}

fn check(ledger: &mut Ledger, draft: &Draft, answer: &Message, early: bool) -> Result<(), &'static str> {
    let status = answer.status();
    if !answer.start_line.starts_with("HTTP/1.1 ") || status < 200 {
        return Err("MIXED, no answer in the protocol");
    }
    if answer.headers.get("attempt-id").into_iter().flatten().any(|id| *id != draft.attempt) {
        return Err("MIXED, another's answer");
    }
    if status < 300 {
        ledger.count("client: successes");
        return if draft.gathered { gathered(ledger, draft, answer) } else { relayed(ledger, draft, answer) };
    }
    let asked = ledger.asked.get_mut(&draft.attempt).expect("it is asked");
    if PROMISES.contains(&status) {
        asked.promised = true;
        if asked.runs > 0 {
            return Err("REFUSED, it has run");
        }
    }
    if early && !draft.gathered && asked.at_work > 0 {
        return Err("ended early, though a server is at work on it");
    }
    ledger.count("client: refused or failed");
    Ok(())
}

/// A success of one server: its own, whole.
fn relayed(ledger: &Ledger, draft: &Draft, answer: &Message) -> Result<(), &'static str> {
    let seals = answer.headers.get("server-seal").map(Vec::as_slice).unwrap_or_default();
    let [seal] = seals else { return Err("MIXED, not one seal") };
    let sealed = ledger.sealed.get(seal).ok_or("MIXED, nobody's seal")?;
    if sealed.attempt != draft.attempt {
        return Err("MIXED, the answer to another request");
    }
    if !sealed.success || answer.header("content-encoding").is_some() {
        return Err("MIXED, no success of the server");
    }
    if sealed.body != answer.body {
        return Err("MIXED, not the server's whole body");
    }
    Ok(())
}

/// A success of several: each part one service's own, the body the greatest of all of their records.
fn gathered(ledger: &Ledger, draft: &Draft, answer: &Message) -> Result<(), &'static str> {
    let mut services = Vec::new();
    let mut records: Vec<&[u8]> = Vec::new();
    for seal in answer.headers.get("part-seals").into_iter().flatten().flat_map(|seals| seals.split(',')) {
        let sealed = ledger.sealed.get(seal.trim()).ok_or("MIXED, nobody's part")?;
        if sealed.attempt != draft.attempt || !sealed.success {
            return Err("MIXED, a part of another request, or a failure");
        }
        services.push(sealed.service);
        records.extend(sealed.body.chunks_exact(16));
    }
    let missing: usize = answer.header("missing-parts").and_then(|n| n.parse().ok()).unwrap_or(0);
    let named = services.len();
    services.sort_unstable();
    services.dedup();
    if services.len() != named || named == 0 || named + missing != 3 {
        return Err("MIXED, the parts are not the set");
    }
    records.sort_unstable();
    let greatest: Vec<u8> = records.into_iter().rev().take(TOP_K).flatten().copied().collect();
    if greatest != answer.body { Err("MIXED, not the greatest records") } else { Ok(()) }
}
