//! When a gatherer calls which keeper: a stated rate at the most, whatever happens.

use std::time::Duration;

/// A call comes this much sooner or later than its usual time, as a share: none is in step with another's.
const SPREAD: f64 = 0.25;

/// The calls of one gatherer to keepers: one at a time, each at its own time, to one keeper until that one fails.
#[derive(Clone, Debug)]
pub struct Pace {
    every: Duration,
    rng: fastrand::Rng,
    keepers: usize,
    /// The keeper that is called, as a place in the list.
    at: usize,
    next: Duration,
}

impl Pace {
    /// The first call comes within one usual time, drawn by the gatherer's own seed: a fleet that starts at once does
    /// not call at once.
    pub fn new(every: Duration, keepers: usize, seed: u64, now: Duration) -> Pace {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (keepers, next) = (keepers.max(1), now + every.mul_f64(rng.f64()));
        Pace { every, keepers, at: rng.usize(..keepers), next, rng }
    }

    /// When the next call is due, and at which keeper.
    pub fn next(&self) -> (Duration, usize) {
        (self.next, self.at)
    }

    /// A call is made now. Whether it is answered or not, the next one comes no sooner than this says.
    pub fn called(&mut self, now: Duration) {
        self.next = now + self.every.mul_f64(1.0 - SPREAD + 2.0 * SPREAD * self.rng.f64());
    }

    /// That keeper did not answer: the next call goes to another, at its usual time.
    pub fn failed(&mut self) {
        self.at = (self.at + 1) % self.keepers;
    }

    /// The most calls a second of so many gatherers, were all of them to call one keeper.
    pub fn rate_most(every: Duration, gatherers: u32) -> f64 {
        f64::from(gatherers) / (every.as_secs_f64() * (1.0 - SPREAD))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_fleet_stays_below_its_rate_when_it_starts_when_keepers_fail_and_when_they_are_back() {
        let (every, fleet) = (Duration::from_secs(1), 300);
        let mut paces: Vec<Pace> =
            (0..u64::from(fleet)).map(|seed| Pace::new(every, 3, seed, Duration::ZERO)).collect();
        let (mut by_second, mut by_tenth) = (vec![0; 180], vec![0; 1800]);
        for ms in 0..180_000 {
            let now = Duration::from_millis(ms);
            for pace in paces.iter_mut().filter(|pace| pace.next().0 <= now) {
                pace.called(now);
                // A minute in which no keeper answers.
                if (60_000..120_000).contains(&ms) {
                    pace.failed();
                }
                by_second[ms as usize / 1000] += 1;
                by_tenth[ms as usize / 100] += 1;
            }
        }
        let most = Pace::rate_most(every, fleet);
        assert!(by_second.iter().all(|calls| f64::from(*calls) <= most), "{by_second:?}");
        assert!(by_tenth.iter().all(|calls| f64::from(*calls) <= most * 0.2), "{by_tenth:?}");
    }
}
