//! Fits a line and a power law to figures measured at several sizes, with the error of the fit.

/// A measured figure as a function of the size: pairs of size and figure.
pub(crate) struct Series {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

/// Fits `intercept + slope * x` by least squares, and returns the intercept and the slope.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let (sum_x, sum_y) = points.iter().fold((0.0, 0.0), |(a, b), (x, y)| (a + x, b + y));
    let (mean_x, mean_y) = (sum_x / count, sum_y / count);
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    (mean_y - slope * mean_x, slope)
}

/// Returns the points with both coordinates as natural logarithms, without those whose figure is not
/// positive.
fn logarithms(points: &[(f64, f64)]) -> Vec<(f64, f64)> {
    points.iter().filter(|(_, y)| *y > 0.0).map(|(x, y)| (x.ln(), y.ln())).collect()
}

impl Series {
    /// Returns the intercept and the slope of the line through all points, and the greatest relative error of
    /// a point.
    pub(crate) fn fit_line(&self) -> (f64, f64, f64) {
        let (intercept, slope) = fit_line(&self.points);
        let relative_error = |(x, y): &(f64, f64)| ((intercept + slope * x) / y - 1.0).abs();
        (intercept, slope, self.points.iter().map(relative_error).fold(0.0, f64::max))
    }

    /// Returns the exponents of the power laws through all points and through the last two. Where they
    /// differ, the figure does not follow one power law.
    pub(crate) fn exponents(&self) -> (f64, f64) {
        let logarithms = logarithms(&self.points);
        let last = &logarithms[logarithms.len().saturating_sub(2)..];
        (fit_line(&logarithms).1, fit_line(last).1)
    }

    /// Predicts the last figure by a line through all earlier points. Returns the prediction, the measured
    /// figure and the relative error.
    pub(crate) fn predict_last(&self) -> Option<(f64, f64, f64)> {
        let ((x, measured), before) = self.points.split_last()?;
        if before.len() < 2 {
            return None;
        }
        let (intercept, slope) = fit_line(before);
        let predicted = intercept + slope * x;
        Some((predicted, *measured, predicted / measured - 1.0))
    }

    pub(crate) fn print(&self) {
        let (intercept, slope, relative_error) = self.fit_line();
        let (exponent, last) = self.exponents();
        let values: Vec<String> = self.points.iter().map(|(x, y)| format!("{x}: {y:.4}")).collect();
        println!("  {}: {}", self.name, values.join(", "));
        println!(
            "    line {intercept:.4} + {slope:.6} x, error at most {:.0}%; exponent {exponent:.2}, between the last two points {last:.2}",
            relative_error * 100.0
        );
        if let Some((predicted, measured, error)) = self.predict_last() {
            println!(
                "    last point predicted by the earlier ones: {predicted:.4}, measured {measured:.4}, error {:+.0}%",
                error * 100.0
            );
        }
    }
}
