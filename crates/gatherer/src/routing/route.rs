//! Stage 3: the actions that the decision module requests are queued, and run once the module has returned.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use ashvane::Host;

use super::Routing;
use super::book::FinalReply;

/// An action that the decision module has requested.
pub(super) enum Action {
    StartCall { part: u64, server: Rc<str>, timeout: Duration },
    CancelCall { part: u64, attempt: u32 },
    Finish { query: u64, reply: FinalReply },
    SetTimer { token: u64, delay: Duration },
    WatchServerList,
}

pub(super) type ActionQueue = Rc<RefCell<VecDeque<Action>>>;

/// The host of the decision module. It queues the requested actions.
pub(super) struct QueueingHost(pub(super) ActionQueue);

impl QueueingHost {
    fn queue(&self, action: Action) {
        self.0.borrow_mut().push_back(action);
    }
}

impl Host for QueueingHost {
    fn start_call(&mut self, part: u64, server: &str, timeout: Duration) {
        self.queue(Action::StartCall { part, server: server.into(), timeout });
    }

    fn cancel_call(&mut self, part: u64, attempt: u32) {
        self.queue(Action::CancelCall { part, attempt });
    }

    fn answer(&mut self, query: u64, complete: bool) {
        self.queue(Action::Finish { query, reply: FinalReply::Answer { complete } });
    }

    fn reject(&mut self, query: u64, retry_after: Option<Duration>) {
        self.queue(Action::Finish { query, reply: FinalReply::Reject(retry_after) });
    }

    fn abort(&mut self, query: u64) {
        self.queue(Action::Finish { query, reply: FinalReply::Abort });
    }

    fn set_timer(&mut self, token: u64, delay: Duration) {
        self.queue(Action::SetTimer { token, delay });
    }

    fn watch_server_list(&mut self) {
        self.queue(Action::WatchServerList);
    }
}

impl Routing {
    /// Runs the queued actions in order.
    pub(super) fn run_actions(&mut self) {
        loop {
            let Some(action) = self.actions.borrow_mut().pop_front() else { return };
            match action {
                Action::StartCall { part, server, timeout } => {
                    let Some(request) = self.queries.next_call(part) else { continue };
                    self.pool.enqueue(part, request, server, self.now + timeout);
                }
                Action::CancelCall { part, attempt } => self.pool.cancel((part, attempt)),
                Action::Finish { query, reply } => self.finish_query(query, reply),
                Action::SetTimer { token, delay } => {
                    let at = self.now + delay;
                    self.timers.insert((at, token));
                    self.queries.add_timer(token, at);
                }
                Action::WatchServerList => self.list_requested.notify_one(),
            }
        }
    }

    /// Answers a query and discards its timers and unsent calls.
    pub(super) fn finish_query(&mut self, query: u64, reply: FinalReply) {
        let Some(ended) = self.queries.finish(query, reply) else { return };
        for at in ended.timers {
            self.timers.remove(&(at, query));
        }
        for part in ended.parts {
            self.pool.withdraw_part(part);
        }
    }
}
