//! Pictures of runs, as SVG.

use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

use super::Group;
use crate::experiment::{Case, FaultKind};
use crate::metrics::{RunMetrics, TimelinePoint};

type Drawn = Result<(), Box<dyn std::error::Error>>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

const WIDTH: u32 = 860;
/// How much wider than the time line a picture is, so that its legend hides nothing.
const LEGEND: f64 = 1.2;
/// Colours that also those tell apart who see few of them (Okabe and Ito).
const BLUE: RGBColor = RGBColor(0, 114, 178);
const ORANGE: RGBColor = RGBColor(230, 159, 0);
const RED: RGBColor = RGBColor(213, 94, 0);
const GREY: RGBColor = RGBColor(150, 150, 150);
/// Shades of load, from nothing on.
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
    draw: impl FnOnce(&DrawingArea<SVGBackend<'_>, plotters::coord::Shift>) -> Drawn,
) -> String {
    let mut text = String::new();
    let drawn = {
        let area = SVGBackend::with_string(&mut text, (WIDTH, height)).into_drawing_area();
        area.fill(&WHITE)
            .map_err(Into::into)
            .and_then(|()| draw(&area))
            .and_then(|()| area.present().map_err(Into::into))
    };
    match drawn {
        Ok(()) => text,
        Err(error) => format!("<p>This picture could not be drawn: {error}</p>"),
    }
}

/// Marks when something goes wrong.
fn mark(chart: &mut Chart<'_, '_>, case: &Case, top: f64) -> Drawn {
    for trouble in &case.experiment.faults {
        let (from, to) = (trouble.at.as_secs_f64(), (trouble.at + trouble.duration).as_secs_f64());
        let to = to.min(case.experiment.span.as_secs_f64());
        let shade = if trouble.kind == FaultKind::Burst { ORANGE.mix(0.10) } else { RED.mix(0.08) };
        chart.draw_series([Rectangle::new([(from, 0.0), (to, top)], shade.filled())])?;
        let name = format!("{:?}", trouble.kind).to_lowercase();
        chart.draw_series([Text::new(
            name,
            (from, top * 0.97),
            ("sans-serif", 12).into_font().color(&RED),
        )])?;
    }
    Ok(())
}

type Line = (&'static str, RGBColor, fn(&TimelinePoint) -> f64);

/// Lines over time, with troubles marked; `powers` if values are the logarithms of what is told.
fn lines(title: &str, case: &Case, figures: &RunMetrics, unit: &str, powers: bool, lines: &[Line]) -> String {
    let value = |y: &f64| if powers { format!("{:.0}", 10f64.powf(*y)) } else { format!("{y:.0}") };
    let moments = &figures.timeline;
    let top =
        lines.iter().flat_map(|(_, _, of)| moments.iter().map(of)).fold(0.0_f64, f64::max).max(1e-3) * 1.1;
    let end = case.experiment.span.as_secs_f64();
    svg(220, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..end * LEGEND, 0.0..top)?;
        let mut mesh = chart.configure_mesh();
        mesh.light_line_style(WHITE).x_desc("seconds").y_desc(unit).y_label_formatter(&value).draw()?;
        mark(&mut chart, case, top)?;
        for (name, colour, of) in lines {
            let points = moments.iter().map(|moment| (moment.at, of(moment)));
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

/// Requests a second over time.
pub(super) fn rates(case: &Case, figures: &RunMetrics) -> String {
    let all: [Line; 3] = [
        ("asked", GREY, |m| m.asked),
        ("served", BLUE, |m| m.served),
        ("refused or failed", RED, |m| m.rejected),
    ];
    lines("requests a second", case, figures, "1/s", false, &all)
}

/// Latency over time.
pub(super) fn latency(case: &Case, figures: &RunMetrics) -> String {
    let all: [Line; 2] =
        [("p50", BLUE, |m| m.p50.max(1.0).log10()), ("p99", ORANGE, |m| m.p99.max(1.0).log10())];
    lines("latency of what was served, from the intended start", case, figures, "ms, logarithmic", true, &all)
}

/// What servers have, over time.
pub(super) fn heat(case: &Case, figures: &RunMetrics) -> String {
    let rows = figures.heat.len();
    let cores = f64::from(case.experiment.servers.cores);
    let columns = figures.heat.first().map_or(1, Vec::len).max(1);
    let end = case.experiment.span.as_secs_f64();
    let width = end / columns as f64;
    // Up to its cores a server is blue; the reddest has eight times as many and more.
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
            .build_cartesian_2d(0.0..end * LEGEND, 0.0..rows as f64)?;
        chart.configure_mesh().disable_mesh().x_desc("seconds").y_desc("servers").y_labels(0).draw()?;
        let mut cells = Vec::new();
        for (row, loads) in figures.heat.iter().enumerate() {
            let mut from = 0;
            while from < loads.len() {
                // What has the same shade is drawn as one.
                let this = shade(loads[from]);
                let same = loads[from..].iter().take_while(|load| shade(**load) == this).count();
                let corners =
                    [(from as f64 * width, row as f64), ((from + same) as f64 * width, row as f64 + 1.0)];
                cells.push(Rectangle::new(corners, SHADES[this].filled()));
                from += same;
            }
        }
        chart.draw_series(cells)?;
        for trouble in &case.experiment.faults {
            for at in [trouble.at, trouble.at + trouble.duration]
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

/// The gain of each policy, with its interval over seeds.
pub(super) fn gains(groups: &[&Group<'_>]) -> String {
    let height = 60 + 26 * groups.len() as u32;
    let found: Vec<_> = groups.iter().map(|group| (group.policy, group.figure(RunMetrics::gain))).collect();
    let least = found.iter().map(|(_, gain)| gain.mean - gain.half_width).fold(1.0_f64, f64::min);
    let from = ((least - 0.02) * 10.0).floor().clamp(0.0, 9.0) / 10.0;
    svg(height, |area| {
        let count = found.len() as f64;
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
            found
                .get(row)
                .filter(|_| (at - at.floor() - 0.5).abs() < 0.01)
                .map_or(String::new(), |(name, _)| (*name).into())
        };
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .disable_y_mesh()
            .y_labels(2 * found.len() + 1)
            .y_label_formatter(&name)
            .draw()?;
        for (row, (policy, gain)) in found.iter().enumerate() {
            let y = count - row as f64 - 0.5;
            let colour = if policy.starts_with("dunelink") { BLUE } else { GREY };
            let (low, high) =
                ((gain.mean - gain.half_width).max(from), (gain.mean + gain.half_width).min(1.0));
            // Dots, not bars: the scale does not begin at 0.
            chart.draw_series([Circle::new((gain.mean, y), 5, colour.filled())])?;
            chart.draw_series([PathElement::new([(low, y), (high, y)], BLACK.stroke_width(2))])?;
        }
        Ok(())
    })
}
