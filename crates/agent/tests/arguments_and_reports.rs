//! Command-line arguments, merging of pending reports, and resubscription on one connection.

use std::ffi::OsString;

use dunelink_agent::link_feed::LinkFeed;
use dunelink_agent::log_rate_limit::LogRateLimit;
use dunelink_agent::reports::PendingReport;
use dunelink_agent::{Arguments, Command};
use dunelink_feed::{Change, FeedState};
use dunelink_protocol::{
    FeedMessage, Heartbeat, NodeDemand, NodeLoads, ProxyReport, RosterOffset, RosterUpdate, ServerLoad,
    ServerObservation, TenantDemand,
};
use dunelink_runtime::log::Format;

const SECOND_US: u64 = 1_000_000;

fn parse(line: &[&str]) -> Result<Arguments, String> {
    let line = line.iter().map(OsString::from).collect();
    Arguments::parse(pico_args::Arguments::from_vec(line)).map_err(|error| error.to_string())
}

#[test]
fn parses_options_and_names_unknown_ones() {
    assert_eq!(parse(&[]), Ok(Arguments { command: Command::Serve, log_format: Format::Text }));
    assert_eq!(parse(&["--check"]), Ok(Arguments { command: Command::Check, log_format: Format::Text }));
    assert_eq!(
        parse(&["--log", "json"]),
        Ok(Arguments { command: Command::Serve, log_format: Format::Json })
    );
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
fn pending_reports_are_merged() {
    let mut pending = PendingReport::default();
    pending.add(report(&[("a", 1.0)], &[("x", 1, 0), ("y", 2, 2)]));
    pending.add(report(&[("b", 3.0)], &[("x", 4, 1)]));
    assert!(pending.has_report());
    assert_eq!(pending.take(), Some(report(&[("b", 3.0)], &[("x", 5, 1), ("y", 2, 2)])));
    assert_eq!(pending.take(), None);
}

#[test]
fn log_is_limited_to_one_line_per_second() {
    let mut log_rate_limit = LogRateLimit::default();
    assert_eq!(log_rate_limit.admit(SECOND_US), Some(0));
    assert_eq!(log_rate_limit.admit(SECOND_US + 1), None);
    assert_eq!(log_rate_limit.admit(SECOND_US + 2), None);
    assert_eq!(log_rate_limit.admit(2 * SECOND_US), Some(2));
}

fn heartbeat(version: u64, sequence: u64) -> FeedMessage {
    let roster = RosterOffset { epoch: 0, sequence };
    FeedMessage::Heartbeat(Heartbeat {
        confirmed_age_ms: 0,
        configuration_version: version,
        roster,
        roster_age_ms: 0,
    })
}

#[test]
fn mismatched_roster_base_resubscribes_once_per_second() {
    let mut state = FeedState::default();
    let mut feed = LinkFeed::new(SECOND_US);
    let base = Some(RosterOffset { epoch: 1, sequence: 4 });
    let offset = RosterOffset { epoch: 1, sequence: 5 };
    let change =
        || FeedMessage::Roster(RosterUpdate { base, offset, changed: Vec::new(), removed: Vec::new() });
    let mut at = |now| feed.receive(&mut state, change(), now).expect("well-formed");
    assert_eq!(at(SECOND_US + 1), (Change::Resubscribe, false), "the last subscription was just sent");
    assert_eq!(at(2 * SECOND_US), (Change::Resubscribe, true));
    assert_eq!(at(2 * SECOND_US + 1), (Change::Resubscribe, false));
    assert_eq!(at(3 * SECOND_US), (Change::Resubscribe, true));
}

#[test]
fn withheld_update_triggers_resubscription() {
    let mut state = FeedState::default();
    let mut feed = LinkFeed::new(SECOND_US);
    let mut resubscribes = |message, now| feed.receive(&mut state, message, now).expect("well-formed").1;
    assert!(!resubscribes(heartbeat(3, 0), SECOND_US));
    assert!(!resubscribes(heartbeat(3, 0), 2 * SECOND_US - 1));
    assert!(resubscribes(heartbeat(3, 0), 2 * SECOND_US));
    assert!(!resubscribes(heartbeat(3, 0), 2 * SECOND_US + 1));
    assert!(!resubscribes(heartbeat(0, 0), 3 * SECOND_US));
    assert!(!resubscribes(heartbeat(0, 0), 5 * SECOND_US), "the source no longer announces newer data");
}

#[test]
fn possible_delivery_delay_is_added_to_confirmed_age() {
    let mut state = FeedState::default();
    let mut feed = LinkFeed::new(SECOND_US);
    let mut confirmed_age_ms = |now: u64| {
        let heartbeat = feed.receive(&mut state, heartbeat(0, 0), now).expect("well-formed");
        let (Change::Heartbeat(heartbeat), _) = heartbeat else { panic!("expected a heartbeat") };
        heartbeat.confirmed_age_ms
    };
    assert_eq!(confirmed_age_ms(SECOND_US + 250_000), 0);
    assert_eq!(confirmed_age_ms(4 * SECOND_US), 2_750, "the length of the pause is added");
    assert_eq!(confirmed_age_ms(4 * SECOND_US + 1), 2_750, "it may have been delayed with the previous one");
    assert_eq!(confirmed_age_ms(4 * SECOND_US + 250_000), 0, "it arrived on time");
}

#[test]
fn loads_of_pending_reports_are_merged() {
    let loads = |is_full, requests: &[(u32, u32)]| {
        let load = |(server, requests): &(u32, u32)| ServerLoad {
            server_key: *server,
            in_flight: *requests,
            pending_prompt_units: 0,
        };
        NodeLoads { is_full, servers: requests.iter().map(load).collect() }
    };
    let mut pending = PendingReport::default();
    pending.add(ProxyReport { loads: loads(true, &[(1, 2), (2, 2)]), ..ProxyReport::default() });
    pending.add(ProxyReport { loads: loads(false, &[(2, 0)]), ..ProxyReport::default() });
    assert_eq!(pending.take().map(|report| report.loads), Some(loads(true, &[(1, 2), (2, 0)])));
}
