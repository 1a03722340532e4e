//! The plot: throughput and p99 latency by number of servers, of shards and of connections.

use std::collections::BTreeMap;
use std::path::Path;

use anyhow::anyhow;
use plotters::prelude::*;

use super::{Case, Figures, Proxy};

/// Width and height of the plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (1200, 720);
/// One colour for each proxy; people with colour blindness can distinguish them.
const COLOURS: [RGBColor; 4] =
    [RGBColor(120, 120, 120), RGBColor(0, 114, 178), RGBColor(230, 159, 0), RGBColor(0, 158, 115)];

/// Draws the plot to the file at `path`, and creates its folder if needed.
pub(super) fn draw(path: &Path, medians: &BTreeMap<Case, Figures>) -> anyhow::Result<()> {
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder)?;
    }
    draw_panels(path, medians).map_err(|error| anyhow!("{}: {error}", path.display()))
}

/// A dimension: its title, and the coordinate of a case on its axis; `None` if the case does not belong to
/// it.
type Dimension = (&'static str, fn(&Case) -> Option<f64>);
/// A quantity: its title, and its value.
type Quantity = (&'static str, fn(&Figures) -> f64);

/// Draws a row of panels for each quantity, with one panel for each dimension.
fn draw_panels(path: &Path, medians: &BTreeMap<Case, Figures>) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let dimensions: [Dimension; 3] = [
        ("servers", |c| (c.shards == 1 && c.connections == 64).then_some(c.server_count as f64)),
        ("shards (64 connections each)", |c| {
            (c.server_count == 8 && c.connections == 64 * c.shards as usize).then_some(f64::from(c.shards))
        }),
        ("connections", |c| (c.server_count == 8 && c.shards == 1).then_some(c.connections as f64)),
    ];
    let figures: [Quantity; 2] = [("requests a second", |f| f.per_second), ("p99, ms", |f| f.p99_ms)];
    for (at, panel) in area.split_evenly((2, 3)).iter().enumerate() {
        let ((figure, value), (dimension, coordinate)) = (figures[at / 3], dimensions[at % 3]);
        let lines: Vec<(Proxy, Vec<(f64, f64)>)> = Proxy::ALL
            .iter()
            .map(|proxy| {
                let cases = medians.iter().filter(|(case, _)| case.proxy == *proxy);
                (
                    *proxy,
                    cases.filter_map(|(case, figures)| Some((coordinate(case)?, value(figures)))).collect(),
                )
            })
            .collect();
        let points = || lines.iter().flat_map(|(_, points)| points);
        let (x_min, x_max) = points().fold((f64::MAX, 1.0_f64), |(l, m), (x, _)| (l.min(*x), m.max(*x)));
        let y_max = points().fold(0.0_f64, |y_max, (_, y)| y_max.max(*y)) * 1.1;
        if y_max <= 0.0 {
            continue;
        }
        let mut chart = ChartBuilder::on(panel)
            .caption(format!("{figure} by {dimension}"), ("sans-serif", 16))
            .margin(10)
            .x_label_area_size(28)
            .y_label_area_size(60)
            .build_cartesian_2d((x_min * 0.9..x_max * 1.1).log_scale(), 0.0..y_max)?;
        chart.configure_mesh().x_labels(6).y_labels(6).light_line_style(WHITE).draw()?;
        for ((proxy, points), colour) in
            lines.iter().zip(COLOURS).filter(|((_, points), _)| !points.is_empty())
        {
            chart
                .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?
                .label(proxy.name())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
            chart.draw_series(points.iter().map(|point| Circle::new(*point, 3, colour.filled())))?;
        }
        if at == 0 {
            let mut legend = chart.configure_series_labels();
            legend.background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3)).draw()?;
        }
    }
    area.present()?;
    Ok(())
}
