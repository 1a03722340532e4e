//! The bodies of open requests within a fixed amount of memory.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use dunelink_proxy::memory::request_bodies::{ReleaseCounts, RequestBodies};
use dunelink_proxy::memory::request_body::{BodySender, BodyStage, RequestBody};
use dunelink_runtime::Reservation;
use http_body::Body;

const KIB: usize = 1_024;
const MEMORY_BYTES: usize = 4_096 * KIB;
/// Memory of an open request apart from its body.
const REQUEST_BYTES: usize = 48 * KIB;
/// Long enough to be refused before short bodies.
const LONG_BODY_BYTES: usize = 900 * KIB;
const UNSAFE_SENT: BodyStage = BodyStage::Sent { idempotent: false };
const IDEMPOTENT_SENT: BodyStage = BodyStage::Sent { idempotent: true };

/// An open request with a received body.
struct OpenRequest {
    body: RequestBody,
    _memory: Option<Reservation>,
}

impl OpenRequest {
    fn receive(bodies: &Rc<RequestBodies>, priority: u32, bytes: usize) -> Self {
        let (body, memory) = bodies.open(priority, REQUEST_BYTES);
        body.push(&vec![b'b'; bytes], Some(bytes as u64));
        body.finish();
        Self { body, _memory: memory }
    }

    fn at_stage(self, stage: BodyStage) -> Self {
        self.body.set_stage(stage);
        self
    }

    fn is_released(&self) -> bool {
        self.body.is_released()
    }
}

fn next_data(sender: &mut BodySender) -> Option<Vec<u8>> {
    let mut context = Context::from_waker(Waker::noop());
    match Pin::new(sender).poll_frame(&mut context) {
        Poll::Ready(frame) => frame.map(|frame| frame.unwrap().into_data().unwrap().to_vec()),
        Poll::Pending => unreachable!("a body that is stored is always ready"),
    }
}

fn read_to_end(sender: &mut BodySender) -> Vec<u8> {
    std::iter::from_fn(|| next_data(sender)).flatten().collect()
}

/// Guards against the end of the process over its memory (Fault): a body in chunks of one byte took forty times
/// its length.
#[test]
fn one_byte_chunks_take_no_more_memory_than_a_long_one() {
    let bodies = RequestBodies::new(MEMORY_BYTES);
    let (body, _memory) = bodies.open(0, REQUEST_BYTES);
    let before = bodies.budget().used();
    for _ in 0..LONG_BODY_BYTES {
        body.push(b"b", None);
    }
    body.finish();
    assert_eq!(body.length(), LONG_BODY_BYTES as u64);
    let used = bodies.budget().used() - before;
    assert!(used <= LONG_BODY_BYTES + 64 * KIB, "{used}");
}

#[test]
fn body_counts_from_its_first_byte_until_it_is_dropped() {
    let bodies = RequestBodies::new(MEMORY_BYTES);
    let (body, memory) = bodies.open(0, REQUEST_BYTES);
    let before = bodies.budget().used();
    body.push(b"b", Some(LONG_BODY_BYTES as u64));
    assert!(bodies.budget().used() > before);
    drop((body, memory));
    assert_eq!(bodies.budget().used(), 0);
}

#[test]
fn unsafe_requests_at_servers_are_released_first_and_waiting_requests_last() {
    let bodies = RequestBodies::new(MEMORY_BYTES);
    let waiting = OpenRequest::receive(&bodies, 0, LONG_BODY_BYTES);
    let idempotent = OpenRequest::receive(&bodies, 0, LONG_BODY_BYTES).at_stage(IDEMPOTENT_SENT);
    let unsafe_sent = OpenRequest::receive(&bodies, 0, LONG_BODY_BYTES).at_stage(UNSAFE_SENT);
    let next = OpenRequest::receive(&bodies, 0, LONG_BODY_BYTES);
    assert_eq!((waiting.is_released(), idempotent.is_released()), (false, false));
    assert_eq!((unsafe_sent.is_released(), next.is_released()), (true, false));
    let last = OpenRequest::receive(&bodies, 0, LONG_BODY_BYTES);
    assert_eq!((waiting.is_released(), idempotent.is_released(), last.is_released()), (false, true, false));
    assert_eq!(bodies.release_counts(), ReleaseCounts { sent: 2, refused: 0 });
}

#[test]
fn least_urgent_request_is_refused_first() {
    let bodies = RequestBodies::new(MEMORY_BYTES);
    let urgent = OpenRequest::receive(&bodies, 0, LONG_BODY_BYTES);
    let least_urgent = OpenRequest::receive(&bodies, 2, LONG_BODY_BYTES);
    let less_urgent = OpenRequest::receive(&bodies, 1, LONG_BODY_BYTES);
    let next = OpenRequest::receive(&bodies, 1, LONG_BODY_BYTES);
    assert!(least_urgent.is_released());
    assert!(!urgent.is_released() && !less_urgent.is_released() && !next.is_released());
    assert!(OpenRequest::receive(&bodies, 2, LONG_BODY_BYTES).is_released());
    assert_eq!(bodies.release_counts(), ReleaseCounts { sent: 0, refused: 2 });
}

#[test]
fn short_requests_are_served_while_long_ones_use_up_their_part() {
    let bodies = RequestBodies::new(MEMORY_BYTES);
    let long: Vec<_> = (0..10).map(|_| OpenRequest::receive(&bodies, 0, LONG_BODY_BYTES)).collect();
    assert!(long.last().unwrap().is_released());
    let short: Vec<_> = (0..30).map(|_| OpenRequest::receive(&bodies, 0, 18 * KIB)).collect();
    assert!(short.iter().all(|request| !request.is_released()));
    assert!(!long[0].is_released(), "the first long body is among those that fit");
}

#[test]
fn released_body_is_still_sent_to_its_end_and_then_frees_its_memory() {
    let bodies = RequestBodies::new(MEMORY_BYTES);
    let request = OpenRequest::receive(&bodies, 0, LONG_BODY_BYTES);
    let mut sender = request.body.sender().unwrap();
    let first = next_data(&mut sender).unwrap();
    request.body.set_stage(UNSAFE_SENT);
    request.body.release();
    assert!(request.body.sender().is_none(), "a released body is not sent once more");
    let half = bodies.budget().used();
    assert_eq!(first.len() + read_to_end(&mut sender).len(), LONG_BODY_BYTES);
    assert!(bodies.budget().used() < half / 2);
}

#[test]
fn buffered_responses_leave_memory_for_requests() {
    let bodies = RequestBodies::new(MEMORY_BYTES);
    let responses: Vec<_> = std::iter::from_fn(|| bodies.reserve_response(256 * KIB)).collect();
    assert_eq!(responses.len(), MEMORY_BYTES / 2 / (256 * KIB));
    assert!(!OpenRequest::receive(&bodies, 0, LONG_BODY_BYTES).is_released());
}

/// One step of a request with a body: it is received, sent, released or dropped.
fn step(random: &mut fastrand::Rng, bodies: &Rc<RequestBodies>, open: &mut Vec<(OpenRequest, u64)>) {
    if open.is_empty() || random.u32(..3) == 0 {
        let (body, memory) = bodies.open(random.u32(..4), REQUEST_BYTES);
        open.push((OpenRequest { body, _memory: memory }, 0));
    }
    let index = random.usize(..open.len());
    let (request, received) = &mut open[index];
    match random.u32(..6) {
        0..3 => {
            let data = vec![b'b'; random.usize(..200 * KIB)];
            let states_length = random.bool();
            request.body.push(&data, states_length.then_some(data.len() as u64));
            *received += data.len() as u64;
        }
        3 => {
            request.body.finish();
            if let Some(mut sender) = request.body.sender() {
                assert_eq!(read_to_end(&mut sender).len() as u64, *received);
            }
        }
        4 => request.body.set_stage(if random.bool() { UNSAFE_SENT } else { IDEMPOTENT_SENT }),
        _ => drop(open.swap_remove(index)),
    }
}

/// Random steps never exceed the memory, never truncate a body that is kept, and return all memory.
#[test]
fn random_requests_stay_within_the_memory() {
    for seed in 0..50 {
        let mut random = fastrand::Rng::with_seed(seed);
        let bodies = RequestBodies::new(MEMORY_BYTES);
        let mut open = Vec::new();
        for _ in 0..500 {
            step(&mut random, &bodies, &mut open);
            assert!(bodies.budget().used() <= MEMORY_BYTES, "seed {seed}");
        }
        drop(open);
        assert_eq!(bodies.budget().used(), 0, "seed {seed}");
    }
}
