//! Tenant quotas and the retry budget, which limit the sums over all fronts.

use std::time::Duration;

use testkit::system::scene::{HOST, SAFE, Scene, first_configuration};
use testkit::system::{Answer, Fault, Plan, Reply, Request, TestClient};

const CONTROL_BINARY: &str = env!("CARGO_BIN_EXE_dunelink-control");
/// The API key of a tenant with a quota.
const LIMITED_KEY: &str = "limited-key";
/// Its quota in tokens a second, and its burst in tokens.
const RATE_PER_S: u64 = 2_000;
/// `plainTokens` of the tenant: the cost of a request in tokens.
const TOKENS_PER_REQUEST: u64 = 200;
/// `quotaSlack` of these tests' settings, in tokens.
const QUOTA_SLACK: u64 = 1_000;
/// `quotaOvershoot` of the settings.
const QUOTA_OVERSHOOT: f64 = 0.1;
/// `quotaWindowS` of these tests' settings.
const QUOTA_WINDOW: Duration = Duration::from_secs(3);
/// `retryRatio` and `retrySlack` of these tests' settings.
const RETRY_RATIO_AND_SLACK: (f64, f64) = (0.2, 10.0);

/// Starts a fleet with a tenant that has a quota.
async fn start_limited() -> Scene {
    let mut scene = Scene::prepared(CONTROL_BINARY, Plan { cores: 3, fronts: 2 }, 2).await;
    scene.fleet.bound("quotaSlack", &QUOTA_SLACK.to_string());
    scene.fleet.bound("quotaWindowS", &QUOTA_WINDOW.as_secs().to_string());
    scene.fleet.bound("retryRatio", &RETRY_RATIO_AND_SLACK.0.to_string());
    scene.fleet.bound("retrySlack", &RETRY_RATIO_AND_SLACK.1.to_string());
    scene.configuration = first_configuration().tenant("limited", &[LIMITED_KEY], RATE_PER_S);
    scene.started(2).await;
    scene
}

fn client(scene: &Scene, front: usize) -> TestClient {
    scene.fleet.client(front, HOST, LIMITED_KEY)
}

async fn ask(scene: &Scene, front: usize, request: &Request) -> Answer {
    scene.client(front).ask(request).await.expect("an answer")
}

/// Sends requests to each of `fronts` in turn, every 10 ms, for one quota window; returns the numbers of
/// served and of refused requests.
async fn load_for_one_window(scene: &Scene, fronts: &[usize]) -> (u64, u64) {
    let (mut served, mut refused) = (0, 0);
    let end = tokio::time::Instant::now() + QUOTA_WINDOW;
    let mut interval = tokio::time::interval(Duration::from_millis(10));
    while tokio::time::Instant::now() < end {
        interval.tick().await;
        for front in fronts {
            let request = client(scene, *front).request("GET", SAFE);
            match ask(scene, *front, &request).await.status() {
                200 => served += 1,
                429 => refused += 1,
                other => panic!("status {other} for a request of a tenant with a quota"),
            }
        }
    }
    (served, refused)
}

#[tokio::test]
async fn tenant_quota_limits_all_fronts_together_and_is_used() {
    let scene = start_limited().await;
    let (served, refused) = load_for_one_window(&scene, &[0, 1]).await;
    let tokens = served * TOKENS_PER_REQUEST;
    let rate = (RATE_PER_S * QUOTA_WINDOW.as_secs() + RATE_PER_S) as f64;
    let limit = rate * (1.0 + QUOTA_OVERSHOOT) + QUOTA_SLACK as f64;
    assert!(tokens as f64 <= limit, "{tokens} tokens in a window of {QUOTA_WINDOW:?}, the limit is {limit}");
    assert!(refused > 0, "no request refused at {tokens} tokens");
    let (served, _) = load_for_one_window(&scene, &[0, 1]).await;
    let (minimum, tokens) = (RATE_PER_S * QUOTA_WINDOW.as_secs() * 8 / 10, served * TOKENS_PER_REQUEST);
    assert!(
        tokens >= minimum,
        "{tokens} tokens of {} in a later window",
        RATE_PER_S * QUOTA_WINDOW.as_secs()
    );
}

#[tokio::test]
async fn one_front_may_use_most_of_a_quota() {
    let scene = start_limited().await;
    load_for_one_window(&scene, &[0]).await;
    let (served, _) = load_for_one_window(&scene, &[0]).await;
    let (minimum, tokens) = (RATE_PER_S * QUOTA_WINDOW.as_secs() * 6 / 10, served * TOKENS_PER_REQUEST);
    assert!(
        tokens >= minimum,
        "{tokens} tokens of {} by one of two fronts",
        RATE_PER_S * QUOTA_WINDOW.as_secs()
    );
}

#[tokio::test]
async fn fronts_without_core_stay_within_the_quota() {
    let mut scene = start_limited().await;
    load_for_one_window(&scene, &[0, 1]).await;
    (0..3).for_each(|core| scene.fleet.kill_core(core));
    let (served, refused) = load_for_one_window(&scene, &[0, 1]).await;
    let limit = (RATE_PER_S * QUOTA_WINDOW.as_secs() + RATE_PER_S) as f64 * (1.0 + QUOTA_OVERSHOOT)
        + QUOTA_SLACK as f64;
    assert!(
        (served * TOKENS_PER_REQUEST) as f64 <= limit,
        "{} tokens, the limit is {limit}",
        served * TOKENS_PER_REQUEST
    );
    assert!(served > 0 && refused > 0, "{served} served, {refused} refused");
}

#[tokio::test]
async fn quota_refusal_carries_retry_after() {
    let scene = start_limited().await;
    let huge = client(&scene, 0).request("GET", SAFE).field("X-Dunelink-Token-Counts", "60000,60000");
    let mut last_status = 200;
    for _ in 0..3 {
        let request = client(&scene, 0).request("GET", SAFE).field("X-Dunelink-Token-Counts", "3000,3000");
        let answer = ask(&scene, 0, &request).await;
        last_status = answer.status();
        if last_status == 429 {
            let retry_after = answer.head.field("Retry-After").and_then(|text| text.parse::<f64>().ok());
            assert!(retry_after.is_some_and(|seconds| seconds > 0.0), "{:?}", answer.head);
            assert_eq!(scene.runs(&request.id), 0);
            break;
        }
    }
    assert_eq!(last_status, 429);
    assert_eq!(ask(&scene, 0, &huge).await.status(), 429);
    assert_eq!(scene.get(0, "GET", SAFE).await.status(), 200, "another tenant is not limited");
}

#[tokio::test]
async fn retries_of_all_fronts_stay_within_the_budget() {
    let scene = start_limited().await;
    scene.usually(&Reply::plain(200, "well").with(Fault::CloseBeforeHead));
    let mut ids = Vec::new();
    for round in 0..200 {
        let request = scene.client(round % 2).request("GET", SAFE);
        ids.push(request.id.clone());
        // The outcome does not matter here.
        let _ = scene.client(round % 2).ask(&request).await;
    }
    let arrivals: usize = ids.iter().map(|id| scene.arrivals(id).len()).sum();
    let first_attempts = ids.iter().filter(|id| !scene.arrivals(id).is_empty()).count();
    let (retries, limit) = (
        (arrivals - first_attempts) as f64,
        ids.len() as f64 * RETRY_RATIO_AND_SLACK.0 + RETRY_RATIO_AND_SLACK.1,
    );
    assert!(retries <= limit, "{retries} retries of {} requests, the limit is {limit}", ids.len());
    assert!(retries > 0.0, "no retries");
}
