//! What keepers say to each other: openraft's messages as JSON over HTTP/1.1.

use std::collections::BTreeMap;
use std::fmt::Display;
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

pub type Http = Client<HttpConnector, Full<Bytes>>;

pub fn http() -> Http {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).pool_max_idle_per_host(4).build(connector)
}

/// Posts JSON and reads JSON: the status and the answer.
pub async fn post<A: Serialize, B: DeserializeOwned>(
    http: &Http, address: SocketAddr, path: &str, body: &A,
) -> Result<(u16, B), String> {
    let told = |e: &dyn Display| e.to_string();
    let bytes = serde_json::to_vec(body).map_err(|e| told(&e))?;
    let request = Request::post(format!("http://{address}{path}")).header("content-type", "application/json");
    let request = request.body(Full::new(Bytes::from(bytes))).map_err(|e| told(&e))?;
    let (head, body) = http.request(request).await.map_err(|e| told(&e))?.into_parts();
    let bytes = body.collect().await.map_err(|e| told(&e))?.to_bytes();
    Ok((head.status.as_u16(), serde_json::from_slice(&bytes).map_err(|e| told(&e))?))
}

/// Ways to the other keepers.
#[derive(Clone)]
pub struct Ways {
    pub me: u64,
    pub http: Http,
    /// Where each is from here; one that joined later is where it was said to be.
    pub peers: Arc<BTreeMap<u64, SocketAddr>>,
}

pub struct Way {
    me: u64,
    target: u64,
    address: Option<SocketAddr>,
    http: Http,
}

impl RaftNetworkFactory<Types> for Ways {
    type Network = Way;

    async fn new_client(&mut self, target: u64, node: &BasicNode) -> Way {
        let address = self.peers.get(&target).copied().or_else(|| node.addr.parse().ok());
        Way { me: self.me, target, address, http: self.http.clone() }
    }
}

type Failed<E> = RPCError<u64, BasicNode, RaftError<u64, E>>;

impl Way {
    async fn send<A: Serialize, B: DeserializeOwned, E>(
        &self, path: &str, kind: RPCTypes, body: &A, option: &RPCOption,
    ) -> Result<B, Failed<E>>
    where
        E: std::error::Error + DeserializeOwned,
    {
        let unreachable = |words: String| RPCError::Unreachable(Unreachable::new(&AnyError::error(words)));
        let Some(address) = self.address else { return Err(unreachable("no address".into())) };
        let limit = option.hard_ttl();
        let asking = post::<A, Result<B, RaftError<u64, E>>>(&self.http, address, path, body);
        match timeout(limit, asking).await {
            Err(_) => {
                let (id, target) = (self.me, self.target);
                Err(RPCError::Timeout(Timeout { action: kind, id, target, timeout: limit }))
            }
            Ok(Err(words)) => Err(RPCError::Network(NetworkError::new(&AnyError::error(words)))),
            Ok(Ok((_, Ok(answer)))) => Ok(answer),
            Ok(Ok((_, Err(error)))) => Err(RPCError::RemoteError(RemoteError::new(self.target, error))),
        }
    }
}

impl RaftNetwork<Types> for Way {
    async fn append_entries(
        &mut self, rpc: AppendEntriesRequest<Types>, option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, RPCError<u64, BasicNode, RaftError<u64>>> {
        self.send("/raft/append", RPCTypes::AppendEntries, &rpc, &option).await
    }

    async fn install_snapshot(
        &mut self, rpc: InstallSnapshotRequest<Types>, option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, Failed<InstallSnapshotError>> {
        self.send("/raft/snapshot", RPCTypes::InstallSnapshot, &rpc, &option).await
    }

    async fn vote(
        &mut self, rpc: VoteRequest<u64>, option: RPCOption,
    ) -> Result<VoteResponse<u64>, RPCError<u64, BasicNode, RaftError<u64>>> {
        self.send("/raft/vote", RPCTypes::Vote, &rpc, &option).await
    }
}
