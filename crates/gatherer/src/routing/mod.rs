//! The event loop around the decision module [`Gatherer`], which it owns. Events arrive over a bounded
//! channel and are passed to the module in turns. The module only queues actions, which run after it has
//! returned. A query passes the stages `take_in`, `admit`, `route`, `pool`, `relay` and `book`.

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

/// Memory of a shard server's records here and in the decision module. Its id, stored five times, is extra.
const SERVER_OVERHEAD_BYTES: u64 = 640;

/// Unix time that is read once at start and then advanced by the monotonic clock. It never goes back and can
/// be compared with the start times of servers.
struct Clock {
    unix_start: Duration,
    started_at: Instant,
}

impl Clock {
    fn unix_time(&self, instant: Instant) -> Duration {
        self.unix_start + instant.saturating_duration_since(self.started_at)
    }
}

/// What routing shares with the rest of the program.
pub(crate) struct RoutingContext {
    /// Maximum number of connections to shard servers.
    pub max_connections: usize,
    /// Sender of the events that the connections report.
    pub events: mpsc::Sender<Event>,
    /// Notified when the decision module requests the server list.
    pub list_requested: Rc<Notify>,
    /// Completed when a list has a ready server for the first time.
    pub ready: oneshot::Sender<()>,
    pub ledger: Ledger,
}

/// The decision module and everything that carries out its actions.
pub(crate) struct Routing {
    gatherer: Gatherer<QueueingHost>,
    actions: ActionQueue,
    clock: Clock,
    /// Minimum time between the starts of two turns.
    min_turn_interval: Duration,
    /// Start of the current turn.
    now: Instant,
    /// Retry-After time for queries that are rejected before the decision module sees them.
    retry_after: Option<Duration>,
    /// Next unused number for a query or a part.
    next_id: u64,
    queries: QueryTable,
    pool: Pool,
    ledger: Ledger,
    /// Memory of the shard servers' records.
    servers_charge: Charge,
    /// Timers that the decision module has set, with their tokens.
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
            log::error!(servers = count; "no memory for the configured server list; starting without it");
        }
        Ok(routing)
    }

    /// Processes events until the channel closes.
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
            // Turns keep a minimum interval, so that calls requested within it share frames.
            sleep_until(self.now + self.min_turn_interval).await;
            // After the process was paused, lets the socket tasks deliver received answers before timers
            // expire.
            tokio::task::yield_now().await;
            self.turn(first, &mut inbox, &ended_handlers);
        }
    }

    /// Returns when the next turn is due if no event arrives before.
    fn next_deadline(&self) -> Instant {
        let timer = self.timers.first().map(|(at, _)| *at);
        let deadline = timer.into_iter().chain(self.pool.next_deadline()).min();
        deadline.unwrap_or_else(|| self.now + Duration::from_secs(1))
    }

    /// Processes queued events, abandoned queries, expired calls and timers, then sends pending calls.
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
            Event::ShuttingDown => self.abandon_queries(self.queries.query_numbers()),
        }
    }

    /// Aborts queries, and tells the decision module that their clients no longer wait for them.
    fn abandon_queries(&mut self, queries: Vec<u64>) {
        for id in queries {
            self.gatherer.query_abandoned(id);
            self.run_actions();
            self.finish_query(id, FinalReply::Abort);
        }
    }

    /// Applies a server list. Returns false, and applies none of it, if there is no memory for it.
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
