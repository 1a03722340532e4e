//! Experiments with all faults and policies, and the detection of violated invariants.

use std::time::Duration;

use cherryusher::{Action, Event, ServerId};
use dunelink_lab::baselines::Policy;
use dunelink_lab::simulation::ground_truth::GroundTruth;
use dunelink_lab::{
    Case, Experiment, Invariant, Micros, RunMetrics, report, run, run_with_policies, shrink_case,
};

fn cases(text: &str) -> Vec<Case> {
    Experiment::from_toml(text).unwrap().cases().unwrap()
}

fn run_case(case: &Case) -> RunMetrics {
    run(case, &mut |_| true).unwrap()
}

const SMALL: &str = r#"
    span = "6s"
    settle = "1s"
    nodes = { count = 3 }
    clients = { rate = 300.0, retries = 2 }
    tenants = { count = 4, skew = 1.0 }
    servers = { count = 12, zones = 2, cells = 2 }
    classes = [
        { name = "view", part = 2.0 },
        { name = "submit", effect = "keyed" },
        { name = "order", effect = "unsafe" },
    ]
"#;

const TROUBLES: &str = r#"
    troubles = [
        { kind = "stall", at = "1s", for = "1s", servers = { part = 0.25 } },
        { kind = "crash", at = "1500ms", for = "1s", servers = { these = [0, 5] } },
        { kind = "drain", at = "2s", for = "3s", servers = { these = [2, 3] } },
        { kind = "partition", at = "2500ms", for = "1s", nodes = { these = [0] }, servers = { zone = 1 } },
        { kind = "resets", at = "3s", for = "1s", factor = 0.2 },
        { kind = "silence", at = "3s", for = "1s", nodes = { part = 0.5 } },
        { kind = "burst", at = "4s", for = "500ms", factor = 3.0 },
        { kind = "slow", at = "4s", for = "1s", factor = 0.5, servers = { part = 0.5 } },
        { kind = "clock", at = "5s", for = "500ms", factor = 2.0, nodes = { these = [1] } },
    ]
"#;

const ALL: &str = r#"
    compare = [
        { policy = "dunelink" }, { policy = "random" }, { policy = "round-robin" }, { policy = "least-requests" },
        { policy = "p2c" }, { policy = "peak-ewma" }, { policy = "weighted-least-load" }, { policy = "subset" },
        { policy = "outlier-ejection" }, { policy = "prequal" }, { policy = "oracle" },
    ]
"#;

#[test]
fn policies_answer_once_under_all_faults() {
    for case in cases(&format!("{SMALL}{TROUBLES}{ALL}")) {
        let metrics = run_case(&case);
        assert!(metrics.asked > 1000 && metrics.gain() > 0.3, "{}: {:?}", case.policy, metrics.gain());
        let answers =
            [Invariant::NoAnswer, Invariant::TwoAnswers, Invariant::RanTwice, Invariant::RefusedAfterRunning];
        let broken = metrics.violations.iter().find(|violation| answers.contains(&violation.invariant));
        assert!(broken.is_none(), "{}: {broken:?}", case.policy);
        if case.policy == "dunelink" {
            assert_eq!(metrics.violation_count, 0, "{:?}", metrics.violations);
        }
        let (mean_count, by_law) = metrics.little;
        assert!((mean_count - by_law).abs() < 1e-6 * mean_count, "{}: {mean_count}, {by_law}", case.policy);
    }
}

#[test]
fn runs_are_deterministic_across_threads() {
    let all = cases(&format!(
        "{SMALL}{TROUBLES}seeds = [3, 4]\ncompare = [{{ policy = \"dunelink\" }}, {{ policy = \"prequal\" }}]"
    ));
    let single_thread: Vec<_> = all.iter().map(|case| (case.clone(), Ok(run_case(case)))).collect();
    let multi_thread: Vec<_> = std::thread::scope(|scope| {
        let runs: Vec<_> =
            all.iter().map(|case| scope.spawn(|| (case.clone(), Ok(run_case(case))))).collect();
        runs.into_iter().map(|run| run.join().unwrap()).collect()
    });
    let (single_thread, multi_thread) =
        (report::json_lines(&single_thread), report::json_lines(&multi_thread));
    assert_eq!(single_thread, multi_thread);
    let lines: Vec<&str> = single_thread.lines().collect();
    assert_ne!(lines[0], lines[1], "different seeds give different runs");
}

#[test]
fn policies_get_the_same_requests() {
    let asked: Vec<(u64, u64)> = cases(&format!("{SMALL}{ALL}"))
        .iter()
        .map(|case| {
            let metrics = run_case(case);
            (metrics.asked, metrics.worth.to_bits())
        })
        .collect();
    assert!(asked.iter().all(|single_thread| *single_thread == asked[0]), "{asked:?}");
}

#[test]
fn permanent_overload_is_answered() {
    let text = SMALL.replace("rate = 300.0", "rate = 1500.0")
        + "compare = [{ policy = \"dunelink\" }, { policy = \"random\" }]";
    let runs: Vec<RunMetrics> = cases(&text).iter().map(run_case).collect();
    assert_eq!(runs[0].violation_count, 0, "{:?}", runs[0].violations);
    assert!(runs[0].gain() > runs[1].gain(), "{} and {}", runs[0].gain(), runs[1].gain());
}

#[test]
fn closed_loop_rate_is_limited_by_replies() {
    // Ten clients with 1 s of think time and 20 ms of work make about 9.8 calls per second.
    let text = "span = \"60s\"\nclients = { loops = 10 }\ncompare = [{ policy = \"p2c\" }]";
    let metrics = run_case(&cases(text)[0]);
    let rate = metrics.asked as f64 / 60.0;
    assert!((9.0..10.6).contains(&rate), "{rate}");
}

/// A policy that violates one invariant, and otherwise sends everything to one server.
struct FaultyPolicy {
    rule: Option<Invariant>,
    target: ServerId,
    lists: u32,
}

impl Policy for FaultyPolicy {
    fn handle(&mut self, _: Micros, event: Event, _: &GroundTruth<'_>, out: &mut Vec<Action>) {
        match event {
            Event::ServerList(list) if self.lists == 0 => {
                self.lists += 1;
                self.target = list[3].id;
            }
            Event::RequestArrived(request) if self.rule != Some(Invariant::NoAnswer) => {
                out.push(Action::Send { request: request.id, server: self.target, start_before: None });
                match self.rule {
                    Some(Invariant::TwoAnswers) => out.extend([Action::Fail(request.id); 2]),
                    Some(Invariant::RanTwice) => out.push(Action::Send {
                        request: request.id,
                        server: self.target,
                        start_before: None,
                    }),
                    Some(Invariant::RefusedAfterRunning) => {
                        out.push(Action::Refuse { request: request.id, retry_after: 0 })
                    }
                    _ => {}
                }
            }
            Event::AttemptEnded(end) if !end.request_finished => out.push(Action::Fail(end.request)),
            _ => {}
        }
    }
}

fn run_faulty(case: &Case, rule: Option<Invariant>) -> RunMetrics {
    run_with_policies(case, &mut |_| true, &|_| Some(Box::new(FaultyPolicy { rule, target: 0, lists: 0 })))
}

#[test]
fn detects_every_violation() {
    let text = r#"
        span = "20s"
        settle = "0s"
        clients.rate = 20.0
        servers = { count = 6, cores = 4 }
        classes = [{ name = "order", effect = "unsafe" }]
        compare = [{ policy = "random" }]
        troubles = [
            { kind = "drain", at = "2s", for = "10s", servers = { these = [3] } },
            { kind = "burst", at = "12s", for = "5s", factor = 40.0 },
        ]
    "#;
    let case = &cases(text)[0];
    for rule in
        [Invariant::NoAnswer, Invariant::TwoAnswers, Invariant::RanTwice, Invariant::RefusedAfterRunning]
    {
        let metrics = run_faulty(case, Some(rule));
        assert_eq!(metrics.violations.first().map(|violation| violation.invariant), Some(rule));
    }
    let observed: Vec<Invariant> =
        run_faulty(case, None).violations.iter().map(|violation| violation.invariant).collect();
    assert!(observed.contains(&Invariant::SentToDraining), "{observed:?}");
    let mut overloaded = case.clone();
    overloaded.experiment.faults.remove(0);
    overloaded.experiment.faults[0].at = Duration::from_secs(4);
    overloaded.experiment.faults.push(dunelink_lab::experiment::Fault {
        kind: dunelink_lab::experiment::FaultKind::Crash,
        at: Duration::from_secs(1),
        duration: Duration::from_millis(10),
        ..overloaded.experiment.faults[0].clone()
    });
    let metrics = run_faulty(&overloaded, None);
    assert!(
        metrics.violations.iter().any(|violation| violation.invariant == Invariant::PushedOver),
        "{:?}",
        metrics.violations
    );
}

#[test]
fn shrinks_a_violating_case() {
    let text = format!("{SMALL}{TROUBLES}compare = [{{ policy = \"random\" }}]");
    let mut case = cases(&text).remove(0);
    case.experiment.span = Duration::from_secs(5);
    // Only this policy sends to draining servers.
    let (short, violation) = shrink_case(&case, &|case| {
        let mut metrics = run_faulty(case, None);
        metrics.violations.retain(|violation| violation.invariant == Invariant::SentToDraining);
        metrics
    })
    .unwrap_or_else(|| panic!("no invariant was violated"));
    assert_eq!(violation.invariant, Invariant::SentToDraining);
    assert!(short.experiment.faults.len() < case.experiment.faults.len(), "{:?}", short.experiment.faults);
    assert!(short.experiment.span < Duration::from_secs(4) && short.experiment.nodes.count == 1, "{short:?}");
    case.experiment.faults.clear();
    assert!(shrink_case(&case, &|case| run_case(case)).is_none());
}

#[test]
fn stopped_runs_have_metrics() {
    let case =
        &cases("span = \"1h\"\nclients.rate = 5000.0\nservers.count = 200\ncompare = [{ policy = \"p2c\" }]")
            [0];
    let mut progress_calls = 0;
    let metrics = run(case, &mut |part| {
        progress_calls += 1;
        assert!((0.0..=1.0).contains(&part));
        progress_calls < 4
    })
    .unwrap();
    assert!(metrics.cut && metrics.served > 0);
}

#[test]
fn sweeps_and_variants_change_any_key() {
    let text = r#"
        span = "2s"
        settle = "0s"
        seeds = [1, 2]
        servers.count = 6
        compare = [{ policy = "p2c" }, { policy = "p2c", name = "one try", set = { "nodes.attempts" = 1 } }]
        [sweep]
        "clients.rate" = [50.0, 100.0]
        "classes.0.deadline" = ["1s", "2s"]
    "#;
    let all = cases(text);
    assert_eq!(all.len(), 2 * 2 * 2 * 2);
    assert_eq!(all[2].variant, "one try");
    assert_eq!(all[2].experiment.nodes.attempts, 1);
    assert_eq!(all.last().unwrap().experiment.clients.rate, 100.0);
    assert_eq!(all.last().unwrap().experiment.classes[0].deadline, Duration::from_secs(2));
}

#[test]
fn reports_name_failed_runs() {
    let all = cases("span = \"2s\"\nseeds = [1, 2]\nservers.count = 4\ncompare = [{ policy = \"p2c\" }]");
    let runs = vec![(all[0].clone(), Ok(run_case(&all[0]))), (all[1].clone(), Err("no <memory>".into()))];
    let page = report::page(&all[0].experiment, &runs);
    assert!(page.contains("seed 2 failed: no &lt;memory&gt;") && page.matches("<svg").count() == 4, "{page}");
    assert!(report::csv(&runs).lines().nth(2).unwrap().ends_with("no <memory>"));
    assert!(report::table(&runs).contains("seed 2 failed"));
    assert!(
        !page.contains("http://")
            || page.matches("http://").count() == page.matches("http://www.w3.org/2000/svg").count()
    );
}

#[test]
fn errors_name_line_and_key() {
    let cases = [
        ("span = \"2s\"\nnodes.count = 0\n", "line 2: nodes.count: expected 1 to 1000"),
        (
            "span = \"2s\"\nservers = { count = 3, speed = 1 }",
            "line 2: servers: expected something else (unknown field `speed`",
        ),
        ("compare = [{ policy = \"best\" }]", "line 1: compare.0.policy: expected one of dunelink, random"),
        (
            "classes = [\n{ name = \"a\" },\n{ name = \"b\", late_worth = 2.0 },\n]",
            "line 3: classes.1.late_worth: expected a part",
        ),
        (
            "[[compare]]\npolicy = \"p2c\"\n[sweep]\n\"clients.rate\" = [1.0, -1.0]",
            "line 4: clients.rate: expected a number of at least",
        ),
        (
            "[[compare]]\npolicy = \"p2c\"\n[sweep]\n\"no.such\" = [1]",
            "line 4: no.such: expected a key that experiments have",
        ),
        (
            "[[troubles]]\nkind = \"stall\"\nat = \"9h\"\nfor = \"1s\"",
            "line 3: troubles.0.at: expected a time within `span`",
        ),
        ("name = ", "line 1: name: expected something else"),
    ];
    for (text, expected) in cases {
        let observed = Experiment::from_toml(text).unwrap_err().to_string();
        assert!(observed.starts_with(expected), "{observed}");
    }
}

/// Many nodes, each of which sends few requests to a server, and servers that stall for most of the time.
const RARE_CONTACT: &str = r#"
    span = "14s"
    settle = "4s"
    nodes = { count = 16 }
    clients = { rate = 160.0 }
    servers = { count = 16, cores = 4, time = "50ms" }
    classes = [{ name = "order", effect = "unsafe", aim = "300ms", deadline = "1500ms" }]
    troubles = [{ kind = "stall", at = "5s", for = "8s", servers = { part = 0.2 } }]
"#;

#[test]
fn gossip_reduces_requests_to_stalled_servers() {
    let run_case = |more: &str| {
        let text = format!("{RARE_CONTACT}\ncompare = [{{ policy = \"dunelink\"{more} }}]");
        cases(&text).iter().map(run_case).map(|f| (f.lost, f.violation_count, f.gossip)).collect::<Vec<_>>()
    };
    let (without_gossip, observed) = (&run_case("")[0], &run_case(", set = { \"nodes.gossip\" = true }")[0]);
    println!("without gossip {without_gossip:?}, with gossip {observed:?}");
    assert_eq!((without_gossip.1, observed.1, without_gossip.2), (0, 0, None));
    assert!(4 * observed.0 <= 3 * without_gossip.0, "{observed:?}, {without_gossip:?}");
    let talked = observed.2.unwrap();
    assert!(talked.least == 15 && talked.bytes < 16_384.0, "{talked:?}");
}

#[test]
fn nodes_rejoin_after_a_cut() {
    let text = r#"
        span = "24s"
        nodes = { count = 8, gossip = true }
        clients = { rate = 100.0 }
        servers = { count = 8, cores = 4 }
        troubles = [{ kind = "cut", at = "6s", for = "6s", nodes = { part = 0.5 } }]
        compare = [{ policy = "dunelink" }]
    "#;
    let full_run = run_case(&cases(text)[0]);
    assert_eq!((full_run.violation_count, full_run.gossip.unwrap().least), (0, 7));
    assert!(full_run.gain() > 0.95, "{}", full_run.gain());
    // During the cut, each side considers the other dead.
    let during_cut = run_case(&cases(&text.replace("24s", "11s"))[0]);
    assert_eq!(during_cut.gossip.unwrap().least, 3);
}
