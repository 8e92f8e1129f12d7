//! The link to the keepers: calls at the schedule that the fleet's package says, this gatherer's participant at the roster, and
//! its rounds as the roster's owner. HTTP/1.1 with JSON. What is decided is decided in `ashvane-fleet`.

use std::net::SocketAddr;
use std::time::Duration;

use ashvane_config::FleetSettings;
use ashvane_fleet::roster::{LastHeard, Roster, RosterReader};
use ashvane_fleet::{
    CallSchedule, FencingGuard, FencingToken, Lease, LeaseParticipant, LeaseTerms, MAX_NAME_LENGTH, Permit,
    Reply, SingletonRole as _, Table, Transition,
};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rustix::time::{ClockId, clock_gettime};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::protocol::event::{Event, Phase};

/// The longest answer that is read, in bytes: a table at its longest, and some more.
const ANSWER_MOST: usize = 256 * 1024;
/// The longest that a call may take, whatever the lease.
const CALL_MOST: Duration = Duration::from_secs(1);
/// Pause before an owner tries another keeper for its renewal.
const AGAIN: Duration = Duration::from_millis(150);
/// Time in which a duty is handed over at the end.
const HAND_OVER: Duration = Duration::from_millis(400);

/// Time on the clock that also runs while the machine sleeps.
fn now() -> Duration {
    let at = clock_gettime(ClockId::Boottime);
    Duration::new(u64::try_from(at.tv_sec).unwrap_or_default(), u32::try_from(at.tv_nsec).unwrap_or_default())
}

/// What a keeper tells.
#[derive(Deserialize)]
struct Told {
    leader: Option<u64>,
    free: bool,
    #[serde(default)]
    duties: std::collections::BTreeMap<String, Lease>,
    #[serde(default)]
    tables: std::collections::BTreeMap<String, Table>,
}

/// What it answers to an owner.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Answered {
    Reply(Reply),
    Elsewhere { leader: Option<u64> },
}

/// What is asked of whoever leads the keepers about this gatherer's own participant. Acts of an owner are not among it: they
/// need a permit.
enum Asked {
    Take,
    Renew(u64),
    Give(u64),
}

/// Why a call brought no answer, and whether the keeper may have heard it.
struct Failed {
    words: String,
    heard: bool,
}

/// Calls to keepers, each within a limit.
#[derive(Clone)]
struct Line {
    client: Client<HttpConnector, Full<Bytes>>,
    limit: Duration,
}

impl Line {
    async fn send<T: DeserializeOwned>(
        &self, address: SocketAddr, path: &str, body: Option<Value>,
    ) -> Result<T, Failed> {
        let failed = |heard: bool| move |words: String| Failed { words, heard };
        let uri = format!("http://{address}{path}");
        let request = match body {
            Some(body) => Request::post(uri)
                .header("content-type", "application/json")
                .body(Full::new(Bytes::from(body.to_string()))),
            None => Request::get(uri).body(Full::default()),
        };
        let request = request.map_err(|e| failed(false)(e.to_string()))?;
        let asking = async {
            let answer = self.client.request(request).await;
            let answer = answer.map_err(|e| failed(!e.is_connect())(e.to_string()))?;
            let body = Limited::new(answer.into_body(), ANSWER_MOST).collect().await;
            let body = body.map_err(|e| failed(true)(e.to_string()))?.to_bytes();
            serde_json::from_slice(&body).map_err(|e| failed(true)(e.to_string()))
        };
        timeout(self.limit, asking).await.unwrap_or_else(|_| Err(failed(true)("no answer in time".into())))
    }
}

pub(crate) struct Keepers {
    /// This process, by a name that no other process has or had.
    who: String,
    name: String,
    numbers: Vec<u64>,
    addresses: Vec<SocketAddr>,
    terms: LeaseTerms,
    every: Duration,
    line: Line,
    events: mpsc::Sender<Event>,
    schedule: CallSchedule,
    participant: LeaseParticipant,
    roster: Roster,
    reader: RosterReader,
    fence: FencingGuard,
    /// The keeper that leads, as a place in the list, as far as is known.
    leader: Option<usize>,
    /// How long the last call took.
    took: Duration,
    renew_at: Duration,
    round_at: Duration,
    alive: Option<u32>,
}

impl Keepers {
    pub(crate) fn new(
        name: &str, seed: u64, settings: &FleetSettings, events: mpsc::Sender<Event>,
    ) -> Keepers {
        let (began, every, terms) = (now(), settings.every(), settings.terms());
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(1).build(connector);
        let (numbers, addresses): (Vec<u64>, Vec<SocketAddr>) =
            settings.keepers.iter().map(|(n, a)| (*n, *a)).unzip();
        let short = |most: usize| name.chars().take(most).collect::<String>();
        Keepers {
            who: format!("{}@{}", short(MAX_NAME_LENGTH / 8), began.as_nanos()),
            name: short(MAX_NAME_LENGTH / 4),
            schedule: CallSchedule::new(every, addresses.len(), seed, began),
            numbers,
            addresses,
            terms,
            every,
            line: Line { client, limit: terms.max_call_duration().min(CALL_MOST) },
            events,
            participant: LeaseParticipant::default(),
            roster: Roster::new(every),
            reader: RosterReader::default(),
            fence: FencingGuard::default(),
            leader: None,
            took: Duration::MAX,
            renew_at: Duration::MAX,
            round_at: Duration::MAX,
            alive: None,
        }
    }

    /// Calls until the program ends; then hands over what it owns.
    pub(crate) async fn run(mut self, mut phase: watch::Receiver<Phase>) {
        loop {
            let at = now();
            if let Some(turn) = self.participant.tick(at, &self.terms) {
                self.turned(turn);
            }
            if at >= self.renew_at {
                self.renew().await;
            } else if at >= self.round_at {
                self.round().await;
            } else if at >= self.schedule.next().at {
                self.call().await;
            }
            self.tell().await;
            let next = self.schedule.next().at.min(self.renew_at).min(self.round_at);
            let ending = async {
                let draining = |phase: &Phase| matches!(phase, Phase::Draining | Phase::Closing);
                if phase.wait_for(draining).await.is_err() {
                    std::future::pending::<()>().await;
                }
            };
            tokio::select! {
                () = sleep(next.saturating_sub(now())) => {}
                () = ending => return self.hand_over().await,
            }
        }
    }

    /// The usual call: that this gatherer is alive, for what the keepers know.
    async fn call(&mut self) {
        let (began, at) = (now(), self.schedule.next().keeper);
        self.schedule.call_made(began);
        let seeks = self.participant.is_seeking(self.took.min(self.line.limit), began, &self.terms);
        let body = json!({"name": self.name, "seeks": seeks.then_some(Roster::NAME)});
        match self.line.send::<Told>(self.addresses[at], "/v1/call", Some(body)).await {
            Ok(told) => {
                self.took = now() - began;
                self.know(&told);
                if told.free && self.participant.is_seeking(self.took, now(), &self.terms) {
                    self.ask(Asked::Take).await;
                }
            }
            Err(Failed { words, .. }) => {
                log::debug!("keeper {}: {words}", self.numbers[at]);
                self.schedule.keeper_failed();
                self.leader = self.leader.filter(|leader| *leader != at);
            }
        }
    }

    fn place(&self, number: Option<u64>) -> Option<usize> {
        self.numbers.iter().position(|n| Some(*n) == number)
    }

    /// What is older than what was seen is dropped: a keeper may lag, and a relay may have held this for a minute.
    fn know(&mut self, told: &Told) {
        self.leader = self.place(told.leader).or(self.leader);
        let Some(table) = told.tables.get(Roster::NAME) else { return };
        let token = FencingToken { role: Roster::NAME.to_owned(), epoch: table.epoch };
        let before = self.fence.highest(Roster::NAME);
        if !self.fence.admits(&token) {
            return;
        }
        if table.epoch > before {
            let holds = told.duties.get(Roster::NAME).map_or(0, |lease| lease.epoch);
            log::info!(duty = Roster::NAME, epoch = table.epoch, holds = holds; "follows");
        }
        self.reader.table_received(table, now());
    }

    /// Asks the leading keeper about this gatherer's participant; what it says goes there, with when it was asked.
    async fn ask(&mut self, asked: Asked) -> Option<Reply> {
        let (duty, who) = (Roster::NAME, &self.who);
        let asked = match asked {
            Asked::Take => json!({"take": {"duty": duty, "who": who}}),
            Asked::Renew(epoch) => json!({"renew": {"duty": duty, "who": who, "epoch": epoch}}),
            Asked::Give(epoch) => json!({"give": {"duty": duty, "who": who, "epoch": epoch}}),
        };
        self.ask_leader(asked).await
    }

    /// An act of the roster's owner: its table. The permit is looked at last of all.
    async fn write(&mut self, permit: Permit<Roster>, text: &str) {
        let Some(FencingToken { role, epoch }) = permit.token(now()) else { return };
        self.ask_leader(json!({"write": {"duty": role, "epoch": epoch, "text": text}})).await;
    }

    async fn ask_leader(&mut self, asked: Value) -> Option<Reply> {
        let at = self.leader.unwrap_or(self.schedule.next().keeper);
        let began = now();
        match self.line.send::<Answered>(self.addresses[at], "/v1/ask", Some(asked)).await {
            Ok(Answered::Reply(reply)) => {
                let turn = self.participant.reply_received(began, &reply, now(), &self.terms);
                turn.into_iter().for_each(|turn| self.turned(turn));
                return Some(reply);
            }
            Ok(Answered::Elsewhere { leader }) => {
                self.leader = self.place(leader).filter(|leader| *leader != at);
            }
            Err(Failed { words, heard }) => {
                log::debug!("keeper {}: {words}", self.numbers[at]);
                self.leader = None;
                if heard {
                    self.participant.call_unanswered();
                }
            }
        }
        if self.leader.is_none() {
            self.schedule.keeper_failed();
        }
        None
    }

    fn turned(&mut self, turn: Transition) {
        match turn {
            Transition::Acquired { epoch } => {
                log::info!(duty = Roster::NAME, epoch = epoch; "owns");
                self.roster.acquired(epoch);
                self.renew_at = now() + self.terms.renewal_interval();
                self.round_at = now();
            }
            Transition::Lost => {
                log::info!(duty = Roster::NAME; "gives up");
                self.roster.lost();
                (self.renew_at, self.round_at) = (Duration::MAX, Duration::MAX);
            }
        }
    }

    async fn renew(&mut self) {
        let Some(epoch) = self.participant.epoch() else { return };
        if !self.participant.may_renew(now(), &self.terms) {
            // What is left of its time is left for what was asked to be answered.
            self.renew_at = Duration::MAX;
            return;
        }
        let granted = matches!(self.ask(Asked::Renew(epoch)).await, Some(Reply::Granted { .. }));
        if self.participant.epoch().is_some() {
            self.renew_at = now() + if granted { self.terms.renewal_interval() } else { AGAIN };
        }
    }

    /// One round as the roster's owner: asks all keepers at once whom they have heard, and writes who is alive. Where
    /// fewer than most of them answer nothing is written, lest those that only the others hear be left out.
    async fn round(&mut self) {
        let began = now();
        self.round_at = began + self.every;
        let (mut asking, mut seen) = (JoinSet::new(), Vec::new());
        for address in self.addresses.iter().copied() {
            let line = self.line.clone();
            asking.spawn_local(async move { line.send::<LastHeard>(address, "/v1/heard", None).await });
        }
        // The renewal goes first.
        let until = self.renew_at.saturating_sub(began);
        let hearing = async {
            while let Some(heard) = asking.join_next().await {
                seen.extend(heard.ok().and_then(Result::ok));
            }
        };
        let _ = timeout(until, hearing).await;
        if seen.len() * 2 <= self.addresses.len() {
            return;
        }
        let Some(text) = self.roster.round(&seen) else { return };
        if let Some(permit) = self.participant.permit::<Roster>(now()) {
            self.write(permit, &text).await;
        }
    }

    /// Tells the decisions how many are alive, where that is new.
    async fn tell(&mut self) {
        let alive = self.reader.alive(self.every, now());
        if alive != self.alive {
            self.alive = alive;
            log::info!(alive = alive.unwrap_or_default(); "roster");
            let _ = self.events.send(Event::GathererCount(alive)).await;
        }
    }

    async fn hand_over(&mut self) {
        let Some(epoch) = self.participant.epoch() else { return };
        // First it stops, then it says so.
        let turn = self.participant.release();
        self.turned(turn);
        let giving = async {
            while self.ask(Asked::Give(epoch)).await.is_none() {
                sleep(Duration::from_millis(20)).await;
            }
        };
        let _ = timeout(HAND_OVER, giving).await;
    }
}
