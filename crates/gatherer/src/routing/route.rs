//! Route: what the module wants done is queued by its host and carried out once it has returned.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use ashvane::Host;

use super::Routing;
use super::book::Final;

pub(super) enum Action {
    Call { part: u64, server: Rc<str>, limit: Duration },
    CallOff { part: u64, call: u32 },
    End { query: u64, last: Final },
    Wake { token: u64, after: Duration },
    WatchList,
}

pub(super) type Actions = Rc<RefCell<VecDeque<Action>>>;

/// The module's hand: it only notes what is wanted.
pub(super) struct Hand(pub(super) Actions);

impl Hand {
    fn note(&self, action: Action) {
        self.0.borrow_mut().push_back(action);
    }
}

impl Host for Hand {
    fn call(&mut self, part: u64, server: &str, limit: Duration) {
        self.note(Action::Call { part, server: server.into(), limit });
    }

    fn call_off(&mut self, part: u64, call: u32) {
        self.note(Action::CallOff { part, call });
    }

    fn answer(&mut self, query: u64, whole: bool) {
        self.note(Action::End { query, last: Final::Answer { whole } });
    }

    fn reject(&mut self, query: u64, back_after: Option<Duration>) {
        self.note(Action::End { query, last: Final::Reject(back_after) });
    }

    fn abort(&mut self, query: u64) {
        self.note(Action::End { query, last: Final::Abort });
    }

    fn wake(&mut self, token: u64, after: Duration) {
        self.note(Action::Wake { token, after });
    }

    fn watch_list(&mut self) {
        self.note(Action::WatchList);
    }
}

impl Routing {
    pub(super) fn carry_out(&mut self) {
        loop {
            let Some(action) = self.actions.borrow_mut().pop_front() else { return };
            match action {
                Action::Call { part, server, limit } => {
                    let Some(carried) = self.book.next_call(part) else { continue };
                    self.pool.call(part, carried, server, self.now + limit);
                }
                Action::CallOff { part, call } => self.pool.call_off((part, call)),
                Action::End { query, last } => self.over(query, last),
                Action::Wake { token, after } => {
                    let at = self.now + after;
                    self.wakes.insert((at, token));
                    self.book.waked(token, at);
                }
                Action::WatchList => self.list_requested.notify_one(),
            }
        }
    }

    /// A query has ended: nothing of it is sent any more, and its wakes mean nothing.
    pub(super) fn over(&mut self, query: u64, last: Final) {
        let Some(ended) = self.book.end(query, last) else { return };
        for at in ended.wakes {
            self.wakes.remove(&(at, query));
        }
        for part in ended.parts {
            self.pool.over(part);
        }
    }
}
