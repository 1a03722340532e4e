//! Servers that behave differently from request to request.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::common::server::{
    ReceivedRequest, Server, Step, chunk, event, last_chunk, rejected, respond, stream_head,
};

/// Requests that one server takes at the same time.
const SLOTS: u32 = 1_000;
const LONG_RESPONSE_BYTES: usize = 200_000;
const PIECE_BYTES: usize = 50_000;
const LONG_EVENT_BYTES: usize = 240_000;
const EVENT_PAUSE: Duration = Duration::from_millis(3);
/// The last digit of a request's id with which a server rejects it.
const REJECTED_DIGIT: char = '7';

/// Whether a server declares that it does not execute this request.
pub(crate) fn is_rejected(request: &ReceivedRequest) -> bool {
    request.header("x-dunelink-request-id").is_some_and(|id| id.ends_with(REJECTED_DIGIT))
}

/// Starts a server.
pub(crate) async fn start(id: &str, random: fastrand::Rng) -> Server {
    let random = RefCell::new(random);
    let server = Server::start(id, move |_, request| script(request, &mut random.borrow_mut())).await;
    server.discards_bodies.set(true);
    server.slots.set(SLOTS);
    server
}

fn script(request: &ReceivedRequest, random: &mut fastrand::Rng) -> Vec<Step> {
    let path = request.head.split(' ').nth(1).unwrap_or_default();
    if is_rejected(request) {
        return rejected();
    }
    match path {
        "/slow-once/x" => [vec![Step::Wait(Rc::new(Notify::new()))], respond(200, "", "late")].concat(),
        "/once/x" | "/long/x" => respond(200, "", &"r".repeat(random.usize(..LONG_RESPONSE_BYTES))),
        "/flow/x" | "/again/x" => stream(random),
        _ => respond(200, "", "fine"),
    }
}

/// A stream of short and long events, and of pieces that belong to one event without end.
fn stream(random: &mut fastrand::Rng) -> Vec<Step> {
    let count = random.usize(1..60);
    let pieces = (0..count).flat_map(|number| match random.u32(..4) {
        0 => vec![chunk(&format!("data: {}\n", "p".repeat(PIECE_BYTES)))],
        1 => vec![chunk(&format!("data: {}\n\n", "e".repeat(LONG_EVENT_BYTES)))],
        // Each event is read into a buffer of its own.
        2 => vec![chunk(&event(number)), Step::Pause(EVENT_PAUSE)],
        _ => vec![chunk(&event(number))],
    });
    let pieces: Vec<Step> = pieces.collect();
    let end = match random.u32(..3) {
        0 => Step::Hang,
        1 => Step::Reset,
        _ => last_chunk(),
    };
    [stream_head("seal")].into_iter().chain(pieces).chain([end]).collect()
}
