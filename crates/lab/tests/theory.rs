//! The simulation compared to queueing theory, with fixed seeds.

use dunelink_lab::{Case, Estimate, Experiment, RunMetrics, estimate, run};

fn run_case(case: &Case) -> RunMetrics {
    let metrics = run(case, &mut |_| true).unwrap();
    assert_eq!(metrics.violation_count, 0, "{:?}", metrics.violations);
    let (mean_count, by_law) = metrics.little;
    assert!(
        (mean_count - by_law).abs() <= 1e-6 * mean_count.max(1.0),
        "Little's law: {mean_count} and {by_law}"
    );
    metrics
}

/// An experiment with one node, a negligible network delay, and clients that never give up.
fn experiment(more: &str) -> Experiment {
    let text = format!(
        r#"
        span = "400s"
        settle = "40s"
        seeds = [1, 2, 3, 4, 5, 6, 7, 8]
        network = {{ delay = "1us", jitter = "0s" }}
        classes = [{{ name = "any", deadline = "1h", aim = "1h" }}]
        {more}
        "#
    );
    Experiment::from_toml(&text).unwrap()
}

fn over_seeds(e: &Experiment, of: impl Fn(&RunMetrics) -> f64) -> Estimate {
    estimate(&e.cases().unwrap().iter().map(|case| of(&run_case(case))).collect::<Vec<_>>())
}

/// Asserts that a mean agrees with theory: within the interval, plus the errors of rounding and of the
/// histogram.
fn assert_agrees(measured: Estimate, theory: f64) {
    let off = (measured.mean - theory).abs();
    assert!(off <= 1.5 * measured.half_width + 0.004 * theory, "{measured:?}, by theory {theory}");
    assert!(measured.half_width < 0.2 * theory, "{measured:?}: the interval is too wide");
}

#[test]
fn one_server_is_m_m_1() {
    // 20 ms of work, 35 a second: a load of 0.7; sojourn times are exponential.
    let e = experiment(
        "clients.rate = 35.0\nservers = { count = 1, falls_at = 0.0, queue = 100000 }\ncompare = [{ policy = \"random\" }]",
    );
    let mean = 20.0 / (1.0 - 0.7);
    assert_agrees(over_seeds(&e, |f| f.mean), mean);
    assert_agrees(over_seeds(&e, |f| f.p99), mean * 100_f64.ln());
}

#[test]
fn one_server_of_four_cores_is_m_m_c() {
    let e = experiment(
        "clients.rate = 160.0\nservers = { count = 1, cores = 4, falls_at = 0.0, queue = 100000 }\ncompare = [{ policy = \"random\" }]",
    );
    // Erlang's C formula.
    let (cores, load) = (4, 160.0 * 0.02);
    let term = |k: i32| (1..=k).fold(1.0, |x, i| x * load / f64::from(i));
    let waits = term(cores) / (1.0 - load / f64::from(cores));
    let waits = waits / ((0..cores).map(term).sum::<f64>() + waits);
    let free = f64::from(cores) / 0.02 - 160.0;
    assert_agrees(over_seeds(&e, |f| f.mean), 20.0 + 1e3 * waits / free);
}

#[test]
fn processor_sharing_is_insensitive_to_the_distribution() {
    // M/G/1-PS: the mean is that of M/M/1, whatever the distribution.
    for shape in ["\"even\"", "{ bimodal = { part = 0.1, times = 10.0 } }", "{ lognormal = { sigma = 1.0 } }"]
    {
        let e = experiment(&format!(
            "clients.rate = 30.0\nservers = {{ count = 1, shares = true, falls_at = 0.0, queue = 100000, shape = {shape} }}\n\
             compare = [{{ policy = \"random\" }}]"
        ));
        assert_agrees(over_seeds(&e, |f| f.mean), 20.0 / (1.0 - 0.6));
    }
}

#[test]
fn fifo_waits_follow_pollaczek_khinchine() {
    // M/D/1: half of the wait of M/M/1.
    let e = experiment(
        "clients.rate = 35.0\nservers = { count = 1, falls_at = 0.0, queue = 100000, shape = \"even\" }\ncompare = [{ policy = \"random\" }]",
    );
    assert_agrees(over_seeds(&e, |f| f.mean), 20.0 + 20.0 * 0.7 / (1.0 - 0.7) / 2.0);
}

/// Mitzenmacher's fixed point: with d choices the fraction of servers with at least i requests is load^((d^i
/// - 1)/(d - 1)), so that the mean time is 1/load times the sum of these; with one choice it is 1/(1 - load).
#[test]
fn two_choices_match_mitzenmacher() {
    let text = r#"
        span = "40s"
        settle = "10s"
        seeds = [1, 2, 3]
        network = { delay = "1us", jitter = "0s" }
        classes = [{ name = "any", deadline = "1h", aim = "1h" }]
        clients.rate = 9000.0
        servers = { count = 200, falls_at = 0.0, queue = 100000 }
        compare = [{ policy = "random" }, { policy = "p2c" }]
    "#;
    let e = Experiment::from_toml(text).unwrap();
    let cases = e.cases().unwrap();
    let mean = |policy: &str| {
        let of = cases.iter().filter(|case| case.policy == policy);
        estimate(&of.map(|case| run_case(case).mean).collect::<Vec<_>>())
    };
    let load: f64 = 0.9;
    let two: f64 = (1..12).map(|i| load.powf(2f64.powi(i) - 1.0)).sum::<f64>() / load;
    let (random, p2c) = (mean("random"), mean("p2c"));
    assert_agrees(random, 20.0 / (1.0 - load));
    // The fixed point is that of infinitely many servers.
    assert!((p2c.mean / (20.0 * two) - 1.0).abs() < 0.05, "{p2c:?}, by theory {}", 20.0 * two);
}
