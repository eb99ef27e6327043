//! Results as SVG.

use std::path::Path;

use plotters::prelude::*;

use crate::{LoadError, Results};

const WIDTH: u32 = 900;
const HEIGHT: u32 = 360;
const MARGIN: u32 = 12;
const LABELS: u32 = 44;
const LEGEND_LINE: i32 = 18;
const COLOURS: [RGBColor; 4] = [BLUE, RED, GREEN, MAGENTA];

/// Draws the share of busy slots over time, one line for each result.
///
/// # Errors
///
/// Fails if the file can't be written.
pub fn draw_timeline(results: &[Results], path: &Path) -> Result<(), LoadError> {
    let samples = results.iter().flat_map(|result| &result.seconds);
    let end = samples.map(|second| second.at).fold(1.0, f64::max);
    let root = SVGBackend::new(path, (WIDTH, HEIGHT)).into_drawing_area();
    root.fill(&WHITE).map_err(LoadError::new)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(MARGIN)
        .x_label_area_size(LABELS)
        .y_label_area_size(LABELS)
        .build_cartesian_2d(0.0..end, 0.0..1.05)
        .map_err(LoadError::new)?;
    chart
        .configure_mesh()
        .disable_mesh()
        .x_desc("seconds since the start")
        .y_desc("share of slots busy")
        .draw()
        .map_err(LoadError::new)?;
    for (result, colour) in results.iter().zip(COLOURS.iter().cycle()) {
        let line = result.seconds.iter().map(|second| (second.at, second.busy));
        let series = chart.draw_series(LineSeries::new(line, colour)).map_err(LoadError::new)?;
        series
            .label(format!("{}, {}", result.workload, result.deployment))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE, y)], colour));
    }
    let mut legend = chart.configure_series_labels();
    let legend = legend.position(SeriesLabelPosition::LowerRight).border_style(BLACK);
    legend.draw().map_err(LoadError::new)?;
    root.present().map_err(LoadError::new)
}
