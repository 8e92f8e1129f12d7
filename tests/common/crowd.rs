//! A gatherer that holds many queries, for measuring the cost of one more.
#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use ashvane::{Gatherer, Health, Host, Idempotency, Outcome, Settings, VerticalSettings};

/// Long enough that no held query becomes due during a measurement.
const SLO: Duration = Duration::from_secs(100_000);
pub(crate) const PARTS_PER_QUERY: u32 = 4;

#[derive(Default)]
pub(crate) struct RecordedActions {
    /// Calls in flight that are to be answered, as part and server.
    pub calls: VecDeque<(u64, String)>,
    pub sent: u64,
    pub answered: u64,
    pub ended: u64,
}

pub(crate) struct RecordingHost(pub Rc<RefCell<RecordedActions>>);

impl Host for RecordingHost {
    fn start_call(&mut self, part: u64, server: &str, _: Duration) {
        let mut actions = self.0.borrow_mut();
        actions.sent += 1;
        actions.calls.push_back((part, server.to_owned()));
    }
    fn cancel_call(&mut self, _: u64, _: u32) {}
    fn answer(&mut self, _: u64, _: bool) {
        let mut actions = self.0.borrow_mut();
        actions.answered += 1;
        actions.ended += 1;
    }
    fn reject(&mut self, _: u64, _: Option<Duration>) {
        self.0.borrow_mut().ended += 1;
    }
    fn abort(&mut self, _: u64) {
        self.0.borrow_mut().ended += 1;
    }
    fn set_timer(&mut self, _: u64, _: Duration) {}
    fn watch_server_list(&mut self) {}
}

pub(crate) struct LoadedGatherer {
    pub gatherer: Gatherer<RecordingHost>,
    pub actions: Rc<RefCell<RecordedActions>>,
    now: Duration,
    next_id: u64,
    /// Number of the server list; part of the servers' ids, so that each list has new ones.
    generation: u64,
    servers: u32,
}

impl LoadedGatherer {
    pub(crate) fn new(servers: u32) -> LoadedGatherer {
        let vertical = VerticalSettings {
            required_weight: 1.0,
            min_weight: 1.0,
            follow_up_parts: 0,
            slo: SLO,
            late_utility: 0.1,
            idempotency: Idempotency::Idempotent,
        };
        let settings = Settings {
            seed: 7,
            gatherer_count: 1,
            zone: None,
            tick: Duration::from_millis(5),
            verticals: vec![vertical],
            tenant_rates: Vec::new(),
            cell_count: servers.div_ceil(3),
            cells_per_shard: 1,
            max_parts_per_call: 1,
            call_overhead: Duration::ZERO,
            max_calls_per_part: 3,
            allow_hedging: true,
            allow_cancel: true,
            max_retry_after: None,
            max_list_request_interval: None,
            retry_budget: None,
            weight_tolerance: 5e-5,
            cold_capacity_share: 0.2,
            warm_up_time: Duration::from_secs(10),
            overload_factor: 2.0,
            overload_window: Duration::from_secs(1),
        };
        let actions = Rc::new(RefCell::default());
        let now = Duration::from_secs(1_000_000);
        let gatherer = Gatherer::new(RecordingHost(Rc::clone(&actions)), &settings, now);
        let mut loaded = LoadedGatherer { gatherer, actions, now, next_id: 1, generation: 0, servers };
        loaded.replace_servers();
        loaded
    }

    /// Replaces all servers by others with new ids.
    pub(crate) fn replace_servers(&mut self) {
        self.generation += 1;
        self.gatherer.begin_server_list(true);
        for s in 0..self.servers {
            let id = format!("s-{}-{s}", self.generation);
            self.gatherer.update_server(&id, Health::Ready, s / 3, None, None);
        }
    }

    /// Starts a query with a new id and key, which sends its parts.
    pub(crate) fn start_query(&mut self) {
        self.now += Duration::from_micros(100);
        self.gatherer.advance_to(self.now);
        let id = self.next_id;
        self.next_id += 1 + u64::from(PARTS_PER_QUERY);
        let key = format!("key-{id}");
        self.gatherer.query_arrived(id, id, 0, None, Some(&key), self.now + SLO, PARTS_PER_QUERY as usize);
        for part in 0..PARTS_PER_QUERY {
            let shard = (id as u32).wrapping_mul(31).wrapping_add(part);
            self.gatherer.part_arrived(id + 1 + u64::from(part), id, shard, 1.0 / f64::from(PARTS_PER_QUERY));
        }
    }

    /// Answers all recorded calls.
    pub(crate) fn answer_calls(&mut self) {
        self.now += Duration::from_millis(1);
        self.gatherer.advance_to(self.now);
        let calls = std::mem::take(&mut self.actions.borrow_mut().calls);
        for (part, server) in calls {
            self.gatherer.call_ended(part, 0, Outcome::Completed, &server, true);
        }
    }

    /// Starts queries whose calls are never answered.
    pub(crate) fn hold_queries(&mut self, queries: u64) {
        (0..queries).for_each(|_| self.start_query());
        self.actions.borrow_mut().calls.clear();
    }

    /// Starts a query and answers its calls.
    pub(crate) fn run_query(&mut self) {
        self.start_query();
        self.answer_calls();
    }
}
