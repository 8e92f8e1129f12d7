//! What a keeper answers: gatherers' calls, what an owner asks, and the other keepers' messages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ashvane_fleet::record::{Lease, NAME_MOST, Table};
use ashvane_fleet::roster::Heard;
use ashvane_fleet::{Command, Reply, Terms};
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
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::store::Store;
use crate::{Raft, Types, clock};

/// Gatherers that a keeper remembers, and for how long.
const HEARD_MOST: usize = 4096;
const HEARD_FOR: Duration = Duration::from_secs(60);
/// A free duty is offered to one caller at a time, for so long: not all are to rush for it.
const OFFER: Duration = Duration::from_millis(300);
/// Time in which what an owner asks is agreed, or is answered as not.
const AGREED_IN: Duration = Duration::from_millis(1000);
/// Time in which a keeper must have caught up to take another's place.
const JOIN_IN: Duration = Duration::from_secs(20);
/// The longest message that is read, in bytes: a snapshot with every table at its longest, as JSON.
const BODY_MOST: usize = 16 << 20;

/// A gatherer's call: that it is alive, and what it wants to know of.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Call {
    pub name: String,
    /// The duty that it would take, if that is free.
    #[serde(default)]
    pub seeks: Option<String>,
}

/// What a keeper tells of itself and of the record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Told {
    pub keeper: u64,
    pub leader: Option<u64>,
    /// The duty that was sought is free, and is offered to this caller.
    pub free: bool,
    pub duties: BTreeMap<String, Lease>,
    pub tables: BTreeMap<String, Table>,
}

/// What somebody asks for as an owner, or to be one.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Asked {
    Take { duty: String, who: String },
    Renew { duty: String, who: String, epoch: u64 },
    Give { duty: String, who: String, epoch: u64 },
    Write { duty: String, epoch: u64, text: String },
}

/// The answer: the reply, or who leads the keepers, as far as is known.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answered {
    Reply(Reply),
    Elsewhere { leader: Option<u64> },
}

/// One keeper in another's place.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Replace {
    pub out: u64,
    pub new: u64,
    pub address: SocketAddr,
}

#[derive(Default)]
struct Memory {
    heard: BTreeMap<String, Duration>,
    offered: BTreeMap<String, Duration>,
    calls: u64,
}

pub struct Keeper {
    pub id: u64,
    pub terms: Terms,
    pub raft: Raft,
    pub store: Store,
    memory: Mutex<Memory>,
}

type Shared = State<Arc<Keeper>>;

impl Keeper {
    pub fn new(id: u64, terms: Terms, raft: Raft, store: Store) -> Keeper {
        Keeper { id, terms, raft, store, memory: Mutex::default() }
    }

    fn memory(&self) -> MutexGuard<'_, Memory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn leader(&self) -> Option<u64> {
        self.raft.metrics().borrow().current_leader
    }

    /// A gatherer has called.
    fn called(&self, call: &Call) -> Told {
        let (now, mut memory) = (clock::now(), self.memory());
        memory.calls += 1;
        memory.heard.retain(|_, at| now < *at + HEARD_FOR);
        let known = memory.heard.contains_key(&call.name);
        if call.name.len() <= NAME_MOST && (known || memory.heard.len() < HEARD_MOST) {
            memory.heard.insert(call.name.clone(), now);
        }
        let state = self.store.state();
        let over = |duty: &&String| state.judge.over(&state.applied.record, duty, now, &self.terms);
        let free = call.seeks.as_ref().filter(|duty| duty.len() <= NAME_MOST).filter(over);
        let free = free.filter(|duty| memory.offered.get(*duty).is_none_or(|at| now >= *at + OFFER));
        if let Some(duty) = free {
            memory.offered.retain(|_, at| now < *at + OFFER);
            memory.offered.insert(duty.clone(), now);
        }
        let record = &state.applied.record;
        let (duties, tables) = (record.duties.clone(), record.tables.clone());
        Told { keeper: self.id, leader: self.leader(), free: free.is_some(), duties, tables }
    }

    /// What an owner asks, or who would be one: judged by this keeper's clock, agreed with the others.
    async fn asked(&self, asked: Asked) -> Answered {
        if self.leader() != Some(self.id) {
            return Answered::Elsewhere { leader: self.leader() };
        }
        let command = match asked {
            Asked::Take { duty, who } => {
                let state = self.store.state();
                match state.judge.take(&state.applied.record, &duty, &who, clock::now(), &self.terms) {
                    Ok(command) => command,
                    Err(reply) => return Answered::Reply(reply),
                }
            }
            Asked::Renew { duty, who, epoch } => Command::Renew { duty, who, epoch },
            Asked::Give { duty, who, epoch } => Command::Give { duty, who, epoch },
            Asked::Write { duty, epoch, text } => Command::Write { duty, epoch, text },
        };
        match timeout(AGREED_IN, self.raft.client_write(command)).await {
            Ok(Ok(agreed)) => Answered::Reply(agreed.data),
            Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(to)))) => {
                Answered::Elsewhere { leader: to.leader_id }
            }
            // Perhaps it is agreed later: whoever asked counts from when it asked, and asks again.
            _ => Answered::Elsewhere { leader: None },
        }
    }

    fn heard(&self) -> Heard {
        let now = clock::now();
        let age = |at: &Duration| now.saturating_sub(*at).as_millis() as u64;
        Heard(self.memory().heard.iter().map(|(name, at)| (name.clone(), age(at))).collect())
    }

    /// Takes a new keeper in and an old one out, once the new one has all that is agreed.
    async fn replace(&self, replace: &Replace) -> Result<(), String> {
        let node = BasicNode { addr: replace.address.to_string() };
        let joined = timeout(JOIN_IN, self.raft.add_learner(replace.new, node, true)).await;
        joined.map_err(|_| "the new keeper does not catch up")?.map_err(|e| e.to_string())?;
        let add = ChangeMembers::AddVoterIds([replace.new].into());
        self.raft.change_membership(add, false).await.map_err(|e| e.to_string())?;
        let remove = ChangeMembers::RemoveVoters([replace.out].into());
        self.raft.change_membership(remove, false).await.map_err(|e| e.to_string())?;
        Ok(())
    }

    pub fn router(self: Arc<Self>) -> Router {
        type Appended = Result<AppendEntriesResponse<u64>, RaftError<u64>>;
        type Voted = Result<VoteResponse<u64>, RaftError<u64>>;
        type Installed = Result<InstallSnapshotResponse<u64>, RaftError<u64, InstallSnapshotError>>;
        let append = async |keeper: Shared, Json(rpc): Json<AppendEntriesRequest<Types>>| -> Json<Appended> {
            Json(keeper.raft.append_entries(rpc).await)
        };
        let vote = async |keeper: Shared, Json(rpc): Json<VoteRequest<u64>>| -> Json<Voted> {
            Json(keeper.raft.vote(rpc).await)
        };
        let snapshot = async |keeper: Shared,
                              Json(rpc): Json<InstallSnapshotRequest<Types>>|
               -> Json<Installed> { Json(keeper.raft.install_snapshot(rpc).await) };
        let call = async |keeper: Shared, Json(call): Json<Call>| Json(keeper.called(&call));
        let ask = async |keeper: Shared, Json(asked): Json<Asked>| Json(keeper.asked(asked).await);
        let heard = async |keeper: Shared| Json(keeper.heard());
        let calls = async |keeper: Shared| Json(keeper.memory().calls);
        let replace =
            async |keeper: Shared, Json(replace): Json<Replace>| match keeper.replace(&replace).await {
                Ok(()) => (StatusCode::OK, Json("ok".to_owned())),
                Err(words) => (StatusCode::CONFLICT, Json(words)),
            };
        let health = async |keeper: Shared| match keeper.leader() {
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
            .layer(DefaultBodyLimit::max(BODY_MOST))
            .with_state(self)
    }
}
