//! What may happen in worlds, and that the rules are seen when they are broken.

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

fn played(case: &Case) -> RunMetrics {
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
fn all_policies_bear_all_troubles_and_none_answers_twice_or_never() {
    for case in cases(&format!("{SMALL}{TROUBLES}{ALL}")) {
        let figures = played(&case);
        assert!(figures.asked > 1000 && figures.gain() > 0.3, "{}: {:?}", case.policy, figures.gain());
        let answers =
            [Invariant::NoAnswer, Invariant::TwoAnswers, Invariant::RanTwice, Invariant::RefusedAfterRunning];
        let broken = figures.violations.iter().find(|violation| answers.contains(&violation.invariant));
        assert!(broken.is_none(), "{}: {broken:?}", case.policy);
        if case.policy == "dunelink" {
            assert_eq!(figures.violation_count, 0, "{:?}", figures.violations);
        }
        let (there, law) = figures.little;
        assert!((there - law).abs() < 1e-6 * there, "{}: {there}, {law}", case.policy);
    }
}

#[test]
fn the_same_seed_gives_the_same_run_on_whatever_thread() {
    let all = cases(&format!(
        "{SMALL}{TROUBLES}seeds = [3, 4]\ncompare = [{{ policy = \"dunelink\" }}, {{ policy = \"prequal\" }}]"
    ));
    let one: Vec<_> = all.iter().map(|case| (case.clone(), Ok(played(case)))).collect();
    let many: Vec<_> = std::thread::scope(|scope| {
        let runs: Vec<_> = all.iter().map(|case| scope.spawn(|| (case.clone(), Ok(played(case))))).collect();
        runs.into_iter().map(|run| run.join().unwrap()).collect()
    });
    let (one, many) = (report::json_lines(&one), report::json_lines(&many));
    assert_eq!(one, many);
    let lines: Vec<&str> = one.lines().collect();
    assert_ne!(lines[0], lines[1], "another seed is another run");
}

#[test]
fn all_policies_meet_the_same_requests() {
    let asked: Vec<(u64, u64)> = cases(&format!("{SMALL}{ALL}"))
        .iter()
        .map(|case| {
            let figures = played(case);
            (figures.asked, figures.worth.to_bits())
        })
        .collect();
    assert!(asked.iter().all(|one| *one == asked[0]), "{asked:?}");
}

#[test]
fn a_load_over_capacity_for_the_whole_time_is_answered_all_the_same() {
    let text = SMALL.replace("rate = 300.0", "rate = 1500.0")
        + "compare = [{ policy = \"dunelink\" }, { policy = \"random\" }]";
    let runs: Vec<RunMetrics> = cases(&text).iter().map(played).collect();
    assert_eq!(runs[0].violation_count, 0, "{:?}", runs[0].violations);
    assert!(runs[0].gain() > runs[1].gain(), "{} and {}", runs[0].gain(), runs[1].gain());
}

#[test]
fn closed_loops_ask_no_faster_than_they_are_answered() {
    // Ten clients, a second to think, 20 ms of work: some 9.8 a second.
    let text = "span = \"60s\"\nclients = { loops = 10 }\ncompare = [{ policy = \"p2c\" }]";
    let figures = played(&cases(text)[0]);
    let rate = figures.asked as f64 / 60.0;
    assert!((9.0..10.6).contains(&rate), "{rate}");
}

/// A policy that breaks one rule, and else sends everything to one server.
struct Wrong {
    rule: Option<Invariant>,
    to: ServerId,
    lists: u32,
}

impl Policy for Wrong {
    fn handle(&mut self, _: Micros, event: Event, _: &GroundTruth<'_>, out: &mut Vec<Action>) {
        match event {
            Event::ServerList(list) if self.lists == 0 => {
                self.lists += 1;
                self.to = list[3].id;
            }
            Event::RequestArrived(request) if self.rule != Some(Invariant::NoAnswer) => {
                out.push(Action::Send { request: request.id, server: self.to, start_before: None });
                match self.rule {
                    Some(Invariant::TwoAnswers) => out.extend([Action::Fail(request.id); 2]),
                    Some(Invariant::RanTwice) => {
                        out.push(Action::Send { request: request.id, server: self.to, start_before: None })
                    }
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

fn wrong(case: &Case, rule: Option<Invariant>) -> RunMetrics {
    run_with_policies(case, &mut |_| true, &|_| Some(Box::new(Wrong { rule, to: 0, lists: 0 })))
}

#[test]
fn every_broken_rule_is_seen() {
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
        let figures = wrong(case, Some(rule));
        assert_eq!(figures.violations.first().map(|violation| violation.invariant), Some(rule));
    }
    let told: Vec<Invariant> =
        wrong(case, None).violations.iter().map(|violation| violation.invariant).collect();
    assert!(told.contains(&Invariant::SentToDraining), "{told:?}");
    let mut pushed = case.clone();
    pushed.experiment.faults.remove(0);
    pushed.experiment.faults[0].at = Duration::from_secs(4);
    pushed.experiment.faults.push(dunelink_lab::experiment::Fault {
        kind: dunelink_lab::experiment::FaultKind::Crash,
        at: Duration::from_secs(1),
        duration: Duration::from_millis(10),
        ..pushed.experiment.faults[0].clone()
    });
    let figures = wrong(&pushed, None);
    assert!(
        figures.violations.iter().any(|violation| violation.invariant == Invariant::PushedOver),
        "{:?}",
        figures.violations
    );
}

#[test]
fn a_breach_is_shrunk_to_what_it_needs() {
    let text = format!("{SMALL}{TROUBLES}compare = [{{ policy = \"random\" }}]");
    let mut case = cases(&text).remove(0);
    case.experiment.span = Duration::from_secs(5);
    // Nobody sends to who drains but this one.
    let (short, violation) = shrink_case(&case, &|case| {
        let mut figures = wrong(case, None);
        figures.violations.retain(|violation| violation.invariant == Invariant::SentToDraining);
        figures
    })
    .unwrap_or_else(|| panic!("nothing was broken"));
    assert_eq!(violation.invariant, Invariant::SentToDraining);
    assert!(short.experiment.faults.len() < case.experiment.faults.len(), "{:?}", short.experiment.faults);
    assert!(short.experiment.span < Duration::from_secs(4) && short.experiment.nodes.count == 1, "{short:?}");
    case.experiment.faults.clear();
    assert!(shrink_case(&case, &|case| played(case)).is_none());
}

#[test]
fn a_run_can_be_cut_and_still_tells_its_figures() {
    let case =
        &cases("span = \"1h\"\nclients.rate = 5000.0\nservers.count = 200\ncompare = [{ policy = \"p2c\" }]")
            [0];
    let mut looks = 0;
    let figures = run(case, &mut |part| {
        looks += 1;
        assert!((0.0..=1.0).contains(&part));
        looks < 4
    })
    .unwrap();
    assert!(figures.cut && figures.served > 0);
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
fn one_failed_run_leaves_the_others_and_is_named() {
    let all = cases("span = \"2s\"\nseeds = [1, 2]\nservers.count = 4\ncompare = [{ policy = \"p2c\" }]");
    let runs = vec![(all[0].clone(), Ok(played(&all[0]))), (all[1].clone(), Err("no <memory>".into()))];
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
fn what_can_not_be_is_told_with_its_line_and_key() {
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
    for (text, wanted) in cases {
        let told = Experiment::from_toml(text).unwrap_err().to_string();
        assert!(told.starts_with(wanted), "{told}");
    }
}

/// Nodes of which each meets a server seldom, with servers that stall for most of the time.
const SELDOM: &str = r#"
    span = "14s"
    settle = "4s"
    nodes = { count = 16 }
    clients = { rate = 160.0 }
    servers = { count = 16, cores = 4, time = "50ms" }
    classes = [{ name = "order", effect = "unsafe", aim = "300ms", deadline = "1500ms" }]
    troubles = [{ kind = "stall", at = "5s", for = "8s", servers = { part = 0.2 } }]
"#;

#[test]
fn nodes_that_gossip_send_less_to_servers_that_stall() {
    let played = |more: &str| {
        let text = format!("{SELDOM}\ncompare = [{{ policy = \"dunelink\"{more} }}]");
        cases(&text).iter().map(played).map(|f| (f.lost, f.violation_count, f.gossip)).collect::<Vec<_>>()
    };
    let (alone, told) = (&played("")[0], &played(", set = { \"nodes.gossip\" = true }")[0]);
    println!("alone {alone:?}, told {told:?}");
    assert_eq!((alone.1, told.1, alone.2), (0, 0, None));
    assert!(4 * told.0 <= 3 * alone.0, "{told:?}, {alone:?}");
    let talked = told.2.unwrap();
    assert!(talked.least == 15 && talked.bytes < 16_384.0, "{talked:?}");
}

#[test]
fn nodes_that_are_cut_off_from_each_other_serve_on_and_find_each_other_again() {
    let text = r#"
        span = "24s"
        nodes = { count = 8, gossip = true }
        clients = { rate = 100.0 }
        servers = { count = 8, cores = 4 }
        troubles = [{ kind = "cut", at = "6s", for = "6s", nodes = { part = 0.5 } }]
        compare = [{ policy = "dunelink" }]
    "#;
    let whole = played(&cases(text)[0]);
    assert_eq!((whole.violation_count, whole.gossip.unwrap().least), (0, 7));
    assert!(whole.gain() > 0.95, "{}", whole.gain());
    // In the midst of it each side holds the other to be gone.
    let halves = played(&cases(&text.replace("24s", "11s"))[0]);
    assert_eq!(halves.gossip.unwrap().least, 3);
}
