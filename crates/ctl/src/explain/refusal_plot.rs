//! Plot of requests that were not served.

use std::path::Path;

use plotters::prelude::*;

use super::{RefusalSummary, refusal_summary::slot_start};

type PlotError = DrawingAreaErrorKind<std::io::Error>;
type Result<T, E = PlotError> = std::result::Result<T, E>;

/// Size of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 420);

/// Draws a summary as SVG: one line for each cause, over time.
///
/// # Errors
///
/// If the file cannot be written.
pub fn draw_refusals(summary: &RefusalSummary, file: &Path) -> Result<()> {
    let root = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let slots = summary.counts.values().next().map_or(1, Vec::len);
    let max_count = summary.counts.values().flatten().copied().max().unwrap_or(1).max(1);
    let mut chart = ChartBuilder::on(&root)
        .caption("requests not served, by cause", ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..slot_start(slots, summary.slot_s), 0..max_count + 1)?;
    chart.configure_mesh().x_desc("seconds").y_desc("requests in a slot").draw()?;
    for (number, (cause, counts)) in summary.counts.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let points = counts.iter().enumerate();
        let points = points.map(|(slot, count)| (slot_start(slot, summary.slot_s), *count));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(cause.to_string())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()
}
