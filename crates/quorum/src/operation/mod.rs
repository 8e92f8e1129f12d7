//! A proposer's part: a write, a read or a change of the membership, from its first request to its outcome. It hands
//! out what to ask of which replica and is told the answers; whoever carries it bounds its time.

mod outcome;
mod stage;
mod step;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use self::stage::{Goal, Proposed, Stage};
use crate::{
    Accepted, Ballot, DiskId, Member, Membership, Refusal, ReplicaState, Request, Response, Standing,
    StoredConfig, Value,
};

pub use outcome::{Chosen, Outcome};
pub use step::Step;

/// Reads that find different values at a majority before one settles by a ballot what is chosen: a write that is
/// under way mostly ends by itself, and a ballot would hold it up.
const MIXED_READS: u32 = 3;

/// An operation. Its requests may be lost, sent twice and answered in any order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Operation {
    /// Unique over all operations of all processes and lives: its ballots are nobody else's.
    name: Arc<str>,
    goal: Goal,
    membership: Membership,
    stage: Stage,
    answers: BTreeMap<DiskId, Response>,
    refused: BTreeSet<DiskId>,
    /// Members that hold the state of an earlier epoch, and that epoch's members.
    behind: BTreeMap<DiskId, Membership>,
    /// The value with the highest ballot that was met in this epoch.
    known: Option<Accepted>,
    round: u64,
    mixed: u32,
    /// Whether this stage has asked again before.
    waited: bool,
}

impl Operation {
    fn new(name: Arc<str>, membership: Membership, goal: Goal) -> Self {
        let (answers, refused, behind) = Default::default();
        Operation {
            name,
            goal,
            membership,
            stage: Stage::Done,
            answers,
            refused,
            behind,
            known: None,
            round: 0,
            mixed: 0,
            waited: false,
        }
    }

    /// To decide a configuration under its version, if it is new.
    pub fn write(name: Arc<str>, membership: Membership, config: StoredConfig) -> Self {
        Operation::new(name, membership, Goal::Write(config))
    }

    /// To find what is chosen.
    pub fn read(name: Arc<str>, membership: Membership) -> Self {
        Operation::new(name, membership, Goal::Read)
    }

    /// To have these members in the epoch after the one that it begins in.
    pub fn change(name: Arc<str>, membership: Membership, next: Vec<Member>) -> Self {
        Operation::new(name, membership, Goal::Change(next))
    }

    /// Lets it begin with what the proposer's own replica holds, which need not be sent to it.
    pub fn knowing(mut self, own: &ReplicaState) -> Self {
        if own.membership == self.membership && own.membership.has(&own.disk) {
            self.round = own.promised.round;
            self.known = Some(own.accepted.clone());
        }
        self
    }

    /// The newest membership that it knows.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Whether it has ended.
    pub fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// Begins in the membership that it knows.
    pub fn begin(&mut self) -> Step {
        match self.goal {
            Goal::Read if self.mixed < MIXED_READS => self.enter(Stage::Reading),
            _ => self.prepare(),
        }
    }

    /// Asks again: those of this stage that have not answered, or all from the top where others were first.
    pub fn again(&mut self) -> Step {
        let must_settle = self.stage == Stage::Reading && self.mixed >= MIXED_READS;
        // While enough others may still do as asked, a refusal by some is waited out once.
        let waited = std::mem::replace(&mut self.waited, true);
        if must_settle || self.is_lost() || (waited && !self.refused.is_empty()) {
            return self.begin();
        }
        Step::send(self.open_requests().collect())
    }

    /// What this stage asks of the replica at an address, if that has not answered.
    pub fn unanswered(&self, address: &str) -> Vec<(Member, Request)> {
        self.open_requests().filter(|(member, _)| member.address == address).collect()
    }

    /// What this stage asks of those that have not answered.
    fn open_requests(&self) -> impl Iterator<Item = (Member, Request)> {
        let answered = |member: &Member| self.answers.contains_key(&member.disk);
        self.requests().into_iter().filter(move |(member, _)| !answered(member))
    }

    /// Whether so many have refused that no majority is left to do as asked.
    fn is_lost(&self) -> bool {
        self.refused.len() + self.asked().majority() > self.asked().members.len()
    }

    fn prepare(&mut self) -> Step {
        self.round += 1;
        let ballot = Ballot { round: self.round, by: self.name.clone() };
        self.enter(Stage::Preparing(ballot))
    }

    /// The one place where the stage changes.
    fn enter(&mut self, stage: Stage) -> Step {
        self.answers.clear();
        self.refused.clear();
        self.waited = false;
        self.stage = stage;
        Step::send(self.requests())
    }

    /// The members that this stage asks.
    fn asked(&self) -> &Membership {
        match &self.stage {
            Stage::Installing(next, _) => next,
            _ => &self.membership,
        }
    }

    /// What this stage asks of each member.
    fn requests(&self) -> Vec<(Member, Request)> {
        let Some(request) = self.request() else { return Vec::new() };
        self.asked().members.iter().map(|member| (member.clone(), request.clone())).collect()
    }

    fn request(&self) -> Option<Request> {
        let epoch = self.membership.epoch;
        let known = self.known.as_ref().map(|accepted| accepted.ballot.clone());
        Some(match &self.stage {
            Stage::Done => return None,
            Stage::Reading => Request::Read { known: known.map(|ballot| (epoch, ballot)) },
            Stage::Preparing(ballot) => Request::Prepare { epoch, ballot: ballot.clone(), known },
            Stage::Accepting(proposed) => self.accept_request(proposed, None),
            Stage::Installing(next, accepted) => {
                Request::Install { membership: next.clone(), accepted: accepted.clone() }
            }
        })
    }

    fn accept_request(&self, proposed: &Proposed, held: Option<&Ballot>) -> Request {
        Request::Accept {
            epoch: self.membership.epoch,
            ballot: proposed.accepted.ballot.clone(),
            proposal: proposed.for_holder_of(held),
            next: proposed.accepted.next.clone(),
        }
    }

    /// Goes on in another epoch.
    fn move_to(&mut self, membership: Membership, known: Option<Accepted>) -> Step {
        self.membership = membership;
        self.known = known;
        self.behind.clear();
        self.round = self.known.as_ref().map_or(0, |accepted| accepted.ballot.round);
        self.begin()
    }

    /// Another epoch than the one that this operation works in has been decided.
    fn moved(&mut self, membership: Membership, known: Option<Accepted>) -> Step {
        if matches!(self.goal, Goal::Change(_)) {
            // The epoch that this one was to end has ended.
            self.membership = membership.clone();
            return self.end(Outcome::Changed(membership));
        }
        self.move_to(membership, known)
    }

    fn end(&mut self, outcome: Outcome) -> Step {
        self.enter(Stage::Done);
        Step { outcome: Some(outcome), ..Step::default() }
    }

    /// Whether an answer to this request belongs to the stage that the operation is in.
    fn fits(&self, request: &Request) -> bool {
        match (&self.stage, request) {
            (Stage::Reading, Request::Read { .. }) => true,
            (Stage::Preparing(mine), Request::Prepare { ballot, .. }) => mine == ballot,
            (Stage::Accepting(mine), Request::Accept { ballot, .. }) => mine.accepted.ballot == *ballot,
            (Stage::Installing(next, _), Request::Install { membership, .. }) => next == membership,
            _ => false,
        }
    }

    /// A replica has answered this request of the operation's.
    pub fn handle(&mut self, request: &Request, response: Response) -> Step {
        if self.is_done() {
            return Step::default();
        }
        if response.membership.epoch > self.asked().epoch && response.membership.has(&response.disk) {
            return self.moved(response.membership, None);
        }
        if !self.asked().has(&response.disk) {
            return Step::default();
        }
        self.learn(&response);
        if !self.fits(request) {
            return self.caught_up(request, &response);
        }
        if response.membership.epoch < self.asked().epoch {
            return self.is_behind(response);
        }
        match response.refusal {
            None => self.granted(response),
            Some(refusal) => self.refused(refusal, &response),
        }
    }

    /// Keeps the value with the highest ballot, and its state for members that are behind.
    fn learn(&mut self, response: &Response) {
        if response.membership.epoch != self.membership.epoch {
            return;
        }
        let Some(accepted) = response.accepted() else { return };
        if self.known.as_ref().is_none_or(|known| known.ballot < accepted.ballot) {
            self.known = Some(accepted);
        }
    }

    /// A member that was behind has been brought into this epoch: it is asked what the others are.
    fn caught_up(&mut self, request: &Request, response: &Response) -> Step {
        let installed =
            matches!(request, Request::Install { membership, .. } if *membership == self.membership);
        if !installed || response.refusal.is_some() || self.behind.remove(&response.disk).is_none() {
            return Step::default();
        }
        let member = self.membership.member(&response.disk).cloned();
        let request = member.and_then(|member| Some((member, self.request()?)));
        Step::send(request.into_iter().collect())
    }

    /// A member holds the state of an earlier epoch, and has no vote in this one. It is given what a replica of this
    /// epoch has accepted; while none is known, the epoch before this one is where that can be found.
    fn is_behind(&mut self, response: Response) -> Step {
        if matches!(self.stage, Stage::Installing(..)) {
            return Step::default();
        }
        self.behind.insert(response.disk, response.membership);
        if self.known.is_some() {
            return Step::send(self.installs());
        }
        if self.behind.len() < self.membership.majority() {
            return Step::default();
        }
        let before = self.behind.values().max_by_key(|m| m.epoch).filter(|m| !m.members.is_empty());
        match before.cloned() {
            Some(before) => self.move_to(before, None),
            None => Step::default(),
        }
    }

    fn installs(&self) -> Vec<(Member, Request)> {
        let Some(known) = &self.known else { return Vec::new() };
        let install = Request::Install { membership: self.membership.clone(), accepted: known.clone() };
        let members = self.behind.keys().filter_map(|disk| self.membership.member(disk));
        members.map(|member| (member.clone(), install.clone())).collect()
    }

    fn refused(&mut self, refusal: Refusal, response: &Response) -> Step {
        match (refusal, &self.stage) {
            (Refusal::NeedsWhole, Stage::Accepting(proposed)) => {
                let request = self.accept_request(proposed, Some(&response.ballot));
                let member = self.membership.member(&response.disk).cloned();
                Step::send(member.map(|member| (member, request)).into_iter().collect())
            }
            (Refusal::Outbid, _) => {
                self.round = self.round.max(response.promised.round);
                let lost_before = self.is_lost();
                self.refused.insert(response.disk.clone());
                if self.is_lost() && !lost_before { Step::back_off() } else { Step::default() }
            }
            _ => Step::default(),
        }
    }

    fn granted(&mut self, response: Response) -> Step {
        let behind = self.known.is_some() && !self.behind.is_empty();
        let late = if behind { self.installs() } else { Vec::new() };
        self.answers.insert(response.disk.clone(), response);
        let mut step = match self.answers.len() < self.asked().majority() {
            true => Step::default(),
            false => self.majority(),
        };
        if step.outcome.is_none() {
            step.requests.extend(late);
        }
        step
    }

    /// A majority has done what this stage asks.
    fn majority(&mut self) -> Step {
        match self.stage.clone() {
            Stage::Reading => self.have_read(),
            Stage::Preparing(ballot) => self.have_prepared(ballot),
            Stage::Accepting(proposed) => self.is_chosen(proposed.accepted),
            Stage::Installing(next, accepted) => self.moved(next, Some(accepted)),
            Stage::Done => Step::default(),
        }
    }

    /// The value with the highest ballot that was met, and whether a majority has just said that it holds it: then
    /// it is chosen. One that only an earlier answer named may be taken as well: it follows from all that was chosen
    /// below its ballot, and what was chosen above it would stand in one of the answers.
    fn newest(&self) -> Option<(Accepted, bool)> {
        let known = self.known.as_ref()?;
        debug_assert!(
            self.answers.values().all(|r| r.ballot <= known.ballot),
            "each answer's value is known"
        );
        let all = self.answers.values().all(|r| r.ballot == known.ballot);
        Some((known.clone(), all))
    }

    fn have_read(&mut self) -> Step {
        let Some((newest, all)) = self.newest() else { return Step::default() };
        if newest.next.is_some() {
            return self.prepare();
        }
        if all {
            return self.end(Outcome::Found(Chosen { epoch: self.membership.epoch, accepted: newest }));
        }
        self.mixed += 1;
        self.enter(Stage::Reading);
        Step::back_off()
    }

    fn have_prepared(&mut self, ballot: Ballot) -> Step {
        let Some((newest, all)) = self.newest() else { return Step::default() };
        if newest.next.is_some() {
            return self.propose(ballot, &newest, None, newest.next.clone());
        }
        match self.goal.clone() {
            Goal::Write(config) if standing(&newest.value, &config) == Standing::New => {
                self.propose(ballot, &newest, Some(config), None)
            }
            Goal::Change(members) => {
                let next = Membership::new(self.membership.epoch + 1, members);
                self.propose(ballot, &newest, None, Some(next))
            }
            _ if all => self.is_chosen(newest),
            _ => self.propose(ballot, &newest, None, None),
        }
    }

    fn propose(
        &mut self, ballot: Ballot, newest: &Accepted, added: Option<StoredConfig>, next: Option<Membership>,
    ) -> Step {
        let value = match &added {
            Some(config) => Arc::new(newest.value.with(config)),
            None => newest.value.clone(),
        };
        let accepted = Accepted { ballot, value, next };
        let held: BTreeMap<DiskId, Ballot> =
            self.answers.iter().map(|(disk, r)| (disk.clone(), r.ballot.clone())).collect();
        let proposed = Proposed { base: newest.ballot.clone(), accepted, added };
        self.enter(Stage::Accepting(proposed.clone()));
        let request = |m: &Member| (m.clone(), self.accept_request(&proposed, held.get(&m.disk)));
        Step::send(self.membership.members.iter().map(request).collect())
    }

    /// A majority has accepted this value under one ballot: it is chosen.
    fn is_chosen(&mut self, accepted: Accepted) -> Step {
        if let Some(next) = accepted.next {
            // What an epoch begins with stands below every ballot of it.
            let first = Accepted { ballot: Ballot::default(), value: accepted.value, next: None };
            return self.enter(Stage::Installing(next, first));
        }
        let chosen = Chosen { epoch: self.membership.epoch, accepted };
        match &self.goal {
            Goal::Write(config) => {
                let standing = standing(&chosen.accepted.value, config);
                debug_assert_ne!(standing, Standing::New, "a write ends with its order settled");
                self.end(Outcome::Written(standing, chosen))
            }
            Goal::Read => self.end(Outcome::Found(chosen)),
            Goal::Change(_) => Step::default(),
        }
    }
}

fn standing(value: &Value, config: &StoredConfig) -> Standing {
    value.standing(config.version, config.digest)
}
