//! Displays the dashboard: full-screen on a terminal, elsewhere as one line per second.

use std::io;
use std::time::Duration;

use ratatui::DefaultTerminal;
use ratatui::Frame;
use ratatui::crossterm::event::{self, Event, KeyCode, KeyModifiers};
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Style, Stylize};
use ratatui::text::Line;
use ratatui::widgets::{Block, Cell, List, Paragraph, Row, Table};

use super::dashboard::Dashboard;

/// The kind of display.
pub(super) enum View {
    /// The whole screen of a terminal, which is restored when this is dropped.
    Terminal(DefaultTerminal),
    /// Lines of text, with the second of the last status line, and the time of the last event that was
    /// printed.
    Plain { second: Option<u64>, last_event: Duration },
}

impl View {
    pub(super) fn terminal() -> io::Result<View> {
        ratatui::try_init().map(View::Terminal)
    }

    pub(super) fn plain() -> View {
        View::Plain { second: None, last_event: Duration::ZERO }
    }

    /// Displays the current state; returns whether the user wants to stop.
    pub(super) fn show(&mut self, dashboard: &Dashboard) -> io::Result<bool> {
        match self {
            View::Terminal(terminal) => {
                terminal.draw(|frame| draw(frame, dashboard))?;
                quit_requested()
            }
            View::Plain { second, last_event } => {
                for (at, description) in dashboard.events.iter().filter(|(at, _)| at > last_event) {
                    println!("{:>4.0} s  -- {description}", at.as_secs_f64());
                }
                *last_event = dashboard.events.back().map_or(*last_event, |(at, _)| *at);
                if second.replace(dashboard.at.as_secs()) != Some(dashboard.at.as_secs()) {
                    println!("{}", status_line(dashboard));
                }
                Ok(false)
            }
        }
    }
}

impl Drop for View {
    fn drop(&mut self) {
        if let View::Terminal(_) = self {
            ratatui::restore();
        }
    }
}

fn quit_requested() -> io::Result<bool> {
    while event::poll(Duration::ZERO)? {
        if let Event::Key(key) = event::read()? {
            let interrupt = key.modifiers.contains(KeyModifiers::CONTROL) && key.code == KeyCode::Char('c');
            if interrupt || matches!(key.code, KeyCode::Char('q') | KeyCode::Esc) {
                return Ok(true);
            }
        }
    }
    Ok(false)
}

fn status_line(dashboard: &Dashboard) -> String {
    let [served, refused, failed] = dashboard.sums();
    let snapshot = &dashboard.snapshot;
    let rates: Vec<String> = dashboard
        .server_rows
        .iter()
        .map(|server_row| format!("{} {:.0}/s", server_row.uid, server_row.rate))
        .collect();
    format!(
        "{:>4} s  served {served} refused {refused} failed {failed}; open {} queued {}; {}",
        dashboard.at.as_secs(),
        snapshot.open,
        snapshot.queued,
        rates.join("  ")
    )
}

fn state_style(state: &str) -> Style {
    match state {
        "ready" => Style::new().fg(Color::Green),
        "cold" => Style::new().fg(Color::Cyan),
        "draining" => Style::new().fg(Color::Yellow),
        "stalled" => Style::new().fg(Color::Red),
        _ => Style::new().fg(Color::DarkGray),
    }
}

fn draw(frame: &mut Frame<'_>, dashboard: &Dashboard) {
    let [summary_area, classes, servers, events] = Layout::vertical([
        Constraint::Length(2),
        Constraint::Length(dashboard.rows.len() as u16 + 3),
        Constraint::Length(dashboard.server_rows.len() as u16 + 3),
        Constraint::Min(4),
    ])
    .areas(frame.area());
    let snapshot = &dashboard.snapshot;
    let [served, refused, failed] = dashboard.sums();
    let title =
        Line::from(vec!["dunelink demo".bold(), format!("  {:.0} s", dashboard.at.as_secs_f64()).into()]);
    let sums = Line::from(format!(
        "served {served}  refused {refused}  failed {failed}   open {}  queued {}  connections {}   q quits",
        snapshot.open, snapshot.queued, snapshot.connections
    ));
    frame.render_widget(Paragraph::new(vec![title, sums]), summary_area);

    let number = |value: u64| Cell::from(format!("{value:>8}"));
    let rows = dashboard.rows.iter().map(|row| {
        let [served, refused, failed] = row.counts.map(number);
        Row::new([row.name.into(), served, refused, failed, format!("{:>8.1}", row.mean_ms()).into()])
    });
    let widths = [18, 9, 9, 9, 9].map(Constraint::Length);
    let header = Row::new(["class", "  served", " refused", "  failed", " mean ms"]).bold();
    let table = Table::new(rows, widths).header(header).block(Block::bordered().title("answers"));
    frame.render_widget(table, classes);

    let max_rate = dashboard.server_rows.iter().map(|server_row| server_row.rate).fold(1.0, f64::max);
    let rows = dashboard.server_rows.iter().map(|server_row| {
        let bar = "#".repeat((server_row.rate / max_rate * 30.0).round().clamp(0.0, 30.0) as usize);
        Row::new([
            Cell::from(server_row.uid.clone()),
            Cell::from(server_row.state).style(state_style(server_row.state)),
            Cell::from(format!("{:>9}", server_row.in_flight)),
            Cell::from(format!("{:>4}", server_row.idle)),
            Cell::from(format!("{:>7}", server_row.in_progress)),
            Cell::from(format!("{:>6.0}", server_row.rate)),
            Cell::from(bar).style(state_style(server_row.state)),
        ])
    });
    let widths = [6, 9, 9, 5, 7, 7, 30].map(Constraint::Length);
    let header = Row::new(["server", "state", "in flight", "idle", "active", " per s", ""]).bold();
    let table = Table::new(rows, widths).header(header).block(Block::bordered().title("servers"));
    frame.render_widget(table, servers);

    let lines = dashboard
        .events
        .iter()
        .rev()
        .map(|(at, description)| format!("{:>4.0} s  {description}", at.as_secs_f64()));
    frame.render_widget(List::new(lines).block(Block::bordered().title("events")), events);
}
