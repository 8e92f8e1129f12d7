//! The host of the gatherer, which queues the actions that the gatherer chooses.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use ashvane::Host;
use ashvane_quota::{GatewayCount, RetryAllowance, RetryBudget};

/// Action that the gatherer has chosen. Queries and parts are given by their ids.
pub(super) enum Action {
    Call { part_id: u64, server: Rc<str>, timeout: Duration },
    Answer(u64),
    Reject(u64, Option<Duration>),
    Abort(u64),
    SetTimer(u64, Duration),
}

/// Budgets that all gateways share, and what this gateway has used of them.
pub(super) struct SharedLimits {
    pub(super) retry_budget: RetryBudget,
    /// Allowance of this gateway at each service, by shard index.
    pub(super) retry_allowances: BTreeMap<u32, RetryAllowance>,
    pub(super) gateway_count: GatewayCount,
    /// Time of the current event since the start, for [`Host::may_retry`], which takes no time.
    pub(super) now: Duration,
}

/// Host of the gatherer. Queues the actions that it chooses; [`DataPlane::process_event`] executes them once
/// the gatherer has returned.
pub(super) struct ActionQueue {
    pub(super) actions: Rc<RefCell<VecDeque<Action>>>,
    pub(super) shared_limits: Rc<RefCell<SharedLimits>>,
}

impl Host for ActionQueue {
    fn start_call(&mut self, part_id: u64, server: &str, timeout: Duration) {
        self.actions.borrow_mut().push_back(Action::Call { part_id, server: server.into(), timeout });
    }
    fn cancel_call(&mut self, _part: u64, _call: u32) {}
    fn answer(&mut self, query_id: u64, _complete: bool) {
        self.actions.borrow_mut().push_back(Action::Answer(query_id));
    }
    fn reject(&mut self, query_id: u64, retry_after: Option<Duration>) {
        self.actions.borrow_mut().push_back(Action::Reject(query_id, retry_after));
    }
    fn abort(&mut self, query_id: u64) {
        self.actions.borrow_mut().push_back(Action::Abort(query_id));
    }
    fn set_timer(&mut self, token: u64, delay: Duration) {
        self.actions.borrow_mut().push_back(Action::SetTimer(token, delay));
    }
    fn watch_server_list(&mut self) {}
    fn may_retry(&self, shard: u32) -> bool {
        let shared_limits = self.shared_limits.borrow();
        let gateways = shared_limits.gateway_count.current();
        shared_limits.retry_allowances.get(&shard).is_none_or(|allowance| {
            allowance.allows_retry(shared_limits.now, &shared_limits.retry_budget, gateways)
        })
    }
}
