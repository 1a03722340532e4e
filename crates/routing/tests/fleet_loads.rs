//! Many processes before many model servers: requests come to each of them, the servers run them in batches, and the
//! processes are told the sums of their loads late, as in a fleet. What the sums are worth shows when they are left out.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use dunelink_routing::*;
use support::*;

/// Time between two steps of the simulation.
const STEP: Micros = 10 * MS;
/// Between two tellings of the sums, and how old they are when they come.
const TOLD_EVERY: Micros = 200 * MS;
const TOLD_AFTER: Micros = 250 * MS;
/// Requests that a simulated server runs at once.
const SLOTS: usize = 12;
/// How long a short and a long request run, once begun and while nothing is read beside them.
const SHORT_RUNS: Micros = 1_700 * MS;
const LONG_RUNS: Micros = 300 * MS;
/// How long a server reads a short prompt, a long one's own part, and a subject that it doesn't keep.
const READS_SHORT: Micros = 20 * MS;
const READS_LONG: Micros = 80 * MS;
const READS_SUBJECT: Micros = 150 * MS;
/// A request that begins later than this is late.
const OBJECTIVE: Micros = 600 * MS;

struct Play {
    nodes: u32,
    servers: u32,
    /// Requests a second for each server, short and long.
    short: f64,
    long: f64,
    /// Part of the long requests about one subject.
    hot: f64,
    /// Part of the requests that one tenant sends.
    one_tenant: f64,
    /// Whether the sums are told, to all nodes but the first `cut_off`.
    told: bool,
    cut_off: usize,
    seconds: u64,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            nodes: 82,
            servers: 140,
            short: 4.0,
            long: 2.0,
            hot: 0.0,
            one_tenant: 0.0,
            told: true,
            cut_off: 0,
            seconds: 10,
        }
    }
}

#[derive(Default)]
struct Outcomes {
    asked: u32,
    late: u32,
    refused: u32,
    /// Refused while at least half of all places were free.
    refused_free: u32,
    /// Late or refused of those that came to the nodes that are cut off, and how many these were.
    cut_off_bad: u32,
    cut_off_asked: u32,
    /// Served in time by tenant.
    in_time: BTreeMap<usize, (u32, u32)>,
    /// Largest over mean number of requests at a server, a mean over the steps.
    uneven: f64,
}

impl Outcomes {
    fn bad_share(&self) -> f64 {
        f64::from(self.late + self.refused) / f64::from(self.asked.max(1))
    }
}

/// A request at a server.
struct Running {
    node: usize,
    attempt: AttemptId,
    server: ServerHandle,
    came: Micros,
    /// Time that is left to read and to run.
    to_read: Micros,
    to_run: Micros,
    subject: Option<u64>,
    tenant: usize,
}

/// One server: its requests in order, and the subjects that it keeps.
#[derive(Default)]
struct Simulated {
    requests: Vec<Running>,
    kept: BTreeSet<u64>,
}

fn play(play: &Play, seed: u64) -> Outcomes {
    let mut random = fastrand::Rng::with_seed(seed);
    let list: Vec<ServerInfo> = servers("llm", play.servers)
        .into_iter()
        .map(|server| ServerInfo { slots: SLOTS as u32, ..server })
        .collect();
    let places: BTreeMap<&str, usize> =
        list.iter().enumerate().map(|(at, server)| (server.id.as_str(), at)).collect();
    let mut nodes: Vec<Router> = (0..play.nodes).map(|node| router(seed + u64::from(node), &list)).collect();
    nodes.iter_mut().for_each(|node| node.set_fleet_size(play.nodes));
    let mut at_server: Vec<Simulated> = list.iter().map(|_| Simulated::default()).collect();
    let mut told: Vec<(Micros, Vec<(u32, u32)>)> = Vec::new();
    let mut outcomes = Outcomes::default();
    let (mut due, mut steps) = (0.0, 0.0);
    for now in (0..play.seconds * S).step_by(STEP as usize) {
        due += (play.short + play.long) * f64::from(play.servers) * STEP as f64 / S as f64;
        while due >= 1.0 {
            due -= 1.0;
            ask(play, now, &mut random, &mut nodes, &places, &mut at_server, &mut outcomes);
        }
        for server in &mut at_server {
            run(now, server, &mut nodes, &mut outcomes);
        }
        if play.told && now % TOLD_EVERY == 0 {
            told.push((now + TOLD_AFTER, sums(&mut nodes, &list)));
        }
        if told.first().is_some_and(|(at, _)| *at <= now) {
            let (_, sums) = told.remove(0);
            for node in nodes.iter_mut().skip(play.cut_off) {
                for (server, (requests, unread)) in list.iter().zip(&sums) {
                    node.observe_fleet_load(now, &server.id, *requests, *unread);
                }
            }
        }
        let counts: Vec<usize> = at_server.iter().map(|server| server.requests.len()).collect();
        let mean = counts.iter().sum::<usize>() as f64 / counts.len() as f64;
        if now > 3 * S {
            outcomes.uneven += counts.iter().copied().max().unwrap_or(0) as f64 / mean.max(0.1);
            steps += 1.0;
        }
    }
    outcomes.uneven /= f64::max(steps, 1.0);
    outcomes
}

/// One request comes to a node.
fn ask(
    play: &Play,
    now: Micros,
    random: &mut fastrand::Rng,
    nodes: &mut [Router],
    places: &BTreeMap<&str, usize>,
    at_server: &mut [Simulated],
    outcomes: &mut Outcomes,
) {
    let node = random.usize(..nodes.len());
    let is_long = random.f64() < play.long / (play.short + play.long);
    let subject = if random.f64() < play.hot { 0 } else { random.u64(1..1_000) };
    let long = prompt(subject, random.u64(..));
    let short =
        [PromptPart { id: random.u64(..700), tokens: 198 }, PromptPart { id: random.u64(..), tokens: 628 }];
    let tenant = if random.f64() < play.one_tenant { 0 } else { random.usize(1..16) };
    let name = format!("tenant-{tenant}");
    let parts: &[PromptPart] = if is_long { &long } else { &short };
    let asked = RoutingRequest {
        tenant: Some(&name),
        max_output_tokens: if is_long { 54 } else { 290 },
        target_latency: OBJECTIVE,
        remaining: 8 * S,
        ..request(parts)
    };
    outcomes.asked += 1;
    let is_cut_off = node < play.cut_off;
    outcomes.cut_off_asked += u32::from(is_cut_off);
    outcomes.in_time.entry(tenant).or_default().1 += 1;
    let Decision::Send { server, attempt } = nodes[node].choose(now, &asked) else {
        outcomes.refused += 1;
        outcomes.cut_off_bad += u32::from(is_cut_off);
        let busy_slots = at_server.iter().map(|server| server.requests.len().min(SLOTS)).sum::<usize>();
        outcomes.refused_free += u32::from(busy_slots * 2 < at_server.len() * SLOTS);
        return;
    };
    nodes[node].record_sent(now, attempt);
    let id = nodes[node].server(server).expect("a listed server").id.clone();
    let (to_read, to_run) = if is_long { (READS_LONG, LONG_RUNS) } else { (READS_SHORT, SHORT_RUNS) };
    let subject = is_long.then_some(subject);
    let request = Running { node, attempt, server, came: now, to_read, to_run, subject, tenant };
    at_server[places[id.as_str()]].requests.push(request);
}

/// One step of a server: it reads the first prompt that is to be read, and the others stand still meanwhile.
fn run(now: Micros, server: &mut Simulated, nodes: &mut [Router], outcomes: &mut Outcomes) {
    let Simulated { requests, kept } = server;
    let (running, waiting) = (requests.len().min(SLOTS) as u32, requests.len().saturating_sub(SLOTS) as u32);
    let reader = requests.iter_mut().take(SLOTS).find(|request| request.to_read > 0);
    if let Some(reader) = reader {
        if reader.subject.is_some_and(|subject| kept.insert(subject)) {
            reader.to_read += READS_SUBJECT;
        }
        reader.to_read = reader.to_read.saturating_sub(STEP);
        if reader.to_read == 0 {
            let is_late = now > reader.came + OBJECTIVE;
            outcomes.late += u32::from(is_late);
            outcomes.in_time.entry(reader.tenant).or_default().0 += u32::from(!is_late);
            let node = &mut nodes[reader.node];
            node.observe_load(now, reader.server, running, waiting, SLOTS as u32);
            node.record_first_event(now, reader.attempt);
        }
        return;
    }
    requests.iter_mut().take(SLOTS).for_each(|request| request.to_run = request.to_run.saturating_sub(STEP));
    requests.retain(|request| {
        if request.to_run == 0 {
            nodes[request.node].record_outcome(now, request.attempt, Outcome::Served);
        }
        request.to_run > 0
    });
}

/// What all nodes report of the servers, summed up.
fn sums(nodes: &mut [Router], list: &[ServerInfo]) -> Vec<(u32, u32)> {
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
fn sums_of_the_fleet_keep_servers_even_and_requests_in_time() {
    for seed in 1..4 {
        let with = play(&Play { short: 3.6, ..Play::default() }, seed);
        let without = play(&Play { short: 3.6, told: false, ..Play::default() }, seed);
        let figures = format!(
            "late or refused {:.3}, {:.3} without; largest over mean {:.2}, {:.2}",
            with.bad_share(),
            without.bad_share(),
            with.uneven,
            without.uneven
        );
        assert!(with.bad_share() < 0.1 && with.bad_share() * 1.7 < without.bad_share(), "{figures}");
        assert!(with.uneven < 1.85 && with.uneven * 1.12 < without.uneven, "{figures}");
    }
}

#[test]
fn a_node_that_is_told_nothing_does_no_worse_than_chance() {
    let some = play(&Play { cut_off: 8, ..Play::default() }, 2);
    let none = play(&Play { told: false, ..Play::default() }, 2);
    let cut_off = f64::from(some.cut_off_bad) / f64::from(some.cut_off_asked);
    assert!(some.cut_off_asked > 300);
    assert!(cut_off <= none.bad_share() + 0.02, "{cut_off} cut off, {} by chance", none.bad_share());
}

#[test]
fn nothing_is_refused_while_places_are_free() {
    for seed in 0..3 {
        let calm = play(&Play { short: 1.5, long: 1.0, ..Play::default() }, seed);
        assert_eq!(calm.refused_free, 0, "seed {seed}: {} of {} refused", calm.refused, calm.asked);
        assert!(calm.bad_share() < 0.02, "seed {seed}: {}", calm.bad_share());
    }
}

#[test]
fn a_hot_subject_is_spread_over_servers() {
    let hot = play(&Play { hot: 0.33, short: 3.6, ..Play::default() }, 4);
    assert!(hot.bad_share() < 0.1, "late or refused: {}", hot.bad_share());
}

#[test]
fn no_tenant_starves_beside_one_that_sends_seven_times_its_usual() {
    let play = play(&Play { one_tenant: 0.5, short: 4.5, ..Play::default() }, 5);
    for (tenant, (in_time, asked)) in &play.in_time {
        assert!(in_time * 10 > asked * 7, "tenant {tenant}: {in_time} of {asked} in time");
    }
}

#[test]
fn one_node_five_servers_and_many_more_are_served() {
    for (nodes, servers, seconds) in [(1, 140, 6), (82, 5, 6), (164, 140, 6), (41, 140, 6), (20, 1_000, 4)] {
        let shape = Play { nodes, servers, seconds, short: 2.5, long: 1.0, ..Play::default() };
        let outcomes = play(&shape, 6);
        assert!(
            outcomes.bad_share() < 0.05,
            "{nodes} nodes, {servers} servers: {} late, {} refused of {}",
            outcomes.late,
            outcomes.refused,
            outcomes.asked
        );
    }
}
