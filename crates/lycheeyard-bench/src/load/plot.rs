use super::{LoadError, LoadReport};
use plotters::{
    chart::ChartBuilder,
    drawing::IntoDrawingArea,
    prelude::SVGBackend,
    series::LineSeries,
    style::{BLUE, Color, RED, WHITE},
};

const SIZE_PX: (u32, u32) = (900, 420);

/// Draws the requests sent and answered in each second of a run as an SVG document.
///
/// # Errors
/// Fails when the drawing cannot be made.
pub fn plot_report(report: &LoadReport) -> Result<String, LoadError> {
    let mut svg = String::new();
    draw(report, &mut svg).map_err(LoadError::Plot)?;
    Ok(svg)
}

fn draw(report: &LoadReport, svg: &mut String) -> Result<(), String> {
    let area = SVGBackend::with_string(svg, SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(|err| err.to_string())?;
    let end_s = report.seconds.keys().max().copied().unwrap_or(0) + 1;
    let max_requests = report
        .seconds
        .values()
        .map(|second| second.sent)
        .max()
        .unwrap_or(0)
        + 1;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0..end_s, 0..max_requests)
        .map_err(|err| err.to_string())?;
    let sent = report
        .seconds
        .iter()
        .map(|(second, figures)| (*second, figures.sent));
    let answered = report
        .seconds
        .iter()
        .map(|(second, figures)| (*second, figures.answered));
    let sent = LineSeries::new(sent, RED.stroke_width(2));
    let answered = LineSeries::new(answered, BLUE.stroke_width(2));
    chart.draw_series(sent).map_err(|err| err.to_string())?;
    chart.draw_series(answered).map_err(|err| err.to_string())?;
    area.present().map_err(|err| err.to_string())
}
