//! One server's model: what it keeps, how long a request waits, what is learned, what is bounded.

use bolero::{TypeGenerator, check};
use dunelink_serving_model::*;

const MS: Micros = 1_000;
const SHAPE: ServerCapacity = ServerCapacity { slots: 64, kv_tokens: 380_000 };

fn parts(subject: u64, own: u64) -> [PromptPart; 2] {
    [PromptPart { id: subject, tokens: 6_000 }, PromptPart { id: own + 1_000_000, tokens: 3_000 }]
}

fn work<'a>(parts: &'a [PromptPart]) -> RequestProfile<'a> {
    let prompt_tokens = parts.iter().map(|part| part.tokens).sum();
    RequestProfile { parts, prompt_tokens, max_output_tokens: 60, priority: 1 }
}

fn serve(
    model: &mut ServerModel,
    speed: &mut SpeedEstimate,
    now: Micros,
    parts: &[PromptPart],
    took: Micros,
) {
    let request = work(parts);
    let estimate = model.estimate(now, 1, speed, &request, 0);
    let mut sent = model.record_sent(now, 1, speed, &request, &estimate);
    model.record_first_event(now + took, speed, &mut sent);
    model.record_end(now + took, speed, &sent, true);
}

#[test]
fn a_prefix_that_was_read_is_not_read_again() {
    let mut speed = SpeedEstimate::default();
    let mut model = ServerModel::new(SHAPE);
    assert_eq!(model.estimate(0, 1, &SpeedEstimate::default(), &work(&parts(1, 1)), 0).prefill_tokens, 9_000);
    serve(&mut model, &mut speed, 0, &parts(1, 1), 170 * MS);
    assert_eq!(
        model.estimate(MS, 1, &SpeedEstimate::default(), &work(&parts(1, 2)), 0).prefill_tokens,
        3_000
    );
    assert_eq!(
        model.estimate(MS, 1, &SpeedEstimate::default(), &work(&parts(2, 1)), 0).prefill_tokens,
        9_000
    );
    assert_eq!(
        model.estimate(MS, 1, &SpeedEstimate::default(), &work(&parts(2, 2)), 6_000).prefill_tokens,
        3_000
    );
}

#[test]
fn a_part_counts_only_if_all_before_it_are_kept() {
    let mut speed = SpeedEstimate::default();
    let mut model = ServerModel::new(SHAPE);
    serve(&mut model, &mut speed, 0, &[PromptPart { id: 7, tokens: 500 }], 20 * MS);
    let chain = [PromptPart { id: 8, tokens: 100 }, PromptPart { id: 7, tokens: 500 }];
    assert_eq!(model.estimate(MS, 1, &SpeedEstimate::default(), &work(&chain), 0).prefill_tokens, 600);
}

#[test]
fn what_is_unused_longest_gives_way_and_memory_is_bounded() {
    let mut speed = SpeedEstimate::default();
    let mut model = ServerModel::new(SHAPE);
    for subject in 0..5_000 {
        serve(&mut model, &mut speed, subject * 200 * MS, &parts(subject, subject), 100 * MS);
        assert!(model.prefix_cache().total_tokens() <= SHAPE.kv_tokens);
        assert!(model.prefix_cache().len() <= 512);
    }
    assert_eq!(model.prefix_cache().cached_prefix_tokens(&parts(4_999, 0)), 6_000);
    assert_eq!(model.prefix_cache().cached_prefix_tokens(&parts(0, 0)), 0);
}

#[test]
fn parts_of_other_senders_take_memory_too() {
    let mut kept = PrefixCache::default();
    for own in 0..100 {
        kept.record_use(&parts(1, own), 100_000, 8);
    }
    // Each last part stands for those of eight senders: four fit beside the shared one.
    assert_eq!(kept.len(), 4);
    assert_eq!(kept.cached_prefix_tokens(&parts(1, 99)), 9_000);
}

#[test]
fn work_ahead_delays_and_is_read_with_time() {
    let mut model = ServerModel::new(SHAPE);
    let idle = model.estimate(0, 1, &SpeedEstimate::default(), &work(&parts(1, 1)), 0).first_response_us;
    for own in 0..10 {
        let parts = parts(own + 10, own);
        let request = work(&parts);
        let estimate = model.estimate(0, 1, &SpeedEstimate::default(), &request, 0);
        model.record_sent(0, 1, &SpeedEstimate::default(), &request, &estimate);
    }
    let busy = model.estimate(0, 1, &SpeedEstimate::default(), &work(&parts(1, 1)), 0).first_response_us;
    assert!(busy > idle * 8, "{idle} µs idle, {busy} µs behind ten prompts");
    let later =
        model.estimate(2_000 * MS, 1, &SpeedEstimate::default(), &work(&parts(1, 1)), 0).first_response_us;
    assert!(later < idle * 2, "{later} µs once the ten must have been read");
}

#[test]
fn the_speed_of_reading_is_learned() {
    let mut speed = SpeedEstimate::default();
    let mut model = ServerModel::new(SHAPE);
    for at in 0..400 {
        // 9,000 tokens in 115 ms: 90 tokens a millisecond after the fixed part.
        serve(&mut model, &mut speed, at * 1_000 * MS, &parts(at, at), 115 * MS);
    }
    let speed = speed.prefill_tokens_per_ms;
    assert!((80.0..100.0).contains(&speed), "{speed} tokens a millisecond");
}

#[test]
fn a_server_that_is_slower_than_its_service_counts_as_such_until_it_was_not_asked_for_long() {
    let mut speed = SpeedEstimate::default();
    let (mut slow, mut usual) = (ServerModel::new(SHAPE), ServerModel::new(SHAPE));
    for at in 0..40 {
        serve(&mut slow, &mut speed, at * 1_000 * MS, &parts(at, at), 800 * MS);
        serve(&mut usual, &mut speed, at * 1_000 * MS, &parts(at, at), 200 * MS);
        serve(&mut usual, &mut speed, at * 1_000 * MS, &parts(at + 500, at), 200 * MS);
    }
    let (slow_then, usual_then) =
        (slow.relative_latency(40_000 * MS, 1), usual.relative_latency(40_000 * MS, 1));
    assert!(slow_then > usual_then * 2.0, "{slow_then} and {usual_then}");
    assert!(slow.relative_latency(80_000 * MS, 1) < 1.1);
}

#[test]
fn a_request_too_large_for_what_is_left_of_memory_is_told() {
    let mut model = ServerModel::new(SHAPE);
    let parts = [PromptPart { id: 1, tokens: 290_000 }];
    let request = work(&parts);
    let estimate = model.estimate(0, 1, &SpeedEstimate::default(), &request, 0);
    assert!(!estimate.memory_full);
    model.record_sent(0, 1, &SpeedEstimate::default(), &request, &estimate);
    let other = [PromptPart { id: 2, tokens: 20_000 }];
    assert!(model.estimate(0, 1, &SpeedEstimate::default(), &work(&other), 0).memory_full);
}

#[test]
fn a_reading_counts_less_and_less_and_so_does_what_was_usual() {
    let mut model = ServerModel::new(SHAPE);
    for at in 0..100 {
        model.observe_load(at * 10 * MS, 40, 20);
    }
    let told = model.fleet_in_flight(1_000 * MS, 8);
    assert!((50.0..=60.0).contains(&told), "{told}");
    assert!(
        model.fleet_in_flight(30_000 * MS, 8) < 1.0,
        "nothing is told of a server that nothing is sent to"
    );
    assert!(model.fleet_in_flight(1_000 * MS, 1) < 0.5, "one process has no others");
}

#[derive(Debug, TypeGenerator)]
enum Step {
    Send { subject: u8, own: u8, tokens: u16, out: u16, priority: u8 },
    First(u8),
    End(u8, bool),
    Load(u8, u8),
    Later(u16),
}

#[test]
fn counts_never_drift() {
    check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut speed = SpeedEstimate::default();
        let mut model = ServerModel::new(SHAPE);
        let mut out: Vec<InFlightRequest> = Vec::new();
        let mut now = 0;
        for step in steps {
            match step {
                Step::Send { subject, own, tokens, out: max_output_tokens, priority } => {
                    let parts = parts(u64::from(*subject), u64::from(*own));
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
                    out.push(model.record_sent(now, 8, &speed, &request, &estimate));
                }
                Step::First(which) => {
                    let at = usize::from(*which) % out.len().max(1);
                    out.get_mut(at)
                        .into_iter()
                        .for_each(|work| model.record_first_event(now, &mut speed, work));
                }
                Step::End(which, served) => {
                    if !out.is_empty() {
                        let work = out.swap_remove(usize::from(*which) % out.len());
                        model.record_end(now, &mut speed, &work, *served);
                    }
                }
                Step::Load(running, waiting) => {
                    model.observe_load(now, u32::from(*running), u32::from(*waiting));
                }
                Step::Later(ms) => now += u64::from(*ms) * MS,
            }
            assert_eq!(model.in_flight() as usize, out.len());
            assert!(model.prefix_cache().total_tokens() <= SHAPE.kv_tokens);
            assert!(speed.prefill_tokens_per_ms > 0.0);
        }
        out.iter().for_each(|work| model.record_end(now, &mut speed, work, false));
        assert_eq!((model.in_flight(), model.running_tokens()), (0, 0));
        let idle = model.estimate(now, 1, &speed, &work(&parts(999_999, 0)), 0);
        assert!(idle.first_response_us < 300_000 * MS, "{idle:?}");
    });
}

#[test]
fn absurd_figures_of_servers_and_clients_do_not_overflow() {
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
    let busy = model.estimate(0, 2, &speed, &work(&[PromptPart { id: 2, tokens: 10 }]), 0);
    assert!(
        busy.first_response_us > 1_000 * MS && busy.first_response_us < Micros::MAX / 1_000,
        "{}",
        busy.first_response_us
    );
}
