//! Routing turn by turn, without sockets: with many servers and calls, and on a clock that stops and jumps.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use ashvane_memory::Limits;
use serde_json::json;
use tokio::sync::oneshot::Receiver;
use tokio::task::LocalSet;
use tokio::time::advance;

use super::*;
use crate::protocol::frame::CallStatus;
use crate::protocol::list::ServerEntry;
use crate::protocol::query::{Part, Query, Reply};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Maximum duration of a turn. Nothing else of the gatherer runs during a turn.
const MAX_TURN_DURATION: Duration = ms(100);
/// How often the measurement is repeated on a busy machine; one attempt within the maximum is enough.
const MAX_ATTEMPTS: usize = 5;
/// Maximum number of leaf calls for one part in the settings of these tests.
const MAX_CALLS_PER_PART: usize = 3;

/// Routing with an inbox that the test fills. The real connection tasks report to a channel that nobody
/// reads; the test reports their events instead.
struct Harness {
    routing: Routing,
    events: mpsc::Sender<Event>,
    inbox: mpsc::Receiver<Event>,
    ended_handlers: Arc<EndedHandlers>,
    ledger: Ledger,
    _connection_events: mpsc::Receiver<Event>,
}

/// Returns a complete list of ready servers. Their ids differ between generations.
fn list(generation: u32, servers: u32) -> ServerList {
    let entry = |i| ServerEntry {
        id: format!("s-{generation}-{i}"),
        // No server listens on this port.
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: Some(0),
        cell: i % 10,
        health: Health::Ready,
        started_at: None,
    };
    ServerList { revision: u64::from(generation), complete: true, servers: (0..servers).map(entry).collect() }
}

impl Harness {
    fn new(servers: u32) -> Harness {
        let settings = json!({
            "balancers": 1, "zone": 0, "zones": ["a"], "quantum_us": 5000, "membership_mode": "pushed",
            "request_classes": [{"name": "near", "effect": "retryable", "aim_us": 500_000,
                "hard_limit_us": 2_000_000, "late_share": 0.1}],
            "projects": [{"name": "acme", "quota_per_s": 10_000.0}],
            "family_info": {"class_need": [0.75], "floor_by_class": [0.25], "follow_up": [0], "parts_a_call": 8,
                "positions": 10, "ranges": 100, "span": 2},
            "policy_limits": {"dial_timeout_us": 250_000, "keepalive_us": 15_000_000,
                "max_attempts": MAX_CALLS_PER_PART, "max_retry_after_us": 500_000, "may_cancel": true,
                "most_held": 20_000, "multiplex": 32, "retry_after": true, "second_copies": true},
            "rules": {"cold_from": 0.2, "cold_us": 1_000_000, "fall_us": 1_000_000, "overload_factor": 2.0,
                "budget_span_us": 10_000_000, "extra_per_request": 0.2, "min_extra": 10}
        });
        let network = ashvane_settings::read_network(&settings).expect("the settings are valid");
        let settings = ashvane_settings::read(7, &settings).expect("the settings are valid");
        let ledger = Ledger::new(Limits::of_memory(192 << 20), &[("acme".to_owned(), 1.0)]);
        let (connection_events, connection_inbox) = mpsc::channel(4096);
        let (events, inbox) = mpsc::channel(4096);
        let ready = oneshot::channel().0;
        let context = RoutingContext {
            max_connections: 480,
            events: connection_events,
            list_requested: Rc::default(),
            ready,
            ledger: ledger.clone(),
        };
        let routing =
            Routing::new(&settings, &network, &list(1, servers), context).expect("the ledger is empty");
        Harness {
            routing,
            events,
            inbox,
            ended_handlers: Arc::default(),
            ledger,
            _connection_events: connection_inbox,
        }
    }

    /// Adds an event to the inbox.
    fn send(&self, event: Event) {
        assert!(self.events.try_send(event).is_ok(), "the channel has room for the event");
    }

    /// Sends a query with this many parts of equal weight.
    fn submit(&self, id: &str, parts: u32) -> Receiver<Reply> {
        let (reply, answer) = oneshot::channel();
        let query = Query {
            id: id.to_owned(),
            vertical: 0,
            tenant: Some(0),
            key: None,
            timeout: ms(1500),
            parts: (0..parts).map(|shard| Part { shard, weight: 1.0 / f64::from(parts) }).collect(),
            payload: "c41e77d0".into(),
        };
        let charge = self.ledger.take(Purpose::Bodies, None, 100).expect("the ledger has memory left");
        self.send(Event::QueryReceived { query, arrived: Instant::now(), charge, ticket: u64::MAX, reply });
        answer
    }

    /// Runs one turn and returns its duration on the real clock.
    fn turn(&mut self) -> Duration {
        let started = std::time::Instant::now();
        self.routing.turn(None, &mut self.inbox, &self.ended_handlers);
        started.elapsed()
    }

    fn connection_count(&self) -> usize {
        self.routing.pool.connection_states().len()
    }

    /// Returns the connection and the id of each call in flight.
    fn in_flight(&self) -> BTreeSet<(u64, Arc<str>)> {
        let states = self.routing.pool.connection_states().into_iter();
        states.flat_map(|(connection, _, ids)| ids.into_iter().map(move |id| (connection, id))).collect()
    }

    /// Reports all connections that are being dialled as established.
    fn connect_all(&self) {
        let states = self.routing.pool.connection_states().into_iter();
        states
            .filter(|(_, up, _)| !up)
            .for_each(|(connection, _, _)| self.send(Event::Connected(connection)));
    }

    /// Reports an answer to each call in flight.
    fn answer_all(&self) {
        for (connection, id) in self.in_flight() {
            let charge = self.ledger.take(Purpose::Frames, None, 100).expect("the ledger has memory left");
            self.send(Event::CallAnswered {
                connection,
                id: id.to_string(),
                status: CallStatus::Done,
                value: "v".into(),
                charge,
            });
        }
    }

    /// Runs turns in which connections are established and calls answered at once, until nothing is left to
    /// do.
    fn settle(&mut self) {
        for _ in 0..20 {
            self.connect_all();
            self.turn();
            self.answer_all();
            self.turn();
        }
    }
}

/// Runs a test on a runtime of one thread, with tokio's clock paused or not.
fn run_test(test: impl Future<Output = ()>, paused: bool) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().start_paused(paused).build().expect("a runtime can be built");
    LocalSet::new().block_on(&runtime, test);
}

/// Whether a complete answer has been received.
fn is_complete(answer: &mut Receiver<Reply>) -> bool {
    matches!(answer.try_recv(), Ok(Reply::Answered { complete: true, .. }))
}

/// Guards against turns whose work grows with the number of servers and calls, which would delay everything
/// else.
#[test]
fn turns_stay_short_with_200_servers_a_complete_new_list_and_600_parts_in_flight() {
    let longest: Vec<Duration> = (0..MAX_ATTEMPTS).map(|_| longest_turn()).collect();
    assert!(longest.iter().any(|turn| *turn < MAX_TURN_DURATION), "the longest turns took {longest:?}");
}

fn longest_turn() -> Duration {
    let mut longest = Duration::ZERO;
    let test = async {
        let mut harness = Harness::new(200);
        let mut answers: Vec<_> = (0..10).map(|i| harness.submit(&format!("q{i}"), 80)).collect();
        longest = harness.turn();
        harness.connect_all();
        longest = longest.max(harness.turn());
        let in_flight = harness.in_flight().len();
        assert!(in_flight >= 600, "only {in_flight} parts are in flight");
        // Replaces every server while these calls are in flight, and adds as many queries in the same turn.
        let (applied, mut is_applied) = oneshot::channel();
        harness.send(Event::ServerList(list(2, 200), applied));
        answers.extend((10..20).map(|i| harness.submit(&format!("q{i}"), 80)));
        longest = longest.max(harness.turn());
        assert_eq!(is_applied.try_recv(), Ok(true));
        // Closes all old connections in one turn.
        for (connection, _, _) in
            harness.routing.pool.connection_states().into_iter().filter(|(_, up, _)| *up)
        {
            harness.send(Event::Disconnected(connection));
        }
        longest = longest.max(harness.turn());
        for _ in 0..20 {
            harness.connect_all();
            longest = longest.max(harness.turn());
            harness.answer_all();
            longest = longest.max(harness.turn());
        }
        let ended = answers.iter_mut().map(|answer| usize::from(answer.try_recv().is_ok())).sum::<usize>();
        assert!(ended >= 10, "only {ended} of 20 queries are answered at once");
        assert!(harness.routing.pool.take_ended().is_empty(), "every ended call has been reported");
    };
    run_test(test, false);
    longest
}

/// Guards against calls, dials and timers that are repeated while no time passes.
#[test]
fn on_a_stopped_clock_nothing_is_repeated_and_answers_complete_queries() {
    let test = async {
        let mut harness = Harness::new(20);
        let mut answer = harness.submit("q", 40);
        harness.turn();
        harness.connect_all();
        harness.turn();
        let (in_flight, connection_count) = (harness.in_flight(), harness.connection_count());
        assert!(in_flight.len() >= 30);
        for _ in 0..2000 {
            harness.turn();
        }
        assert_eq!(
            (harness.in_flight(), harness.connection_count()),
            (in_flight, connection_count),
            "no call or connection is added while no time passes"
        );
        harness.answer_all();
        harness.turn();
        assert!(is_complete(&mut answer), "the query is answered while no time passes");
    };
    run_test(test, true);
}

/// Guards against timers, budgets and a circuit breaker that stall after a clock jump, or catch up all at
/// once.
#[test]
fn after_a_clock_jump_every_query_ends_once_and_service_continues() {
    let test = async {
        let mut harness = Harness::new(20);
        for (round, jump) in
            [ms(700), ms(5_000), ms(600_000), ms(40 * 24 * 3_600_000)].into_iter().enumerate()
        {
            let mut before_jump = harness.submit(&format!("usual-{round}"), 20);
            harness.settle();
            assert!(is_complete(&mut before_jump), "a query before the jump of {jump:?} is answered");
            let mut answers: Vec<_> =
                (0..10).map(|i| harness.submit(&format!("q-{round}-{i}"), 40)).collect();
            harness.turn();
            harness.connect_all();
            harness.turn();
            let before = harness.in_flight().len();
            advance(jump).await;
            // Each part may get its remaining leaf calls at once, spread over any number of turns.
            let mut sent = BTreeSet::new();
            for _ in 0..200 {
                harness.turn();
                harness.connect_all();
                sent.append(&mut harness.in_flight());
            }
            let max_calls = 10 * 40 * MAX_CALLS_PER_PART;
            assert!(sent.len() <= max_calls, "{before} calls before the jump, {} after it", sent.len());
            assert!(harness.connection_count() <= 20 * 24, "{} connections", harness.connection_count());
            if jump > ms(1500) {
                let unanswered: Vec<usize> =
                    (0..answers.len()).filter(|i| answers[*i].try_recv().is_err()).collect();
                assert!(
                    unanswered.is_empty(),
                    "queries {unanswered:?} are still open after a jump of {jump:?}"
                );
                assert!(harness.in_flight().is_empty(), "no call is in flight after a jump of {jump:?}");
            }
            let deadline = harness.routing.next_deadline();
            assert!(deadline > Instant::now(), "the next deadline passed {:?} ago", deadline.elapsed());
            drop(answers);
            harness.settle();
        }
        // The remaining queries end as time passes normally; after that a query is answered as before the
        // jumps.
        for _ in 0..400 {
            advance(ms(5)).await;
            harness.turn();
        }
        let mut last = harness.submit("last", 20);
        harness.settle();
        assert!(is_complete(&mut last), "a query after the jumps is answered");
    };
    run_test(test, true);
}
