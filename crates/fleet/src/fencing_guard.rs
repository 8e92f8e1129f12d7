//! Check by which a receiver rejects actions of superseded epochs.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use crate::{FencingToken, MAX_ROLES};

/// Highest epoch that a receiver has admitted for each role. Actions of an earlier epoch are rejected, and
/// so are actions of further roles once [`MAX_ROLES`] roles are recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FencingGuard {
    highest_epochs: BTreeMap<String, u64>,
    /// Number of rejected actions.
    pub rejected: u64,
}

impl FencingGuard {
    /// Returns whether the action with this token may take effect, and records its epoch if so.
    pub fn admits(&mut self, token: &FencingToken) -> bool {
        let is_admitted = match self.highest_epochs.get(&token.role) {
            Some(highest) => token.epoch >= *highest,
            None => self.highest_epochs.len() < MAX_ROLES,
        };
        if is_admitted {
            self.highest_epochs.insert(token.role.clone(), token.epoch);
        } else {
            self.rejected += 1;
        }
        is_admitted
    }

    /// Returns the highest epoch admitted for a role, or 0 if there is none.
    #[must_use]
    pub fn highest(&self, role: &str) -> u64 {
        self.highest_epochs.get(role).copied().unwrap_or_default()
    }
}
