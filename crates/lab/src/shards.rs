//! Stand-in shard servers: frames in, answers out, in the manner that holds for the moment, as fast as a modelled
//! machine can.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{BufMut as _, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

use crate::faults::{Behaviour, FaultSchedule};
use crate::history::{EventKind, Recorder};
use crate::links::ConnectionSender;
use crate::node::Node;
use crate::value_of;

/// How long a well server without a model takes: up to this.
const WELL_MOST: Duration = Duration::from_millis(6);
/// The longest frame that is read.
const FRAME_MOST: usize = 4 << 20;
/// Time over which a server counts what it is asked for.
const SPAN: Duration = Duration::from_millis(500);

/// What a server can do.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Model {
    /// Parts that it runs at once, and that may wait beside them.
    pub slots: usize,
    pub queue: usize,
    /// Work of a part, of a call beside its parts, and of a new connection, in milliseconds.
    pub part_ms: f64,
    pub call_ms: f64,
    pub handshake_ms: f64,
    /// Connections that it holds; further ones are closed at once.
    pub connections: usize,
    /// Started anew it is this much as fast at first, and warm after so long.
    pub cold_from: f64,
    pub cold_ms: u64,
    /// It falls over when it gets this many times what it can do, for so long.
    pub overload_factor: f64,
    pub fall_ms: u64,
}

impl Default for Model {
    fn default() -> Model {
        Model {
            slots: 4,
            queue: 40,
            part_ms: 40.0,
            call_ms: 20.0,
            handshake_ms: 5.0,
            connections: 400,
            cold_from: 0.3,
            cold_ms: 4000,
            overload_factor: 2.0,
            fall_ms: 1000,
        }
    }
}

impl Model {
    /// Its speed so long after its start: 1 once it is warm.
    fn speed(&self, up: Duration) -> f64 {
        let warm = up.as_secs_f64() * 1e3 / (self.cold_ms.max(1)) as f64;
        (self.cold_from + (1.0 - self.cold_from) * warm).min(1.0)
    }
}

/// What the machine of a modelled server is busy with. Takes the time in, keeps none.
struct Machine {
    model: Model,
    /// When it started, unless it was warm from the first.
    cold_since: Option<Instant>,
    /// When each slot is free again.
    slots: BinaryHeap<Reverse<Instant>>,
    /// Starts of what waits.
    waiting: BinaryHeap<Reverse<Instant>>,
    /// Work asked for in this span, and when it began.
    span: (Instant, Duration),
    fallen_until: Option<Instant>,
}

#[derive(Debug, PartialEq)]
enum Admission {
    /// Done then.
    Until(Instant),
    Full,
    /// It has just fallen over, or is still down.
    Down {
        now: bool,
    },
}

impl Machine {
    fn new(model: Model, now: Instant, cold: bool) -> Machine {
        let slots = (0..model.slots.max(1)).map(|_| Reverse(now)).collect();
        let cold_since = cold.then_some(now);
        Machine {
            model,
            cold_since,
            slots,
            waiting: BinaryHeap::new(),
            span: (now, Duration::ZERO),
            fallen_until: None,
        }
    }

    fn speed(&self, now: Instant) -> f64 {
        self.cold_since.map_or(1.0, |since| self.model.speed(now - since))
    }

    fn cold(&self, now: Instant) -> bool {
        self.speed(now) < 1.0
    }

    fn down(&self, now: Instant) -> bool {
        self.fallen_until.is_some_and(|until| now < until)
    }

    /// Work of so many milliseconds, at this server's speed when warm.
    fn take(&mut self, now: Instant, work_ms: f64) -> Admission {
        if self.down(now) {
            return Admission::Down { now: false };
        }
        let (speed, work) = (self.speed(now), Duration::from_secs_f64(work_ms / 1e3));
        if now >= self.span.0 + SPAN {
            self.span = (now, Duration::ZERO);
        }
        self.span.1 += work;
        let can = SPAN.mul_f64(self.model.slots as f64 * speed);
        if self.span.1 > can.mul_f64(self.model.overload_factor) {
            self.fallen_until = Some(now + Duration::from_millis(self.model.fall_ms));
            return Admission::Down { now: true };
        }
        while self.waiting.peek().is_some_and(|Reverse(start)| *start <= now) {
            self.waiting.pop();
        }
        if self.waiting.len() >= (self.model.queue as f64 * speed).ceil() as usize {
            return Admission::Full;
        }
        let free = self.slots.pop().map_or(now, |Reverse(free)| free).max(now);
        let done = free + work.div_f64(speed);
        self.slots.push(Reverse(done));
        if free > now {
            self.waiting.push(Reverse(free));
        }
        Admission::Until(done)
    }
}

/// A manner that a rehearsal has told, for all verticals or for one.
#[derive(Clone, Debug)]
struct Told {
    number: usize,
    vertical: Option<String>,
    manner: Behaviour,
}

/// What a server goes by.
enum Ways {
    FaultSchedule { script: Arc<FaultSchedule>, start: Instant },
    Told(Mutex<Vec<Told>>),
}

pub struct Shard {
    pub number: usize,
    pub address: SocketAddr,
}

/// One stand-in server.
pub struct Server {
    number: usize,
    ways: Ways,
    machine: Option<Mutex<Machine>>,
    open: Mutex<usize>,
    /// How often all its connections have been broken.
    breaks: watch::Sender<u64>,
    recorder: Option<Recorder>,
    verticals: Vec<String>,
}

fn frame(rest: &[u8]) -> Bytes {
    let mut bytes = BytesMut::with_capacity(rest.len() + 4);
    bytes.put_u32(rest.len() as u32);
    bytes.put_slice(rest);
    bytes.freeze()
}

/// A part as a frame has it. Its text names the vertical, where it names any, and the length of value.
struct Part {
    id: String,
    vertical: String,
    length: usize,
}

fn parts(rest: &[u8]) -> Option<Vec<Part>> {
    let (mut parts, mut left) = (Vec::new(), std::str::from_utf8(rest).ok()?);
    while !left.is_empty() {
        let (line, more) = left.split_once('\n')?;
        let mut words = line.split(' ');
        let id = words.next()?.to_owned();
        let length: usize = words.nth(2)?.parse().ok()?;
        let text = more.get(..length)?;
        let (vertical, wanted) = text.rsplit_once("length=")?;
        parts.push(Part { id, vertical: vertical.trim_end().to_owned(), length: wanted.parse().ok()? });
        left = &more[length..];
    }
    Some(parts)
}

/// The query and the shard that a part's id names.
fn query_of(id: &str) -> Option<(u64, u16)> {
    let (query, shard) = id.strip_prefix('q')?.split_once('.')?;
    Some((query.parse().ok()?, shard.parse().ok()?))
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Server {
    /// One of a rehearsal, which goes by what it is told.
    pub fn told(
        number: usize, model: Model, cold: bool, recorder: Recorder, verticals: Vec<String>,
    ) -> Server {
        Server {
            number,
            ways: Ways::Told(Mutex::default()),
            machine: Some(Mutex::new(Machine::new(model, Instant::now(), cold))),
            open: Mutex::default(),
            breaks: watch::Sender::new(0),
            recorder: Some(recorder),
            verticals,
        }
    }

    fn node(&self) -> Node {
        Node::Server(self.number as u16)
    }

    fn record(&self, kind: EventKind) {
        self.recorder.iter().for_each(|recorder| recorder.record(kind.clone()));
    }

    /// It behaves so until told that this is over.
    pub fn behave(&self, number: usize, vertical: Option<String>, manner: Behaviour) {
        if let Ways::Told(told) = &self.ways {
            locked(told).push(Told { number, vertical, manner });
            self.record(EventKind::Troubled { node: self.node(), on: true });
        }
    }

    pub fn recover(&self, number: usize) {
        if let Ways::Told(told) = &self.ways {
            locked(told).retain(|t| t.number != number);
            self.record(EventKind::Troubled { node: self.node(), on: false });
        }
    }

    /// Started anew: its connections are broken, and it is cold.
    pub fn restart(&self) {
        if let Some(machine) = &self.machine {
            let mut machine = locked(machine);
            *machine = Machine::new(machine.model, Instant::now(), true);
        }
        self.breaks.send_modify(|breaks| *breaks += 1);
    }

    fn manner(&self, vertical: &str) -> Behaviour {
        match &self.ways {
            Ways::FaultSchedule { script, start } => script.behaviour_at(self.number, start.elapsed()),
            Ways::Told(told) => {
                let hits = |t: &&Told| t.vertical.as_ref().is_none_or(|v| v == vertical);
                locked(told).iter().rev().find(hits).map_or(Behaviour::Well, |t| t.manner)
            }
        }
    }

    /// When work is done, or none where it is turned away; an error where the server is down.
    fn work(&self, work_ms: impl Fn(&Model) -> f64) -> Result<Option<Instant>, std::io::Error> {
        let now = Instant::now();
        let Some(machine) = &self.machine else { return Ok(Some(now + WELL_MOST.mul_f64(fastrand::f64()))) };
        let (taken, cold) = {
            let mut machine = locked(machine);
            let work = work_ms(&machine.model);
            (machine.take(now, work), machine.cold(now))
        };
        match taken {
            Admission::Until(done) => Ok(Some(done)),
            Admission::Full => Ok(None),
            Admission::Down { now } => {
                if now {
                    self.record(EventKind::Fell { server: self.node(), cold });
                    self.breaks.send_modify(|breaks| *breaks += 1);
                }
                Err(std::io::ErrorKind::ConnectionReset.into())
            }
        }
    }

    /// Serves one connection until it ends.
    pub async fn serve(&self, stream: impl AsyncRead + AsyncWrite + Send + 'static, from: Node) {
        let room = self.machine.as_ref().is_none_or(|m| *locked(&self.open) < locked(m).model.connections);
        if !room {
            return;
        }
        *locked(&self.open) += 1;
        let mut breaks = self.breaks.subscribe();
        breaks.mark_unchanged();
        tokio::select! {
            _ = self.converse(stream, from) => {}
            _ = breaks.changed() => {}
        }
        *locked(&self.open) -= 1;
    }

    async fn converse(
        &self, stream: impl AsyncRead + AsyncWrite + Send + 'static, from: Node,
    ) -> std::io::Result<()> {
        let (mut read, mut write) = tokio::io::split(stream);
        if self.machine.is_some() {
            // One that has no room even for this closes the connection.
            let up = self.work(|model| model.handshake_ms)?;
            sleep_until(up.ok_or(std::io::ErrorKind::ConnectionReset)?).await;
        }
        let (answers, mut queue) = mpsc::unbounded_channel::<Bytes>();
        let writing = async move {
            while let Some(bytes) = queue.recv().await {
                write.write_all(&bytes).await?;
            }
            Ok::<_, std::io::Error>(())
        };
        let reading = async {
            loop {
                let length = read.read_u32().await? as usize;
                if length == 0 || length > FRAME_MOST {
                    return Err(std::io::ErrorKind::InvalidData.into());
                }
                let mut bytes = vec![0; length];
                read.read_exact(&mut bytes).await?;
                if bytes[0] == b'S' {
                    let parts = parts(&bytes[1..]).ok_or(std::io::ErrorKind::InvalidData)?;
                    self.call(parts, from, &answers)?;
                }
            }
        };
        // The one that ends takes the other along.
        tokio::select! { ended = reading => ended, ended = writing => ended }
    }

    fn ran(&self, part: &Part, from: Node) {
        let Some(recorder) = &self.recorder else { return };
        let vertical = self.verticals.iter().position(|v| *v == part.vertical).unwrap_or(0) as u8;
        if let Some((query, shard)) = query_of(&part.id) {
            recorder.record(EventKind::Ran { server: self.node(), from, query, shard, vertical });
        }
    }

    /// One call: its parts are answered each in its own time.
    fn call(
        &self, parts: Vec<Part>, from: Node, answers: &mpsc::UnboundedSender<Bytes>,
    ) -> std::io::Result<()> {
        let count = parts.len();
        for (at, part) in parts.into_iter().enumerate() {
            let manner = self.manner(&part.vertical);
            if manner == Behaviour::Cut {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            let work = |model: &Model| model.part_ms + if at == 0 { model.call_ms } else { 0.0 };
            let done = if manner == Behaviour::Full { None } else { self.work(work)? };
            let Some(done) = done else {
                self.record(EventKind::Full { server: self.node(), from });
                let _ = answers.send(frame(format!("R{} full 1 -\n", part.id).as_bytes()));
                continue;
            };
            self.ran(&part, from);
            if manner == Behaviour::Twice {
                self.ran(&part, from);
            }
            let value =
                || frame(format!("R{} done 1 -\n{}", part.id, value_of(&part.id, part.length)).as_bytes());
            let (done, bytes) = match manner {
                Behaviour::Slow(more) => (done + more, value()),
                Behaviour::Failing => (done, frame(format!("R{} failed 1 -\n", part.id).as_bytes())),
                Behaviour::Half => {
                    let whole = value();
                    (done, whole.slice(..whole.len() / 2))
                }
                Behaviour::Spoilt => (done, frame(format!("R{} done 1 -\nspoilt", part.id).as_bytes())),
                Behaviour::Silent => continue,
                Behaviour::HoldsLast if at + 1 == count => continue,
                _ => (done, value()),
            };
            let answers = answers.clone();
            tokio::spawn(async move {
                sleep_until(done).await;
                let _ = answers.send(bytes);
            });
            if manner == Behaviour::Half {
                break;
            }
        }
        Ok(())
    }

    /// Serves whoever is brought by relays of this process.
    pub async fn run(self: Arc<Self>, mut dialled: mpsc::UnboundedReceiver<(Node, tokio::io::DuplexStream)>) {
        while let Some((from, stream)) = dialled.recv().await {
            let server = self.clone();
            tokio::spawn(async move { server.serve(stream, from).await });
        }
    }
}

/// A server and the way for relays to it.
pub fn start(server: Server) -> (Arc<Server>, ConnectionSender) {
    let (dials, dialled) = mpsc::unbounded_channel();
    let server = Arc::new(server);
    tokio::spawn(server.clone().run(dialled));
    (server, dials)
}

impl Shard {
    /// Starts a shard server that goes by the script from `start` on.
    pub async fn start(number: usize, script: Arc<FaultSchedule>, start: Instant) -> std::io::Result<Shard> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let ways = Ways::FaultSchedule { script, start };
        let server = Server {
            number,
            ways,
            machine: None,
            open: Mutex::default(),
            breaks: watch::Sender::new(0),
            recorder: None,
            verticals: Vec::new(),
        };
        let server = Arc::new(server);
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(WELL_MOST).await;
                    continue;
                };
                let _ = stream.set_nodelay(true);
                let server = server.clone();
                tokio::spawn(async move { server.serve(stream, Node::Gatherer(0)).await });
            }
        });
        Ok(Shard { number, address })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn a_machine_queues_turns_away_is_slow_when_cold_and_falls_over() {
        let ms = Duration::from_millis;
        let now = Instant::now();
        let model = Model { slots: 1, queue: 2, part_ms: 10.0, overload_factor: 100.0, ..Model::default() };
        let mut warm = Machine::new(model, now, false);
        let taken: Vec<Admission> = (0..4).map(|_| warm.take(now, 10.0)).collect();
        let until = |at| Admission::Until(now + ms(at));
        assert_eq!(taken, [until(10), until(20), until(30), Admission::Full]);
        assert_eq!(warm.take(now + ms(15), 10.0), until(40), "room again");
        let mut cold = Machine::new(Model { cold_from: 0.25, ..model }, now, true);
        assert_eq!(cold.take(now, 10.0), until(40));
        assert!(cold.cold(now) && !cold.cold(now + ms(model.cold_ms)));
        let mut small = Machine::new(Model { overload_factor: 2.0, queue: 1000, ..model }, now, false);
        let fell = (0..).find(|_| small.take(now, 10.0) == Admission::Down { now: true });
        assert_eq!(fell, Some(100), "a second of work in half a second's span");
        assert_eq!(small.take(now + ms(999), 1.0), Admission::Down { now: false });
        assert!(matches!(small.take(now + ms(1001), 1.0), Admission::Until(_)));
    }

    #[tokio::test]
    async fn it_closes_connections_beyond_its_limit_and_fails_for_one_vertical_only() {
        let recorder = Recorder::new(Instant::now());
        let model = Model { connections: 1, ..Model::default() };
        let server = Server::told(0, model, false, recorder, vec!["near".into(), "book".into()]);
        let (server, dials) = start(server);
        server.behave(1, Some("book".into()), Behaviour::Failing);
        let (mut ours, theirs) = tokio::io::duplex(4096);
        dials.send((Node::Gatherer(1), theirs)).expect("taken");
        let mut ask = async |id: &str, text: &str| {
            let rest = format!("S{id} 3 d=500 {}\n{text}", text.len());
            ours.write_all(&frame(rest.as_bytes())).await.expect("sent");
            let mut answer = vec![0; ours.read_u32().await.expect("an answer") as usize];
            ours.read_exact(&mut answer).await.expect("whole");
            String::from_utf8(answer).expect("text")
        };
        assert!(ask("q1.3", "near length=4").await.starts_with("Rq1.3 done"));
        assert!(ask("q2.3", "book length=4").await.starts_with("Rq2.3 failed"));
        server.recover(1);
        assert!(ask("q3.3", "book length=4").await.starts_with("Rq3.3 done"));
        let (mut second, theirs) = tokio::io::duplex(4096);
        dials.send((Node::Gatherer(2), theirs)).expect("taken");
        assert_eq!(second.read(&mut [0; 8]).await.expect("an end"), 0, "closed at once");
    }
}
