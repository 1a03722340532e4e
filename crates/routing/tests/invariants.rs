//! Invariants of the router for random sequences of events.

mod support;

use bolero::{TypeGenerator, check};
use dunelink_routing::*;
use support::*;

#[derive(Debug, TypeGenerator)]
enum Step {
    Choose { document: u8, own: u8, tenant: Option<u8>, plain: bool, tokens: u16 },
    RecordSent(u8),
    FirstEvent(u8),
    Progress(u8),
    End { which: u8, outcome: u8 },
    ObserveLoad { which: u8, running: u8, waiting: u8 },
    UpdateServers { first: u8, count: u8, draining: u8, cold: bool },
    SetFleetSize(u8),
    Advance(u16),
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Served,
    Outcome::Rejected,
    Outcome::WrongInstance,
    Outcome::ServerError,
    Outcome::Broken,
    Outcome::ConnectFailed,
    Outcome::TimedOut,
    Outcome::Cancelled,
];

fn list(first: u8, count: u8, draining: u8, cold: bool) -> Vec<ServerInfo> {
    let numbers = u32::from(first)..u32::from(first) + u32::from(count % 60);
    let mut all: Vec<ServerInfo> = numbers.flat_map(|n| [server("llm", n), server("api", n)]).collect();
    for (at, info) in all.iter_mut().enumerate() {
        info.ready = draining == 0 || at % usize::from(draining) != 0;
        info.cold_remaining_ms = if cold { 3_000 } else { 0 };
    }
    all
}

fn run_steps(steps: &[Step]) {
    let mut router = router(3, &list(0, 12, 0, false));
    let mut in_flight: Vec<(ServerHandle, AttemptId)> = Vec::new();
    let mut now = 0;
    for step in steps {
        let pick = |which: &u8| in_flight.get(usize::from(*which) % in_flight.len().max(1)).copied();
        match step {
            Step::Choose { document, own, tenant, plain: is_plain, tokens } => {
                let tenant = tenant.map(|tenant| tenant.to_string());
                let parts = prompt(u64::from(*document), u64::from(*own));
                let base = if *is_plain { plain_request() } else { request(&parts) };
                let prompt_tokens = if *is_plain { 0 } else { u32::from(*tokens) };
                let excluded: Vec<ServerHandle> = pick(own).map(|(server, _)| server).into_iter().collect();
                let routing_request =
                    RoutingRequest { tenant: tenant.as_deref(), prompt_tokens, excluded: &excluded, ..base };
                match router.choose(now, &routing_request) {
                    Decision::Send { server, attempt } => {
                        assert!(router.is_usable(server), "the chosen server must be usable");
                        assert!(!excluded.contains(&server), "an excluded server must not be chosen");
                        assert_eq!(
                            router.server(server).expect("unlisted server").service,
                            routing_request.service
                        );
                        assert!(
                            in_flight.iter().all(|(_, other)| *other != attempt),
                            "attempt ids must be unique"
                        );
                        in_flight.push((server, attempt));
                    }
                    Decision::Wait { retry_in } => {
                        assert!(retry_in > 0 && retry_in < routing_request.remaining)
                    }
                    Decision::Refuse { retry_after, .. } => {
                        assert!(retry_after * 3 <= routing_request.remaining)
                    }
                }
            }
            Step::RecordSent(which) => {
                pick(which).into_iter().for_each(|(_, attempt)| router.record_sent(now, attempt))
            }
            Step::FirstEvent(which) => {
                pick(which).into_iter().for_each(|(_, attempt)| router.record_first_event(now, attempt));
            }
            Step::Progress(which) => {
                pick(which).into_iter().for_each(|(_, attempt)| router.record_progress(now, attempt, 1));
            }
            Step::End { which, outcome } => {
                if let Some((_, attempt)) = pick(which) {
                    in_flight.retain(|(_, other)| *other != attempt);
                    router.record_outcome(now, attempt, OUTCOMES[usize::from(*outcome) % OUTCOMES.len()]);
                    // A second outcome of the same attempt has no effect.
                    router.record_outcome(now, attempt, Outcome::Broken);
                }
            }
            Step::ObserveLoad { which, running, waiting } => {
                if let Some((server, _)) = pick(which) {
                    router.observe_load(now, server, u32::from(*running), u32::from(*waiting), 64);
                }
            }
            Step::UpdateServers { first, count, draining, cold } => {
                router.update_servers(now, &list(*first, *count, *draining, *cold));
            }
            Step::SetFleetSize(nodes) => router.set_fleet_size(u32::from(*nodes)),
            Step::Advance(ms) => now += Micros::from(*ms) * MS,
        }
        check_state(&router, now, &in_flight);
    }
}

fn check_state(router: &Router, now: Micros, in_flight: &[(ServerHandle, AttemptId)]) {
    assert_eq!(router.attempts_in_flight(), in_flight.len());
    let listed = in_flight.iter().filter(|(server, _)| router.server(*server).is_some()).count();
    let lines = router.status(now);
    assert_eq!(lines.iter().map(|line| line.in_flight as usize).sum::<usize>(), listed);
    assert!(lines.iter().all(|line| line.cached_tokens <= 380_000 && line.fleet_in_flight >= 0.0));
    assert!(lines.iter().all(|line| line.relative_latency.is_finite() && line.relative_latency > 0.0));
}

#[test]
fn any_event_order_keeps_state_consistent() {
    check!().with_type::<Vec<Step>>().for_each(|steps| run_steps(steps));
}

#[test]
fn request_is_sent_while_a_server_is_idle() {
    check!().with_type::<(u8, Vec<u8>)>().for_each(|(count, fails)| {
        let mut router = router(1, &servers("llm", u32::from(*count % 20) + 1));
        for (at, fail) in fails.iter().enumerate() {
            let parts = prompt(u64::from(*fail), at as u64);
            let now = at as Micros * S;
            let (_, attempt) = expect_sent(router.choose(now, &request(&parts)));
            let outcome = OUTCOMES[usize::from(*fail) % OUTCOMES.len()];
            router.record_outcome(
                now,
                attempt,
                if outcome == Outcome::Rejected { Outcome::Broken } else { outcome },
            );
        }
    });
}
