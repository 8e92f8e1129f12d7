//! The proposer: a write, a read or a membership change, from its first request to its outcome.
//!
//! An [`Operation`] returns the requests to send ([`Step`]) and is given the responses. Whoever carries it bounds its
//! time and calls [`Operation::retry`] by a [`RetrySchedule`](crate::RetrySchedule).

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

/// Reads that find different values at a quorum before one proposes the newest of them: a write that is in progress mostly
/// ends by itself, and a proposal would hold it up.
const MAX_MIXED_READS: u32 = 3;

/// The proposal with the highest number that an operation has met, beside what a quorum has responded.
struct NewestProposal {
    proposal: AcceptedProposal,
    /// Every response of this phase has it: it is chosen.
    is_chosen: bool,
}

/// An operation. Its requests may be lost, delivered twice and responded to in any order.
///
/// Invariants: a number is used for one proposal only, for its round rises with each [`Operation::prepare`] and the id is
/// the operation's own; the phase changes in [`Operation::enter`] alone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Operation {
    /// Unique over all operations of all processes and incarnations: its proposal numbers are nobody else's.
    id: Arc<str>,
    goal: Goal,
    membership: Membership,
    phase: Phase,
    /// Members that have done as this phase requests.
    responses: BTreeMap<DiskId, Response>,
    /// Members that have promised a higher number in this phase.
    rejected_by: BTreeSet<DiskId>,
    /// Members that hold the state of an earlier epoch, and that epoch's members.
    behind: BTreeMap<DiskId, Membership>,
    /// The proposal with the highest number that was met in this epoch.
    newest: Option<AcceptedProposal>,
    round: u64,
    mixed_reads: u32,
    /// Whether this phase has sent its requests again before.
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
            behind: BTreeMap::new(),
            newest: None,
            round: 0,
            mixed_reads: 0,
            has_retried: false,
        }
    }

    /// To have a configuration chosen under its version, if it is new.
    #[must_use]
    pub fn write(id: Arc<str>, membership: Membership, config: VersionedConfig) -> Self {
        Operation::new(id, membership, Goal::Write(config))
    }

    /// To find what is chosen.
    #[must_use]
    pub fn read(id: Arc<str>, membership: Membership) -> Self {
        Operation::new(id, membership, Goal::Read)
    }

    /// To have these members in the epoch after the one that it begins in.
    #[must_use]
    pub fn change_membership(id: Arc<str>, membership: Membership, next: Vec<Member>) -> Self {
        Operation::new(id, membership, Goal::ChangeMembership(next))
    }

    /// Lets it begin with what the proposer's own replica holds, which need not be sent to it.
    #[must_use]
    pub fn with_local_state(mut self, local: &ReplicaState) -> Self {
        if local.membership == self.membership && local.membership.contains(&local.disk) {
            self.round = local.promised.round;
            self.newest = Some(local.accepted.clone());
        }
        self
    }

    /// The newest membership that it knows.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Whether it has ended.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// Begins in the membership that it knows.
    pub fn start(&mut self) -> Step {
        match self.goal {
            Goal::Read if self.mixed_reads < MAX_MIXED_READS => self.enter(Phase::Reading),
            _ => self.prepare(),
        }
    }

    /// Sends again what this phase requests of members that have not responded, or starts anew where other proposers were
    /// first.
    pub fn retry(&mut self) -> Step {
        let needs_proposal = self.phase == Phase::Reading && self.mixed_reads >= MAX_MIXED_READS;
        // While enough other members may still do as requested, a rejection by some is waited out once.
        let has_retried = std::mem::replace(&mut self.has_retried, true);
        let is_outbid = has_retried && !self.rejected_by.is_empty();
        if needs_proposal || self.has_lost() || is_outbid {
            return self.start();
        }
        Step::send(self.unanswered_requests().collect())
    }

    /// What this phase requests of the replica at an address, if that has not responded.
    #[must_use]
    pub fn unanswered_requests_at(&self, address: &Address) -> Vec<AddressedRequest> {
        self.unanswered_requests().filter(|request| request.member.address == *address).collect()
    }

    /// What this phase requests of those that have not responded.
    fn unanswered_requests(&self) -> impl Iterator<Item = AddressedRequest> {
        let has_responded = |request: &AddressedRequest| self.responses.contains_key(&request.member.disk);
        self.requests().into_iter().filter(move |request| !has_responded(request))
    }

    /// Whether so many members have rejected this phase that no quorum is left to do as requested.
    fn has_lost(&self) -> bool {
        let asked = self.asked();
        self.rejected_by.len() + asked.quorum_size() > asked.members.len()
    }

    fn prepare(&mut self) -> Step {
        self.round += 1;
        let number = ProposalNumber { round: self.round, operation: self.id.clone() };
        self.enter(Phase::Preparing(number))
    }

    /// The one place where the phase changes.
    fn enter(&mut self, phase: Phase) -> Step {
        self.responses.clear();
        self.rejected_by.clear();
        self.has_retried = false;
        self.phase = phase;
        Step::send(self.requests())
    }

    /// The members that this phase sends its requests to.
    fn asked(&self) -> &Membership {
        match &self.phase {
            Phase::Installing(next, _) => next,
            _ => &self.membership,
        }
    }

    /// What this phase requests of each member.
    fn requests(&self) -> Vec<AddressedRequest> {
        let Some(request) = self.request() else { return Vec::new() };
        let to_member =
            |member: &Member| AddressedRequest { member: member.clone(), request: request.clone() };
        self.asked().members.iter().map(to_member).collect()
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

    /// Goes on in another epoch.
    fn continue_in(&mut self, membership: Membership, newest: Option<AcceptedProposal>) -> Step {
        self.membership = membership;
        self.newest = newest;
        self.behind.clear();
        self.round = self.newest.as_ref().map_or(0, |newest| newest.number.round);
        self.start()
    }

    /// The epoch that this operation works in has ended.
    fn epoch_ended(&mut self, next: Membership, newest: Option<AcceptedProposal>) -> Step {
        if matches!(self.goal, Goal::ChangeMembership(_)) {
            self.membership = next.clone();
            return self.end(Outcome::MembershipChanged(next));
        }
        self.continue_in(next, newest)
    }

    fn end(&mut self, outcome: Outcome) -> Step {
        self.enter(Phase::Done);
        Step::end(outcome)
    }

    /// Whether a response to this request belongs to the phase that the operation is in.
    fn is_of_this_phase(&self, request: &Request) -> bool {
        match (&self.phase, request) {
            (Phase::Reading, Request::Read { .. }) => true,
            (Phase::Preparing(own), Request::Prepare { number, .. }) => own == number,
            (Phase::Accepting(pending), Request::Accept { number, .. }) => pending.proposal.number == *number,
            (Phase::Installing(next, _), Request::Install { membership, .. }) => next == membership,
            _ => false,
        }
    }

    /// A replica has responded to this request of the operation's.
    pub fn handle(&mut self, request: &Request, response: Response) -> Step {
        if self.is_done() {
            return Step::default();
        }
        let is_member_of_later_epoch =
            response.membership.epoch > self.asked().epoch && response.membership.contains(&response.disk);
        if is_member_of_later_epoch {
            return self.epoch_ended(response.membership, None);
        }
        if !self.asked().contains(&response.disk) {
            return Step::default();
        }
        self.learn(&response);
        if !self.is_of_this_phase(request) {
            return self.late_response(request, &response);
        }
        if response.membership.epoch < self.asked().epoch {
            return self.member_is_behind(response);
        }
        match response.rejection {
            None => self.granted(response),
            Some(rejection) => self.rejected(rejection, &response),
        }
    }

    /// Keeps the proposal with the highest number: to propose it again, and for members that are behind.
    fn learn(&mut self, response: &Response) {
        if response.membership.epoch != self.membership.epoch {
            return;
        }
        let Some(accepted) = response.accepted() else { return };
        if self.newest.as_ref().is_none_or(|newest| newest.number < accepted.number) {
            self.newest = Some(accepted);
        }
    }

    /// A response to a request of an earlier phase. It counts where it says that a member that was behind now holds the
    /// state of this epoch: that member is sent what the others were.
    fn late_response(&mut self, request: &Request, response: &Response) -> Step {
        let installed =
            matches!(request, Request::Install { membership, .. } if *membership == self.membership);
        if !installed || response.rejection.is_some() || self.behind.remove(&response.disk).is_none() {
            return Step::default();
        }
        let (Some(member), Some(request)) = (self.membership.member(&response.disk).cloned(), self.request())
        else {
            return Step::default();
        };
        Step::send(vec![AddressedRequest { member, request }])
    }

    /// A member holds the state of an earlier epoch, and has no vote in this one. It is sent what a replica of this epoch
    /// has accepted. While none is known, the epoch before this one is where that can be found.
    fn member_is_behind(&mut self, response: Response) -> Step {
        if matches!(self.phase, Phase::Installing(..)) {
            return Step::default();
        }
        self.behind.insert(response.disk, response.membership);
        if self.newest.is_some() {
            return Step::send(self.installs_for_members_behind());
        }
        if self.behind.len() < self.membership.quorum_size() {
            return Step::default();
        }
        let before = self.behind.values().max_by_key(|membership| membership.epoch);
        match before.filter(|membership| !membership.members.is_empty()).cloned() {
            Some(before) => self.continue_in(before, None),
            None => Step::default(),
        }
    }

    fn installs_for_members_behind(&self) -> Vec<AddressedRequest> {
        let Some(newest) = &self.newest else { return Vec::new() };
        let request = Request::Install { membership: self.membership.clone(), accepted: newest.clone() };
        let members = self.behind.keys().filter_map(|disk| self.membership.member(disk));
        members.map(|member| AddressedRequest { member: member.clone(), request: request.clone() }).collect()
    }

    fn rejected(&mut self, rejection: Rejection, response: &Response) -> Step {
        match (rejection, &self.phase) {
            (Rejection::NeedsCompleteValue, Phase::Accepting(pending)) => {
                let request = self.accept_request(pending, Some(&response.accepted_number));
                let member = self.membership.member(&response.disk).cloned();
                Step::send(member.map(|member| AddressedRequest { member, request }).into_iter().collect())
            }
            (Rejection::HigherNumberPromised, _) => {
                self.round = self.round.max(response.promised.round);
                let had_lost = self.has_lost();
                self.rejected_by.insert(response.disk.clone());
                if self.has_lost() && !had_lost { Step::contended() } else { Step::default() }
            }
            _ => Step::default(),
        }
    }

    fn granted(&mut self, response: Response) -> Step {
        let installs = self.installs_for_members_behind();
        self.responses.insert(response.disk.clone(), response);
        if self.responses.len() < self.asked().quorum_size() {
            return Step::send(installs);
        }
        let mut step = self.quorum_granted();
        if step.outcome.is_none() {
            step.requests.extend(installs);
        }
        step
    }

    /// A quorum has done what this phase requests.
    fn quorum_granted(&mut self) -> Step {
        match self.phase.clone() {
            Phase::Reading => self.have_read(),
            Phase::Preparing(number) => self.have_prepared(number),
            Phase::Accepting(pending) => self.have_chosen(pending.proposal),
            Phase::Installing(next, accepted) => self.epoch_ended(next, Some(accepted)),
            Phase::Done => Step::default(),
        }
    }

    /// The proposal with the highest number that was met. One that only an earlier response named may be taken as well: it
    /// follows from all that was chosen below its number, and what was chosen above it would stand in one of the responses
    /// ("Paxos Made Simple", condition P2c).
    fn newest_proposal(&self) -> Option<NewestProposal> {
        let newest = self.newest.as_ref()?;
        debug_assert!(
            self.responses.values().all(|response| response.accepted_number <= newest.number),
            "each response's proposal is known"
        );
        let is_chosen = self.responses.values().all(|response| response.accepted_number == newest.number);
        Some(NewestProposal { proposal: newest.clone(), is_chosen })
    }

    fn have_read(&mut self) -> Step {
        let Some(newest) = self.newest_proposal() else { return Step::default() };
        if newest.proposal.next_membership.is_some() {
            return self.prepare();
        }
        if newest.is_chosen {
            let chosen = ChosenProposal { epoch: self.membership.epoch, accepted: newest.proposal };
            return self.end(Outcome::Read(chosen));
        }
        self.mixed_reads += 1;
        self.enter(Phase::Reading);
        Step::contended()
    }

    fn have_prepared(&mut self, number: ProposalNumber) -> Step {
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
            _ if newest.is_chosen => self.have_chosen(base),
            _ => self.propose(number, &base, None, None),
        }
    }

    fn propose(
        &mut self, number: ProposalNumber, base: &AcceptedProposal, added: Option<VersionedConfig>,
        next_membership: Option<Membership>,
    ) -> Step {
        let value = match &added {
            Some(config) => Arc::new(base.value.with_config(config)),
            None => base.value.clone(),
        };
        let proposal = AcceptedProposal { number, value, next_membership };
        let pending = PendingProposal { base: base.number.clone(), proposal, added };
        let accepted_numbers: BTreeMap<DiskId, ProposalNumber> = self
            .responses
            .iter()
            .map(|(disk, response)| (disk.clone(), response.accepted_number.clone()))
            .collect();
        self.enter(Phase::Accepting(pending.clone()));
        let to_member = |member: &Member| AddressedRequest {
            member: member.clone(),
            request: self.accept_request(&pending, accepted_numbers.get(&member.disk)),
        };
        Step::send(self.membership.members.iter().map(to_member).collect())
    }

    /// A quorum has accepted this proposal under one number: it is chosen.
    fn have_chosen(&mut self, accepted: AcceptedProposal) -> Step {
        if let Some(next) = accepted.next_membership {
            // What an epoch begins with stands below every number of it.
            let initial = AcceptedProposal {
                number: ProposalNumber::default(),
                value: accepted.value,
                next_membership: None,
            };
            return self.enter(Phase::Installing(next, initial));
        }
        let chosen = ChosenProposal { epoch: self.membership.epoch, accepted };
        match &self.goal {
            Goal::Write(config) => {
                let status = status_in(&chosen.accepted.value, config);
                debug_assert_ne!(status, SubmissionStatus::New, "a write ends with its version chosen");
                self.end(Outcome::Written(status, chosen))
            }
            Goal::Read => self.end(Outcome::Read(chosen)),
            Goal::ChangeMembership(_) => Step::default(),
        }
    }
}

fn status_in(value: &RegisterValue, config: &VersionedConfig) -> SubmissionStatus {
    value.status_of(config.version, config.digest)
}
