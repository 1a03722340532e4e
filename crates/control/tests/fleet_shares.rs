//! Quotas and the budget of repeats: sums over all fronts.

use std::time::Duration;

use testkit::system::scene::{HOST, SAFE, Scene, first_configuration};
use testkit::system::{Answer, Fault, Plan, Reply, Request, TestClient};

const OWN: &str = env!("CARGO_BIN_EXE_dunelink-control");
/// The key of a tenant with a limit.
const LIMITED: &str = "limited-key";
/// Its tokens a second, and at once.
const RATE: u64 = 2_000;
/// `plainTokens` of the tenant.
const PLAIN: u64 = 200;
/// `quotaSlack` of these tests' settings, in tokens.
const SLACK: u64 = 1_000;
/// `quotaOvershoot` of the settings.
const OVERSHOOT: f64 = 0.1;
/// `quotaWindowS` of these tests' settings.
const WINDOW: Duration = Duration::from_secs(3);
/// `retryRatio` and `retrySlack` of these tests' settings.
const RETRIES: (f64, f64) = (0.2, 10.0);

async fn limited() -> Scene {
    let mut scene = Scene::prepared(OWN, Plan { cores: 3, fronts: 2 }, 2).await;
    scene.fleet.bound("quotaSlack", &SLACK.to_string());
    scene.fleet.bound("quotaWindowS", &WINDOW.as_secs().to_string());
    scene.fleet.bound("retryRatio", &RETRIES.0.to_string());
    scene.fleet.bound("retrySlack", &RETRIES.1.to_string());
    scene.configuration = first_configuration().tenant("limited", &[LIMITED], RATE);
    scene.started(2).await;
    scene
}

fn client(scene: &Scene, front: usize) -> TestClient {
    scene.fleet.client(front, HOST, LIMITED)
}

async fn ask(scene: &Scene, front: usize, request: &Request) -> Answer {
    scene.client(front).ask(request).await.expect("an answer")
}

/// Asks as fast as answers come on so many connections to each front, for a window; gives the numbers of
/// served and of refused requests.
async fn pressed(scene: &Scene, fronts: &[usize]) -> (u64, u64) {
    let (mut served, mut refused) = (0, 0);
    let end = tokio::time::Instant::now() + WINDOW;
    let mut pace = tokio::time::interval(Duration::from_millis(10));
    while tokio::time::Instant::now() < end {
        pace.tick().await;
        for front in fronts {
            let request = client(scene, *front).request("GET", SAFE);
            match ask(scene, *front, &request).await.status() {
                200 => served += 1,
                429 => refused += 1,
                other => panic!("{other} for a request of a tenant with a limit"),
            }
        }
    }
    (served, refused)
}

#[tokio::test]
async fn a_tenants_quota_holds_for_the_sum_of_all_fronts_and_is_used() {
    let scene = limited().await;
    let (served, refused) = pressed(&scene, &[0, 1]).await;
    let tokens = served * PLAIN;
    let rate = (RATE * WINDOW.as_secs() + RATE) as f64;
    let most = rate * (1.0 + OVERSHOOT) + SLACK as f64;
    assert!(tokens as f64 <= most, "{tokens} tokens in a window of {WINDOW:?}, at most {most} may be");
    assert!(refused > 0, "nothing refused at {tokens} tokens");
    let (served, _) = pressed(&scene, &[0, 1]).await;
    let (least, tokens) = (RATE * WINDOW.as_secs() * 8 / 10, served * PLAIN);
    assert!(tokens >= least, "{tokens} tokens of {} in a later window", RATE * WINDOW.as_secs());
}

#[tokio::test]
async fn one_front_may_use_nearly_all_of_a_quota() {
    let scene = limited().await;
    pressed(&scene, &[0]).await;
    let (served, _) = pressed(&scene, &[0]).await;
    let (least, tokens) = (RATE * WINDOW.as_secs() * 6 / 10, served * PLAIN);
    assert!(tokens >= least, "{tokens} tokens of {} by one of two fronts", RATE * WINDOW.as_secs());
}

#[tokio::test]
async fn fronts_that_are_cut_off_from_the_core_stay_within_the_quota() {
    let mut scene = limited().await;
    pressed(&scene, &[0, 1]).await;
    (0..3).for_each(|core| scene.fleet.kill_core(core));
    let (served, refused) = pressed(&scene, &[0, 1]).await;
    let most = (RATE * WINDOW.as_secs() + RATE) as f64 * (1.0 + OVERSHOOT) + SLACK as f64;
    assert!((served * PLAIN) as f64 <= most, "{} tokens, at most {most} may be", served * PLAIN);
    assert!(served > 0 && refused > 0, "{served} served, {refused} refused");
}

#[tokio::test]
async fn a_refusal_for_the_quota_tells_when_to_come_back() {
    let scene = limited().await;
    let huge = client(&scene, 0).request("GET", SAFE).field("X-Dunelink-Token-Counts", "60000,60000");
    let mut last = 200;
    for _ in 0..3 {
        let request = client(&scene, 0).request("GET", SAFE).field("X-Dunelink-Token-Counts", "3000,3000");
        let answer = ask(&scene, 0, &request).await;
        last = answer.status();
        if last == 429 {
            let after = answer.head.field("Retry-After").and_then(|after| after.parse::<f64>().ok());
            assert!(after.is_some_and(|after| after > 0.0), "{:?}", answer.head);
            assert_eq!(scene.runs(&request.id), 0);
            break;
        }
    }
    assert_eq!(last, 429);
    assert_eq!(ask(&scene, 0, &huge).await.status(), 429);
    assert_eq!(scene.get(0, "GET", SAFE).await.status(), 200, "another tenant is not held up");
}

#[tokio::test]
async fn repeats_of_all_fronts_stay_within_their_budget() {
    let scene = limited().await;
    scene.usually(&Reply::plain(200, "well").with(Fault::CloseBeforeHead));
    let mut ids = Vec::new();
    for round in 0..200 {
        let request = scene.client(round % 2).request("GET", SAFE);
        ids.push(request.id.clone());
        // Whatever comes of it.
        let _ = scene.client(round % 2).ask(&request).await;
    }
    let arrivals: usize = ids.iter().map(|id| scene.arrivals(id).len()).sum();
    let first = ids.iter().filter(|id| !scene.arrivals(id).is_empty()).count();
    let (repeats, most) = ((arrivals - first) as f64, ids.len() as f64 * RETRIES.0 + RETRIES.1);
    assert!(repeats <= most, "{repeats} repeats of {} requests, at most {most} may be", ids.len());
    assert!(repeats > 0.0, "no repeats at all");
}
