//! Trends of measured levels over a long run: compares each part's mean with the first part's.

use std::collections::BTreeMap;

/// Readings of one level in the order in which they were taken.
#[derive(Clone, Debug, Default)]
struct Series(Vec<f64>);

/// Readings of named levels, such as the memory used for one purpose.
#[derive(Clone, Debug, Default)]
pub struct Levels(BTreeMap<String, Series>);

/// Trend of one level over the equal parts of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct LevelTrend {
    pub name: String,
    /// Mean of the readings in each part.
    pub means: Vec<f64>,
    /// Highest single reading.
    pub peak: f64,
    /// Greatest distance of a part's mean from that of the first part, as a share of the first; absolute if
    /// the first is zero.
    pub furthest: f64,
    /// Whether every part's mean is within the permitted distance of the first.
    pub steady: bool,
}

impl Levels {
    /// Appends a reading to the level `name`.
    pub fn record(&mut self, name: &str, value: f64) {
        self.0.entry(name.to_owned()).or_default().0.push(value);
    }

    /// Returns the trend of each level over `parts` equal parts. A level is steady if the mean of each part
    /// differs from that of the first by at most the share `share` of the first, or by at most `slack`. The
    /// absolute `slack` is for levels so low that a single query moves them by more than `share`.
    pub fn trends(&self, parts: usize, share: f64, slack: f64) -> Vec<LevelTrend> {
        let trend = |(name, series): (&String, &Series)| {
            let part_length = (series.0.len() / parts.max(1)).max(1);
            let mean = |part: &[f64]| part.iter().sum::<f64>() / part.len() as f64;
            let means: Vec<f64> = series.0.chunks_exact(part_length).take(parts).map(mean).collect();
            let first = means.first().copied().unwrap_or_default();
            let distance = |mean: &f64| (mean - first).abs();
            let max_distance = means.iter().map(distance).fold(0.0, f64::max);
            let furthest = if first > 0.0 { max_distance / first } else { max_distance };
            let peak = series.0.iter().copied().fold(0.0, f64::max);
            let steady = max_distance <= slack || furthest <= share;
            LevelTrend { name: name.clone(), means, peak, furthest, steady }
        };
        self.0.iter().map(trend).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_level_that_grows_is_not_steady_and_one_that_oscillates_within_parts_is() {
        let mut levels = Levels::default();
        for i in 0..600 {
            levels.record("creeps", 1000.0 + f64::from(i));
            levels.record("swings", if i % 2 == 0 { 0.0 } else { 2000.0 });
            levels.record("low", f64::from(i) / 100.0);
        }
        let trends = levels.trends(6, 0.05, 10.0);
        let steady: Vec<(&str, bool)> =
            trends.iter().map(|trend| (trend.name.as_str(), trend.steady)).collect();
        assert_eq!(steady, [("creeps", false), ("low", true), ("swings", true)]);
        assert_eq!(trends[2].means, [1000.0; 6]);
    }
}
