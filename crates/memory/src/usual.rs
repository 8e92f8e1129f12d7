//! Estimate of the size of an item, for setting memory aside before the item arrives.

/// Weight of the latest sample in the running mean. The last few dozen samples dominate, so that the estimate
/// adapts quickly to a new kind of answer.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Number of standard deviations above the mean that are set aside. Few items are larger, and those charge
/// the difference as they arrive.
const DEVIATION_FACTOR: f64 = 2.0;

/// Running mean and variance of the size of an item, in bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usual {
    mean: f64,
    variance: f64,
    has_samples: bool,
}

impl Usual {
    /// Adds a sample.
    pub fn learn(&mut self, bytes: u64) {
        let deviation = bytes as f64 - self.mean;
        if !self.has_samples {
            *self = Usual { mean: bytes as f64, variance: 0.0, has_samples: true };
            return;
        }
        self.mean += SAMPLE_WEIGHT * deviation;
        self.variance = (1.0 - SAMPLE_WEIGHT) * (self.variance + SAMPLE_WEIGHT * deviation * deviation);
    }

    /// Returns the bytes to set aside for one item.
    pub fn weight(&self) -> u64 {
        (self.mean + DEVIATION_FACTOR * self.variance.sqrt()) as u64
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_estimate_follows_the_samples() {
        let mut usual = Usual::default();
        assert_eq!(usual.weight(), 0, "no sample yet");
        (0..100).for_each(|_| usual.learn(1000));
        assert_eq!(usual.weight(), 1000);
        (0..200).for_each(|i| usual.learn(if i % 2 == 0 { 500 } else { 1500 }));
        assert!((1800..2300).contains(&usual.weight()), "{}", usual.weight());
        (0..400).for_each(|_| usual.learn(16));
        assert!(usual.weight() < 64, "{}", usual.weight());
    }
}
