//! Route: what the module wants done is queued by its host and carried out once it has returned.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use ashvane::Host;

use super::Routing;
use super::book::FinalReply;

pub(super) enum Action {
    Call { part: u64, server: Rc<str>, timeout: Duration },
    CancelCall { part: u64, attempt: u32 },
    Finish { query: u64, reply: FinalReply },
    Wake { token: u64, after: Duration },
    WatchList,
}

pub(super) type ActionQueue = Rc<RefCell<VecDeque<Action>>>;

/// The module's hand: it only notes what is wanted.
pub(super) struct QueueingHost(pub(super) ActionQueue);

impl QueueingHost {
    fn queue(&self, action: Action) {
        self.0.borrow_mut().push_back(action);
    }
}

impl Host for QueueingHost {
    fn start_call(&mut self, part: u64, server: &str, timeout: Duration) {
        self.queue(Action::Call { part, server: server.into(), timeout });
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
        self.queue(Action::Wake { token, after: delay });
    }

    fn watch_server_list(&mut self) {
        self.queue(Action::WatchList);
    }
}

impl Routing {
    pub(super) fn run_actions(&mut self) {
        loop {
            let Some(action) = self.actions.borrow_mut().pop_front() else { return };
            match action {
                Action::Call { part, server, timeout } => {
                    let Some(request) = self.queries.next_call(part) else { continue };
                    self.pool.enqueue(part, request, server, self.now + timeout);
                }
                Action::CancelCall { part, attempt } => self.pool.cancel((part, attempt)),
                Action::Finish { query, reply } => self.finish_query(query, reply),
                Action::Wake { token, after } => {
                    let at = self.now + after;
                    self.timers.insert((at, token));
                    self.queries.add_timer(token, at);
                }
                Action::WatchList => self.list_requested.notify_one(),
            }
        }
    }

    /// A query has ended: nothing of it is sent any more, and its wakes mean nothing.
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
