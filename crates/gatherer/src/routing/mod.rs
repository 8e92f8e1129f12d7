//! The one owner of the decisions. Everything that happens comes here as an event over a bounded
//! channel and is told to the module turn by turn; what the module wants done is only queued, and
//! carried out after it. A query passes the stages take in, admit, route, send, relay and book.

mod admit;
mod book;
mod pool;
mod relay;
mod route;
mod take_in;
#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ashvane::{Gatherer, Health, Settings};
use ashvane_memory::{Charge, Ledger, NoRoom, Purpose};
use ashvane_settings::Network;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::protocol::event::{EndedHandlers, Event};
use crate::protocol::list::ServerList;
use book::{FinalReply, QueryTable};
use pool::Pool;
use route::{ActionQueue, QueueingHost};

/// What a shard server takes, here and in the module, in bytes, beside its id in five places.
const SERVER_OVERHEAD_BYTES: u64 = 640;

/// Unix time, told once at start and then by the monotonic clock: a server's start can be compared
/// with it, and it never goes back.
struct Clock {
    unix_start: Duration,
    started_at: Instant,
}

impl Clock {
    fn unix_time(&self, instant: Instant) -> Duration {
        self.unix_start + instant.saturating_duration_since(self.started_at)
    }
}

/// What the decisions are joined to.
pub(crate) struct RoutingContext {
    /// The most connections to shard servers.
    pub max_connections: usize,
    pub events: mpsc::Sender<Event>,
    /// Told when the list of servers is wanted.
    pub list_requested: Rc<Notify>,
    /// Told when a server is ready for the first time.
    pub ready: oneshot::Sender<()>,
    pub ledger: Ledger,
}

pub(crate) struct Routing {
    gatherer: Gatherer<QueueingHost>,
    actions: ActionQueue,
    clock: Clock,
    min_turn_interval: Duration,
    now: Instant,
    /// When those who find no room may come back.
    retry_after: Option<Duration>,
    next_id: u64,
    queries: QueryTable,
    pool: Pool,
    ledger: Ledger,
    /// What the shard servers take.
    servers_charge: Charge,
    /// When the module asked to be woken, with its token.
    timers: BTreeSet<(Instant, u64)>,
    list_requested: Rc<Notify>,
    ready: Option<oneshot::Sender<()>>,
}

impl Routing {
    pub(crate) fn new(
        settings: &Settings, network: &Network, initial_servers: &ServerList, context: RoutingContext,
    ) -> Result<Self, NoRoom> {
        let RoutingContext { max_connections, events, list_requested, ready, ledger } = context;
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = Instant::now();
        let actions = ActionQueue::default();
        let gatherer = Gatherer::new(QueueingHost(actions.clone()), settings, unix_start);
        let mut routing = Routing {
            gatherer,
            actions,
            clock: Clock { unix_start, started_at: now },
            min_turn_interval: settings.tick,
            now,
            retry_after: settings.max_retry_after,
            next_id: 0,
            queries: QueryTable::new(network, settings, ledger.clone()),
            pool: Pool::new(network, max_connections, events, ledger.clone()),
            servers_charge: ledger.take(Purpose::Servers, None, 0)?,
            ledger,
            timers: BTreeSet::new(),
            list_requested,
            ready: Some(ready),
        };
        routing.run_actions();
        if !routing.apply_list(initial_servers) {
            let count = initial_servers.servers.len();
            log::error!(servers = count; "no room for the known list: it is left out");
        }
        Ok(routing)
    }

    pub(crate) async fn run(mut self, mut inbox: mpsc::Receiver<Event>, ended_handlers: Arc<EndedHandlers>) {
        loop {
            let mut first = None;
            let deadline = self.next_deadline();
            tokio::select! {
                biased;
                event = inbox.recv() => match event {
                    Some(event) => first = Some(event),
                    None => return,
                },
                () = ended_handlers.any_ended() => {}
                () = sleep_until(deadline) => {}
            }
            // Turns are no closer than the settings say: what comes between them shares frames.
            sleep_until(self.now + self.min_turn_interval).await;
            // After a halt the sockets are read before any wait is counted as over.
            tokio::task::yield_now().await;
            self.turn(first, &mut inbox, &ended_handlers);
        }
    }

    /// When the next turn is due if nothing happens.
    fn next_deadline(&self) -> Instant {
        let timer = self.timers.first().map(|(at, _)| *at);
        let deadline = timer.into_iter().chain(self.pool.next_deadline()).min();
        deadline.unwrap_or_else(|| self.now + Duration::from_secs(1))
    }

    fn turn(
        &mut self, first: Option<Event>, inbox: &mut mpsc::Receiver<Event>, ended_handlers: &EndedHandlers,
    ) {
        self.now = Instant::now();
        self.gatherer.advance_to(self.clock.unix_time(self.now));
        self.pool.set_now(self.now);
        self.ledger.at(self.now - self.clock.started_at);
        let mut remaining = inbox.max_capacity();
        let mut next = first.or_else(|| inbox.try_recv().ok());
        while let Some(event) = next {
            self.handle_event(event);
            remaining -= 1;
            next = Some(remaining).filter(|remaining| *remaining > 0).and_then(|_| inbox.try_recv().ok());
        }
        let abandoned = self.queries.queries_of(ended_handlers.take_tickets());
        self.abandon_queries(abandoned);
        self.pool.expire();
        self.report_ended_calls();
        while let Some((_, token)) = self.timers.first().copied().filter(|(at, _)| *at <= self.now) {
            self.timers.pop_first();
            self.gatherer.timer_fired(token);
            self.run_actions();
        }
        self.pool.flush();
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::QueryReceived { query, arrived, charge, ticket, reply } => {
                self.accept(query, arrived, ticket, reply);
                drop(charge);
            }
            Event::ServerList(list, applied) => {
                let _ = applied.send(self.apply_list(&list));
            }
            Event::ServerListFailed => {
                self.gatherer.server_list_failed();
                self.run_actions();
            }
            Event::GathererCount(alive) => self.gatherer.set_gatherer_count(alive),
            Event::Connected(connection) => self.pool.connection_up(connection),
            Event::CallAnswered { connection, id, status, value, charge } => {
                self.handle_answer(connection, &id, status, value);
                drop(charge);
            }
            Event::Disconnected(connection) => self.pool.connection_down(connection),
            Event::ShuttingDown => self.abandon_queries(self.queries.query_ids()),
        }
    }

    fn abandon_queries(&mut self, queries: Vec<u64>) {
        for id in queries {
            self.gatherer.query_abandoned(id);
            self.run_actions();
            self.finish_query(id, FinalReply::Abort);
        }
    }

    /// Takes a list over, whole or, where there is no room for it, not at all.
    fn apply_list(&mut self, list: &ServerList) -> bool {
        if self.servers_charge.resize(self.pool.required_bytes(list, SERVER_OVERHEAD_BYTES)).is_err() {
            return false;
        }
        self.gatherer.begin_server_list(list.complete);
        for server in &list.servers {
            self.gatherer.update_server(
                &server.id,
                server.health,
                server.cell,
                server.zone,
                server.started_at,
            );
        }
        self.run_actions();
        self.pool.apply_list(list);
        if list.servers.iter().any(|server| server.health == Health::Ready) {
            self.ready.take().map(|ready| ready.send(()));
        }
        true
    }
}
