//! Relay: how leaf calls ended goes to the module, and the values that came go to the book.

use ashvane::Outcome;

use super::Routing;
use super::pool::Ended;
use crate::protocol::frame::CallStatus;

impl Routing {
    pub(super) fn answered(&mut self, connection: u64, id: &str, status: CallStatus, value: String) {
        let outcome = match status {
            CallStatus::Done => Outcome::Completed,
            CallStatus::Failed => Outcome::Errored,
            CallStatus::Full => Outcome::TurnedAway,
        };
        let Some(ended) = self.pool.answered(connection, id, outcome) else { return };
        let done = outcome == Outcome::Completed;
        let kept = if done { self.book.value(ended.key.0, value) } else { Ok(()) };
        if let Err(query) = kept {
            // Told before this part's end is, so that no answer is made without its value.
            self.gatherer.out_of_room(query);
            self.carry_out();
        }
        self.settled(&ended);
    }

    /// Tells the module of the calls that ended by other means, those that ended first first.
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
