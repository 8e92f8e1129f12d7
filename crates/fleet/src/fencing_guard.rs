//! The guard at those that receive acts: nothing of an epoch takes effect after something of a later one.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use crate::{FencingToken, MAX_ROLES};

/// The highest epoch seen of each role.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FencingGuard {
    highest_epochs: BTreeMap<String, u64>,
    /// How many acts were rejected.
    pub rejected: u64,
}

impl FencingGuard {
    /// Whether an act may take effect; its epoch is remembered if so.
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

    /// The highest epoch seen of a role; 0 before the first.
    #[must_use]
    pub fn highest(&self, role: &str) -> u64 {
        self.highest_epochs.get(role).copied().unwrap_or_default()
    }
}
