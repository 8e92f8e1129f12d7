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
use book::{Book, Final};
use pool::Pool;
use route::{Actions, Hand};

/// What a shard server takes, here and in the module, in bytes, beside its id in five places.
const SERVER_BYTES: u64 = 640;

/// Unix time, told once at start and then by the monotonic clock: a server's start can be compared
/// with it, and it never goes back.
struct Clock {
    unix: Duration,
    start: Instant,
}

impl Clock {
    fn at(&self, instant: Instant) -> Duration {
        self.unix + instant.saturating_duration_since(self.start)
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
    gatherer: Gatherer<Hand>,
    actions: Actions,
    clock: Clock,
    tick: Duration,
    now: Instant,
    /// When those who find no room may come back.
    back_after: Option<Duration>,
    next_id: u64,
    book: Book,
    pool: Pool,
    ledger: Ledger,
    /// What the shard servers take.
    servers: Charge,
    /// When the module asked to be woken, with its token.
    wakes: BTreeSet<(Instant, u64)>,
    list_requested: Rc<Notify>,
    ready: Option<oneshot::Sender<()>>,
}

impl Routing {
    pub(crate) fn new(
        settings: &Settings, network: &Network, known: &ServerList, ends: RoutingContext,
    ) -> Result<Self, NoRoom> {
        let RoutingContext { max_connections, events, list_requested, ready, ledger } = ends;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = Instant::now();
        let actions = Actions::default();
        let gatherer = Gatherer::new(Hand(actions.clone()), settings, unix);
        let mut routing = Routing {
            gatherer,
            actions,
            clock: Clock { unix, start: now },
            tick: settings.tick,
            now,
            back_after: settings.back_after,
            next_id: 0,
            book: Book::new(network, settings, ledger.clone()),
            pool: Pool::new(network, max_connections, events, ledger.clone()),
            servers: ledger.take(Purpose::Servers, None, 0)?,
            ledger,
            wakes: BTreeSet::new(),
            list_requested,
            ready: Some(ready),
        };
        routing.carry_out();
        if !routing.listed(known) {
            let count = known.servers.len();
            log::error!(servers = count; "no room for the known list: it is left out");
        }
        Ok(routing)
    }

    pub(crate) async fn run(mut self, mut inbox: mpsc::Receiver<Event>, left: Arc<EndedHandlers>) {
        loop {
            let mut first = None;
            let due = self.due();
            tokio::select! {
                biased;
                event = inbox.recv() => match event {
                    Some(event) => first = Some(event),
                    None => return,
                },
                () = left.any_ended() => {}
                () = sleep_until(due) => {}
            }
            // Turns are no closer than the settings say: what comes between them shares frames.
            sleep_until(self.now + self.tick).await;
            // After a halt the sockets are read before any wait is counted as over.
            tokio::task::yield_now().await;
            self.turn(first, &mut inbox, &left);
        }
    }

    /// When the next turn is due if nothing happens.
    fn due(&self) -> Instant {
        let wake = self.wakes.first().map(|(at, _)| *at);
        let due = wake.into_iter().chain(self.pool.due()).min();
        due.unwrap_or_else(|| self.now + Duration::from_secs(1))
    }

    fn turn(&mut self, first: Option<Event>, inbox: &mut mpsc::Receiver<Event>, gone: &EndedHandlers) {
        self.now = Instant::now();
        self.gatherer.at(self.clock.at(self.now));
        self.pool.at(self.now);
        self.ledger.at(self.now - self.clock.start);
        let mut left = inbox.max_capacity();
        let mut next = first.or_else(|| inbox.try_recv().ok());
        while let Some(event) = next {
            self.event(event);
            left -= 1;
            next = Some(left).filter(|left| *left > 0).and_then(|_| inbox.try_recv().ok());
        }
        let gone = self.book.left(gone.take_tickets());
        self.abandon(gone);
        self.pool.overdue();
        self.relay_ended();
        while let Some((_, token)) = self.wakes.first().copied().filter(|(at, _)| *at <= self.now) {
            self.wakes.pop_first();
            self.gatherer.woke(token);
            self.carry_out();
        }
        self.pool.flush();
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::QueryReceived { query, arrived, charge, ticket, reply } => {
                self.take_in(query, arrived, ticket, reply);
                drop(charge);
            }
            Event::ServerList(list, taken) => {
                let _ = taken.send(self.listed(&list));
            }
            Event::ServerListFailed => {
                self.gatherer.list_failed();
                self.carry_out();
            }
            Event::GathererCount(alive) => self.gatherer.fleet_is(alive),
            Event::Connected(connection) => self.pool.up(connection),
            Event::CallAnswered { connection, id, status, value, charge } => {
                self.answered(connection, &id, status, value);
                drop(charge);
            }
            Event::Disconnected(connection) => self.pool.down(connection),
            Event::ShuttingDown => self.abandon(self.book.all()),
        }
    }

    fn abandon(&mut self, queries: Vec<u64>) {
        for id in queries {
            self.gatherer.abandoned(id);
            self.carry_out();
            self.over(id, Final::Abort);
        }
    }

    /// Takes a list over, whole or, where there is no room for it, not at all.
    fn listed(&mut self, list: &ServerList) -> bool {
        if self.servers.resize(self.pool.room_with(list, SERVER_BYTES)).is_err() {
            return false;
        }
        self.gatherer.list_begins(list.complete);
        for s in &list.servers {
            self.gatherer.server_listed(&s.id, s.health, s.cell, s.zone, s.started_at);
        }
        self.carry_out();
        self.pool.listed(list);
        if list.servers.iter().any(|s| s.health == Health::Ready) {
            self.ready.take().map(|ready| ready.send(()));
        }
        true
    }
}
