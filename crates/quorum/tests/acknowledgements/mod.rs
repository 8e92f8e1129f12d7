//! What callers have been acknowledged, and what they may not be told after that.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ashvane_quorum::{ChosenProposal, SubmissionStatus};

/// A version and its text.
pub(crate) type Order = (u64, Arc<str>);

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Acknowledgements {
    /// The text of each version that was acknowledged as decided, or read.
    decided: BTreeMap<u64, Arc<str>>,
    /// Acknowledged below a higher version, without a text of its own: it changes nothing.
    superseded: BTreeSet<Order>,
    refused: BTreeSet<Order>,
    /// The newest version acknowledged or read.
    pub newest: u64,
    /// A read found less than was known when it began.
    pub is_behind: bool,
    /// Two texts of one version have been acknowledged, one of them as decided.
    pub has_two_texts: bool,
    /// An order was acknowledged, or its text read, and refused.
    pub says_both: bool,
}

impl Acknowledgements {
    fn decided(&mut self, order: Order) {
        let (version, text) = &order;
        let others = (*version, Arc::from(""))..(version + 1, Arc::from(""));
        self.has_two_texts |= self.decided.get(version).is_some_and(|held| held != text);
        self.has_two_texts |= self.superseded.range(others).any(|other| *other != order);
        self.says_both |= self.refused.contains(&order);
        self.newest = self.newest.max(order.0);
        self.decided.insert(order.0, order.1);
    }

    /// A caller has been given this, whatever it asked for.
    pub(crate) fn chosen(&mut self, chosen: &ChosenProposal) {
        if let Some(config) = chosen.config() {
            self.decided((config.version, config.compressed_text.clone()));
        }
    }

    /// A read that began when this version was known has found something.
    pub(crate) fn read(&mut self, floor: u64, chosen: &ChosenProposal) {
        self.is_behind |= chosen.config().map_or(0, |config| config.version) < floor;
        self.chosen(chosen);
    }

    /// An order has been answered.
    pub(crate) fn written(&mut self, order: Order, standing: SubmissionStatus, chosen: &ChosenProposal) {
        self.chosen(chosen);
        match standing {
            SubmissionStatus::Chosen => self.decided(order),
            SubmissionStatus::Superseded => {
                self.has_two_texts |= self.decided.get(&order.0).is_some_and(|held| *held != order.1);
                self.says_both |= self.refused.contains(&order);
                self.superseded.insert(order);
            }
            SubmissionStatus::Conflict => {
                let decided = self.decided.get(&order.0).is_some_and(|held| *held == order.1);
                self.says_both |= decided || self.superseded.contains(&order);
                self.refused.insert(order);
            }
            SubmissionStatus::New | SubmissionStatus::Forgotten => {
                unreachable!("an order of so few is settled")
            }
        }
    }

    /// Nothing has been said that must not be said.
    pub(crate) fn is_sound(&self) -> bool {
        !(self.is_behind || self.has_two_texts || self.says_both)
    }
}
