//! Communication with the keepers over HTTP/1.1 with JSON: periodic calls, requests for the lease of the
//! roster, and the rounds that the lease's owner runs to update the roster. The schedule and all decisions
//! come from `ashvane-fleet`.

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

/// Maximum length of a response that is read: a table of maximum length and its JSON overhead.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;
/// Maximum timeout of a call. A short lease makes the timeout shorter.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before an owner retries a failed lease renewal.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Time within which the lease must be released at shutdown.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(400);

/// Returns the time of the clock that also advances while the machine is suspended.
fn now() -> Duration {
    let at = clock_gettime(ClockId::Boottime);
    Duration::new(u64::try_from(at.tv_sec).unwrap_or_default(), u32::try_from(at.tv_nsec).unwrap_or_default())
}

/// Response of a keeper to a periodic call.
#[derive(Deserialize)]
struct CallResponse {
    leader: Option<u64>,
    free: bool,
    #[serde(default)]
    duties: std::collections::BTreeMap<String, Lease>,
    #[serde(default)]
    tables: std::collections::BTreeMap<String, Table>,
}

/// Response of a keeper to a request that only the leader handles.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum AskResponse {
    Reply(Reply),
    Elsewhere { leader: Option<u64> },
}

/// A request to the leading keeper about this gatherer's own lease. Writes of an owner are separate, because
/// they require a permit.
enum LeaseRequest {
    Acquire,
    Renew(u64),
    Release(u64),
}

/// Why a call got no response, and whether the keeper may have received the request.
struct CallError {
    message: String,
    may_have_arrived: bool,
}

/// HTTP client for calls to keepers, with a timeout for each call.
#[derive(Clone)]
struct KeeperClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl KeeperClient {
    /// Sends a request, as POST if there is a body, else as GET, and decodes the response.
    async fn send<T: DeserializeOwned>(
        &self, address: SocketAddr, path: &str, body: Option<Value>,
    ) -> Result<T, CallError> {
        let failed = |may_have_arrived: bool| move |message: String| CallError { message, may_have_arrived };
        let uri = format!("http://{address}{path}");
        let request = match body {
            Some(body) => Request::post(uri)
                .header("content-type", "application/json")
                .body(Full::new(Bytes::from(body.to_string()))),
            None => Request::get(uri).body(Full::default()),
        };
        let request = request.map_err(|e| failed(false)(e.to_string()))?;
        let exchange = async {
            let answer = self.client.request(request).await;
            let answer = answer.map_err(|e| failed(!e.is_connect())(e.to_string()))?;
            let body = Limited::new(answer.into_body(), MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|e| failed(true)(e.to_string()))?.to_bytes();
            serde_json::from_slice(&body).map_err(|e| failed(true)(e.to_string()))
        };
        timeout(self.timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(failed(true)("no response within the timeout".into())))
    }
}

/// This gatherer's communication with the keepers.
pub(crate) struct KeeperSession {
    /// Name of this process that no other process has or ever had.
    process_id: String,
    name: String,
    /// Ids of the keepers, in the order of `addresses`.
    keeper_ids: Vec<u64>,
    addresses: Vec<SocketAddr>,
    terms: LeaseTerms,
    /// Interval of the periodic calls and of the owner's rounds.
    interval: Duration,
    client: KeeperClient,
    events: mpsc::Sender<Event>,
    schedule: CallSchedule,
    participant: LeaseParticipant,
    roster: Roster,
    reader: RosterReader,
    fence: FencingGuard,
    /// Index of the keeper that leads, if it is known.
    leader: Option<usize>,
    /// Duration of the last successful call.
    last_call_duration: Duration,
    /// When the lease is renewed next.
    renew_at: Duration,
    /// When the next owner's round starts.
    round_at: Duration,
    /// The number of live gatherers that was last reported to routing.
    reported_count: Option<u32>,
}

impl KeeperSession {
    pub(crate) fn new(
        name: &str, seed: u64, settings: &FleetSettings, events: mpsc::Sender<Event>,
    ) -> KeeperSession {
        let (started_at, interval, terms) = (now(), settings.every(), settings.terms());
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(1).build(connector);
        let (keeper_ids, addresses): (Vec<u64>, Vec<SocketAddr>) =
            settings.keepers.iter().map(|(n, a)| (*n, *a)).unzip();
        let truncated = |max_chars: usize| name.chars().take(max_chars).collect::<String>();
        KeeperSession {
            process_id: format!("{}@{}", truncated(MAX_NAME_LENGTH / 8), started_at.as_nanos()),
            name: truncated(MAX_NAME_LENGTH / 4),
            schedule: CallSchedule::new(interval, addresses.len(), seed, started_at),
            keeper_ids,
            addresses,
            terms,
            interval,
            client: KeeperClient { client, timeout: terms.max_call_duration().min(MAX_CALL_TIMEOUT) },
            events,
            participant: LeaseParticipant::default(),
            roster: Roster::new(interval),
            reader: RosterReader::default(),
            fence: FencingGuard::default(),
            leader: None,
            last_call_duration: Duration::MAX,
            renew_at: Duration::MAX,
            round_at: Duration::MAX,
            reported_count: None,
        }
    }

    /// Calls the keepers until the program drains, then releases the lease if it is held.
    pub(crate) async fn run(mut self, mut phase: watch::Receiver<Phase>) {
        loop {
            let at = now();
            if let Some(transition) = self.participant.tick(at, &self.terms) {
                self.handle_transition(transition);
            }
            if at >= self.renew_at {
                self.renew().await;
            } else if at >= self.round_at {
                self.run_owner_round().await;
            } else if at >= self.schedule.next().at {
                self.call().await;
            }
            self.report_gatherer_count().await;
            let next = self.schedule.next().at.min(self.renew_at).min(self.round_at);
            let ending = async {
                let draining = |phase: &Phase| matches!(phase, Phase::Draining | Phase::Closing);
                if phase.wait_for(draining).await.is_err() {
                    std::future::pending::<()>().await;
                }
            };
            tokio::select! {
                () = sleep(next.saturating_sub(now())) => {}
                () = ending => return self.release_ownership().await,
            }
        }
    }

    /// Makes a periodic call. It reports that this gatherer is alive, and the response is applied.
    async fn call(&mut self) {
        let (started_at, index) = (now(), self.schedule.next().keeper);
        self.schedule.call_made(started_at);
        let seeks = self.participant.is_seeking(
            self.last_call_duration.min(self.client.timeout),
            started_at,
            &self.terms,
        );
        let body = json!({"name": self.name, "seeks": seeks.then_some(Roster::NAME)});
        match self.client.send::<CallResponse>(self.addresses[index], "/v1/call", Some(body)).await {
            Ok(response) => {
                self.last_call_duration = now() - started_at;
                self.apply_response(&response);
                if response.free && self.participant.is_seeking(self.last_call_duration, now(), &self.terms) {
                    self.request_lease(LeaseRequest::Acquire).await;
                }
            }
            Err(CallError { message, .. }) => {
                log::debug!("call to keeper {} failed: {message}", self.keeper_ids[index]);
                self.schedule.keeper_failed();
                self.leader = self.leader.filter(|leader| *leader != index);
            }
        }
    }

    /// Returns the index of the keeper with this id.
    fn keeper_index(&self, id: Option<u64>) -> Option<usize> {
        self.keeper_ids.iter().position(|n| Some(*n) == id)
    }

    /// Applies the response to a periodic call. A table of an older epoch than one already seen is discarded:
    /// a keeper may lag, and a proxy may have delayed the response for a minute.
    fn apply_response(&mut self, response: &CallResponse) {
        self.leader = self.keeper_index(response.leader).or(self.leader);
        let Some(table) = response.tables.get(Roster::NAME) else { return };
        let token = FencingToken { role: Roster::NAME.to_owned(), epoch: table.epoch };
        let before = self.fence.highest(Roster::NAME);
        if !self.fence.admits(&token) {
            return;
        }
        if table.epoch > before {
            let holds = response.duties.get(Roster::NAME).map_or(0, |lease| lease.epoch);
            log::info!(duty = Roster::NAME, epoch = table.epoch, holds = holds; "follows");
        }
        self.reader.table_received(table, now());
    }

    /// Sends a lease request to the leading keeper. The reply is passed to the participant.
    async fn request_lease(&mut self, request: LeaseRequest) -> Option<Reply> {
        let (duty, process_id) = (Roster::NAME, &self.process_id);
        let request = match request {
            LeaseRequest::Acquire => json!({"take": {"duty": duty, "who": process_id}}),
            LeaseRequest::Renew(epoch) => json!({"renew": {"duty": duty, "who": process_id, "epoch": epoch}}),
            LeaseRequest::Release(epoch) => {
                json!({"give": {"duty": duty, "who": process_id, "epoch": epoch}})
            }
        };
        self.send_to_leader(request).await
    }

    /// Writes the roster's table as its owner. The permit is checked immediately before sending.
    async fn write_table(&mut self, permit: Permit<Roster>, text: &str) {
        let Some(FencingToken { role, epoch }) = permit.token(now()) else { return };
        self.send_to_leader(json!({"write": {"duty": role, "epoch": epoch, "text": text}})).await;
    }

    /// Sends a request to the leading keeper, or to the next scheduled one if the leader is unknown. A reply
    /// is passed to the participant, with the time at which the request was sent.
    async fn send_to_leader(&mut self, request: Value) -> Option<Reply> {
        let index = self.leader.unwrap_or(self.schedule.next().keeper);
        let started_at = now();
        match self.client.send::<AskResponse>(self.addresses[index], "/v1/ask", Some(request)).await {
            Ok(AskResponse::Reply(reply)) => {
                let transition = self.participant.reply_received(started_at, &reply, now(), &self.terms);
                transition.into_iter().for_each(|transition| self.handle_transition(transition));
                return Some(reply);
            }
            Ok(AskResponse::Elsewhere { leader }) => {
                self.leader = self.keeper_index(leader).filter(|leader| *leader != index);
            }
            Err(CallError { message, may_have_arrived }) => {
                log::debug!("request to keeper {} failed: {message}", self.keeper_ids[index]);
                self.leader = None;
                if may_have_arrived {
                    self.participant.call_unanswered();
                }
            }
        }
        if self.leader.is_none() {
            self.schedule.keeper_failed();
        }
        None
    }

    /// Starts or stops acting as the roster's owner.
    fn handle_transition(&mut self, transition: Transition) {
        match transition {
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

    /// Renews the lease if the participant still may.
    async fn renew(&mut self) {
        let Some(epoch) = self.participant.epoch() else { return };
        if !self.participant.may_renew(now(), &self.terms) {
            // A call was not answered and the lease is about to end. The rest of its time is left for replies
            // to requests that were already sent.
            self.renew_at = Duration::MAX;
            return;
        }
        let granted =
            matches!(self.request_lease(LeaseRequest::Renew(epoch)).await, Some(Reply::Granted { .. }));
        if self.participant.epoch().is_some() {
            self.renew_at = now() + if granted { self.terms.renewal_interval() } else { RENEWAL_RETRY_DELAY };
        }
    }

    /// Runs one round as the roster's owner: asks all keepers in parallel when they last heard from each
    /// gatherer, and writes which gatherers are alive. Without responses from a majority nothing is written,
    /// because gatherers that only the other keepers hear from would be left out.
    async fn run_owner_round(&mut self) {
        let started_at = now();
        self.round_at = started_at + self.interval;
        let (mut requests, mut responses) = (JoinSet::new(), Vec::new());
        for address in self.addresses.iter().copied() {
            let client = self.client.clone();
            requests.spawn_local(async move { client.send::<LastHeard>(address, "/v1/heard", None).await });
        }
        // The lease renewal takes precedence, so responses are awaited only until it is due.
        let time_limit = self.renew_at.saturating_sub(started_at);
        let collecting = async {
            while let Some(response) = requests.join_next().await {
                responses.extend(response.ok().and_then(Result::ok));
            }
        };
        let _ = timeout(time_limit, collecting).await;
        if responses.len() * 2 <= self.addresses.len() {
            return;
        }
        let Some(text) = self.roster.round(&responses) else { return };
        if let Some(permit) = self.participant.permit::<Roster>(now()) {
            self.write_table(permit, &text).await;
        }
    }

    /// Reports the number of live gatherers to routing if it has changed.
    async fn report_gatherer_count(&mut self) {
        let alive = self.reader.alive(self.interval, now());
        if alive != self.reported_count {
            self.reported_count = alive;
            log::info!(alive = alive.unwrap_or_default(); "roster");
            let _ = self.events.send(Event::GathererCount(alive)).await;
        }
    }

    /// Releases the lease if it is held.
    async fn release_ownership(&mut self) {
        let Some(epoch) = self.participant.epoch() else { return };
        // Stops acting as the owner before the lease is released, so that there are never two owners.
        let transition = self.participant.release();
        self.handle_transition(transition);
        let releasing = async {
            while self.request_lease(LeaseRequest::Release(epoch)).await.is_none() {
                sleep(Duration::from_millis(20)).await;
            }
        };
        let _ = timeout(RELEASE_TIMEOUT, releasing).await;
    }
}
