//! Plots of the 99th percentile of latency over time.

use anyhow::Result;
use plotters::prelude::*;
use ragwortrill_standin::measure::{outcome::WINDOW, report::Runs};

const SIZE_PIXELS: (u32, u32) = (960, 480);

/// Plots the first service's 99th percentile by window, for the first seed of each policy.
pub fn draw(file: &str, scenario: &str, runs: &[Runs]) -> Result<()> {
    let root = SVGBackend::new(file, SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    let lines: Vec<Vec<(f64, f64)>> = runs.iter().map(line).collect();
    let points = || lines.iter().flatten();
    let width = points().map(|point| point.0).fold(1.0, f64::max);
    let height = points().map(|point| point.1).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption(
            format!("{scenario}: p99 in ms by second"),
            ("sans-serif", 20),
        )
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..width, 0.0..height)?;
    chart.configure_mesh().draw()?;
    for (index, (run, line)) in runs.iter().zip(lines).enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(line, colour))?
            .label(&run.policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

fn line(runs: &Runs) -> Vec<(f64, f64)> {
    let outcome = runs.seeds.first().and_then(|outcomes| outcomes.first());
    let windows = outcome.map_or(&[][..], |outcome| &outcome.windows);
    let seconds = WINDOW.0 as f64 / 1e6;
    let point = |(index, window): (usize, &ragwortrill_standin::measure::outcome::Window)| {
        let p99 = window.latency.value_at_quantile(0.99) as f64 / 1e3;
        (index as f64 * seconds, p99)
    };
    windows.iter().enumerate().map(point).collect()
}
