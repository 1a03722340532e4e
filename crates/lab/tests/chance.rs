//! Random experiments violate no invariant with the decision module, and random files give at most an error.

use std::time::Duration;

use dunelink_lab::experiment::{
    Class, Effect, Experiment, Fault, FaultKind, TargetSelector, Variant, WorkDistribution,
};
use dunelink_lab::run;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn selector() -> impl Strategy<Value = TargetSelector> {
    prop_oneof![
        (0.0..=1.0f64).prop_map(TargetSelector::Part),
        (0..3u8).prop_map(TargetSelector::Zone),
        proptest::collection::vec(0..4u32, 1..3).prop_map(TargetSelector::These),
    ]
}

fn trouble() -> impl Strategy<Value = Fault> {
    let kinds = [
        FaultKind::Stall,
        FaultKind::Slow,
        FaultKind::Crash,
        FaultKind::Drain,
        FaultKind::Partition,
        FaultKind::Cut,
        FaultKind::Silence,
        FaultKind::Resets,
        FaultKind::Burst,
        FaultKind::Clock,
    ];
    let kind = (0..kinds.len()).prop_map(move |at| kinds[at]);
    (kind, 0..5_000u64, 50..4_000u64, 0.05..1.0f64, selector(), selector()).prop_map(
        |(kind, at, lasts, factor, servers, nodes)| Fault {
            kind,
            at: Duration::from_millis(at),
            duration: Duration::from_millis(lasts),
            factor: if kind == FaultKind::Burst { 8.0 * factor } else { factor },
            servers,
            nodes,
        },
    )
}

fn experiment() -> impl Strategy<Value = (Experiment, u64)> {
    let sizes = (1..5u32, 4..24u32, 1..4u8, 1..3u16, 1..4u32);
    let load = (0.1..1.5f64, 0..4u32, 0.0..=1.0f64, 0..6u32, 1..4u16, any::<bool>());
    let troubles = proptest::collection::vec(trouble(), 0..5);
    (sizes, load, troubles, 0.0..0.3f64, any::<u64>()).prop_map(|(sizes, load, troubles, loss, seed)| {
        let (nodes, servers, zones, cells, cores) = sizes;
        let (load, retries, heed, tenants, attempts, shares) = load;
        let mut e = Experiment { span: Duration::from_secs(6), faults: troubles, ..Experiment::default() };
        (e.nodes.count, e.nodes.attempts, e.nodes.copies) = (nodes.max(4), attempts, attempts > 1);
        e.nodes.retry_after = Duration::from_secs(1);
        (e.servers.count, e.servers.zones, e.servers.cells, e.servers.cores) = (servers, zones, cells, cores);
        (e.servers.shares, e.servers.shape) = (shares, WorkDistribution::Lognormal { sigma: 1.0 });
        e.servers.warm_up = Duration::from_secs(4);
        // Crashes from overload by the clients' load are not the nodes' fault; the invariant has a test of
        // its own.
        e.servers.falls_at = 0.0;
        e.clients.rate = load * f64::from(servers * cores) / 0.1;
        e.servers.time = Duration::from_millis(100);
        (e.clients.retries, e.clients.heed, e.list.loss) = (retries, heed, loss);
        (e.tenants.count, e.tenants.skew) = (tenants, 1.0);
        let class = |name: &str, effect| Class { name: name.into(), effect, ..Class::default() };
        e.classes =
            vec![class("view", Effect::Safe), class("submit", Effect::Keyed), class("order", Effect::Unsafe)];
        e.compare = vec![Variant { policy: "dunelink".into(), name: String::new(), set: Default::default() }];
        (e, seed)
    })
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(40))]
    #[test]
    fn random_experiments_violate_no_invariant((mut e, seed) in experiment()) {
        e.seeds = vec![seed];
        e.check().unwrap();
        let metrics = run(&e.cases().unwrap()[0], &mut |_| true).unwrap();
        prop_assert_eq!(metrics.violation_count, 0, "{:?}", metrics.violations);
        prop_assert_eq!(metrics.asked, metrics.served + metrics.lost);
        prop_assert!((0.0..=1.0).contains(&metrics.gain()));
        let (mean_count, by_law) = metrics.little;
        prop_assert!((mean_count - by_law).abs() <= 1e-3 * mean_count.max(1.0), "{} and {}", mean_count, by_law);
    }
}

const FILE: &str = include_str!("../../../experiments/silent-list.toml");

proptest! {
    #![proptest_config(config(400))]
    #[test]
    fn random_files_do_not_panic(at in 0..FILE.len(), length in 0..60usize, replacement in "[\\PC\n]{0,12}") {
        let end = (at + length).min(FILE.len());
        if FILE.is_char_boundary(at) && FILE.is_char_boundary(end) {
            let text = format!("{}{replacement}{}", &FILE[..at], &FILE[end..]);
            if let Err(problem) = Experiment::from_toml(&text) {
                prop_assert!(!problem.expected.is_empty());
                prop_assert!(problem.line.is_none_or(|line| line <= text.lines().count() + 1));
            }
        }
    }
}

#[test]
fn corpus_files_parse_or_fail() {
    let corpus = testkit::corpus("experiment");
    let read = corpus
        .iter()
        .filter(|bytes| std::str::from_utf8(bytes).is_ok_and(|text| Experiment::from_toml(text).is_ok()));
    assert!(read.count() >= 3 && corpus.len() >= 4, "{}", corpus.len());
}
