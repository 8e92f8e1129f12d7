//! What a keeper answers: gatherers' calls, what an owner asks, and the other keepers' messages.

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

/// The most gatherers that a keeper remembers.
const MAX_CALLERS: usize = 4096;
/// How long a keeper remembers a gatherer that does not call.
const CALLER_RETENTION: Duration = Duration::from_secs(60);
/// A free role is offered to one caller at a time, for so long: not all are to rush for it.
const OFFER_DURATION: Duration = Duration::from_millis(300);
/// Time in which what an owner asks is agreed, or is answered as not.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time in which a keeper must have caught up to take another's place.
const JOIN_TIMEOUT: Duration = Duration::from_secs(20);
/// The longest message that is read, in bytes: a snapshot with every table at its longest, as JSON.
const MAX_BODY_BYTES: usize = 16 << 20;

/// What a keeper remembers of its callers, in memory only.
#[derive(Default)]
struct CallerRegistry {
    /// When each gatherer called last.
    last_heard: BTreeMap<String, Duration>,
    /// When each role was offered last.
    offered_at: BTreeMap<String, Duration>,
    calls: u64,
}

impl CallerRegistry {
    /// A gatherer has called. New ones are remembered while there is room.
    fn record_call(&mut self, name: &str, now: Duration) {
        self.last_heard.retain(|_, at| now < *at + CALLER_RETENTION);
        let has_room = self.last_heard.contains_key(name) || self.last_heard.len() < MAX_CALLERS;
        if name.len() <= MAX_NAME_LENGTH && has_room {
            self.last_heard.insert(name.to_owned(), now);
        }
    }

    /// Whether a free role is offered to this caller: not to another one a moment ago.
    fn try_offer(&mut self, role: &str, now: Duration) -> bool {
        if self.offered_at.get(role).is_some_and(|at| now < *at + OFFER_DURATION) {
            return false;
        }
        self.offered_at.retain(|_, at| now < *at + OFFER_DURATION);
        self.offered_at.insert(role.to_owned(), now);
        true
    }
}

/// Why a keeper was not replaced. Until the last step the old set of keepers decides.
#[derive(Debug)]
pub enum ReplaceError {
    /// The new keeper does not catch up in time.
    CatchUpTimeout,
    /// The keepers do not agree.
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

/// One keeper: what it answers gatherers and the other keepers.
pub struct KeeperServer {
    /// Its number.
    id: u64,
    terms: LeaseTerms,
    raft: Raft,
    store: KeeperStore,
    callers: Mutex<CallerRegistry>,
}

type SharedServer = State<Arc<KeeperServer>>;

impl KeeperServer {
    /// A keeper of this number.
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

    /// A gatherer has called.
    fn handle_call(&self, call: &CallRequest) -> CallResponse {
        let (now, mut callers) = (clock::now(), self.callers());
        callers.calls += 1;
        callers.record_call(&call.name, now);
        let state = self.store.state();
        let record = &state.applied.record;
        let is_free = |role: &&String| state.expiry.is_expired(record, role, now, &self.terms);
        let sought = call.sought_role.as_ref().filter(|role| role.len() <= MAX_NAME_LENGTH);
        let is_offered = sought.filter(is_free).is_some_and(|role| callers.try_offer(role, now));
        let (leases, tables) = (record.leases.clone(), record.tables.clone());
        CallResponse { keeper: self.id, leader: self.leader(), is_offered, leases, tables }
    }

    /// What an owner asks, or who would be one: judged by this keeper's clock, agreed with the others.
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
            Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(to)))) => {
                LeaseResponse::NotCommitted { leader: to.leader_id }
            }
            // Perhaps it is agreed later: whoever asked counts from when it asked, and asks again.
            _ => LeaseResponse::NotCommitted { leader: None },
        }
    }

    fn last_heard(&self) -> LastHeard {
        let now = clock::now();
        let age_ms = |at: &Duration| now.saturating_sub(*at).as_millis() as u64;
        let callers = self.callers();
        LastHeard(callers.last_heard.iter().map(|(name, at)| (name.clone(), age_ms(at))).collect())
    }

    /// Takes a new keeper in and an old one out, once the new one has all that is agreed.
    async fn replace(&self, request: &ReplaceRequest) -> Result<(), ReplaceError> {
        let node = BasicNode { addr: request.address.to_string() };
        let joined = timeout(JOIN_TIMEOUT, self.raft.add_learner(request.added, node, true)).await;
        joined.map_err(|_| ReplaceError::CatchUpTimeout)??;
        let add = ChangeMembers::AddVoterIds([request.added].into());
        self.raft.change_membership(add, false).await?;
        let remove = ChangeMembers::RemoveVoters([request.removed].into());
        self.raft.change_membership(remove, false).await?;
        Ok(())
    }

    /// The calls, each beside its handler.
    pub fn router(self: Arc<Self>) -> Router {
        type Appended = Result<AppendEntriesResponse<u64>, RaftError<u64>>;
        type Voted = Result<VoteResponse<u64>, RaftError<u64>>;
        type Installed = Result<InstallSnapshotResponse<u64>, RaftError<u64, InstallSnapshotError>>;
        let append = async |keeper: SharedServer,
                            Json(rpc): Json<AppendEntriesRequest<Types>>|
               -> Json<Appended> { Json(keeper.raft.append_entries(rpc).await) };
        let vote = async |keeper: SharedServer, Json(rpc): Json<VoteRequest<u64>>| -> Json<Voted> {
            Json(keeper.raft.vote(rpc).await)
        };
        let snapshot = async |keeper: SharedServer,
                              Json(rpc): Json<InstallSnapshotRequest<Types>>|
               -> Json<Installed> { Json(keeper.raft.install_snapshot(rpc).await) };
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
