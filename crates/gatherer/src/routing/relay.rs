//! Relay: how leaf calls ended goes to the module, and the values that came go to the book.

use ashvane::Outcome;

use super::Routing;
use super::send::Ended;
use crate::protocol::frame::End;

impl Routing {
    pub(super) fn answered(&mut self, lane: u64, id: &str, end: End, value: String) {
        let outcome = match end {
            End::Done => Outcome::Completed,
            End::Failed => Outcome::Errored,
            End::Full => Outcome::TurnedAway,
        };
        let Some(ended) = self.pool.answered(lane, id, outcome) else { return };
        if outcome == Outcome::Completed {
            self.book.value(ended.key.0, value);
        }
        self.settled(&ended);
    }

    /// Tells the module of the calls that ended by other means since the last turn.
    pub(super) fn relay_ended(&mut self) {
        for ended in self.pool.take_ended() {
            self.settled(&ended);
        }
    }

    fn settled(&mut self, ended: &Ended) {
        let (part, call) = ended.key;
        let over = ended.outcome == Outcome::Completed;
        self.gatherer.settled(part, call, ended.outcome, &ended.server, over);
        self.carry_out();
    }
}
