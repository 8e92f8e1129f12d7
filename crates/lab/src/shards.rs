//! Stand-in shard servers. They answer frames with the behaviour that is currently set, and model the
//! capacity of a real machine.

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

/// Maximum response time of a healthy server without a capacity model.
const MAX_HEALTHY_RESPONSE_TIME: Duration = Duration::from_millis(6);
/// Maximum length of a frame that is read.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// Window over which a server sums the requested work to detect overload.
const OVERLOAD_WINDOW: Duration = Duration::from_millis(500);

/// Capacity model of a server.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Model {
    /// Parts that run at the same time.
    pub slots: usize,
    /// Parts that may wait in addition to the running ones.
    pub queue: usize,
    /// Work of a part, in milliseconds.
    pub part_ms: f64,
    /// Work of a call in addition to its parts, in milliseconds.
    pub call_ms: f64,
    /// Work of a new connection, in milliseconds.
    pub handshake_ms: f64,
    /// Maximum open connections; further ones are closed at once.
    pub connections: usize,
    /// Relative speed just after a restart.
    pub cold_from: f64,
    /// Warm-up time after a restart, in milliseconds.
    pub cold_ms: u64,
    /// The server goes down when the requested work exceeds its capacity by this factor.
    pub overload_factor: f64,
    /// Time that the server stays down after an overload, in milliseconds.
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
    /// Returns the relative speed at a time since the start: 1 once the server is warm.
    fn speed(&self, uptime: Duration) -> f64 {
        let warm = uptime.as_secs_f64() * 1e3 / (self.cold_ms.max(1)) as f64;
        (self.cold_from + (1.0 - self.cold_from) * warm).min(1.0)
    }
}

/// Load of a modelled server. The current time is passed in; this type reads no clock.
struct Machine {
    model: Model,
    /// Start time, unless the server was warm from the start.
    cold_since: Option<Instant>,
    /// Time at which each slot becomes free.
    slots: BinaryHeap<Reverse<Instant>>,
    /// Start times of the waiting work.
    waiting: BinaryHeap<Reverse<Instant>>,
    /// Start of the current overload window, and the work requested in it.
    window: (Instant, Duration),
    down_until: Option<Instant>,
}

/// Result of offering work to a [`Machine`].
#[derive(Debug, PartialEq)]
enum Admission {
    /// Accepted; done at this time.
    Until(Instant),
    /// Rejected because the queue is full.
    Full,
    /// The server is down; `now` if this work overloaded it.
    Down { now: bool },
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
            window: (now, Duration::ZERO),
            down_until: None,
        }
    }

    fn speed(&self, now: Instant) -> f64 {
        self.cold_since.map_or(1.0, |since| self.model.speed(now - since))
    }

    fn is_cold(&self, now: Instant) -> bool {
        self.speed(now) < 1.0
    }

    fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    /// Offers work that takes `work_ms` on a warm server.
    fn offer(&mut self, now: Instant, work_ms: f64) -> Admission {
        if self.is_down(now) {
            return Admission::Down { now: false };
        }
        let (speed, work) = (self.speed(now), Duration::from_secs_f64(work_ms / 1e3));
        if now >= self.window.0 + OVERLOAD_WINDOW {
            self.window = (now, Duration::ZERO);
        }
        self.window.1 += work;
        let capacity = OVERLOAD_WINDOW.mul_f64(self.model.slots as f64 * speed);
        if self.window.1 > capacity.mul_f64(self.model.overload_factor) {
            self.down_until = Some(now + Duration::from_millis(self.model.fall_ms));
            return Admission::Down { now: true };
        }
        while self.waiting.peek().is_some_and(|Reverse(start)| *start <= now) {
            self.waiting.pop();
        }
        if self.waiting.len() >= (self.model.queue as f64 * speed).ceil() as usize {
            return Admission::Full;
        }
        let free_at = self.slots.pop().map_or(now, |Reverse(free_at)| free_at).max(now);
        let done_at = free_at + work.div_f64(speed);
        self.slots.push(Reverse(done_at));
        if free_at > now {
            self.waiting.push(Reverse(free_at));
        }
        Admission::Until(done_at)
    }
}

/// A behaviour set by a rehearsal, for one vertical or for all.
#[derive(Clone, Debug)]
struct ActiveBehaviour {
    number: usize,
    vertical: Option<String>,
    behaviour: Behaviour,
}

/// Where the behaviour of a server comes from.
enum BehaviourSource {
    FaultSchedule { schedule: Arc<FaultSchedule>, start: Instant },
    Rehearsal(Mutex<Vec<ActiveBehaviour>>),
}

/// A stand-in server on its own socket.
pub struct Shard {
    pub number: usize,
    pub address: SocketAddr,
}

/// A stand-in server.
pub struct Server {
    number: usize,
    behaviour_source: BehaviourSource,
    machine: Option<Mutex<Machine>>,
    open_connections: Mutex<usize>,
    /// Number of times that all connections have been closed.
    disconnects: watch::Sender<u64>,
    recorder: Option<Recorder>,
    verticals: Vec<String>,
}

fn encode_frame(payload: &[u8]) -> Bytes {
    let mut bytes = BytesMut::with_capacity(payload.len() + 4);
    bytes.put_u32(payload.len() as u32);
    bytes.put_slice(payload);
    bytes.freeze()
}

/// A part of a call frame. Its text contains the requested value length, and may name the vertical.
struct Part {
    id: String,
    vertical: String,
    length: usize,
}

fn parse_parts(payload: &[u8]) -> Option<Vec<Part>> {
    let (mut parts, mut remaining) = (Vec::new(), std::str::from_utf8(payload).ok()?);
    while !remaining.is_empty() {
        let (line, after_line) = remaining.split_once('\n')?;
        let mut words = line.split(' ');
        let id = words.next()?.to_owned();
        let length: usize = words.nth(2)?.parse().ok()?;
        let text = after_line.get(..length)?;
        let (vertical, value_length) = text.rsplit_once("length=")?;
        parts.push(Part { id, vertical: vertical.trim_end().to_owned(), length: value_length.parse().ok()? });
        remaining = &after_line[length..];
    }
    Some(parts)
}

/// Parses a part id into query number and shard.
fn parse_part_id(id: &str) -> Option<(u64, u16)> {
    let (query, shard) = id.strip_prefix('q')?.split_once('.')?;
    Some((query.parse().ok()?, shard.parse().ok()?))
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Server {
    /// Creates a server for a rehearsal, whose behaviour is set by [`Server::set_behaviour`].
    pub fn for_rehearsal(
        number: usize, model: Model, cold: bool, recorder: Recorder, verticals: Vec<String>,
    ) -> Server {
        Server {
            number,
            behaviour_source: BehaviourSource::Rehearsal(Mutex::default()),
            machine: Some(Mutex::new(Machine::new(model, Instant::now(), cold))),
            open_connections: Mutex::default(),
            disconnects: watch::Sender::new(0),
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

    /// Sets a behaviour until [`Server::clear_behaviour`] is called with the same number.
    pub fn set_behaviour(&self, number: usize, vertical: Option<String>, behaviour: Behaviour) {
        if let BehaviourSource::Rehearsal(behaviours) = &self.behaviour_source {
            locked(behaviours).push(ActiveBehaviour { number, vertical, behaviour });
            self.record(EventKind::Troubled { node: self.node(), on: true });
        }
    }

    /// Ends the behaviour with this number.
    pub fn clear_behaviour(&self, number: usize) {
        if let BehaviourSource::Rehearsal(behaviours) = &self.behaviour_source {
            locked(behaviours).retain(|t| t.number != number);
            self.record(EventKind::Troubled { node: self.node(), on: false });
        }
    }

    /// Restarts the server: its connections are closed, and it is cold.
    pub fn restart(&self) {
        if let Some(machine) = &self.machine {
            let mut machine = locked(machine);
            *machine = Machine::new(machine.model, Instant::now(), true);
        }
        self.disconnects.send_modify(|disconnects| *disconnects += 1);
    }

    fn behaviour(&self, vertical: &str) -> Behaviour {
        match &self.behaviour_source {
            BehaviourSource::FaultSchedule { schedule, start } => {
                schedule.behaviour_at(self.number, start.elapsed())
            }
            BehaviourSource::Rehearsal(behaviours) => {
                let applies = |t: &&ActiveBehaviour| t.vertical.as_ref().is_none_or(|v| v == vertical);
                locked(behaviours).iter().rev().find(applies).map_or(Behaviour::Well, |t| t.behaviour)
            }
        }
    }

    /// Returns when the work is done, `None` if it is rejected, or an error if the server is down.
    fn offer_work(&self, work_ms: impl Fn(&Model) -> f64) -> Result<Option<Instant>, std::io::Error> {
        let now = Instant::now();
        let Some(machine) = &self.machine else {
            return Ok(Some(now + MAX_HEALTHY_RESPONSE_TIME.mul_f64(fastrand::f64())));
        };
        let (admission, cold) = {
            let mut machine = locked(machine);
            let work = work_ms(&machine.model);
            (machine.offer(now, work), machine.is_cold(now))
        };
        match admission {
            Admission::Until(done_at) => Ok(Some(done_at)),
            Admission::Full => Ok(None),
            Admission::Down { now } => {
                if now {
                    self.record(EventKind::Fell { server: self.node(), cold });
                    self.disconnects.send_modify(|disconnects| *disconnects += 1);
                }
                Err(std::io::ErrorKind::ConnectionReset.into())
            }
        }
    }

    /// Serves a connection until it ends.
    pub async fn serve(&self, stream: impl AsyncRead + AsyncWrite + Send + 'static, from: Node) {
        let has_room = self
            .machine
            .as_ref()
            .is_none_or(|m| *locked(&self.open_connections) < locked(m).model.connections);
        if !has_room {
            return;
        }
        *locked(&self.open_connections) += 1;
        let mut disconnects = self.disconnects.subscribe();
        disconnects.mark_unchanged();
        tokio::select! {
            _ = self.handle_connection(stream, from) => {}
            _ = disconnects.changed() => {}
        }
        *locked(&self.open_connections) -= 1;
    }

    async fn handle_connection(
        &self, stream: impl AsyncRead + AsyncWrite + Send + 'static, from: Node,
    ) -> std::io::Result<()> {
        let (mut read, mut write) = tokio::io::split(stream);
        if self.machine.is_some() {
            // A server that is too busy for the handshake closes the connection.
            let handshake_done = self.offer_work(|model| model.handshake_ms)?;
            sleep_until(handshake_done.ok_or(std::io::ErrorKind::ConnectionReset)?).await;
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
                if length == 0 || length > MAX_FRAME_BYTES {
                    return Err(std::io::ErrorKind::InvalidData.into());
                }
                let mut bytes = vec![0; length];
                read.read_exact(&mut bytes).await?;
                if bytes[0] == b'S' {
                    let parts = parse_parts(&bytes[1..]).ok_or(std::io::ErrorKind::InvalidData)?;
                    self.handle_call(parts, from, &answers)?;
                }
            }
        };
        // When reading or writing ends, the other is cancelled.
        tokio::select! { ended = reading => ended, ended = writing => ended }
    }

    fn record_run(&self, part: &Part, from: Node) {
        let Some(recorder) = &self.recorder else { return };
        let vertical = self.verticals.iter().position(|v| *v == part.vertical).unwrap_or(0) as u8;
        if let Some((query, shard)) = parse_part_id(&part.id) {
            recorder.record(EventKind::Ran { server: self.node(), from, query, shard, vertical });
        }
    }

    /// Handles a call. Each part is answered as soon as it is done.
    fn handle_call(
        &self, parts: Vec<Part>, from: Node, answers: &mpsc::UnboundedSender<Bytes>,
    ) -> std::io::Result<()> {
        let part_count = parts.len();
        for (at, part) in parts.into_iter().enumerate() {
            let behaviour = self.behaviour(&part.vertical);
            if behaviour == Behaviour::Cut {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            let work = |model: &Model| model.part_ms + if at == 0 { model.call_ms } else { 0.0 };
            let done_at = if behaviour == Behaviour::Full { None } else { self.offer_work(work)? };
            let Some(done_at) = done_at else {
                self.record(EventKind::Full { server: self.node(), from });
                let _ = answers.send(encode_frame(format!("R{} full 1 -\n", part.id).as_bytes()));
                continue;
            };
            self.record_run(&part, from);
            if behaviour == Behaviour::Twice {
                self.record_run(&part, from);
            }
            let value = || {
                encode_frame(format!("R{} done 1 -\n{}", part.id, value_of(&part.id, part.length)).as_bytes())
            };
            let (done_at, bytes) = match behaviour {
                Behaviour::Slow(extra_delay) => (done_at + extra_delay, value()),
                Behaviour::Failing => {
                    (done_at, encode_frame(format!("R{} failed 1 -\n", part.id).as_bytes()))
                }
                Behaviour::Half => {
                    let whole = value();
                    (done_at, whole.slice(..whole.len() / 2))
                }
                Behaviour::Spoilt => {
                    (done_at, encode_frame(format!("R{} done 1 -\nspoilt", part.id).as_bytes()))
                }
                Behaviour::Silent => continue,
                Behaviour::HoldsLast if at + 1 == part_count => continue,
                _ => (done_at, value()),
            };
            let answers = answers.clone();
            tokio::spawn(async move {
                sleep_until(done_at).await;
                let _ = answers.send(bytes);
            });
            if behaviour == Behaviour::Half {
                break;
            }
        }
        Ok(())
    }

    /// Serves the connections that relays of this process open.
    pub async fn run(
        self: Arc<Self>, mut accepted: mpsc::UnboundedReceiver<(Node, tokio::io::DuplexStream)>,
    ) {
        while let Some((from, stream)) = accepted.recv().await {
            let server = self.clone();
            tokio::spawn(async move { server.serve(stream, from).await });
        }
    }
}

/// Starts a server; returns it with the sender by which relays connect to it.
pub fn start(server: Server) -> (Arc<Server>, ConnectionSender) {
    let (connections, accepted) = mpsc::unbounded_channel();
    let server = Arc::new(server);
    tokio::spawn(server.clone().run(accepted));
    (server, connections)
}

impl Shard {
    /// Starts a shard server that follows a fault schedule from `start` on.
    pub async fn start(
        number: usize, schedule: Arc<FaultSchedule>, start: Instant,
    ) -> std::io::Result<Shard> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let behaviour_source = BehaviourSource::FaultSchedule { schedule, start };
        let server = Server {
            number,
            behaviour_source,
            machine: None,
            open_connections: Mutex::default(),
            disconnects: watch::Sender::new(0),
            recorder: None,
            verticals: Vec::new(),
        };
        let server = Arc::new(server);
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(MAX_HEALTHY_RESPONSE_TIME).await;
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
    async fn a_machine_queues_rejects_is_slow_when_cold_and_goes_down_when_overloaded() {
        let ms = Duration::from_millis;
        let now = Instant::now();
        let model = Model { slots: 1, queue: 2, part_ms: 10.0, overload_factor: 100.0, ..Model::default() };
        let mut warm = Machine::new(model, now, false);
        let admission: Vec<Admission> = (0..4).map(|_| warm.offer(now, 10.0)).collect();
        let until = |at| Admission::Until(now + ms(at));
        assert_eq!(admission, [until(10), until(20), until(30), Admission::Full]);
        assert_eq!(warm.offer(now + ms(15), 10.0), until(40), "the queue has room again");
        let mut cold = Machine::new(Model { cold_from: 0.25, ..model }, now, true);
        assert_eq!(cold.offer(now, 10.0), until(40));
        assert!(cold.is_cold(now) && !cold.is_cold(now + ms(model.cold_ms)));
        let mut overloaded = Machine::new(Model { overload_factor: 2.0, queue: 1000, ..model }, now, false);
        let first_overload = (0..).find(|_| overloaded.offer(now, 10.0) == Admission::Down { now: true });
        assert_eq!(
            first_overload,
            Some(100),
            "one second of work within the window of half a second overloads the server"
        );
        assert_eq!(overloaded.offer(now + ms(999), 1.0), Admission::Down { now: false });
        assert!(matches!(overloaded.offer(now + ms(1001), 1.0), Admission::Until(_)));
    }

    #[tokio::test]
    async fn a_server_closes_connections_beyond_its_limit_and_fails_for_one_vertical_only() {
        let recorder = Recorder::new(Instant::now());
        let model = Model { connections: 1, ..Model::default() };
        let server = Server::for_rehearsal(0, model, false, recorder, vec!["near".into(), "book".into()]);
        let (server, connections) = start(server);
        server.set_behaviour(1, Some("book".into()), Behaviour::Failing);
        let (mut near_end, far_end) = tokio::io::duplex(4096);
        connections.send((Node::Gatherer(1), far_end)).expect("the server takes connections");
        let mut call = async |id: &str, text: &str| {
            let payload = format!("S{id} 3 d=500 {}\n{text}", text.len());
            near_end.write_all(&encode_frame(payload.as_bytes())).await.expect("the frame is sent");
            let mut answer = vec![0; near_end.read_u32().await.expect("an answer arrives") as usize];
            near_end.read_exact(&mut answer).await.expect("the answer is complete");
            String::from_utf8(answer).expect("the answer is UTF-8")
        };
        assert!(call("q1.3", "near length=4").await.starts_with("Rq1.3 done"));
        assert!(call("q2.3", "book length=4").await.starts_with("Rq2.3 failed"));
        server.clear_behaviour(1);
        assert!(call("q3.3", "book length=4").await.starts_with("Rq3.3 done"));
        let (mut second_connection, far_end) = tokio::io::duplex(4096);
        connections.send((Node::Gatherer(2), far_end)).expect("the server takes connections");
        assert_eq!(
            second_connection.read(&mut [0; 8]).await.expect("the stream ends"),
            0,
            "a connection beyond the limit is closed at once"
        );
    }
}
