//! Work that one process at a time does, the permission for one action of it, and the token that the action
//! carries.

use std::marker::PhantomData;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Work that one process at a time does for the fleet.
pub trait SingletonRole: Sized {
    /// Name of the role in the record.
    const NAME: &'static str;
    /// Input of a round.
    type Observation;
    /// Action of the owner, which is sent with the permit's token.
    type Action;
    /// Called when this process becomes the owner.
    fn acquired(&mut self, epoch: u64);
    /// Runs one round as the owner and returns the action to perform with a permit, if there is one.
    fn round(&mut self, observation: &Self::Observation) -> Option<Self::Action>;
    /// Called when this process is no longer the owner.
    fn lost(&mut self);
}

/// Fencing token that an action carries. A receiver rejects the action if it has seen a token of a later
/// epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FencingToken {
    /// Name of the role.
    #[serde(rename = "duty")]
    pub role: String,
    /// Epoch of the owner's lease.
    pub epoch: u64,
}

/// Permission to perform one action. Only a [`LeaseParticipant`](crate::LeaseParticipant) that owns the role
/// creates permits. A permit cannot be copied and yields no token once the lease may have expired.
///
/// ```compile_fail
/// // Only a participant can create a permit: the fields are private.
/// let permit = ashvane_fleet::Permit::<ashvane_fleet::roster::Roster> {
///     epoch: 7, expires_at: std::time::Duration::MAX, role: std::marker::PhantomData,
/// };
/// ```
///
/// ```compile_fail
/// fn twice(permit: ashvane_fleet::Permit<ashvane_fleet::roster::Roster>, now: std::time::Duration) {
///     // A permit allows one action only.
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

    /// Returns the token for the action, or `None` if the lease may have expired at `now`.
    #[must_use]
    pub fn token(self, now: Duration) -> Option<FencingToken> {
        (now < self.expires_at).then(|| FencingToken { role: R::NAME.to_owned(), epoch: self.epoch })
    }
}
