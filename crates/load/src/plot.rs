//! Plots results as SVG.

use std::path::Path;

use plotters::prelude::*;

use crate::{LoadError, Results};

const WIDTH_PX: u32 = 900;
const HEIGHT_PX: u32 = 360;
const MARGIN_PX: u32 = 12;
const LABEL_AREA_PX: u32 = 44;
const LEGEND_LINE_PX: i32 = 18;
const LINE_COLOURS: [RGBColor; 4] = [BLUE, RED, GREEN, MAGENTA];

/// Plots the share of occupied slots over time, one line for each of the results.
///
/// # Errors
///
/// Fails if the file can't be written.
pub fn draw_timeline(results: &[Results], path: &Path) -> Result<(), LoadError> {
    let samples = results.iter().flat_map(|result| &result.samples);
    let end_s = samples.map(|sample| sample.elapsed_s).fold(1.0, f64::max);
    let root = SVGBackend::new(path, (WIDTH_PX, HEIGHT_PX)).into_drawing_area();
    root.fill(&WHITE).map_err(LoadError::new)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(MARGIN_PX)
        .x_label_area_size(LABEL_AREA_PX)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(0.0..end_s, 0.0..1.05)
        .map_err(LoadError::new)?;
    chart
        .configure_mesh()
        .disable_mesh()
        .x_desc("seconds since the start of the run")
        .y_desc("share of slots occupied")
        .draw()
        .map_err(LoadError::new)?;
    for (result, colour) in results.iter().zip(LINE_COLOURS.iter().cycle()) {
        let points = result.samples.iter().map(|sample| (sample.elapsed_s, sample.occupied_share));
        let series = chart.draw_series(LineSeries::new(points, colour)).map_err(LoadError::new)?;
        series
            .label(format!("{}, {}", result.workload, result.deployment))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE_PX, y)], colour));
    }
    let mut legend = chart.configure_series_labels();
    let legend = legend.position(SeriesLabelPosition::LowerRight).border_style(BLACK);
    legend.draw().map_err(LoadError::new)?;
    root.present().map_err(LoadError::new)
}
