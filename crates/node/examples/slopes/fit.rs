//! Fits of a figure to the size it was measured at: a line and a power, each with its error.

/// A figure at each of some sizes.
pub(crate) struct Series {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

/// `intercept + slope * x`, by least squares.
fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let (sum_x, sum_y) = points.iter().fold((0.0, 0.0), |(a, b), (x, y)| (a + x, b + y));
    let (mean_x, mean_y) = (sum_x / n, sum_y / n);
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    (mean_y - slope * mean_x, slope)
}

fn logarithms(points: &[(f64, f64)]) -> Vec<(f64, f64)> {
    points.iter().filter(|(_, y)| *y > 0.0).map(|(x, y)| (x.ln(), y.ln())).collect()
}

impl Series {
    /// The line through all points, and the greatest relative distance of a point from it.
    pub(crate) fn line(&self) -> (f64, f64, f64) {
        let (intercept, slope) = line(&self.points);
        let off = |(x, y): &(f64, f64)| ((intercept + slope * x) / y - 1.0).abs();
        (intercept, slope, self.points.iter().map(off).fold(0.0, f64::max))
    }

    /// The power by which it grows, over all points, and between the last two of them: where they differ, it bends.
    pub(crate) fn powers(&self) -> (f64, f64) {
        let logarithms = logarithms(&self.points);
        let last = &logarithms[logarithms.len().saturating_sub(2)..];
        (line(&logarithms).1, line(last).1)
    }

    /// What a line through all points but the last says of the last, beside what was measured there.
    pub(crate) fn foretold(&self) -> Option<(f64, f64, f64)> {
        let ((x, measured), before) = self.points.split_last()?;
        if before.len() < 2 {
            return None;
        }
        let (intercept, slope) = line(before);
        let foretold = intercept + slope * x;
        Some((foretold, *measured, foretold / measured - 1.0))
    }

    pub(crate) fn print(&self) {
        let (intercept, slope, off) = self.line();
        let (power, last) = self.powers();
        let values: Vec<String> = self.points.iter().map(|(x, y)| format!("{x}: {y:.4}")).collect();
        println!("  {}: {}", self.name, values.join(", "));
        println!(
            "    line {intercept:.4} + {slope:.6} x, off by {:.0}% at most; power {power:.2}, at the end {last:.2}",
            off * 100.0
        );
        if let Some((foretold, measured, error)) = self.foretold() {
            println!(
                "    the last foretold by those before: {foretold:.4}, measured {measured:.4}, {:+.0}%",
                error * 100.0
            );
        }
    }
}
