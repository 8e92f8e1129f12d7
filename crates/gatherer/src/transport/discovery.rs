//! The watch on discovery: one call after the other, each waiting for news.

use std::rc::Rc;
use std::time::Duration;

use ashvane_settings::Network;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;

use crate::protocol::list::{self, List};
use crate::routing::Event;

/// How long a call may wait for news: short, so that a silent discovery is soon asked anew.
const WAIT: Duration = Duration::from_secs(5);
/// Time beyond it in which an answer must be whole: it comes from this machine.
const MARGIN: Duration = Duration::from_secs(1);
/// Pause after a call that failed: within the time in which a watch goes on, yet no spin.
const PAUSE: Duration = Duration::from_millis(150);
/// The longest list that is read: some thousands of servers.
const LIST_MOST: usize = 2 * 1024 * 1024;

type Words = Box<dyn std::error::Error + Send + Sync>;

pub struct Discovery {
    pub address: String,
    pub network: Rc<Network>,
    pub events: mpsc::Sender<Event>,
    /// The decisions ask for the list: a pause ends.
    pub asked: Rc<Notify>,
}

impl Discovery {
    async fn ask(&self, client: &Client<HttpConnector, Empty<Bytes>>, after: u64) -> Result<List, Words> {
        let wait = WAIT.as_millis();
        let uri = format!("http://{}/v1/servers?after={after}&wait_ms={wait}", self.address).parse()?;
        let answer = client.get(uri).await?;
        if !answer.status().is_success() {
            return Err(format!("status {}", answer.status()).into());
        }
        let body = Limited::new(answer.into_body(), LIST_MOST).collect().await?.to_bytes();
        Ok(list::decode(&body, &self.network)?)
    }

    pub async fn run(self, mut revision: u64) {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(1).build(connector);
        loop {
            let event = match timeout(WAIT + MARGIN, self.ask(&client, revision)).await {
                Ok(Ok(list)) => {
                    revision = list.revision;
                    Event::Listed(list)
                }
                Ok(Err(e)) => {
                    log::warn!("discovery: {e}");
                    Event::ListFailed
                }
                Err(_) => {
                    log::warn!("discovery is silent");
                    Event::ListFailed
                }
            };
            let failed = matches!(event, Event::ListFailed);
            if self.events.send(event).await.is_err() {
                return;
            }
            if failed {
                let _ = timeout(PAUSE, self.asked.notified()).await;
            }
        }
    }
}
