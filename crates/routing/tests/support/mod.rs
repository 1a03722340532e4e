//! Builders of servers, requests and routers for the tests.
#![allow(dead_code, unreachable_pub)]

use dunelink_routing::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

/// A ready server of a service.
pub fn server(service: &str, number: u32) -> ServerInfo {
    ServerInfo {
        id: format!("i-{service}-{number}"),
        service: service.into(),
        address: format!("10.0.{}.{}:80", number / 250, number % 250 + 1).parse().expect("invalid address"),
        zone: "a".into(),
        slots: 64,
        ready: true,
        cold_remaining_ms: 0,
    }
}

pub fn servers(service: &str, count: u32) -> Vec<ServerInfo> {
    (0..count).map(|number| server(service, number)).collect()
}

/// The model service `llm`, and the service `api` without an engine.
pub fn specs() -> Vec<ServiceSpec> {
    let engine = EngineSpec { slots: 64, kv_tokens: 380_000, max_tokens_per_event: 6 };
    vec![
        ServiceSpec { name: "llm".into(), max_connections: 400, engine: Some(engine) },
        ServiceSpec { name: "api".into(), max_connections: 100, engine: None },
    ]
}

pub fn router(seed: u64, list: &[ServerInfo]) -> Router {
    let mut router = Router::new(RouterSettings { zone: "a".into() }, seed);
    router.set_services(0, &specs());
    router.update_servers(0, list);
    router
}

/// A long prompt: a shared system prompt, a shared document, and a part of the request's own.
pub fn prompt(document: u64, own: u64) -> [PromptPart; 3] {
    [
        PromptPart { id: 0x5c1e_07a2_0000_0001, tokens: 2_500 },
        PromptPart { id: document.wrapping_mul(0x9e37_79b9_7f4a_7c15), tokens: 3_800 },
        PromptPart { id: own.wrapping_mul(0xc2b2_ae3d_27d4_eb4f) | 1, tokens: 2_900 },
    ]
}

pub fn request<'a>(parts: &'a [PromptPart]) -> RoutingRequest<'a> {
    RoutingRequest {
        service: "llm",
        tenant: Some("kaje80"),
        parts,
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        max_output_tokens: 54,
        priority: 1,
        target_latency: 600 * MS,
        remaining: 4 * S,
        excluded: &[],
        is_first_attempt: true,
    }
}

pub fn plain_request<'a>() -> RoutingRequest<'a> {
    RoutingRequest {
        service: "api",
        prompt_tokens: 0,
        max_output_tokens: 0,
        target_latency: 150 * MS,
        remaining: 1_500 * MS,
        ..request(&[])
    }
}

/// The server and the attempt of a decision to send. Panics for other decisions.
pub fn expect_sent(decision: Decision) -> (ServerHandle, AttemptId) {
    match decision {
        Decision::Send { server, attempt } => (server, attempt),
        other => panic!("expected a decision to send, got {other:?}"),
    }
}

/// Routes a request, records a successful response to it, and returns the id of the server.
pub fn send_and_serve(router: &mut Router, now: Micros, request: &RoutingRequest<'_>) -> String {
    let (server, attempt) = expect_sent(router.choose(now, request));
    let id = router.server(server).expect("unlisted server").id.clone();
    router.record_sent(now, attempt);
    router.record_first_event(now + 60 * MS, attempt);
    router.record_outcome(now + 100 * MS, attempt, Outcome::Served);
    id
}
