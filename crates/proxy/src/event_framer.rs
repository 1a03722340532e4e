//! Splits event streams that may be resumed at event boundaries.

use std::rc::Rc;

use bytes::Bytes;
use dunelink_runtime::Reservation;
use http::HeaderValue;

use crate::memory::request_bodies::RequestBodies;

/// Maximum size of a buffered partial event in bytes. A stream with a longer event is forwarded without being
/// resumable.
const MAX_PARTIAL_EVENT_BYTES: usize = 256 * 1024;

/// Size of a partial event up to which it is buffered without memory that is reserved for it, in bytes.
const MAX_UNRESERVED_BYTES: usize = 4 * 1_024;
/// Memory of a longer partial event, in bytes. The buffer may grow to twice its content.
const PARTIAL_EVENT_MEMORY_BYTES: usize = 2 * MAX_PARTIAL_EVENT_BYTES;

/// Splits a stream at event boundaries, so that only complete events are forwarded.
#[derive(Debug)]
pub struct EventFramer {
    memory: Rc<RequestBodies>,
    /// Memory for `partial` while it is long.
    reservation: Option<Reservation>,
    /// Received bytes of an incomplete event.
    partial: Vec<u8>,
    /// Id of the last forwarded event; `None` if no event had one.
    last_id: Option<HeaderValue>,
    /// Whether part of an event was forwarded because the event was too long to buffer, or there was no
    /// memory for it.
    forwarded_partial: bool,
}

/// Part of an event was already forwarded, so the stream cannot be resumed.
#[derive(Debug, PartialEq, Eq)]
pub struct PartialEventForwarded;

impl EventFramer {
    /// Creates a framer for a stream that starts after the event with this id.
    pub fn starting_after(last_id: Option<HeaderValue>, memory: Rc<RequestBodies>) -> Self {
        Self { memory, reservation: None, partial: Vec::new(), last_id, forwarded_partial: false }
    }

    /// Adds received data and returns the events that are complete.
    pub fn push(&mut self, data: Bytes) -> Option<Bytes> {
        if self.forwarded_partial {
            return Some(data);
        }
        if self.partial.is_empty() && ends_event(&data) {
            self.record_last_id(&data);
            return Some(data);
        }
        self.partial.extend_from_slice(&data);
        let event_end = last_event_end(&self.partial).unwrap_or(0);
        // The memory of complete events stays reserved until they are sent.
        let events_reservation = if event_end > 0 { self.reservation.take() } else { None };
        if !self.may_buffer(self.partial.len() - event_end) {
            self.forwarded_partial = true;
            let reservation = events_reservation.or(self.reservation.take());
            return Some(attach(std::mem::take(&mut self.partial), reservation));
        }
        if event_end == 0 {
            return None;
        }
        let rest = self.partial.split_off(event_end);
        let events = std::mem::replace(&mut self.partial, rest);
        self.record_last_id(&events);
        Some(attach(events, events_reservation))
    }

    /// Returns the remaining bytes at the regular end of a stream.
    pub fn take_remainder(&mut self) -> Option<Bytes> {
        if self.partial.is_empty() { None } else { Some(self.take_partial()) }
    }

    /// Discards the incomplete event and returns the event id to resume after.
    ///
    /// # Errors
    ///
    /// Part of an event was already forwarded.
    pub fn discard_partial(&mut self) -> Result<Option<HeaderValue>, PartialEventForwarded> {
        if self.forwarded_partial {
            return Err(PartialEventForwarded);
        }
        self.take_partial();
        Ok(self.last_id.clone())
    }

    /// Returns the event id to resume after; the outer option is `None` if part of an event was already
    /// forwarded.
    pub fn resume_position(&self) -> Option<Option<HeaderValue>> {
        (!self.forwarded_partial).then(|| self.last_id.clone())
    }

    /// Whether a partial event of this size is short enough to wait for its end, and there is memory for it.
    fn may_buffer(&mut self, partial_bytes: usize) -> bool {
        if partial_bytes <= MAX_UNRESERVED_BYTES {
            return true;
        }
        if self.reservation.is_none() {
            self.reservation = self.memory.reserve_response(PARTIAL_EVENT_MEMORY_BYTES);
        }
        self.reservation.is_some() && partial_bytes <= MAX_PARTIAL_EVENT_BYTES
    }

    /// Takes the partial event out of the buffer, with the memory that is reserved for it.
    fn take_partial(&mut self) -> Bytes {
        attach(std::mem::take(&mut self.partial), self.reservation.take())
    }

    /// Records the last id that occurs in complete events.
    fn record_last_id(&mut self, events: &[u8]) {
        let mut lines = events.rsplit(|octet| *octet == b'\n');
        let id = lines.find_map(|line| line.strip_prefix(b"id:"));
        let Some(id) = id else { return };
        if let Ok(id) = HeaderValue::from_bytes(id.trim_ascii()) {
            self.last_id = Some(id);
        }
    }
}

/// Ties reserved memory to the data that it is for.
fn attach(data: Vec<u8>, reservation: Option<Reservation>) -> Bytes {
    match reservation {
        Some(reservation) => reservation.attach(data),
        None => data.into(),
    }
}

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n")
}

/// Returns the offset just behind the last complete event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let mut end = bytes.len();
    while end >= 2 {
        if ends_event(&bytes[..end]) {
            return Some(end);
        }
        end -= 1;
    }
    None
}
