use super::{Comparison, Planner};
use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, GREEN, IntoDrawingArea, LineSeries, MAGENTA, RED, RGBColor,
    SVGBackend, WHITE,
};
use std::path::Path;
use thiserror::Error;

const SIZE_PX: (u32, u32) = (900, 420);

/// A failure to draw a plot.
#[derive(Debug, Error)]
#[error("cannot draw {file}: {reason}")]
pub struct PlotError {
    /// The path of the file.
    pub file: String,
    /// The error message of the plotting library.
    pub reason: String,
}

/// Draws the unusable idle accelerators over time, with one line per planner, into an SVG file in `folder`.
///
/// # Errors
/// Fails when the file cannot be written.
pub fn plot_comparison(comparison: &Comparison, folder: &Path) -> Result<(), PlotError> {
    let file = folder.join(format!(
        "{}-{}-{}.svg",
        comparison.deployment, comparison.scale, comparison.seed
    ));
    draw_svg(comparison, &file).map_err(|err| PlotError {
        file: file.display().to_string(),
        reason: err.to_string(),
    })
}

fn draw_svg(comparison: &Comparison, file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let points = || comparison.idle.values().flatten();
    let end_h = points().map(|(at, _, _)| at / 3_600.0).fold(1.0, f64::max);
    let max_accelerators = points()
        .map(|(_, _, unusable)| *unusable)
        .max()
        .unwrap_or(1);
    let caption = format!(
        "{} {} seed {}: idle accelerators that no wanted shape can use",
        comparison.deployment, comparison.scale, comparison.seed
    );
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..end_h, 0..max_accelerators)?;
    chart
        .configure_mesh()
        .x_desc("hours")
        .y_desc("accelerators")
        .draw()?;
    for (planner, idle) in &comparison.idle {
        let line = idle
            .iter()
            .map(|(at, _, unusable)| (at / 3_600.0, *unusable));
        let colour = colour(*planner);
        chart
            .draw_series(LineSeries::new(line, colour))?
            .label(planner.to_string())
            .legend(move |(x, y)| {
                plotters::prelude::PathElement::new(vec![(x, y), (x + 16, y)], colour)
            });
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

fn colour(planner: Planner) -> RGBColor {
    match planner {
        Planner::Naive => RED,
        Planner::FirstFit => MAGENTA,
        Planner::Easy => BLUE,
        Planner::Policy => GREEN,
    }
}
