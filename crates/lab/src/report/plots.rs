//! Plots of runs as SVG.

use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

use super::Group;
use crate::experiment::{Case, FaultKind};
use crate::metrics::{RunMetrics, TimelinePoint};

type DrawResult = Result<(), Box<dyn std::error::Error>>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

const WIDTH: u32 = 860;
/// The factor by which a plot is wider than the time line, to leave room for the legend.
const LEGEND_FACTOR: f64 = 1.2;
/// Colours that colour-blind readers can tell apart (Okabe and Ito).
const BLUE: RGBColor = RGBColor(0, 114, 178);
const ORANGE: RGBColor = RGBColor(230, 159, 0);
const RED: RGBColor = RGBColor(213, 94, 0);
const GREY: RGBColor = RGBColor(150, 150, 150);
/// Shades of load, from none to the highest.
const SHADES: [RGBColor; 9] = [
    RGBColor(247, 251, 255),
    RGBColor(222, 235, 247),
    RGBColor(198, 219, 239),
    RGBColor(158, 202, 225),
    RGBColor(107, 174, 214),
    RGBColor(66, 146, 198),
    RGBColor(253, 174, 97),
    RGBColor(244, 109, 67),
    RGBColor(165, 0, 38),
];

fn svg(
    height: u32,
    draw: impl FnOnce(&DrawingArea<SVGBackend<'_>, plotters::coord::Shift>) -> DrawResult,
) -> String {
    let mut text = String::new();
    let result = {
        let area = SVGBackend::with_string(&mut text, (WIDTH, height)).into_drawing_area();
        area.fill(&WHITE)
            .map_err(Into::into)
            .and_then(|()| draw(&area))
            .and_then(|()| area.present().map_err(Into::into))
    };
    match result {
        Ok(()) => text,
        Err(error) => format!("<p>This picture could not be drawn: {error}</p>"),
    }
}

/// Marks the times of faults.
fn mark_faults(chart: &mut Chart<'_, '_>, case: &Case, top: f64) -> DrawResult {
    for fault in &case.experiment.faults {
        let (from, to) = (fault.at.as_secs_f64(), (fault.at + fault.duration).as_secs_f64());
        let to = to.min(case.experiment.span.as_secs_f64());
        let shade = if fault.kind == FaultKind::Burst { ORANGE.mix(0.10) } else { RED.mix(0.08) };
        chart.draw_series([Rectangle::new([(from, 0.0), (to, top)], shade.filled())])?;
        let name = format!("{:?}", fault.kind).to_lowercase();
        chart.draw_series([Text::new(
            name,
            (from, top * 0.97),
            ("sans-serif", 12).into_font().color(&RED),
        )])?;
    }
    Ok(())
}

type Line = (&'static str, RGBColor, fn(&TimelinePoint) -> f64);

/// Draws lines over time, with faults marked. With `logarithmic`, values are decimal logarithms.
fn lines(
    title: &str,
    case: &Case,
    metrics: &RunMetrics,
    unit: &str,
    logarithmic: bool,
    lines: &[Line],
) -> String {
    let value = |y: &f64| if logarithmic { format!("{:.0}", 10f64.powf(*y)) } else { format!("{y:.0}") };
    let points = &metrics.timeline;
    let top =
        lines.iter().flat_map(|(_, _, of)| points.iter().map(of)).fold(0.0_f64, f64::max).max(1e-3) * 1.1;
    let end = case.experiment.span.as_secs_f64();
    svg(220, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..end * LEGEND_FACTOR, 0.0..top)?;
        let mut mesh = chart.configure_mesh();
        mesh.light_line_style(WHITE).x_desc("seconds").y_desc(unit).y_label_formatter(&value).draw()?;
        mark_faults(&mut chart, case, top)?;
        for (name, colour, of) in lines {
            let points = points.iter().map(|moment| (moment.at, of(moment)));
            let style = colour.stroke_width(2);
            chart
                .draw_series(LineSeries::new(points, style))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::MiddleRight)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()?;
        Ok(())
    })
}

/// Plots calls per second over time.
pub(super) fn rates(case: &Case, metrics: &RunMetrics) -> String {
    let all: [Line; 3] = [
        ("asked", GREY, |m| m.asked),
        ("served", BLUE, |m| m.served),
        ("refused or failed", RED, |m| m.rejected),
    ];
    lines("requests a second", case, metrics, "1/s", false, &all)
}

/// Plots latency over time.
pub(super) fn latency(case: &Case, metrics: &RunMetrics) -> String {
    let all: [Line; 2] =
        [("p50", BLUE, |m| m.p50.max(1.0).log10()), ("p99", ORANGE, |m| m.p99.max(1.0).log10())];
    lines("latency of what was served, from the intended start", case, metrics, "ms, logarithmic", true, &all)
}

/// Plots the load of servers over time as a heat map.
pub(super) fn heat(case: &Case, metrics: &RunMetrics) -> String {
    let rows = metrics.heat.len();
    let cores = f64::from(case.experiment.servers.cores);
    let columns = metrics.heat.first().map_or(1, Vec::len).max(1);
    let end = case.experiment.span.as_secs_f64();
    let width = end / columns as f64;
    // A server with at most as many requests as cores is blue; the darkest red is eight times as many or
    // more.
    let steps = [0.0, 0.25, 0.5, 0.75, 1.0, 1.5, 2.5, 4.0, 8.0];
    let shade =
        |load: f32| steps.iter().rposition(|step| f64::from(load) / cores >= *step - 1e-9).unwrap_or(0);
    svg(240, |area| {
        let title = "requests at servers, in rows; red is over twice its cores";
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..end * LEGEND_FACTOR, 0.0..rows as f64)?;
        chart.configure_mesh().disable_mesh().x_desc("seconds").y_desc("servers").y_labels(0).draw()?;
        let mut cells = Vec::new();
        for (row, loads) in metrics.heat.iter().enumerate() {
            let mut from = 0;
            while from < loads.len() {
                // Adjacent cells of the same shade are drawn as one rectangle.
                let cell_shade = shade(loads[from]);
                let width_in_cells =
                    loads[from..].iter().take_while(|load| shade(**load) == cell_shade).count();
                let corners = [
                    (from as f64 * width, row as f64),
                    ((from + width_in_cells) as f64 * width, row as f64 + 1.0),
                ];
                cells.push(Rectangle::new(corners, SHADES[cell_shade].filled()));
                from += width_in_cells;
            }
        }
        chart.draw_series(cells)?;
        for fault in &case.experiment.faults {
            for at in [fault.at, fault.at + fault.duration]
                .map(|at| at.as_secs_f64())
                .into_iter()
                .filter(|at| *at < end)
            {
                chart.draw_series([PathElement::new([(at, 0.0), (at, rows as f64)], RED.stroke_width(1))])?;
            }
        }
        Ok(())
    })
}

/// Plots the gain of each policy, with its confidence interval over seeds.
pub(super) fn gains(groups: &[&Group<'_>]) -> String {
    let height = 60 + 26 * groups.len() as u32;
    let gains: Vec<_> = groups.iter().map(|group| (group.policy, group.mean_of(RunMetrics::gain))).collect();
    let lowest = gains.iter().map(|(_, gain)| gain.mean - gain.half_width).fold(1.0_f64, f64::min);
    let from = ((lowest - 0.02) * 10.0).floor().clamp(0.0, 9.0) / 10.0;
    svg(height, |area| {
        let count = gains.len() as f64;
        let mut chart = ChartBuilder::on(area)
            .caption(
                "G: worth answered in time over worth asked for, with 95% intervals over seeds",
                ("sans-serif", 15),
            )
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(170)
            .build_cartesian_2d(from..1.0, 0.0..count)?;
        let name = |at: &f64| {
            let row = (count - at).floor() as usize;
            gains
                .get(row)
                .filter(|_| (at - at.floor() - 0.5).abs() < 0.01)
                .map_or(String::new(), |(name, _)| (*name).into())
        };
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .disable_y_mesh()
            .y_labels(2 * gains.len() + 1)
            .y_label_formatter(&name)
            .draw()?;
        for (row, (policy, gain)) in gains.iter().enumerate() {
            let y = count - row as f64 - 0.5;
            let colour = if policy.starts_with("dunelink") { BLUE } else { GREY };
            let (low, high) =
                ((gain.mean - gain.half_width).max(from), (gain.mean + gain.half_width).min(1.0));
            // Dots instead of bars, because the scale does not start at 0.
            chart.draw_series([Circle::new((gain.mean, y), 5, colour.filled())])?;
            chart.draw_series([PathElement::new([(low, y), (high, y)], BLACK.stroke_width(2))])?;
        }
        Ok(())
    })
}
