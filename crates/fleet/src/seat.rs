//! One process's way to a duty and out of it, and what it may do meanwhile.

use std::marker::PhantomData;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::record::Reply;
use crate::terms::Terms;

/// Who has lost a duty because its calls took too long leaves it to others for so many leases: whoever is as badly
/// off as that would only lose it again.
const RESTS: u32 = 20;

/// Work that one process at a time does for the fleet.
pub trait Duty: Sized {
    /// Its name in the record.
    const NAME: &'static str;
    /// What a round goes by.
    type Seen;
    /// What an act of it is; it goes out with the permit's stamp.
    type Act;
    /// This process is the owner from now on.
    fn taken_up(&mut self, epoch: u64);
    /// One round, as the owner: the act that the permit is used for, if there is one.
    fn round(&mut self, seen: &Self::Seen) -> Option<Self::Act>;
    /// This process is not the owner any more.
    fn given_up(&mut self);
}

/// What an act carries to those that receive it: they drop it if they have seen a later epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stamp {
    pub duty: String,
    pub epoch: u64,
}

/// Leave to do one act. It is given by a [`Seat`] that owns the duty, cannot be copied or made otherwise, and is
/// worth nothing once the lease may be over.
///
/// ```compile_fail
/// // Nobody but a seat can make one: its fields are its own.
/// let permit = ashvane_fleet::Permit::<ashvane_fleet::roster::Roster> {
///     epoch: 7, until: std::time::Duration::MAX, duty: std::marker::PhantomData,
/// };
/// ```
///
/// ```compile_fail
/// fn twice(permit: ashvane_fleet::Permit<ashvane_fleet::roster::Roster>, now: std::time::Duration) {
///     // One permit is one act.
///     let _ = permit.stamp(now);
///     let _ = permit.stamp(now);
/// }
/// ```
#[derive(Debug, PartialEq)]
pub struct Permit<D> {
    epoch: u64,
    until: Duration,
    duty: PhantomData<D>,
}

impl<D: Duty> Permit<D> {
    /// The stamp for the act, unless the lease may be over by now.
    pub fn stamp(self, now: Duration) -> Option<Stamp> {
        (now < self.until).then(|| Stamp { duty: D::NAME.to_owned(), epoch: self.epoch })
    }
}

/// Where a process stands with a duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum State {
    #[default]
    Candidate,
    /// The owner until so much of its own clock has passed.
    Owner { epoch: u64, until: Duration },
}

/// What changed for the duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    TakenUp { epoch: u64 },
    GivenUp,
}

/// One process's seat at a duty. Time is what has passed on its own clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Seat {
    state: State,
    /// The latest epoch that it owned or was fenced by.
    latest: u64,
    /// It does not seek the duty before.
    rests_until: Duration,
    /// Something that it asked since the last answer may have been heard.
    doubtful: bool,
}

impl Seat {
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The epoch in which it owns the duty.
    pub fn epoch(&self) -> Option<u64> {
        match self.state {
            State::Owner { epoch, .. } => Some(epoch),
            State::Candidate => None,
        }
    }

    /// Whether it would take the duty, if that is free, when its last call to a keeper took so long: one that
    /// could not renew its lease in time does not.
    pub fn seeks(&self, took: Duration, now: Duration, terms: &Terms) -> bool {
        self.state == State::Candidate && now >= self.rests_until && took < terms.renews_after()
    }

    /// What it asked was not answered, and may have been heard all the same.
    pub fn unanswered(&mut self) {
        self.doubtful = true;
    }

    /// Whether an owner still asks for its lease. One that is heard and does not hear would hold up its successor
    /// with every question.
    pub fn asks(&self, now: Duration, terms: &Terms) -> bool {
        let State::Owner { until, .. } = self.state else { return false };
        !self.doubtful || now + terms.silent_for() < until
    }

    /// Time goes on: an owner whose lease may be over stops.
    pub fn at(&mut self, now: Duration, terms: &Terms) -> Option<Turn> {
        let State::Owner { until, .. } = self.state else { return None };
        (now >= until).then(|| self.lose(now, terms))
    }

    fn lose(&mut self, now: Duration, terms: &Terms) -> Turn {
        self.rests_until = now + terms.lease * RESTS;
        self.give_up()
    }

    /// A take or a renewal that was sent at `sent` is answered.
    pub fn answered(&mut self, sent: Duration, reply: &Reply, now: Duration, terms: &Terms) -> Option<Turn> {
        match (reply, &mut self.state) {
            (Reply::Granted { epoch }, State::Owner { epoch: own, until }) if epoch == own => {
                // Answers may come in another order than they were asked for.
                *until = (*until).max(sent + terms.owner_acts());
                self.doubtful = false;
                self.at(now, terms)
            }
            // An answer that comes after the lease it grants, or of an epoch that is over, grants nothing.
            (Reply::Granted { epoch }, State::Candidate) => {
                let (epoch, until) = (*epoch, sent + terms.owner_acts());
                if now >= until || epoch <= self.latest {
                    return None;
                }
                (self.state, self.latest, self.doubtful) = (State::Owner { epoch, until }, epoch, false);
                Some(Turn::TakenUp { epoch })
            }
            (Reply::Fenced { epoch }, State::Owner { epoch: own, .. }) if *epoch >= *own => {
                self.latest = self.latest.max(*epoch);
                Some(self.lose(now, terms))
            }
            _ => None,
        }
    }

    /// It stops being the owner at once, whatever the keepers know of that.
    pub fn give_up(&mut self) -> Turn {
        self.state = State::Candidate;
        Turn::GivenUp
    }

    /// Leave for one act.
    pub fn permit<D: Duty>(&self, now: Duration) -> Option<Permit<D>> {
        let State::Owner { epoch, until } = self.state else { return None };
        (now < until).then_some(Permit { epoch, until, duty: PhantomData })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::roster::Roster;

    const fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    const TERMS: Terms = Terms { lease: ms(3000), drift: 0.0 };

    #[test]
    fn it_acts_from_when_it_asked_and_a_permit_ends_with_the_lease_though_nobody_looked() {
        let mut seat = Seat::default();
        assert!(seat.permit::<Roster>(ms(0)).is_none());
        let granted = |epoch| Reply::Granted { epoch };
        assert_eq!(seat.answered(ms(100), &granted(4), ms(900), &TERMS), Some(Turn::TakenUp { epoch: 4 }));
        let permit = seat.permit::<Roster>(ms(3000)).expect("still the owner");
        assert_eq!(permit.stamp(ms(3099)), Some(Stamp { duty: "roster".into(), epoch: 4 }));
        // Stopped between the look and the act.
        let permit = seat.permit::<Roster>(ms(3000)).expect("still the owner");
        assert_eq!(permit.stamp(ms(3100)), None);
        assert!(seat.permit::<Roster>(ms(3100)).is_none() && seat.epoch().is_some(), "nobody has looked");
        assert_eq!(seat.at(ms(3100), &TERMS), Some(Turn::GivenUp));
    }

    #[test]
    fn answers_that_come_late_doubled_or_in_another_order_grant_nothing_that_is_over() {
        let mut seat = Seat::default();
        let granted = |epoch| Reply::Granted { epoch };
        assert_eq!(seat.answered(ms(0), &granted(1), ms(3000), &TERMS), None, "over before it came");
        assert!(seat.answered(ms(0), &granted(2), ms(10), &TERMS).is_some());
        seat.answered(ms(1000), &granted(2), ms(1010), &TERMS);
        seat.answered(ms(500), &granted(2), ms(1020), &TERMS);
        assert!(seat.permit::<Roster>(ms(3999)).is_some() && seat.permit::<Roster>(ms(4000)).is_none());
        assert_eq!(seat.give_up(), Turn::GivenUp);
        // The first answer once more.
        assert_eq!(seat.answered(ms(1000), &granted(2), ms(1030), &TERMS), None);
        assert!(seat.answered(ms(1040), &granted(3), ms(1050), &TERMS).is_some());
        assert_eq!(
            seat.answered(ms(1060), &Reply::Fenced { epoch: 2 }, ms(1070), &TERMS),
            None,
            "an old one's"
        );
        assert_eq!(
            seat.answered(ms(1060), &Reply::Fenced { epoch: 4 }, ms(1070), &TERMS),
            Some(Turn::GivenUp)
        );
    }

    /// Guards against a successor that waits for two leases: keepers hear the old owner, who does not hear them.
    #[test]
    fn who_is_heard_and_does_not_hear_asks_no_more_in_the_second_half_of_its_time() {
        let mut seat = Seat::default();
        seat.answered(ms(0), &Reply::Granted { epoch: 1 }, ms(10), &TERMS);
        assert!(seat.asks(ms(2900), &TERMS), "nothing that was asked may have been heard");
        seat.unanswered();
        assert!(seat.asks(ms(1499), &TERMS) && !seat.asks(ms(1500), &TERMS));
        seat.answered(ms(1400), &Reply::Granted { epoch: 1 }, ms(1550), &TERMS);
        assert!(seat.asks(ms(4300), &TERMS), "it hears again");
    }

    /// Guards against a duty that goes to and fro between those whose calls take nearly a lease.
    #[test]
    fn who_is_too_slow_to_renew_does_not_seek_and_who_lost_it_so_leaves_it_for_a_minute() {
        let mut seat = Seat::default();
        assert!(seat.seeks(ms(50), ms(0), &TERMS) && !seat.seeks(ms(2700), ms(0), &TERMS));
        seat.answered(ms(0), &Reply::Granted { epoch: 1 }, ms(10), &TERMS);
        assert!(!seat.seeks(ms(50), ms(20), &TERMS), "it has it");
        seat.at(ms(3000), &TERMS);
        assert!(!seat.seeks(ms(50), ms(62_999), &TERMS) && seat.seeks(ms(50), ms(63_000), &TERMS));
        seat.answered(ms(70_000), &Reply::Granted { epoch: 9 }, ms(70_010), &TERMS);
        seat.give_up();
        assert!(seat.seeks(ms(50), ms(70_020), &TERMS), "it was handed over");
    }
}
