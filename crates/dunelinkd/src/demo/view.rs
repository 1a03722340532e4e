//! Shows the board: on a terminal as a whole picture, elsewhere as a line a second.

use std::io;
use std::time::Duration;

use ratatui::DefaultTerminal;
use ratatui::Frame;
use ratatui::crossterm::event::{self, Event, KeyCode, KeyModifiers};
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Style, Stylize};
use ratatui::text::Line;
use ratatui::widgets::{Block, Cell, List, Paragraph, Row, Table};

use super::board::Board;

/// The way to show it.
pub(super) enum View {
    /// The whole screen, given back when dropped.
    Terminal(DefaultTerminal),
    /// Lines; the second of the last one, and how many events were told.
    Plain { second: Option<u64>, told: Duration },
}

impl View {
    pub(super) fn terminal() -> io::Result<View> {
        ratatui::try_init().map(View::Terminal)
    }

    pub(super) fn plain() -> View {
        View::Plain { second: None, told: Duration::ZERO }
    }

    /// Shows it; whether the user wants to stop.
    pub(super) fn show(&mut self, board: &Board) -> io::Result<bool> {
        match self {
            View::Terminal(terminal) => {
                terminal.draw(|frame| draw(frame, board))?;
                wants_to_stop()
            }
            View::Plain { second, told } => {
                for (at, what) in board.events.iter().filter(|(at, _)| at > told) {
                    println!("{:>4.0} s  -- {what}", at.as_secs_f64());
                }
                *told = board.events.back().map_or(*told, |(at, _)| *at);
                if second.replace(board.at.as_secs()) != Some(board.at.as_secs()) {
                    println!("{}", line(board));
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

fn wants_to_stop() -> io::Result<bool> {
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

fn line(board: &Board) -> String {
    let [served, refused, failed] = board.sums();
    let s = &board.snapshot;
    let rates: Vec<String> = board.places.iter().map(|p| format!("{} {:.0}/s", p.uid, p.rate)).collect();
    format!(
        "{:>4} s  served {served} refused {refused} failed {failed}; open {} held {}; {}",
        board.at.as_secs(),
        s.open,
        s.queued,
        rates.join("  ")
    )
}

fn color(state: &str) -> Style {
    match state {
        "ready" => Style::new().fg(Color::Green),
        "cold" => Style::new().fg(Color::Cyan),
        "draining" => Style::new().fg(Color::Yellow),
        "stalled" => Style::new().fg(Color::Red),
        _ => Style::new().fg(Color::DarkGray),
    }
}

fn draw(frame: &mut Frame<'_>, board: &Board) {
    let [head, classes, servers, events] = Layout::vertical([
        Constraint::Length(2),
        Constraint::Length(board.rows.len() as u16 + 3),
        Constraint::Length(board.places.len() as u16 + 3),
        Constraint::Min(4),
    ])
    .areas(frame.area());
    let s = &board.snapshot;
    let [served, refused, failed] = board.sums();
    let title = Line::from(vec!["dunelink demo".bold(), format!("  {:.0} s", board.at.as_secs_f64()).into()]);
    let sums = Line::from(format!(
        "served {served}  refused {refused}  failed {failed}   open {}  held {}  connections {}   q ends it",
        s.open, s.queued, s.connections
    ));
    frame.render_widget(Paragraph::new(vec![title, sums]), head);

    let number = |n: u64| Cell::from(format!("{n:>8}"));
    let rows = board.rows.iter().map(|row| {
        let [served, refused, failed] = row.counts.map(number);
        Row::new([row.name.into(), served, refused, failed, format!("{:>8.1}", row.mean_ms()).into()])
    });
    let widths = [18, 9, 9, 9, 9].map(Constraint::Length);
    let header = Row::new(["class", "  served", " refused", "  failed", " mean ms"]).bold();
    let table = Table::new(rows, widths).header(header).block(Block::bordered().title("answers"));
    frame.render_widget(table, classes);

    let most = board.places.iter().map(|p| p.rate).fold(1.0, f64::max);
    let rows = board.places.iter().map(|place| {
        let bar = "#".repeat((place.rate / most * 30.0).round().clamp(0.0, 30.0) as usize);
        Row::new([
            Cell::from(place.uid.clone()),
            Cell::from(place.state).style(color(place.state)),
            Cell::from(format!("{:>9}", place.in_flight)),
            Cell::from(format!("{:>4}", place.idle)),
            Cell::from(format!("{:>7}", place.inside)),
            Cell::from(format!("{:>6.0}", place.rate)),
            Cell::from(bar).style(color(place.state)),
        ])
    });
    let widths = [6, 9, 9, 5, 7, 7, 30].map(Constraint::Length);
    let header = Row::new(["server", "state", "in flight", "idle", "in work", " per s", ""]).bold();
    let table = Table::new(rows, widths).header(header).block(Block::bordered().title("servers"));
    frame.render_widget(table, servers);

    let lines = board.events.iter().rev().map(|(at, what)| format!("{:>4.0} s  {what}", at.as_secs_f64()));
    frame.render_widget(List::new(lines).block(Block::bordered().title("what happens")), events);
}
