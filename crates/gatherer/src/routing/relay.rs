//! Stage 5: the outcomes of leaf calls are reported to the decision module, and received values are stored.

use ashvane::Outcome;

use super::Routing;
use super::pool::EndedCall;
use crate::protocol::frame::CallStatus;

impl Routing {
    /// Stores the value of an answer and reports how its leaf call ended.
    pub(super) fn handle_answer(&mut self, connection: u64, id: &str, status: CallStatus, value: String) {
        let outcome = match status {
            CallStatus::Done => Outcome::Completed,
            CallStatus::Failed => Outcome::Errored,
            CallStatus::Full => Outcome::Rejected,
        };
        let Some(ended) = self.pool.match_answer(connection, id, outcome) else { return };
        let completed = outcome == Outcome::Completed;
        let stored = if completed { self.queries.store_value(ended.key.0, value) } else { Ok(()) };
        if let Err(query) = stored {
            // Reported before the end of this part, so that the module does not answer without its value.
            self.gatherer.result_buffer_full(query);
            self.run_actions();
        }
        self.report_outcome(&ended);
    }

    /// Reports leaf calls that ended without an answer, in the order in which they ended.
    pub(super) fn report_ended_calls(&mut self) {
        for ended in self.pool.take_ended() {
            self.report_outcome(&ended);
        }
    }

    fn report_outcome(&mut self, ended: &EndedCall) {
        let (part, attempt) = ended.key;
        let part_done = ended.outcome == Outcome::Completed;
        self.gatherer.call_ended(part, attempt, ended.outcome, &ended.server, part_done);
        self.run_actions();
    }
}
