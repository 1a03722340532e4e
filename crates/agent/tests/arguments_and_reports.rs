//! The command line, reports that wait, and what a connection asks for.

use std::ffi::OsString;

use dunelink_agent::limit::LineLimit;
use dunelink_agent::link_feed::LinkFeed;
use dunelink_agent::reports::PendingReport;
use dunelink_agent::{Arguments, Command};
use dunelink_feed::{Change, FeedState};
use dunelink_protocol::{
    FeedMessage, Heartbeat, NodeDemand, NodeLoads, ProxyReport, RosterOffset, RosterUpdate, ServerLoad,
    ServerObservation, TenantDemand,
};
use dunelink_runtime::log::Format;

const SECOND: u64 = 1_000_000;

fn parse(line: &[&str]) -> Result<Arguments, String> {
    let line = line.iter().map(OsString::from).collect();
    Arguments::parse(pico_args::Arguments::from_vec(line)).map_err(|error| error.to_string())
}

#[test]
fn options_are_read_and_others_are_named() {
    assert_eq!(parse(&[]), Ok(Arguments { command: Command::Serve, log: Format::Text }));
    assert_eq!(parse(&["--check"]), Ok(Arguments { command: Command::Check, log: Format::Text }));
    assert_eq!(parse(&["--log", "json"]), Ok(Arguments { command: Command::Serve, log: Format::Json }));
    assert_eq!(parse(&["--check", "--help"]).map(|read| read.command), Ok(Command::Help));
    assert!(parse(&["--log", "xml"]).unwrap_err().contains("xml"));
    assert!(parse(&["--fast"]).unwrap_err().contains("--fast"));
}

fn report(demand: &[(&str, f64)], observations: &[(&str, u32, u32)]) -> ProxyReport {
    let demand = demand.iter().map(|(tenant, rate)| TenantDemand {
        tenant: (*tenant).into(),
        rate_per_s: *rate,
        admitted: 0.0,
        mean_request_units: 1.0,
        incarnation: 1,
        acknowledged: 0.0,
        ..TenantDemand::default()
    });
    let observations = observations.iter().map(|(server, served, failed)| ServerObservation {
        server: (*server).into(),
        served: *served,
        failed: *failed,
    });
    ProxyReport {
        demand: NodeDemand { tenants: demand.collect(), ..NodeDemand::default() },
        observations: observations.collect(),
        ..ProxyReport::default()
    }
}

#[test]
fn waiting_reports_are_joined() {
    let mut pending = PendingReport::default();
    pending.add(report(&[("a", 1.0)], &[("x", 1, 0), ("y", 2, 2)]));
    pending.add(report(&[("b", 3.0)], &[("x", 4, 1)]));
    assert!(pending.is_waiting());
    assert_eq!(pending.take(), Some(report(&[("b", 3.0)], &[("x", 5, 1), ("y", 2, 2)])));
    assert_eq!(pending.take(), None);
}

#[test]
fn one_line_a_second() {
    let mut limit = LineLimit::default();
    assert_eq!(limit.pass(SECOND), Some(0));
    assert_eq!(limit.pass(SECOND + 1), None);
    assert_eq!(limit.pass(SECOND + 2), None);
    assert_eq!(limit.pass(2 * SECOND), Some(2));
}

fn tick(version: u64, sequence: u64) -> FeedMessage {
    let roster = RosterOffset { epoch: 0, sequence };
    FeedMessage::Heartbeat(Heartbeat {
        confirmed_age_ms: 0,
        configuration_version: version,
        roster,
        roster_age_ms: 0,
    })
}

#[test]
fn a_change_on_another_base_asks_for_the_whole_once_a_second() {
    let mut state = FeedState::default();
    let mut feed = LinkFeed::new(SECOND);
    let base = Some(RosterOffset { epoch: 1, sequence: 4 });
    let offset = RosterOffset { epoch: 1, sequence: 5 };
    let change =
        || FeedMessage::Roster(RosterUpdate { base, offset, changed: Vec::new(), removed: Vec::new() });
    let mut at = |now| feed.take(&mut state, change(), now).expect("well-formed");
    assert_eq!(at(SECOND + 1), (Change::Resubscribe, false), "it has just subscribed");
    assert_eq!(at(2 * SECOND), (Change::Resubscribe, true));
    assert_eq!(at(2 * SECOND + 1), (Change::Resubscribe, false));
    assert_eq!(at(3 * SECOND), (Change::Resubscribe, true));
}

#[test]
fn a_source_that_tells_of_something_newer_and_does_not_send_it_is_asked_again() {
    let mut state = FeedState::default();
    let mut feed = LinkFeed::new(SECOND);
    let mut asked = |message, now| feed.take(&mut state, message, now).expect("well-formed").1;
    assert!(!asked(tick(3, 0), SECOND));
    assert!(!asked(tick(3, 0), 2 * SECOND - 1));
    assert!(asked(tick(3, 0), 2 * SECOND));
    assert!(!asked(tick(3, 0), 2 * SECOND + 1));
    assert!(!asked(tick(0, 0), 3 * SECOND));
    assert!(!asked(tick(0, 0), 5 * SECOND), "nothing newer any more");
}

#[test]
fn a_proof_that_may_have_been_held_up_counts_as_that_old() {
    let mut state = FeedState::default();
    let mut feed = LinkFeed::new(SECOND);
    let mut age = |now: u64| {
        let taken = feed.take(&mut state, tick(0, 0), now).expect("well-formed");
        let (Change::Heartbeat(taken), _) = taken else { panic!("a sign of life") };
        taken.confirmed_age_ms
    };
    assert_eq!(age(SECOND + 250_000), 0);
    assert_eq!(age(4 * SECOND), 2_750, "nothing came for so long");
    assert_eq!(age(4 * SECOND + 1), 2_750, "it waited too");
    assert_eq!(age(4 * SECOND + 250_000), 0, "it came in time");
}

#[test]
fn loads_of_waiting_reports_are_joined() {
    let loads = |is_whole, requests: &[(u32, u32)]| {
        let load = |(server, requests): &(u32, u32)| ServerLoad {
            server_key: *server,
            in_flight: *requests,
            pending_prompt_units: 0,
        };
        NodeLoads { is_full: is_whole, servers: requests.iter().map(load).collect() }
    };
    let mut pending = PendingReport::default();
    pending.add(ProxyReport { loads: loads(true, &[(1, 2), (2, 2)]), ..ProxyReport::default() });
    pending.add(ProxyReport { loads: loads(false, &[(2, 0)]), ..ProxyReport::default() });
    assert_eq!(pending.take().map(|report| report.loads), Some(loads(true, &[(1, 2), (2, 0)])));
}
