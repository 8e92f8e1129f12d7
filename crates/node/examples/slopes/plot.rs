//! Plots a series and its fitted line as SVG.

use plotters::prelude::*;

use crate::fit::Series;

const FOLDER: &str = "docs/capacity";

/// Draws a series with its fitted line to `docs/capacity/NAME.svg`, on two logarithmic axes.
pub(crate) fn draw(name: &str, x_label: &str, series: &Series) {
    let file = format!("{FOLDER}/{name}.svg");
    if let Err(error) = std::fs::create_dir_all(FOLDER)
        .map_err(|error| error.to_string())
        .and_then(|()| plot(&file, x_label, series).map_err(|error| error.to_string()))
    {
        println!("    cannot draw {file}: {error}");
    }
}

fn plot(file: &str, x_label: &str, series: &Series) -> Result<(), Box<dyn std::error::Error>> {
    let points: Vec<(f64, f64)> = series.points.iter().copied().filter(|(_, y)| *y > 0.0).collect();
    let (Some(first), Some(last)) = (points.first(), points.last()) else { return Ok(()) };
    let min_figure = points.iter().map(|(_, y)| *y).fold(f64::MAX, f64::min);
    let max_figure = points.iter().map(|(_, y)| *y).fold(0.0, f64::max);
    let root = SVGBackend::new(file, (640, 400)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(&series.name, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(
            (first.0 / 1.5..last.0 * 1.5).log_scale(),
            (min_figure / 2.0..max_figure * 2.0).log_scale(),
        )?;
    chart.configure_mesh().x_desc(x_label).draw()?;
    let (intercept, slope, _) = series.fit_line();
    let steps = (0..=60).map(|n| first.0 * (last.0 / first.0).powf(f64::from(n) / 60.0));
    let line = steps.map(|x| (x, intercept + slope * x)).filter(|(_, y)| *y > 0.0);
    chart.draw_series(LineSeries::new(line, &BLUE))?;
    chart.draw_series(points.iter().map(|point| Circle::new(*point, 4, RED.filled())))?;
    root.present()?;
    Ok(())
}
