//! The proposer: runs a write, a read or a membership change from its first request to its outcome.
//!
//! An [`Operation`] returns the requests to send ([`Step`]) and handles the responses. The caller enforces
//! the time-out of the operation, and calls [`Operation::retry`] according to a
//! [`RetrySchedule`](crate::RetrySchedule).

mod outcome;
mod phase;
mod step;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ashvane_identifiers::Address;

use self::phase::{Goal, PendingProposal, Phase};
use crate::{
    AcceptedProposal, DiskId, KnownValue, Member, Membership, ProposalNumber, RegisterValue, Rejection,
    ReplicaState, Request, Response, SubmissionStatus, VersionedConfig,
};

pub use outcome::{ChosenProposal, Outcome};
pub use step::{AddressedRequest, Step};

/// Number of reads that find different values at a quorum before the operation proposes the newest value
/// itself. A write in progress usually completes in the meantime, and a proposal would delay it.
const MAX_INCONCLUSIVE_READS: u32 = 3;

/// The proposal with the highest number that an operation has received, compared with the responses of a
/// quorum.
struct NewestProposal {
    proposal: AcceptedProposal,
    /// Whether every response of this phase contains this proposal, so that it is chosen.
    is_chosen: bool,
}

/// A write, a read or a membership change. Its requests may be lost or delivered more than once, and the
/// responses may arrive in any order.
///
/// Invariants: a proposal number is used for one proposal only, because its round increases with each
/// [`Operation::prepare`] and it contains the identifier of the operation; only [`Operation::enter_phase`]
/// changes the phase.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Operation {
    /// Identifier, unique across all operations of all processes and incarnations, so that proposal numbers
    /// are unique.
    id: Arc<str>,
    goal: Goal,
    membership: Membership,
    phase: Phase,
    /// Responses of the members that granted the request of this phase.
    responses: BTreeMap<DiskId, Response>,
    /// Members that rejected the request of this phase because they have promised a higher number.
    rejected_by: BTreeSet<DiskId>,
    /// Members that are in an earlier epoch, each with the membership of that epoch.
    members_behind: BTreeMap<DiskId, Membership>,
    /// The accepted proposal with the highest number received in this epoch.
    newest: Option<AcceptedProposal>,
    round: u64,
    inconclusive_reads: u32,
    /// Whether the requests of this phase have been resent.
    has_retried: bool,
}

impl Operation {
    fn new(id: Arc<str>, membership: Membership, goal: Goal) -> Self {
        Operation {
            id,
            goal,
            membership,
            phase: Phase::Done,
            responses: BTreeMap::new(),
            rejected_by: BTreeSet::new(),
            members_behind: BTreeMap::new(),
            newest: None,
            round: 0,
            inconclusive_reads: 0,
            has_retried: false,
        }
    }

    /// Creates an operation that has a configuration chosen, if its version is new.
    #[must_use]
    pub fn write(id: Arc<str>, membership: Membership, config: VersionedConfig) -> Self {
        Operation::new(id, membership, Goal::Write(config))
    }

    /// Creates an operation that returns the chosen value.
    #[must_use]
    pub fn read(id: Arc<str>, membership: Membership) -> Self {
        Operation::new(id, membership, Goal::Read)
    }

    /// Creates an operation that makes `next` the members of the epoch after the one in which it starts.
    #[must_use]
    pub fn change_membership(id: Arc<str>, membership: Membership, next: Vec<Member>) -> Self {
        Operation::new(id, membership, Goal::ChangeMembership(next))
    }

    /// Initializes the operation with the state of the proposer's own replica, so that the other replicas
    /// need not send a value that is already known.
    #[must_use]
    pub fn with_local_state(mut self, local: &ReplicaState) -> Self {
        if local.membership == self.membership && local.membership.contains(&local.disk) {
            self.round = local.promised.round;
            self.newest = Some(local.accepted.clone());
        }
        self
    }

    /// Returns the newest membership known to the operation.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Whether the operation is complete.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// Starts the operation in the known membership.
    pub fn start(&mut self) -> Step {
        match self.goal {
            Goal::Read if self.inconclusive_reads < MAX_INCONCLUSIVE_READS => {
                self.enter_phase(Phase::Reading)
            }
            _ => self.prepare(),
        }
    }

    /// Resends the requests of this phase to members that have not granted them, or restarts the operation if
    /// other proposers prevent it from completing.
    pub fn retry(&mut self) -> Step {
        let needs_proposal =
            self.phase == Phase::Reading && self.inconclusive_reads >= MAX_INCONCLUSIVE_READS;
        // Rejections by a minority do not cause a restart on the first retry, since a quorum of the others
        // may still grant the request.
        let has_retried = std::mem::replace(&mut self.has_retried, true);
        let is_still_rejected = has_retried && !self.rejected_by.is_empty();
        if needs_proposal || self.is_quorum_unreachable() || is_still_rejected {
            return self.start();
        }
        Step::send(self.unanswered_requests().collect())
    }

    /// Returns the request of this phase to the replica at an address, unless the replica has granted it.
    #[must_use]
    pub fn unanswered_requests_at(&self, address: &Address) -> Vec<AddressedRequest> {
        self.unanswered_requests().filter(|request| request.member.address == *address).collect()
    }

    /// Returns the requests of this phase that have not been granted.
    fn unanswered_requests(&self) -> impl Iterator<Item = AddressedRequest> {
        let has_granted = |request: &AddressedRequest| self.responses.contains_key(&request.member.disk);
        self.requests().into_iter().filter(move |request| !has_granted(request))
    }

    /// Whether so many members have rejected the request of this phase that no quorum can grant it.
    fn is_quorum_unreachable(&self) -> bool {
        let recipients = self.recipients();
        self.rejected_by.len() + recipients.quorum_size() > recipients.members.len()
    }

    /// Starts phase 1 of the protocol with a new proposal number.
    fn prepare(&mut self) -> Step {
        self.round += 1;
        let number = ProposalNumber { round: self.round, operation: self.id.clone() };
        self.enter_phase(Phase::Preparing(number))
    }

    /// Changes the phase and returns its requests. No other method changes the phase.
    fn enter_phase(&mut self, phase: Phase) -> Step {
        self.responses.clear();
        self.rejected_by.clear();
        self.has_retried = false;
        self.phase = phase;
        Step::send(self.requests())
    }

    /// Returns the membership to which this phase sends its requests.
    fn recipients(&self) -> &Membership {
        match &self.phase {
            Phase::Installing(next, _) => next,
            _ => &self.membership,
        }
    }

    /// Returns the requests of this phase, one for each recipient.
    fn requests(&self) -> Vec<AddressedRequest> {
        let Some(request) = self.request() else { return Vec::new() };
        let to_member =
            |member: &Member| AddressedRequest { member: member.clone(), request: request.clone() };
        self.recipients().members.iter().map(to_member).collect()
    }

    fn request(&self) -> Option<Request> {
        let epoch = self.membership.epoch;
        let known = self.newest.as_ref().map(|newest| newest.number.clone());
        Some(match &self.phase {
            Phase::Done => return None,
            Phase::Reading => Request::Read { known: known.map(|number| KnownValue { epoch, number }) },
            Phase::Preparing(number) => Request::Prepare { epoch, number: number.clone(), known },
            Phase::Accepting(pending) => self.accept_request(pending, None),
            Phase::Installing(next, accepted) => {
                Request::Install { membership: next.clone(), accepted: accepted.clone() }
            }
        })
    }

    fn accept_request(&self, pending: &PendingProposal, accepted_number: Option<&ProposalNumber>) -> Request {
        Request::Accept {
            epoch: self.membership.epoch,
            number: pending.proposal.number.clone(),
            value: pending.value_for(accepted_number),
            next_membership: pending.proposal.next_membership.clone(),
        }
    }

    /// Restarts the operation in another epoch.
    fn restart_in(&mut self, membership: Membership, newest: Option<AcceptedProposal>) -> Step {
        self.membership = membership;
        self.newest = newest;
        self.members_behind.clear();
        self.round = self.newest.as_ref().map_or(0, |newest| newest.number.round);
        self.start()
    }

    /// Handles the end of the current epoch: completes a membership change, and restarts other operations in
    /// the next epoch.
    fn handle_epoch_end(&mut self, next: Membership, newest: Option<AcceptedProposal>) -> Step {
        if matches!(self.goal, Goal::ChangeMembership(_)) {
            self.membership = next.clone();
            return self.finish(Outcome::MembershipChanged(next));
        }
        self.restart_in(next, newest)
    }

    fn finish(&mut self, outcome: Outcome) -> Step {
        self.enter_phase(Phase::Done);
        Step::finish(outcome)
    }

    /// Whether a request was sent in the current phase.
    fn matches_phase(&self, request: &Request) -> bool {
        match (&self.phase, request) {
            (Phase::Reading, Request::Read { .. }) => true,
            (Phase::Preparing(own), Request::Prepare { number, .. }) => own == number,
            (Phase::Accepting(pending), Request::Accept { number, .. }) => pending.proposal.number == *number,
            (Phase::Installing(next, _), Request::Install { membership, .. }) => next == membership,
            _ => false,
        }
    }

    /// Handles the response of a replica to a request of this operation.
    pub fn handle(&mut self, request: &Request, response: Response) -> Step {
        if self.is_done() {
            return Step::default();
        }
        let is_member_of_later_epoch = response.membership.epoch > self.recipients().epoch
            && response.membership.contains(&response.disk);
        if is_member_of_later_epoch {
            return self.handle_epoch_end(response.membership, None);
        }
        if !self.recipients().contains(&response.disk) {
            return Step::default();
        }
        self.record_newest(&response);
        if !self.matches_phase(request) {
            return self.handle_late_response(request, &response);
        }
        if response.membership.epoch < self.recipients().epoch {
            return self.handle_member_behind(response);
        }
        match response.rejection {
            None => self.handle_granted(response),
            Some(rejection) => self.handle_rejection(rejection, &response),
        }
    }

    /// Keeps the accepted proposal with the highest number, to propose it again and to install it on members
    /// that are behind.
    fn record_newest(&mut self, response: &Response) {
        if response.membership.epoch != self.membership.epoch {
            return;
        }
        let Some(accepted) = response.accepted() else { return };
        if self.newest.as_ref().is_none_or(|newest| newest.number < accepted.number) {
            self.newest = Some(accepted);
        }
    }

    /// Handles a response to a request of an earlier phase. If it confirms that a member that was behind has
    /// installed the state of this epoch, that member is sent the request of the current phase. Other late
    /// responses are ignored.
    fn handle_late_response(&mut self, request: &Request, response: &Response) -> Step {
        let installed =
            matches!(request, Request::Install { membership, .. } if *membership == self.membership);
        if !installed || response.rejection.is_some() || self.members_behind.remove(&response.disk).is_none()
        {
            return Step::default();
        }
        let (Some(member), Some(request)) = (self.membership.member(&response.disk).cloned(), self.request())
        else {
            return Step::default();
        };
        Step::send(vec![AddressedRequest { member, request }])
    }

    /// Handles a response of a member that is in an earlier epoch and therefore cannot vote in this one.
    /// Sends it a proposal that was accepted in this epoch. If no such proposal is known and a quorum is
    /// behind, restarts the operation in the earlier epoch, whose members have the state.
    fn handle_member_behind(&mut self, response: Response) -> Step {
        if matches!(self.phase, Phase::Installing(..)) {
            return Step::default();
        }
        self.members_behind.insert(response.disk, response.membership);
        if self.newest.is_some() {
            return Step::send(self.installs_for_members_behind());
        }
        if self.members_behind.len() < self.membership.quorum_size() {
            return Step::default();
        }
        let previous = self.members_behind.values().max_by_key(|membership| membership.epoch);
        match previous.filter(|membership| !membership.members.is_empty()).cloned() {
            Some(previous) => self.restart_in(previous, None),
            None => Step::default(),
        }
    }

    /// Returns the requests that install the newest accepted proposal on members that are behind.
    fn installs_for_members_behind(&self) -> Vec<AddressedRequest> {
        let Some(newest) = &self.newest else { return Vec::new() };
        let request = Request::Install { membership: self.membership.clone(), accepted: newest.clone() };
        let members = self.members_behind.keys().filter_map(|disk| self.membership.member(disk));
        members.map(|member| AddressedRequest { member: member.clone(), request: request.clone() }).collect()
    }

    /// Handles a rejected request: sends the complete value to a member that needs it, and reports contention
    /// once no quorum can grant the request.
    fn handle_rejection(&mut self, rejection: Rejection, response: &Response) -> Step {
        match (rejection, &self.phase) {
            (Rejection::NeedsCompleteValue, Phase::Accepting(pending)) => {
                let request = self.accept_request(pending, Some(&response.accepted_number));
                let member = self.membership.member(&response.disk).cloned();
                Step::send(member.map(|member| AddressedRequest { member, request }).into_iter().collect())
            }
            (Rejection::HigherNumberPromised, _) => {
                self.round = self.round.max(response.promised.round);
                let was_quorum_unreachable = self.is_quorum_unreachable();
                self.rejected_by.insert(response.disk.clone());
                if self.is_quorum_unreachable() && !was_quorum_unreachable {
                    Step::contended()
                } else {
                    Step::default()
                }
            }
            _ => Step::default(),
        }
    }

    /// Handles a granted request, and ends the phase once a quorum has granted it.
    fn handle_granted(&mut self, response: Response) -> Step {
        let installs = self.installs_for_members_behind();
        self.responses.insert(response.disk.clone(), response);
        if self.responses.len() < self.recipients().quorum_size() {
            return Step::send(installs);
        }
        let mut step = self.complete_phase();
        if step.outcome.is_none() {
            step.requests.extend(installs);
        }
        step
    }

    /// Completes the current phase, after a quorum has granted its request.
    fn complete_phase(&mut self) -> Step {
        match self.phase.clone() {
            Phase::Reading => self.finish_reading(),
            Phase::Preparing(number) => self.finish_preparing(number),
            Phase::Accepting(pending) => self.handle_chosen(pending.proposal),
            Phase::Installing(next, accepted) => self.handle_epoch_end(next, Some(accepted)),
            Phase::Done => Step::default(),
        }
    }

    /// Returns the received proposal with the highest number. It may come from an earlier response only: its
    /// value is based on every proposal chosen with a lower number, and a proposal chosen with a higher
    /// number would be in one of the responses ("Paxos Made Simple", condition P2c).
    fn newest_proposal(&self) -> Option<NewestProposal> {
        let newest = self.newest.as_ref()?;
        debug_assert!(
            self.responses.values().all(|response| response.accepted_number <= newest.number),
            "no response contains a higher number than the newest proposal"
        );
        let is_chosen = self.responses.values().all(|response| response.accepted_number == newest.number);
        Some(NewestProposal { proposal: newest.clone(), is_chosen })
    }

    /// Completes the read if all responses contain the same proposal, and otherwise reads again. A sealed
    /// epoch requires a proposal.
    fn finish_reading(&mut self) -> Step {
        let Some(newest) = self.newest_proposal() else { return Step::default() };
        if newest.proposal.next_membership.is_some() {
            return self.prepare();
        }
        if newest.is_chosen {
            let chosen = ChosenProposal { epoch: self.membership.epoch, accepted: newest.proposal };
            return self.finish(Outcome::Read(chosen));
        }
        self.inconclusive_reads += 1;
        self.enter_phase(Phase::Reading);
        Step::contended()
    }

    /// Proposes the value that follows from the newest accepted proposal, or completes if no proposal is
    /// needed.
    fn finish_preparing(&mut self, number: ProposalNumber) -> Step {
        let Some(newest) = self.newest_proposal() else { return Step::default() };
        let base = newest.proposal;
        if base.next_membership.is_some() {
            let next = base.next_membership.clone();
            return self.propose(number, &base, None, next);
        }
        match self.goal.clone() {
            Goal::Write(config) if status_in(&base.value, &config) == SubmissionStatus::New => {
                self.propose(number, &base, Some(config), None)
            }
            Goal::ChangeMembership(members) => {
                let next = Membership::new(self.membership.epoch + 1, members);
                self.propose(number, &base, None, Some(next))
            }
            _ if newest.is_chosen => self.handle_chosen(base),
            _ => self.propose(number, &base, None, None),
        }
    }

    /// Starts phase 2 of the protocol with a value based on `base`.
    fn propose(
        &mut self, number: ProposalNumber, base: &AcceptedProposal, added_config: Option<VersionedConfig>,
        next_membership: Option<Membership>,
    ) -> Step {
        let value = match &added_config {
            Some(config) => Arc::new(base.value.with_config(config)),
            None => base.value.clone(),
        };
        let proposal = AcceptedProposal { number, value, next_membership };
        let pending = PendingProposal { base: base.number.clone(), proposal, added_config };
        let accepted_numbers: BTreeMap<DiskId, ProposalNumber> = self
            .responses
            .iter()
            .map(|(disk, response)| (disk.clone(), response.accepted_number.clone()))
            .collect();
        self.enter_phase(Phase::Accepting(pending.clone()));
        let to_member = |member: &Member| AddressedRequest {
            member: member.clone(),
            request: self.accept_request(&pending, accepted_numbers.get(&member.disk)),
        };
        Step::send(self.membership.members.iter().map(to_member).collect())
    }

    /// Handles a chosen proposal, which a quorum has accepted.
    fn handle_chosen(&mut self, accepted: AcceptedProposal) -> Step {
        if let Some(next) = accepted.next_membership {
            // The number of the initial state of an epoch is lower than every proposal number of that epoch.
            let initial = AcceptedProposal {
                number: ProposalNumber::default(),
                value: accepted.value,
                next_membership: None,
            };
            return self.enter_phase(Phase::Installing(next, initial));
        }
        let chosen = ChosenProposal { epoch: self.membership.epoch, accepted };
        match &self.goal {
            Goal::Write(config) => {
                let status = status_in(&chosen.accepted.value, config);
                debug_assert_ne!(
                    status,
                    SubmissionStatus::New,
                    "a write completes only after its version is no longer new"
                );
                self.finish(Outcome::Written(status, chosen))
            }
            Goal::Read => self.finish(Outcome::Read(chosen)),
            Goal::ChangeMembership(_) => Step::default(),
        }
    }
}

fn status_in(value: &RegisterValue, config: &VersionedConfig) -> SubmissionStatus {
    value.status_of(config.version, config.digest)
}
