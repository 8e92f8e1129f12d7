//! The fence at those that receive acts: nothing of an epoch takes effect after something of a later one.

use std::collections::BTreeMap;

use crate::record::DUTIES_MOST;
use crate::seat::Stamp;

/// The highest epoch seen of each duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: BTreeMap<String, u64>,
    /// How many acts it kept out.
    pub kept_out: u64,
}

impl Fence {
    /// Whether an act may take effect; it is remembered if so.
    pub fn lets(&mut self, stamp: &Stamp) -> bool {
        let known = self.highest.get(&stamp.duty).copied();
        let lets = match known {
            Some(highest) => stamp.epoch >= highest,
            None => self.highest.len() < DUTIES_MOST,
        };
        match lets {
            true => drop(self.highest.insert(stamp.duty.clone(), stamp.epoch)),
            false => self.kept_out += 1,
        }
        lets
    }

    pub fn highest(&self, duty: &str) -> u64 {
        self.highest.get(duty).copied().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_older_than_the_latest_seen_is_kept_out_for_good() {
        let mut fence = Fence::default();
        let stamp = |duty: &str, epoch| Stamp { duty: duty.into(), epoch };
        let lets: Vec<bool> = [3, 2, 3, 5, 4, 3, 5].map(|epoch| fence.lets(&stamp("roster", epoch))).into();
        assert_eq!(lets, [true, false, true, true, false, false, true]);
        assert!(fence.lets(&stamp("list", 1)) && fence.kept_out == 3);
        let lets = (0..100).filter(|i| fence.lets(&stamp(&format!("d{i}"), 1))).count();
        assert_eq!(lets, DUTIES_MOST - 2);
        assert_eq!(fence.highest.len(), DUTIES_MOST, "bounded");
    }
}
