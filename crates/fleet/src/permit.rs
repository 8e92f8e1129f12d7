//! Work that one process at a time does, leave for one act of it, and what the act carries.

use std::marker::PhantomData;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Work that one process at a time does for the fleet.
pub trait SingletonRole: Sized {
    /// Its name in the record.
    const NAME: &'static str;
    /// What a round goes by.
    type Observation;
    /// What an act of it is; it goes out with the permit's token.
    type Action;
    /// This process is the owner from now on.
    fn acquired(&mut self, epoch: u64);
    /// One round, as the owner: the act that the permit is used for, if there is one.
    fn round(&mut self, observation: &Self::Observation) -> Option<Self::Action>;
    /// This process is not the owner any more.
    fn lost(&mut self);
}

/// What an act carries to those that receive it: they drop it if they have seen a later epoch (a fencing token).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FencingToken {
    /// The role.
    #[serde(rename = "duty")]
    pub role: String,
    /// The epoch of the owner's lease.
    pub epoch: u64,
}

/// Leave to do one act. It is given by a [`LeaseParticipant`](crate::LeaseParticipant) that owns the role, cannot be copied
/// or made otherwise, and is worth nothing once the lease may be over.
///
/// ```compile_fail
/// // Nobody but a participant can make one: its fields are its own.
/// let permit = ashvane_fleet::Permit::<ashvane_fleet::roster::Roster> {
///     epoch: 7, expires_at: std::time::Duration::MAX, role: std::marker::PhantomData,
/// };
/// ```
///
/// ```compile_fail
/// fn twice(permit: ashvane_fleet::Permit<ashvane_fleet::roster::Roster>, now: std::time::Duration) {
///     // One permit is one act.
///     let _ = permit.token(now);
///     let _ = permit.token(now);
/// }
/// ```
#[derive(Debug, PartialEq)]
pub struct Permit<R> {
    epoch: u64,
    expires_at: Duration,
    role: PhantomData<R>,
}

impl<R: SingletonRole> Permit<R> {
    pub(crate) fn new(epoch: u64, expires_at: Duration) -> Self {
        Permit { epoch, expires_at, role: PhantomData }
    }

    /// The token for the act, unless the lease may be over by now.
    #[must_use]
    pub fn token(self, now: Duration) -> Option<FencingToken> {
        (now < self.expires_at).then(|| FencingToken { role: R::NAME.to_owned(), epoch: self.epoch })
    }
}
