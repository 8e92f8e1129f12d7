//! Levels over a long run: whether what is seen in each part of it stays near its first part.

use std::collections::BTreeMap;

/// One series of readings.
#[derive(Clone, Debug, Default)]
struct Series(Vec<f64>);

/// Readings of named levels, one of each at a time.
#[derive(Clone, Debug, Default)]
pub struct Levels(BTreeMap<String, Series>);

/// A level over the parts of a run: the mean of each part.
#[derive(Clone, Debug, PartialEq)]
pub struct Course {
    pub name: String,
    pub means: Vec<f64>,
    pub peak: f64,
    /// The part furthest from the first, as a share of the first.
    pub furthest: f64,
    pub steady: bool,
}

impl Levels {
    pub fn note(&mut self, name: &str, value: f64) {
        self.0.entry(name.to_owned()).or_default().0.push(value);
    }

    /// Each level over so many equal parts. Steady is what stays within a share of its first part, or within
    /// `slack` of it, which bears levels so low that one query moves them.
    pub fn courses(&self, parts: usize, share: f64, slack: f64) -> Vec<Course> {
        let course = |(name, series): (&String, &Series)| {
            let each = (series.0.len() / parts.max(1)).max(1);
            let mean = |part: &[f64]| part.iter().sum::<f64>() / part.len() as f64;
            let means: Vec<f64> = series.0.chunks_exact(each).take(parts).map(mean).collect();
            let first = means.first().copied().unwrap_or_default();
            let off = |m: &f64| (m - first).abs();
            let most = means.iter().map(off).fold(0.0, f64::max);
            let furthest = if first > 0.0 { most / first } else { most };
            let peak = series.0.iter().copied().fold(0.0, f64::max);
            let steady = most <= slack || furthest <= share;
            Course { name: name.clone(), means, peak, furthest, steady }
        };
        self.0.iter().map(course).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_level_that_creeps_is_not_steady_and_one_that_swings_within_parts_is() {
        let mut levels = Levels::default();
        for i in 0..600 {
            levels.note("creeps", 1000.0 + f64::from(i));
            levels.note("swings", if i % 2 == 0 { 0.0 } else { 2000.0 });
            levels.note("low", f64::from(i) / 100.0);
        }
        let courses = levels.courses(6, 0.05, 10.0);
        let steady: Vec<(&str, bool)> = courses.iter().map(|c| (c.name.as_str(), c.steady)).collect();
        assert_eq!(steady, [("creeps", false), ("low", true), ("swings", true)]);
        assert_eq!(courses[2].means, [1000.0; 6]);
    }
}
