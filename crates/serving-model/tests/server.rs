//! The model of one server: its cache, the expected latency, what it learns, and its limits.

use bolero::{TypeGenerator, check};
use dunelink_serving_model::*;

const MS: Micros = 1_000;
const SHAPE: ServerCapacity = ServerCapacity { slots: 64, kv_tokens: 380_000 };

fn parts(document: u64, own: u64) -> [PromptPart; 2] {
    [PromptPart { id: document, tokens: 6_000 }, PromptPart { id: own + 1_000_000, tokens: 3_000 }]
}

fn profile<'a>(parts: &'a [PromptPart]) -> RequestProfile<'a> {
    let prompt_tokens = parts.iter().map(|part| part.tokens).sum();
    RequestProfile { parts, prompt_tokens, max_output_tokens: 60, priority: 1 }
}

fn serve(
    model: &mut ServerModel,
    speed: &mut SpeedEstimate,
    now: Micros,
    parts: &[PromptPart],
    latency: Micros,
) {
    let request = profile(parts);
    let estimate = model.estimate(now, 1, speed, &request, 0);
    let mut sent = model.record_sent(now, 1, speed, &request, &estimate);
    model.record_first_event(now + latency, speed, &mut sent);
    model.record_end(now + latency, speed, &sent, true);
}

#[test]
fn processed_prefix_is_cached() {
    let mut speed = SpeedEstimate::default();
    let mut model = ServerModel::new(SHAPE);
    assert_eq!(
        model.estimate(0, 1, &SpeedEstimate::default(), &profile(&parts(1, 1)), 0).prefill_tokens,
        9_000
    );
    serve(&mut model, &mut speed, 0, &parts(1, 1), 170 * MS);
    assert_eq!(
        model.estimate(MS, 1, &SpeedEstimate::default(), &profile(&parts(1, 2)), 0).prefill_tokens,
        3_000
    );
    assert_eq!(
        model.estimate(MS, 1, &SpeedEstimate::default(), &profile(&parts(2, 1)), 0).prefill_tokens,
        9_000
    );
    assert_eq!(
        model.estimate(MS, 1, &SpeedEstimate::default(), &profile(&parts(2, 2)), 6_000).prefill_tokens,
        3_000
    );
}

#[test]
fn part_counts_only_behind_a_cached_prefix() {
    let mut speed = SpeedEstimate::default();
    let mut model = ServerModel::new(SHAPE);
    serve(&mut model, &mut speed, 0, &[PromptPart { id: 7, tokens: 500 }], 20 * MS);
    let chain = [PromptPart { id: 8, tokens: 100 }, PromptPart { id: 7, tokens: 500 }];
    assert_eq!(model.estimate(MS, 1, &SpeedEstimate::default(), &profile(&chain), 0).prefill_tokens, 600);
}

#[test]
fn least_recently_used_parts_are_evicted() {
    let mut speed = SpeedEstimate::default();
    let mut model = ServerModel::new(SHAPE);
    for document in 0..5_000 {
        serve(&mut model, &mut speed, document * 200 * MS, &parts(document, document), 100 * MS);
        assert!(model.prefix_cache().total_tokens() <= SHAPE.kv_tokens);
        assert!(model.prefix_cache().len() <= 512);
    }
    assert_eq!(model.prefix_cache().cached_prefix_tokens(&parts(4_999, 0)), 6_000);
    assert_eq!(model.prefix_cache().cached_prefix_tokens(&parts(0, 0)), 0);
}

#[test]
fn parts_of_other_senders_take_memory() {
    let mut cache = PrefixCache::default();
    for own in 0..100 {
        cache.record_use(&parts(1, own), 100_000, 8);
    }
    // Each last part counts for eight senders: four fit beside the shared part.
    assert_eq!(cache.len(), 4);
    assert_eq!(cache.cached_prefix_tokens(&parts(1, 99)), 9_000);
}

#[test]
fn queued_prefill_delays_until_processed() {
    let mut model = ServerModel::new(SHAPE);
    let idle = model.estimate(0, 1, &SpeedEstimate::default(), &profile(&parts(1, 1)), 0).first_response_us;
    for own in 0..10 {
        let parts = parts(own + 10, own);
        let request = profile(&parts);
        let estimate = model.estimate(0, 1, &SpeedEstimate::default(), &request, 0);
        model.record_sent(0, 1, &SpeedEstimate::default(), &request, &estimate);
    }
    let busy = model.estimate(0, 1, &SpeedEstimate::default(), &profile(&parts(1, 1)), 0).first_response_us;
    assert!(busy > idle * 8, "{idle} µs idle, {busy} µs behind ten prompts");
    let later =
        model.estimate(2_000 * MS, 1, &SpeedEstimate::default(), &profile(&parts(1, 1)), 0).first_response_us;
    assert!(later < idle * 2, "{later} µs after the ten prompts must have been processed");
}

#[test]
fn prefill_speed_is_learned() {
    let mut speed = SpeedEstimate::default();
    let mut model = ServerModel::new(SHAPE);
    for at in 0..400 {
        // 9,000 tokens in 115 ms are 90 tokens per millisecond after the fixed time.
        serve(&mut model, &mut speed, at * 1_000 * MS, &parts(at, at), 115 * MS);
    }
    let speed = speed.prefill_tokens_per_ms;
    assert!((80.0..100.0).contains(&speed), "{speed} tokens per millisecond");
}

#[test]
fn slow_server_estimate_decays_without_requests() {
    let mut speed = SpeedEstimate::default();
    let (mut slow, mut usual) = (ServerModel::new(SHAPE), ServerModel::new(SHAPE));
    for at in 0..40 {
        serve(&mut slow, &mut speed, at * 1_000 * MS, &parts(at, at), 800 * MS);
        serve(&mut usual, &mut speed, at * 1_000 * MS, &parts(at, at), 200 * MS);
        serve(&mut usual, &mut speed, at * 1_000 * MS, &parts(at + 500, at), 200 * MS);
    }
    let (slow_latency, usual_latency) =
        (slow.relative_latency(40_000 * MS, 1), usual.relative_latency(40_000 * MS, 1));
    assert!(slow_latency > usual_latency * 2.0, "relative latencies {slow_latency} and {usual_latency}");
    assert!(slow.relative_latency(80_000 * MS, 1) < 1.1);
}

#[test]
fn oversized_request_reports_full_memory() {
    let mut model = ServerModel::new(SHAPE);
    let parts = [PromptPart { id: 1, tokens: 290_000 }];
    let request = profile(&parts);
    let estimate = model.estimate(0, 1, &SpeedEstimate::default(), &request, 0);
    assert!(!estimate.memory_full);
    model.record_sent(0, 1, &SpeedEstimate::default(), &request, &estimate);
    let other = [PromptPart { id: 2, tokens: 20_000 }];
    assert!(model.estimate(0, 1, &SpeedEstimate::default(), &profile(&other), 0).memory_full);
}

#[test]
fn reading_and_usual_load_decay() {
    let mut model = ServerModel::new(SHAPE);
    for at in 0..100 {
        model.observe_load(at * 10 * MS, 40, 20);
    }
    let reported = model.fleet_in_flight(1_000 * MS, 8);
    assert!((50.0..=60.0).contains(&reported), "{reported}");
    assert!(
        model.fleet_in_flight(30_000 * MS, 8) < 1.0,
        "the usual load of a server without requests must decay"
    );
    assert!(model.fleet_in_flight(1_000 * MS, 1) < 0.5, "a single process has no other senders");
}

#[derive(Debug, TypeGenerator)]
enum Step {
    Send { document: u8, own: u8, tokens: u16, output_tokens: u16, priority: u8 },
    FirstEvent(u8),
    End(u8, bool),
    ObserveLoad(u8, u8),
    Advance(u16),
}

#[test]
fn counters_return_to_zero() {
    check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut speed = SpeedEstimate::default();
        let mut model = ServerModel::new(SHAPE);
        let mut in_flight: Vec<InFlightRequest> = Vec::new();
        let mut now = 0;
        for step in steps {
            match step {
                Step::Send { document, own, tokens, output_tokens: max_output_tokens, priority } => {
                    let parts = parts(u64::from(*document), u64::from(*own));
                    let (prompt_tokens, max_output_tokens) =
                        (u32::from(*tokens), u32::from(*max_output_tokens));
                    let request = RequestProfile {
                        parts: &parts,
                        prompt_tokens,
                        max_output_tokens,
                        priority: u32::from(*priority),
                    };
                    let estimate = model.estimate(now, 8, &speed, &request, 0);
                    assert!(estimate.prefill_tokens <= prompt_tokens && estimate.fleet_in_flight >= 0.0);
                    in_flight.push(model.record_sent(now, 8, &speed, &request, &estimate));
                }
                Step::FirstEvent(which) => {
                    let at = usize::from(*which) % in_flight.len().max(1);
                    in_flight
                        .get_mut(at)
                        .into_iter()
                        .for_each(|request| model.record_first_event(now, &mut speed, request));
                }
                Step::End(which, served) => {
                    if !in_flight.is_empty() {
                        let request = in_flight.swap_remove(usize::from(*which) % in_flight.len());
                        model.record_end(now, &mut speed, &request, *served);
                    }
                }
                Step::ObserveLoad(running, waiting) => {
                    model.observe_load(now, u32::from(*running), u32::from(*waiting));
                }
                Step::Advance(ms) => now += u64::from(*ms) * MS,
            }
            assert_eq!(model.in_flight() as usize, in_flight.len());
            assert!(model.prefix_cache().total_tokens() <= SHAPE.kv_tokens);
            assert!(speed.prefill_tokens_per_ms > 0.0);
        }
        in_flight.iter().for_each(|request| model.record_end(now, &mut speed, request, false));
        assert_eq!((model.in_flight(), model.running_tokens()), (0, 0));
        let idle = model.estimate(now, 1, &speed, &profile(&parts(999_999, 0)), 0);
        assert!(idle.first_response_us < 300_000 * MS, "{idle:?}");
    });
}

#[test]
fn extreme_values_do_not_overflow() {
    let mut model = ServerModel::new(SHAPE);
    let parts = [PromptPart { id: 1, tokens: u32::MAX }];
    let huge = RequestProfile { parts: &parts, prompt_tokens: u32::MAX, max_output_tokens: 1, priority: 1 };
    let speed = SpeedEstimate::default();
    let estimate = model.estimate(0, 2, &speed, &huge, 0);
    model.record_sent(0, 2, &speed, &huge, &estimate);
    model.report_load(512);
    model.report_load(512);
    model.observe_fleet_load(0, 255, 255 * 512);
    model.observe_load(0, u32::MAX, u32::MAX);
    let busy = model.estimate(0, 2, &speed, &profile(&[PromptPart { id: 2, tokens: 10 }]), 0);
    assert!(
        busy.first_response_us > 1_000 * MS && busy.first_response_us < Micros::MAX / 1_000,
        "{}",
        busy.first_response_us
    );
}
