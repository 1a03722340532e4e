//! The body of one request.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use dunelink_runtime::Reservation;
use http_body::{Body, Frame, SizeHint};

use super::request_bodies::RequestBodies;

/// Maximum size of a segment, in bytes.
const MAX_SEGMENT_BYTES: usize = 32 * 1_024;
/// Minimum size of a segment of a body whose length is not known, in bytes.
const MIN_SEGMENT_BYTES: usize = 4 * 1_024;
/// Approximate memory of an empty segment, in bytes.
const SEGMENT_OVERHEAD_BYTES: usize = 128;

/// How far a request has come, as far as its body is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyStage {
    /// No server can have executed the request. Without its body it has to be refused.
    NotSent,
    /// The request was sent to a server. Its body is needed only if the request has to be sent once more.
    Sent {
        /// Whether the request may be executed more than once.
        idempotent: bool,
    },
}

/// The body of a request: received, kept for further attempts, and sent to servers.
///
/// It is stored in segments whose memory is reserved, so that its size in memory does not depend on how the
/// client splits it. A released body keeps only what its [`BodySender`]s have not passed on yet.
#[derive(Debug)]
pub struct RequestBody {
    bodies: Rc<RequestBodies>,
    key: u64,
    state: Rc<RefCell<BodyState>>,
}

/// The stored part of a body.
#[derive(Debug)]
pub(super) struct BodyState {
    /// Complete segments.
    segments: VecDeque<Bytes>,
    /// Number of segments that were dropped in front of `segments`.
    dropped_segments: usize,
    /// The segment that is being received, with its capacity and the reservation for it.
    partial: Option<PartialSegment>,
    /// Stored bytes in complete segments.
    pub(super) stored_bytes: usize,
    /// Received bytes, including dropped ones.
    received_bytes: u64,
    /// Priority of the request; 0 is the most urgent.
    pub(super) priority: u32,
    pub(super) stage: BodyStage,
    is_released: bool,
    /// Positions of the senders, as a number of segments.
    senders: Vec<Rc<Cell<usize>>>,
}

#[derive(Debug)]
struct PartialSegment {
    data: Vec<u8>,
    capacity: usize,
    reservation: Reservation,
}

impl BodyState {
    pub(super) fn new(priority: u32) -> Self {
        Self {
            segments: VecDeque::new(),
            dropped_segments: 0,
            partial: None,
            stored_bytes: 0,
            received_bytes: 0,
            priority,
            stage: BodyStage::NotSent,
            is_released: false,
            senders: Vec::new(),
        }
    }

    /// Whether releasing the body would drop stored bytes.
    pub(super) fn is_releasable(&self) -> bool {
        !self.is_released && (!self.segments.is_empty() || self.partial.is_some())
    }

    /// Drops what no sender has to pass on. The body can't be sent once more afterwards.
    pub(super) fn release(&mut self) {
        self.is_released = true;
        self.partial = None;
        self.drop_passed_on();
    }

    /// Drops the segments of a released body that all senders have passed on.
    fn drop_passed_on(&mut self) {
        let needed_from = self.senders.iter().map(|position| position.get()).min().unwrap_or(usize::MAX);
        while self.dropped_segments < needed_from
            && let Some(segment) = self.segments.pop_front()
        {
            self.dropped_segments += 1;
            self.stored_bytes -= segment.len();
        }
    }

    fn complete_segment(&mut self) {
        let Some(PartialSegment { data, reservation, .. }) = self.partial.take() else { return };
        self.stored_bytes += data.len();
        self.segments.push_back(reservation.attach(data));
    }

    /// Appends as much of `data` as the current segment takes, and returns the rest.
    fn fill_segment<'a>(&mut self, data: &'a [u8]) -> &'a [u8] {
        let Some(partial) = &mut self.partial else { return data };
        let (fits, rest) = data.split_at(data.len().min(partial.capacity - partial.data.len()));
        partial.data.extend_from_slice(fits);
        self.received_bytes += fits.len() as u64;
        if partial.data.len() == partial.capacity {
            self.complete_segment();
        }
        rest
    }
}

impl RequestBody {
    pub(super) fn new(bodies: Rc<RequestBodies>, key: u64, state: Rc<RefCell<BodyState>>) -> Self {
        Self { bodies, key, state }
    }

    /// Returns the number of received bytes.
    pub fn length(&self) -> u64 {
        self.state.borrow().received_bytes
    }

    /// Whether the body was released, so that the request can't be sent once more.
    pub fn is_released(&self) -> bool {
        self.state.borrow().is_released
    }

    /// Drops what is not being sent.
    pub fn release(&self) {
        self.state.borrow_mut().release();
    }

    /// Records how far the request has come.
    pub fn set_stage(&self, stage: BodyStage) {
        self.state.borrow_mut().stage = stage;
    }

    /// Stores received data. `remaining` is the number of bytes that are still to come, including `data`, if
    /// the request states its length. The body is released if there is no memory for it; the data of a
    /// released body is discarded.
    pub fn push(&self, mut data: &[u8], mut remaining: Option<u64>) {
        while !data.is_empty() && !self.is_released() {
            let rest = self.state.borrow_mut().fill_segment(data);
            remaining = remaining.map(|remaining| remaining.saturating_sub((data.len() - rest.len()) as u64));
            data = rest;
            if !data.is_empty() {
                self.begin_segment(data.len(), remaining);
            }
        }
    }

    /// Reserves memory for the next segment, or releases the body if there is none.
    fn begin_segment(&self, available: usize, remaining: Option<u64>) {
        let received = self.length() as usize;
        let capacity = match remaining {
            Some(remaining) => usize::try_from(remaining).unwrap_or(usize::MAX).max(available),
            None => available.max(received).max(MIN_SEGMENT_BYTES),
        };
        let capacity = capacity.min(MAX_SEGMENT_BYTES);
        let reservation = self.bodies.reserve(self.key, received, capacity + SEGMENT_OVERHEAD_BYTES);
        let mut state = self.state.borrow_mut();
        match reservation {
            Some(reservation) => {
                let data = Vec::with_capacity(capacity);
                state.partial = Some(PartialSegment { data, capacity, reservation });
            }
            None => state.release(),
        }
    }

    /// Records that the body was received completely.
    pub fn finish(&self) {
        self.state.borrow_mut().complete_segment();
    }

    /// Returns the body for one attempt; `None` if it was released.
    pub fn sender(&self) -> Option<BodySender> {
        let mut state = self.state.borrow_mut();
        if state.is_released {
            return None;
        }
        let position = Rc::<Cell<usize>>::default();
        state.senders.push(position.clone());
        Some(BodySender { remaining_bytes: state.received_bytes, state: self.state.clone(), position })
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        self.state.borrow_mut().release();
        self.bodies.remove(self.key);
    }
}

/// The body of a request on its way to one server.
#[derive(Debug)]
pub struct BodySender {
    state: Rc<RefCell<BodyState>>,
    position: Rc<Cell<usize>>,
    remaining_bytes: u64,
}

impl BodySender {
    /// Returns the next segment.
    fn next_segment(&mut self) -> Option<Bytes> {
        let mut state = self.state.borrow_mut();
        let index = self.position.get().checked_sub(state.dropped_segments)?;
        let segment = state.segments.get(index)?.clone();
        self.position.set(self.position.get() + 1);
        self.remaining_bytes -= segment.len() as u64;
        if state.is_released {
            state.drop_passed_on();
        }
        Some(segment)
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        state.senders.retain(|position| !Rc::ptr_eq(position, &self.position));
        if state.is_released {
            state.drop_passed_on();
        }
    }
}

impl Body for BodySender {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.next_segment().map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining_bytes)
    }
}
