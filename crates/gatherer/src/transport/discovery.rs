//! The client of discovery: follows the server list with long polls, one at a time.

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

/// Maximum time that discovery may hold a request until the list changes. It is short, so that the request is
/// soon repeated if discovery does not answer.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(5);
/// Additional time within which the response must be complete. It is short because discovery is on the same
/// host.
const RESPONSE_MARGIN: Duration = Duration::from_secs(1);
/// Delay after a failed request. It avoids a busy loop, and is short enough to recover within the time that a
/// long poll takes.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum length of a list, enough for several thousand servers.
const MAX_LIST_BYTES: u64 = 2 * 1024 * 1024;
/// Ratio of the memory that is charged for a list to the length of its text: the text itself and the decoded
/// list.
const LIST_MEMORY_RATIO: u64 = 2;

type BoxError = Box<dyn Error + Send + Sync>;

/// Formats an error with its causes.
fn format_error_chain(error: &dyn Error) -> String {
    error.source().map_or(error.to_string(), |cause| format!("{error}: {}", format_error_chain(cause)))
}

/// Follows the server list of discovery and passes it to routing.
pub(crate) struct DiscoveryClient {
    /// Address of discovery. When it changes, a request to the previous address is abandoned.
    pub address: watch::Receiver<SocketAddr>,
    pub network: Arc<Network>,
    pub ledger: Ledger,
    pub events: mpsc::Sender<Event>,
    /// Notified when the decision module requests the server list. Ends the delay after a failed request.
    pub list_requested: Rc<Notify>,
    /// Notified when the first list from a new address has been applied.
    pub first_list_received: Rc<Notify>,
}

impl DiscoveryClient {
    /// Requests the changes after a revision, or the complete list at once if `after` is `None`. Returns the
    /// list with the charge for its memory.
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
                return Err("discovery sent an incremental list instead of a complete one".into());
            }
            Ok((list, charge))
        };
        timeout(wait + RESPONSE_MARGIN, exchange)
            .await
            .unwrap_or_else(|_| Err("no response within the timeout".into()))
    }

    /// Passes a list to routing. Returns its revision once it is applied. Without enough memory, no part of
    /// the list is applied, and it is requested again.
    async fn apply_list(&self, list: ServerList) -> Result<u64, BoxError> {
        let (applied, is_applied) = oneshot::channel();
        let (revision, servers) = (list.revision, list.servers.len());
        let _ = self.events.send(Event::ServerList(list, applied)).await;
        match is_applied.await {
            Ok(false) => Err(format!("not enough memory for a list of {servers} servers").into()),
            _ => Ok(revision),
        }
    }

    /// Follows the list at the current address and never returns. `revision` is the revision already applied,
    /// or `None` to begin with the complete list.
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
            // Logs when the error changes or ends instead of at each request.
            match &error_text {
                Some(error) if last_error != error_text => {
                    log::warn!("request to discovery failed: {error}; keeping the current server list")
                }
                None if last_error.is_some() => log::info!("discovery is available again"),
                _ => {}
            }
            let applied_revision = answer.ok();
            if applied_revision.is_some_and(|applied_revision| revision.replace(applied_revision).is_none()) {
                self.first_list_received.notify_one();
            }
            if error_text.is_some() {
                // Fails only when the program ends, because routing runs until then.
                let _ = self.events.send(Event::ServerListFailed).await;
                let _ = timeout(RETRY_DELAY, self.list_requested.notified()).await;
            }
            last_error = error_text;
        }
    }

    /// Follows the list at the current address and never returns. `revision` applies only to the first
    /// address: revisions from another address are unrelated to it.
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
