//! Plots as SVG.

use plotters::prelude::*;
use std::path::Path;

/// A line of a plot.
#[derive(Debug, Clone)]
pub struct Line<'a> {
    /// Name in the legend.
    pub name: &'a str,
    /// Points as (x, y), in ascending order of x.
    pub points: Vec<(f64, f64)>,
}

/// Draws lines into the SVG file `to`; `unit` labels the x axis.
///
/// # Errors
/// The file can't be written.
pub fn plot(
    to: &Path,
    title: &str,
    unit: &str,
    lines: &[Line],
) -> Result<(), Box<dyn std::error::Error>> {
    let (max_x, max_y) = upper_bounds(lines);
    let area = SVGBackend::new(to, (1000, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y * 1.05)?;
    chart
        .configure_mesh()
        .x_desc(unit)
        .light_line_style(WHITE)
        .draw()?;
    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(
                line.points.iter().copied(),
                color.stroke_width(1),
            ))?
            .label(line.name)
            .legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + 18, y)], color.stroke_width(2))
            });
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Returns the largest x and y of all points, each at least 1.
fn upper_bounds(lines: &[Line]) -> (f64, f64) {
    lines
        .iter()
        .flat_map(|line| &line.points)
        .fold((1.0_f64, 1.0_f64), |(max_x, max_y), point| {
            (max_x.max(point.0), max_y.max(point.1))
        })
}
