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
const WAIT: Duration = Duration::from_secs(5);
/// Time beyond it in which an answer must be whole: it comes from this machine.
const MARGIN: Duration = Duration::from_secs(1);
/// Pause after a call that failed: within the time in which a watch goes on, yet no spin.
const PAUSE: Duration = Duration::from_millis(150);
/// The longest list that is read: some thousands of servers.
const LIST_MOST: u64 = 2 * 1024 * 1024;
/// Times its text that a list takes while it is read and taken over: the text, and what is read from it.
const LIST_TIMES: u64 = 2;

type Words = Box<dyn Error + Send + Sync>;

/// An error with its causes.
fn told(error: &dyn Error) -> String {
    error.source().map_or(error.to_string(), |cause| format!("{error}: {}", told(cause)))
}

pub(crate) struct Discovery {
    /// Where it is asked; a newer address takes the place of the one before, with whatever is asked there.
    pub address: watch::Receiver<SocketAddr>,
    pub network: Arc<Network>,
    pub ledger: Ledger,
    pub events: mpsc::Sender<Event>,
    /// The decisions ask for the list: a pause ends.
    pub asked: Rc<Notify>,
    /// A whole list came from an address that had not told one yet.
    pub followed: Rc<Notify>,
}

impl Discovery {
    /// Asks for what is newer than a revision, or at once for the whole list.
    async fn ask(
        &self, client: &Client<HttpConnector, Full<Bytes>>, after: Option<u64>,
    ) -> Result<(ServerList, Charge), Words> {
        let wait = after.map_or(Duration::ZERO, |_| WAIT);
        let watch =
            after.map_or(String::new(), |after| format!("?after={after}&wait_ms={}", wait.as_millis()));
        let uri = format!("http://{}/v1/servers{watch}", *self.address.borrow()).parse()?;
        let asking = async {
            let answer = client.get(uri).await?;
            if !answer.status().is_success() {
                return Err(format!("status {}", answer.status()).into());
            }
            let most = LIST_MOST.min(self.ledger.limits().of(Purpose::Servers).cap / LIST_TIMES);
            let length = answer.body().size_hint().upper().unwrap_or(most);
            let room = self.ledger.take(Purpose::Servers, None, length.saturating_mul(LIST_TIMES))?;
            let body = Limited::new(answer.into_body(), length as usize).collect().await?.to_bytes();
            let list = list::decode(&body, &self.network)?;
            if after.is_none() && !list.complete {
                return Err("not the whole list".into());
            }
            Ok((list, room))
        };
        timeout(wait + MARGIN, asking).await.unwrap_or_else(|_| Err("no answer in time".into()))
    }

    /// Tells the decisions a list: its revision, once they have taken it over. One that finds no room is kept
    /// out whole, and asked for again as if it had not come.
    async fn tell(&self, list: ServerList) -> Result<u64, Words> {
        let (taken, is_taken) = oneshot::channel();
        let (revision, servers) = (list.revision, list.servers.len());
        let _ = self.events.send(Event::ServerList(list, taken)).await;
        match is_taken.await {
            Ok(false) => Err(format!("no room for a list of {servers} servers").into()),
            _ => Ok(revision),
        }
    }

    /// Follows the list at one address for good. `revision` is what is known of it already, if anything is.
    async fn follow(&self, mut revision: Option<u64>) {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(1).build(connector);
        let mut trouble: Option<String> = None;
        loop {
            let answer = match self.ask(&client, revision).await {
                Ok((list, _room)) => self.tell(list).await,
                Err(words) => Err(words),
            };
            let failed = answer.as_ref().err().map(|e| told(e.as_ref()));
            // One line for each kind of trouble and one for its end, not one for each call.
            match &failed {
                Some(words) if trouble != failed => log::warn!("discovery: {words}; the list stays"),
                None if trouble.is_some() => log::info!("discovery answers again"),
                _ => {}
            }
            let newest = answer.ok();
            if newest.is_some_and(|newest| revision.replace(newest).is_none()) {
                self.followed.notify_one();
            }
            if failed.is_some() {
                // The decisions are gone only when the program ends.
                let _ = self.events.send(Event::ServerListFailed).await;
                let _ = timeout(PAUSE, self.asked.notified()).await;
            }
            trouble = failed;
        }
    }

    /// Follows the list for good, at the newest address. What is known of the list counts at the first only:
    /// another's revisions need not go on from there.
    pub(crate) async fn run(self, revision: u64) {
        let (mut address, mut revision) = (self.address.clone(), Some(revision));
        loop {
            tokio::select! {
                () = self.follow(revision) => {}
                Ok(()) = address.changed() => revision = None,
            }
        }
    }
}
