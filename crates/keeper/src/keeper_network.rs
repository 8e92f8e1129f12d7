//! The messages of Raft between keepers: openraft's messages as JSON over HTTP/1.1.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use openraft::error::{
    InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, Timeout, Unreachable,
};
use openraft::network::{RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{AnyError, BasicNode, RPCTypes};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::Types;

/// A client for calls to keepers.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Connections to one keeper that are kept while idle.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// A client that keeps its connections.
#[must_use]
pub fn http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).pool_max_idle_per_host(MAX_IDLE_CONNECTIONS).build(connector)
}

/// Why a call brought no answer. But for [`PostError::Encode`] and [`PostError::Request`] it may have taken effect.
#[derive(Debug)]
pub enum PostError {
    /// The body has no form in JSON. Nothing was sent.
    Encode(serde_json::Error),
    /// The request could not be formed. Nothing was sent.
    Request(hyper::http::Error),
    /// No connection, or no answer.
    Call(hyper_util::client::legacy::Error),
    /// The answer broke off.
    Body(hyper::Error),
    /// The answer is no JSON of this kind.
    Decode(serde_json::Error),
}

impl fmt::Display for PostError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PostError::Encode(reason) | PostError::Decode(reason) => reason.fmt(f),
            PostError::Request(reason) => reason.fmt(f),
            PostError::Call(reason) => reason.fmt(f),
            PostError::Body(reason) => reason.fmt(f),
        }
    }
}

impl std::error::Error for PostError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(match self {
            PostError::Encode(reason) | PostError::Decode(reason) => reason,
            PostError::Request(reason) => reason,
            PostError::Call(reason) => reason,
            PostError::Body(reason) => reason,
        })
    }
}

/// What a keeper answers to a call.
#[derive(Debug)]
pub struct PostResponse<T> {
    /// The status.
    pub status: u16,
    /// The body, from JSON.
    pub body: T,
}

/// Posts JSON and reads JSON.
///
/// # Errors
///
/// Where no answer of this kind comes.
pub async fn post<A: Serialize, B: DeserializeOwned>(
    http: &HttpClient, address: SocketAddr, path: &str, body: &A,
) -> Result<PostResponse<B>, PostError> {
    let bytes = serde_json::to_vec(body).map_err(PostError::Encode)?;
    let request = Request::post(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(bytes)))
        .map_err(PostError::Request)?;
    let response = http.request(request).await.map_err(PostError::Call)?;
    let status = response.status().as_u16();
    let bytes = response.into_body().collect().await.map_err(PostError::Body)?.to_bytes();
    let body = serde_json::from_slice(&bytes).map_err(PostError::Decode)?;
    Ok(PostResponse { status, body })
}

/// The network between keepers, as openraft asks for it.
#[derive(Clone)]
pub struct KeeperNetwork {
    /// The number of this keeper.
    pub own_id: u64,
    /// For calls to the others.
    pub http: HttpClient,
    /// Where each keeper is from here; one that joined later is where it was said to be.
    pub peers: Arc<BTreeMap<u64, SocketAddr>>,
}

/// The calls to one keeper.
pub struct KeeperConnection {
    own_id: u64,
    target: u64,
    address: Option<SocketAddr>,
    http: HttpClient,
}

impl RaftNetworkFactory<Types> for KeeperNetwork {
    type Network = KeeperConnection;

    async fn new_client(&mut self, target: u64, node: &BasicNode) -> KeeperConnection {
        let address = self.peers.get(&target).copied().or_else(|| node.addr.parse().ok());
        KeeperConnection { own_id: self.own_id, target, address, http: self.http.clone() }
    }
}

/// Why a message of Raft brought no answer.
type SendError<E> = RPCError<u64, BasicNode, RaftError<u64, E>>;

impl KeeperConnection {
    async fn send<A: Serialize, B: DeserializeOwned, E>(
        &self, path: &str, kind: RPCTypes, body: &A, option: &RPCOption,
    ) -> Result<B, SendError<E>>
    where
        E: std::error::Error + DeserializeOwned,
    {
        let Some(address) = self.address else {
            return Err(RPCError::Unreachable(Unreachable::new(&AnyError::error("no address"))));
        };
        let time_limit = option.hard_ttl();
        let call = post::<A, Result<B, RaftError<u64, E>>>(&self.http, address, path, body);
        match timeout(time_limit, call).await {
            Err(_) => {
                let (id, target) = (self.own_id, self.target);
                Err(RPCError::Timeout(Timeout { action: kind, id, target, timeout: time_limit }))
            }
            Ok(Err(reason)) => Err(RPCError::Network(NetworkError::new(&reason))),
            Ok(Ok(PostResponse { body: Ok(answer), .. })) => Ok(answer),
            Ok(Ok(PostResponse { body: Err(reason), .. })) => {
                Err(RPCError::RemoteError(RemoteError::new(self.target, reason)))
            }
        }
    }
}

impl RaftNetwork<Types> for KeeperConnection {
    async fn append_entries(
        &mut self, rpc: AppendEntriesRequest<Types>, option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, RPCError<u64, BasicNode, RaftError<u64>>> {
        self.send("/raft/append", RPCTypes::AppendEntries, &rpc, &option).await
    }

    async fn install_snapshot(
        &mut self, rpc: InstallSnapshotRequest<Types>, option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, SendError<InstallSnapshotError>> {
        self.send("/raft/snapshot", RPCTypes::InstallSnapshot, &rpc, &option).await
    }

    async fn vote(
        &mut self, rpc: VoteRequest<u64>, option: RPCOption,
    ) -> Result<VoteResponse<u64>, RPCError<u64, BasicNode, RaftError<u64>>> {
        self.send("/raft/vote", RPCTypes::Vote, &rpc, &option).await
    }
}
