//! Simulation of many processes in front of many model servers that run requests in batches. The processes
//! learn the sums of their loads with a delay, as in a real fleet. Runs without shared loads show the benefit
//! of the sums.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use dunelink_routing::*;
use support::*;

/// Time step of the simulation.
const TIME_STEP_US: Micros = 10 * MS;
/// Interval at which the processes share their loads, and the delay of the sums.
const LOAD_SHARING_INTERVAL_US: Micros = 200 * MS;
const LOAD_SHARING_DELAY_US: Micros = 250 * MS;
/// Requests that a simulated server runs concurrently.
const SLOTS: usize = 12;
/// Decode time of a short and a long request while no prefill runs beside it.
const SHORT_DECODE_US: Micros = 1_700 * MS;
const LONG_DECODE_US: Micros = 300 * MS;
/// Prefill time of a short prompt, of a long prompt's own part, and of a document that the server has not
/// cached.
const SHORT_PREFILL_US: Micros = 20 * MS;
const LONG_PREFILL_US: Micros = 80 * MS;
const DOCUMENT_PREFILL_US: Micros = 150 * MS;
/// A request whose first token takes longer than this is late.
const LATENCY_OBJECTIVE_US: Micros = 600 * MS;

struct Scenario {
    nodes: u32,
    servers: u32,
    /// Short and long requests per second for each server.
    short_per_s: f64,
    long_per_s: f64,
    /// Share of the long requests that are about one document.
    hot_share: f64,
    /// Share of the requests that one tenant sends.
    one_tenant_share: f64,
    /// Whether loads are shared, and the number of nodes that do not receive the sums.
    shares_loads: bool,
    isolated_nodes: usize,
    seconds: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            nodes: 82,
            servers: 140,
            short_per_s: 4.0,
            long_per_s: 2.0,
            hot_share: 0.0,
            one_tenant_share: 0.0,
            shares_loads: true,
            isolated_nodes: 0,
            seconds: 10,
        }
    }
}

#[derive(Default)]
struct Outcomes {
    requests: u32,
    late: u32,
    refused: u32,
    /// Requests refused while at least half of all slots were free.
    refused_with_free_slots: u32,
    /// Late or refused requests at the isolated nodes, and all requests there.
    isolated_failures: u32,
    isolated_requests: u32,
    /// Requests served in time, and all requests, by tenant.
    in_time: BTreeMap<usize, (u32, u32)>,
    /// Maximum over mean number of requests at a server, averaged over the steps.
    imbalance: f64,
}

impl Outcomes {
    fn failure_share(&self) -> f64 {
        f64::from(self.late + self.refused) / f64::from(self.requests.max(1))
    }
}

/// A request at a server.
struct Running {
    node: usize,
    attempt: AttemptId,
    server: ServerHandle,
    arrived_at: Micros,
    /// Remaining prefill and decode time.
    prefill_left: Micros,
    decode_left: Micros,
    document: Option<u64>,
    tenant: usize,
}

/// One server: its requests in order of arrival, and the documents that it has cached.
#[derive(Default)]
struct SimulatedServer {
    requests: Vec<Running>,
    cached_documents: BTreeSet<u64>,
}

fn simulate(scenario: &Scenario, seed: u64) -> Outcomes {
    let mut random = fastrand::Rng::with_seed(seed);
    let list: Vec<ServerInfo> = servers("llm", scenario.servers)
        .into_iter()
        .map(|server| ServerInfo { slots: SLOTS as u32, ..server })
        .collect();
    let index_by_id: BTreeMap<&str, usize> =
        list.iter().enumerate().map(|(at, server)| (server.id.as_str(), at)).collect();
    let mut nodes: Vec<Router> =
        (0..scenario.nodes).map(|node| router(seed + u64::from(node), &list)).collect();
    nodes.iter_mut().for_each(|node| node.set_fleet_size(scenario.nodes));
    let mut simulated_servers: Vec<SimulatedServer> =
        list.iter().map(|_| SimulatedServer::default()).collect();
    let mut pending_sums: Vec<(Micros, Vec<(u32, u32)>)> = Vec::new();
    let mut outcomes = Outcomes::default();
    let (mut requests_due, mut sampled_steps) = (0.0, 0.0);
    for now in (0..scenario.seconds * S).step_by(TIME_STEP_US as usize) {
        requests_due +=
            (scenario.short_per_s + scenario.long_per_s) * f64::from(scenario.servers) * TIME_STEP_US as f64
                / S as f64;
        while requests_due >= 1.0 {
            requests_due -= 1.0;
            submit_request(
                scenario,
                now,
                &mut random,
                &mut nodes,
                &index_by_id,
                &mut simulated_servers,
                &mut outcomes,
            );
        }
        for server in &mut simulated_servers {
            step_server(now, server, &mut nodes, &mut outcomes);
        }
        if scenario.shares_loads && now % LOAD_SHARING_INTERVAL_US == 0 {
            pending_sums.push((now + LOAD_SHARING_DELAY_US, sum_loads(&mut nodes, &list)));
        }
        if pending_sums.first().is_some_and(|(at, _)| *at <= now) {
            let (_, sums) = pending_sums.remove(0);
            for node in nodes.iter_mut().skip(scenario.isolated_nodes) {
                for (server, (requests, unread)) in list.iter().zip(&sums) {
                    node.observe_fleet_load(now, &server.id, *requests, *unread);
                }
            }
        }
        let counts: Vec<usize> = simulated_servers.iter().map(|server| server.requests.len()).collect();
        let mean = counts.iter().sum::<usize>() as f64 / counts.len() as f64;
        if now > 3 * S {
            outcomes.imbalance += counts.iter().copied().max().unwrap_or(0) as f64 / mean.max(0.1);
            sampled_steps += 1.0;
        }
    }
    outcomes.imbalance /= f64::max(sampled_steps, 1.0);
    outcomes
}

/// Sends one new request to a random node.
fn submit_request(
    scenario: &Scenario,
    now: Micros,
    random: &mut fastrand::Rng,
    nodes: &mut [Router],
    index_by_id: &BTreeMap<&str, usize>,
    simulated_servers: &mut [SimulatedServer],
    outcomes: &mut Outcomes,
) {
    let node = random.usize(..nodes.len());
    let is_long = random.f64() < scenario.long_per_s / (scenario.short_per_s + scenario.long_per_s);
    let document = if random.f64() < scenario.hot_share { 0 } else { random.u64(1..1_000) };
    let long = prompt(document, random.u64(..));
    let short =
        [PromptPart { id: random.u64(..700), tokens: 198 }, PromptPart { id: random.u64(..), tokens: 628 }];
    let tenant = if random.f64() < scenario.one_tenant_share { 0 } else { random.usize(1..16) };
    let name = format!("tenant-{tenant}");
    let parts: &[PromptPart] = if is_long { &long } else { &short };
    let routing_request = RoutingRequest {
        tenant: Some(&name),
        max_output_tokens: if is_long { 54 } else { 290 },
        target_latency: LATENCY_OBJECTIVE_US,
        remaining: 8 * S,
        ..request(parts)
    };
    outcomes.requests += 1;
    let is_isolated = node < scenario.isolated_nodes;
    outcomes.isolated_requests += u32::from(is_isolated);
    outcomes.in_time.entry(tenant).or_default().1 += 1;
    let Decision::Send { server, attempt } = nodes[node].choose(now, &routing_request) else {
        outcomes.refused += 1;
        outcomes.isolated_failures += u32::from(is_isolated);
        let busy_slots =
            simulated_servers.iter().map(|server| server.requests.len().min(SLOTS)).sum::<usize>();
        outcomes.refused_with_free_slots += u32::from(busy_slots * 2 < simulated_servers.len() * SLOTS);
        return;
    };
    nodes[node].record_sent(now, attempt);
    let id = nodes[node].server(server).expect("unlisted server").id.clone();
    let (prefill_left, decode_left) =
        if is_long { (LONG_PREFILL_US, LONG_DECODE_US) } else { (SHORT_PREFILL_US, SHORT_DECODE_US) };
    let document = is_long.then_some(document);
    let request =
        Running { node, attempt, server, arrived_at: now, prefill_left, decode_left, document, tenant };
    simulated_servers[index_by_id[id.as_str()]].requests.push(request);
}

/// Simulates one step of a server: the first prompt that needs prefill makes progress, which stalls all other
/// requests.
fn step_server(now: Micros, server: &mut SimulatedServer, nodes: &mut [Router], outcomes: &mut Outcomes) {
    let SimulatedServer { requests, cached_documents } = server;
    let (running, waiting) = (requests.len().min(SLOTS) as u32, requests.len().saturating_sub(SLOTS) as u32);
    let prefilling = requests.iter_mut().take(SLOTS).find(|request| request.prefill_left > 0);
    if let Some(prefilling) = prefilling {
        if prefilling.document.is_some_and(|document| cached_documents.insert(document)) {
            prefilling.prefill_left += DOCUMENT_PREFILL_US;
        }
        prefilling.prefill_left = prefilling.prefill_left.saturating_sub(TIME_STEP_US);
        if prefilling.prefill_left == 0 {
            let is_late = now > prefilling.arrived_at + LATENCY_OBJECTIVE_US;
            outcomes.late += u32::from(is_late);
            outcomes.in_time.entry(prefilling.tenant).or_default().0 += u32::from(!is_late);
            let node = &mut nodes[prefilling.node];
            node.observe_load(now, prefilling.server, running, waiting, SLOTS as u32);
            node.record_first_event(now, prefilling.attempt);
        }
        return;
    }
    requests
        .iter_mut()
        .take(SLOTS)
        .for_each(|request| request.decode_left = request.decode_left.saturating_sub(TIME_STEP_US));
    requests.retain(|request| {
        if request.decode_left == 0 {
            nodes[request.node].record_outcome(now, request.attempt, Outcome::Served);
        }
        request.decode_left > 0
    });
}

/// The sums of the loads that all nodes report, by server.
fn sum_loads(nodes: &mut [Router], list: &[ServerInfo]) -> Vec<(u32, u32)> {
    let mut sums: BTreeMap<String, (u32, u32)> = BTreeMap::new();
    for node in nodes {
        node.report_loads(true, 512, |id, requests, unread| {
            let sum = sums.entry(id.to_owned()).or_default();
            *sum = (sum.0 + requests, sum.1 + unread * 512);
        });
    }
    list.iter().map(|server| sums.get(&server.id).copied().unwrap_or_default()).collect()
}

#[test]
fn shared_loads_balance_servers_and_reduce_late_requests() {
    for seed in 1..4 {
        let with = simulate(&Scenario { short_per_s: 3.6, ..Scenario::default() }, seed);
        let without =
            simulate(&Scenario { short_per_s: 3.6, shares_loads: false, ..Scenario::default() }, seed);
        let figures = format!(
            "late or refused {:.3}, {:.3} without; maximum over mean load {:.2}, {:.2} without",
            with.failure_share(),
            without.failure_share(),
            with.imbalance,
            without.imbalance
        );
        assert!(
            with.failure_share() < 0.1 && with.failure_share() * 1.7 < without.failure_share(),
            "{figures}"
        );
        assert!(with.imbalance < 1.85 && with.imbalance * 1.12 < without.imbalance, "{figures}");
    }
}

#[test]
fn isolated_node_is_no_worse_than_without_shared_loads() {
    let some = simulate(&Scenario { isolated_nodes: 8, ..Scenario::default() }, 2);
    let none = simulate(&Scenario { shares_loads: false, ..Scenario::default() }, 2);
    let isolated_share = f64::from(some.isolated_failures) / f64::from(some.isolated_requests);
    assert!(some.isolated_requests > 300);
    assert!(
        isolated_share <= none.failure_share() + 0.02,
        "{isolated_share} late or refused at isolated nodes, {} without shared loads",
        none.failure_share()
    );
}

#[test]
fn no_refusal_while_slots_are_free() {
    for seed in 0..3 {
        let calm = simulate(&Scenario { short_per_s: 1.5, long_per_s: 1.0, ..Scenario::default() }, seed);
        assert_eq!(
            calm.refused_with_free_slots, 0,
            "seed {seed}: {} of {} refused",
            calm.refused, calm.requests
        );
        assert!(calm.failure_share() < 0.02, "seed {seed}: {}", calm.failure_share());
    }
}

#[test]
fn hot_document_is_spread_over_servers() {
    let hot = simulate(&Scenario { hot_share: 0.33, short_per_s: 3.6, ..Scenario::default() }, 4);
    assert!(hot.failure_share() < 0.1, "late or refused: {}", hot.failure_share());
}

#[test]
fn no_tenant_starves_beside_a_dominant_one() {
    let outcomes = simulate(&Scenario { one_tenant_share: 0.5, short_per_s: 4.5, ..Scenario::default() }, 5);
    for (tenant, (in_time, asked)) in &outcomes.in_time {
        assert!(in_time * 10 > asked * 7, "tenant {tenant}: {in_time} of {asked} in time");
    }
}

#[test]
fn fleets_of_all_sizes_are_served() {
    for (nodes, servers, seconds) in [(1, 140, 6), (82, 5, 6), (164, 140, 6), (41, 140, 6), (20, 1_000, 4)] {
        let shape =
            Scenario { nodes, servers, seconds, short_per_s: 2.5, long_per_s: 1.0, ..Scenario::default() };
        let outcomes = simulate(&shape, 6);
        assert!(
            outcomes.failure_share() < 0.05,
            "{nodes} nodes, {servers} servers: {} late, {} refused of {}",
            outcomes.late,
            outcomes.refused,
            outcomes.requests
        );
    }
}
