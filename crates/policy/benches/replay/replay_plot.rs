//! Plot of stranded accelerators against missing groups.

use std::path::Path;

use plotters::prelude::*;

use super::ReplaySummary;

/// A failure to draw a plot.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("cannot draw the plot")]
pub struct PlotError;

/// Result of drawing.
pub type PlotResult<T, E = PlotError> = std::result::Result<T, E>;

/// One planner's measures.
#[derive(Clone, Debug)]
pub struct PlotPoint {
    /// Label shown beside the point.
    pub label: String,

    /// The measures.
    pub summary: ReplaySummary,

    /// Whether it is the baseline.
    pub baseline: bool,
}

const SIZE: (u32, u32) = (760, 520);
const MARGIN: f64 = 1.25;

/// Points closer than this fraction of the plot share a label.
const LABEL_GAP: f64 = 0.04;

/// Offset from a point to its label, in pixels.
const LABEL_OFFSET: (i32, i32) = (7, -12);

/// Writes an SVG with missing groups on the x axis and stranded accelerators on the y axis. Labels
/// are the weight of a stranded accelerator divided by that of a missing group.
pub fn draw_plot(path: &Path, title: &str, points: &[PlotPoint]) -> PlotResult<()> {
    let x = |point: &PlotPoint| point.summary.missing_group_hours();
    let y = |point: &PlotPoint| point.summary.stranded_accelerator_hours();
    let right = points.iter().map(x).fold(0.0, f64::max) * MARGIN;
    let top = points.iter().map(y).fold(0.0, f64::max) * MARGIN;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|_| PlotError)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(16)
        .x_label_area_size(44)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..right, 0.0..top)
        .map_err(|_| PlotError)?;
    chart
        .configure_mesh()
        .x_desc("missing groups, group-hours a day")
        .y_desc("stranded accelerators, accelerator-hours a day")
        .draw()
        .map_err(|_| PlotError)?;
    let line = points.iter().filter(|point| !point.baseline).map(|point| (x(point), y(point)));
    chart.draw_series(LineSeries::new(line, BLUE)).map_err(|_| PlotError)?;
    for (index, point) in points.iter().enumerate() {
        let color = if point.baseline { RED } else { BLUE };
        let mark = Circle::new((x(point), y(point)), 4, color.filled());
        chart.draw_series([mark]).map_err(|_| PlotError)?;
        let near = |other: &PlotPoint| {
            let across = (x(other) - x(point)).abs() / right;
            across + (y(other) - y(point)).abs() / top < LABEL_GAP && !other.baseline
        };
        if point.baseline || !points[..index].iter().any(near) {
            let labels = points.iter().filter(|other| near(other) && !point.baseline);
            let labels: Vec<&str> = labels.map(|other| other.label.as_str()).collect();
            let label = if point.baseline { point.label.clone() } else { labels.join(", ") };
            let text = Text::new(label, LABEL_OFFSET, ("sans-serif", 12));
            let label = EmptyElement::at((x(point), y(point))) + text;
            chart.draw_series([label]).map_err(|_| PlotError)?;
        }
    }
    area.present().map_err(|_| PlotError)
}
