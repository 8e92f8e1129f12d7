//! The watch on discovery: one call after the other, each waiting for news.

use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashvane_memory::{Charge, Ledger, Purpose};
use ashvane_settings::Network;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Body as _;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::timeout;

use crate::protocol::event::Event;
use crate::protocol::list::{self, ServerList};

/// How long a call may wait for news: short, so that a silent discovery is soon asked anew.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time beyond it in which an answer must be whole: it comes from this machine.
const RESPONSE_MARGIN: Duration = Duration::from_secs(1);
/// Pause after a call that failed: within the time in which a watch goes on, yet no spin.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// The longest list that is read: some thousands of servers.
const MAX_LIST_BYTES: u64 = 2 * 1024 * 1024;
/// Times its text that a list takes while it is read and taken over: the text, and what is read from it.
const LIST_MEMORY_RATIO: u64 = 2;

type BoxError = Box<dyn Error + Send + Sync>;

/// An error with its causes.
fn format_error_chain(error: &dyn Error) -> String {
    error.source().map_or(error.to_string(), |cause| format!("{error}: {}", format_error_chain(cause)))
}

pub(crate) struct DiscoveryClient {
    /// Where it is asked; a newer address takes the place of the one before, with whatever is asked there.
    pub address: watch::Receiver<SocketAddr>,
    pub network: Arc<Network>,
    pub ledger: Ledger,
    pub events: mpsc::Sender<Event>,
    /// The decisions ask for the list: a pause ends.
    pub list_requested: Rc<Notify>,
    /// A whole list came from an address that had not told one yet.
    pub first_list_received: Rc<Notify>,
}

impl DiscoveryClient {
    /// Asks for what is newer than a revision, or at once for the whole list.
    async fn request_list(
        &self, client: &Client<HttpConnector, Full<Bytes>>, after: Option<u64>,
    ) -> Result<(ServerList, Charge), BoxError> {
        let wait = after.map_or(Duration::ZERO, |_| LONG_POLL_TIMEOUT);
        let watch =
            after.map_or(String::new(), |after| format!("?after={after}&wait_ms={}", wait.as_millis()));
        let uri = format!("http://{}/v1/servers{watch}", *self.address.borrow()).parse()?;
        let exchange = async {
            let answer = client.get(uri).await?;
            if !answer.status().is_success() {
                return Err(format!("status {}", answer.status()).into());
            }
            let max_bytes =
                MAX_LIST_BYTES.min(self.ledger.limits().of(Purpose::Servers).cap / LIST_MEMORY_RATIO);
            let length = answer.body().size_hint().upper().unwrap_or(max_bytes);
            let charge =
                self.ledger.take(Purpose::Servers, None, length.saturating_mul(LIST_MEMORY_RATIO))?;
            let body = Limited::new(answer.into_body(), length as usize).collect().await?.to_bytes();
            let list = list::decode(&body, &self.network)?;
            if after.is_none() && !list.complete {
                return Err("not the whole list".into());
            }
            Ok((list, charge))
        };
        timeout(wait + RESPONSE_MARGIN, exchange).await.unwrap_or_else(|_| Err("no answer in time".into()))
    }

    /// Tells the decisions a list: its revision, once they have taken it over. One that finds no room is kept
    /// out whole, and asked for again as if it had not come.
    async fn apply_list(&self, list: ServerList) -> Result<u64, BoxError> {
        let (applied, is_applied) = oneshot::channel();
        let (revision, servers) = (list.revision, list.servers.len());
        let _ = self.events.send(Event::ServerList(list, applied)).await;
        match is_applied.await {
            Ok(false) => Err(format!("no room for a list of {servers} servers").into()),
            _ => Ok(revision),
        }
    }

    /// Follows the list at one address for good. `revision` is what is known of it already, if anything is.
    async fn follow_address(&self, mut revision: Option<u64>) {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(1).build(connector);
        let mut last_error: Option<String> = None;
        loop {
            let answer = match self.request_list(&client, revision).await {
                Ok((list, _charge)) => self.apply_list(list).await,
                Err(error) => Err(error),
            };
            let error_text = answer.as_ref().err().map(|e| format_error_chain(e.as_ref()));
            // One line for each kind of trouble and one for its end, not one for each call.
            match &error_text {
                Some(error) if last_error != error_text => log::warn!("discovery: {error}; the list stays"),
                None if last_error.is_some() => log::info!("discovery answers again"),
                _ => {}
            }
            let applied_revision = answer.ok();
            if applied_revision.is_some_and(|applied_revision| revision.replace(applied_revision).is_none()) {
                self.first_list_received.notify_one();
            }
            if error_text.is_some() {
                // The decisions are gone only when the program ends.
                let _ = self.events.send(Event::ServerListFailed).await;
                let _ = timeout(RETRY_DELAY, self.list_requested.notified()).await;
            }
            last_error = error_text;
        }
    }

    /// Follows the list for good, at the newest address. What is known of the list counts at the first only:
    /// another's revisions need not go on from there.
    pub(crate) async fn run(self, revision: u64) {
        let (mut address, mut revision) = (self.address.clone(), Some(revision));
        loop {
            tokio::select! {
                () = self.follow_address(revision) => {}
                Ok(()) = address.changed() => revision = None,
            }
        }
    }
}
