//! Client side of the Raft network between keepers: openraft's messages as JSON over HTTP/1.1.

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

/// HTTP client for calls to keepers.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Maximum number of idle connections to one keeper.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Creates a client that pools its connections.
#[must_use]
pub fn http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).pool_max_idle_per_host(MAX_IDLE_CONNECTIONS).build(connector)
}

/// Failure of a call. Except after [`PostError::Encode`] and [`PostError::Request`], the call may have taken
/// effect.
#[derive(Debug)]
pub enum PostError {
    /// The body cannot be serialized to JSON. Nothing was sent.
    Encode(serde_json::Error),
    /// The request could not be built. Nothing was sent.
    Request(hyper::http::Error),
    /// The connection failed or no response arrived.
    Call(hyper_util::client::legacy::Error),
    /// The response body was truncated.
    Body(hyper::Error),
    /// The response body is not JSON of the expected type.
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

/// Response of a keeper.
#[derive(Debug)]
pub struct PostResponse<T> {
    /// HTTP status.
    pub status: u16,
    /// Body, parsed from JSON.
    pub body: T,
}

/// Sends a POST request with a JSON body and parses the JSON response.
///
/// # Errors
///
/// Returns an error if the request fails or the response cannot be parsed.
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

/// Factory that creates openraft's connections to other keepers.
#[derive(Clone)]
pub struct KeeperNetwork {
    /// Number of this keeper.
    pub own_id: u64,
    /// Client for calls to the other keepers.
    pub http: HttpClient,
    /// Addresses of the keepers as reachable from this one. For a keeper that joined later, the address in
    /// Raft's membership is used.
    pub peers: Arc<BTreeMap<u64, SocketAddr>>,
}

/// Connection to one other keeper.
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

/// Failure of a Raft message.
type SendError<E> = RPCError<u64, BasicNode, RaftError<u64, E>>;

impl KeeperConnection {
    async fn send<A: Serialize, B: DeserializeOwned, E>(
        &self, path: &str, kind: RPCTypes, body: &A, option: &RPCOption,
    ) -> Result<B, SendError<E>>
    where
        E: std::error::Error + DeserializeOwned,
    {
        let Some(address) = self.address else {
            return Err(RPCError::Unreachable(Unreachable::new(&AnyError::error(
                "keeper has no valid address",
            ))));
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
