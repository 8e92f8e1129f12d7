//! HTTP server of a keeper, for gatherers' calls, lease requests of owners and candidates, and Raft messages.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ashvane_fleet::roster::LastHeard;
use ashvane_fleet::{Command, LeaseTerms, MAX_NAME_LENGTH};
use axum::extract::{DefaultBodyLimit, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use openraft::error::{ClientWriteError, InstallSnapshotError, RaftError};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{BasicNode, ChangeMembers};
use tokio::time::timeout;

use crate::keeper_store::KeeperStore;
use crate::messages::{CallRequest, CallResponse, LeaseRequest, LeaseResponse, ReplaceRequest};
use crate::{Raft, Types, clock};

/// Maximum number of gatherers whose calls a keeper records.
const MAX_CALLERS: usize = 4096;
/// Time for which the last call of a gatherer is recorded.
const CALLER_RETENTION: Duration = Duration::from_secs(60);
/// Time for which a free role is offered to one caller only, so that not all callers try to acquire it at
/// once.
const OFFER_DURATION: Duration = Duration::from_millis(300);
/// Time-out for committing a lease request, after which the reply is [`LeaseResponse::NotCommitted`].
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time-out for a new keeper to catch up with the log before it replaces another.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum length of a request body. It allows for a snapshot in JSON in which every table has its maximum
/// length.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Recent calls and offers of a keeper. It is kept in memory only.
#[derive(Default)]
struct CallerRegistry {
    /// Time of the last call of each gatherer.
    last_heard: BTreeMap<String, Duration>,
    /// Time of the last offer of each role.
    offered_at: BTreeMap<String, Duration>,
    /// Number of calls since the keeper started.
    calls: u64,
}

impl CallerRegistry {
    /// Records a gatherer's call. Gatherers beyond [`MAX_CALLERS`] are not recorded.
    fn record_call(&mut self, name: &str, now: Duration) {
        self.last_heard.retain(|_, at| now < *at + CALLER_RETENTION);
        let has_room = self.last_heard.contains_key(name) || self.last_heard.len() < MAX_CALLERS;
        if name.len() <= MAX_NAME_LENGTH && has_room {
            self.last_heard.insert(name.to_owned(), now);
        }
    }

    /// Returns whether to offer a free role to this caller, and records the offer. A role is not offered
    /// again within [`OFFER_DURATION`].
    fn try_offer(&mut self, role: &str, now: Duration) -> bool {
        if self.offered_at.get(role).is_some_and(|at| now < *at + OFFER_DURATION) {
            return false;
        }
        self.offered_at.retain(|_, at| now < *at + OFFER_DURATION);
        self.offered_at.insert(role.to_owned(), now);
        true
    }
}

/// Reason why a keeper was not replaced. The old keepers keep their votes until the last step of a
/// replacement.
#[derive(Debug)]
pub enum ReplaceError {
    /// The new keeper did not catch up within the time-out.
    CatchUpTimeout,
    /// Raft did not commit the change of membership.
    Raft(Box<RaftError<u64, ClientWriteError<u64, BasicNode>>>),
}

impl fmt::Display for ReplaceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReplaceError::CatchUpTimeout => f.write_str("the new keeper does not catch up"),
            ReplaceError::Raft(reason) => reason.fmt(f),
        }
    }
}

impl std::error::Error for ReplaceError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ReplaceError::CatchUpTimeout => None,
            ReplaceError::Raft(reason) => Some(reason.as_ref()),
        }
    }
}

impl From<RaftError<u64, ClientWriteError<u64, BasicNode>>> for ReplaceError {
    fn from(reason: RaftError<u64, ClientWriteError<u64, BasicNode>>) -> Self {
        ReplaceError::Raft(Box::new(reason))
    }
}

/// State of one keeper's HTTP server.
pub struct KeeperServer {
    /// Number of the keeper.
    id: u64,
    terms: LeaseTerms,
    raft: Raft,
    store: KeeperStore,
    callers: Mutex<CallerRegistry>,
}

type SharedServer = State<Arc<KeeperServer>>;

impl KeeperServer {
    /// Creates the server of the keeper with number `id`.
    #[must_use]
    pub fn new(id: u64, terms: LeaseTerms, raft: Raft, store: KeeperStore) -> Self {
        KeeperServer { id, terms, raft, store, callers: Mutex::default() }
    }

    fn callers(&self) -> MutexGuard<'_, CallerRegistry> {
        self.callers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn leader(&self) -> Option<u64> {
        self.raft.metrics().borrow().current_leader
    }

    /// Records a gatherer's call and returns the state of the record.
    fn handle_call(&self, call: &CallRequest) -> CallResponse {
        let (now, mut callers) = (clock::now(), self.callers());
        callers.calls += 1;
        callers.record_call(&call.name, now);
        let state = self.store.state();
        let record = &state.applied.record;
        let is_free = |role: &&String| state.expiry.is_expired(record, role, now, &self.terms);
        let sought_role = call.sought_role.as_ref().filter(|role| role.len() <= MAX_NAME_LENGTH);
        let is_offered = sought_role.filter(is_free).is_some_and(|role| callers.try_offer(role, now));
        let (leases, tables) = (record.leases.clone(), record.tables.clone());
        CallResponse { keeper: self.id, leader: self.leader(), is_offered, leases, tables }
    }

    /// Handles a lease request if this keeper leads: expiry is decided on this keeper's clock, and the
    /// resulting command is committed through Raft.
    async fn handle_lease_request(&self, request: LeaseRequest) -> LeaseResponse {
        if self.leader() != Some(self.id) {
            return LeaseResponse::NotCommitted { leader: self.leader() };
        }
        let command = match request {
            LeaseRequest::Acquire { role, owner } => {
                let state = self.store.state();
                let record = &state.applied.record;
                match state.expiry.acquire(record, &role, &owner, clock::now(), &self.terms) {
                    Ok(command) => command,
                    Err(reply) => return LeaseResponse::Reply(reply),
                }
            }
            LeaseRequest::Renew { role, owner, epoch } => Command::Renew { role, owner, epoch },
            LeaseRequest::Release { role, owner, epoch } => Command::Release { role, owner, epoch },
            LeaseRequest::Write { role, epoch, text } => Command::Write { role, epoch, text },
        };
        match timeout(COMMIT_TIMEOUT, self.raft.client_write(command)).await {
            Ok(Ok(committed)) => LeaseResponse::Reply(committed.data),
            Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(forward)))) => {
                LeaseResponse::NotCommitted { leader: forward.leader_id }
            }
            // The command may still be committed later. That is safe: the caller counts its lease from the
            // time it sent the request, and retries.
            _ => LeaseResponse::NotCommitted { leader: None },
        }
    }

    fn last_heard(&self) -> LastHeard {
        let now = clock::now();
        let age_ms = |at: &Duration| now.saturating_sub(*at).as_millis() as u64;
        let callers = self.callers();
        LastHeard(callers.last_heard.iter().map(|(name, at)| (name.clone(), age_ms(at))).collect())
    }

    /// Adds a new keeper and removes an old one, after the new one has caught up with the log.
    async fn replace(&self, request: &ReplaceRequest) -> Result<(), ReplaceError> {
        let node = BasicNode { addr: request.address.to_string() };
        let learner_added = timeout(CATCH_UP_TIMEOUT, self.raft.add_learner(request.added, node, true)).await;
        learner_added.map_err(|_| ReplaceError::CatchUpTimeout)??;
        let add = ChangeMembers::AddVoterIds([request.added].into());
        self.raft.change_membership(add, false).await?;
        let remove = ChangeMembers::RemoveVoters([request.removed].into());
        self.raft.change_membership(remove, false).await?;
        Ok(())
    }

    /// Creates the router with all routes of the keeper.
    pub fn router(self: Arc<Self>) -> Router {
        type AppendResult = Result<AppendEntriesResponse<u64>, RaftError<u64>>;
        type VoteResult = Result<VoteResponse<u64>, RaftError<u64>>;
        type InstallResult = Result<InstallSnapshotResponse<u64>, RaftError<u64, InstallSnapshotError>>;
        let append = async |keeper: SharedServer,
                            Json(rpc): Json<AppendEntriesRequest<Types>>|
               -> Json<AppendResult> { Json(keeper.raft.append_entries(rpc).await) };
        let vote = async |keeper: SharedServer, Json(rpc): Json<VoteRequest<u64>>| -> Json<VoteResult> {
            Json(keeper.raft.vote(rpc).await)
        };
        let snapshot =
            async |keeper: SharedServer,
                   Json(rpc): Json<InstallSnapshotRequest<Types>>|
                   -> Json<InstallResult> { Json(keeper.raft.install_snapshot(rpc).await) };
        let call =
            async |keeper: SharedServer, Json(call): Json<CallRequest>| Json(keeper.handle_call(&call));
        let ask = async |keeper: SharedServer, Json(request): Json<LeaseRequest>| {
            Json(keeper.handle_lease_request(request).await)
        };
        let heard = async |keeper: SharedServer| Json(keeper.last_heard());
        let calls = async |keeper: SharedServer| Json(keeper.callers().calls);
        let replace = async |keeper: SharedServer, Json(request): Json<ReplaceRequest>| match keeper
            .replace(&request)
            .await
        {
            Ok(()) => (StatusCode::OK, Json("ok".to_owned())),
            Err(reason) => (StatusCode::CONFLICT, Json(reason.to_string())),
        };
        let health = async |keeper: SharedServer| match keeper.leader() {
            Some(_) => StatusCode::OK,
            None => StatusCode::SERVICE_UNAVAILABLE,
        };
        Router::new()
            .route("/v1/call", post(call))
            .route("/v1/ask", post(ask))
            .route("/v1/heard", get(heard))
            .route("/v1/calls", get(calls))
            .route("/v1/replace", post(replace))
            .route("/healthz", get(health))
            .route("/raft/append", post(append))
            .route("/raft/vote", post(vote))
            .route("/raft/snapshot", post(snapshot))
            .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
            .with_state(self)
    }
}
