//! Table of the attempts in flight, by id.

use dunelink_serving_model::{InFlightRequest, Micros};

use crate::{AttemptId, ServerHandle};

/// An attempt in flight.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) server: ServerHandle,
    pub(crate) request: InFlightRequest,
    /// When the first event was expected at the time of the decision.
    pub(crate) first_event_due: Micros,
}

#[derive(Default)]
struct Entry {
    generation: u32,
    attempt: Option<Attempt>,
}

/// Attempts by id. An id combines the index of a table entry with the entry's generation, which grows with
/// each reuse.
#[derive(Default)]
pub(crate) struct AttemptTable {
    entries: Vec<Entry>,
    free_indices: Vec<u32>,
}

impl AttemptTable {
    pub(crate) fn add(&mut self, attempt: Attempt) -> AttemptId {
        let index = self.free_indices.pop().unwrap_or_else(|| {
            self.entries.push(Entry::default());
            (self.entries.len() - 1) as u32
        });
        let entry = &mut self.entries[index as usize];
        entry.attempt = Some(attempt);
        AttemptId(u64::from(entry.generation) << 32 | u64::from(index))
    }

    pub(crate) fn get(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        let entry = self.entries.get_mut((id.0 & u64::from(u32::MAX)) as usize)?;
        if u64::from(entry.generation) == id.0 >> 32 { entry.attempt.as_mut() } else { None }
    }

    pub(crate) fn remove(&mut self, id: AttemptId) -> Option<Attempt> {
        self.get(id)?;
        let index = (id.0 & u64::from(u32::MAX)) as usize;
        let entry = &mut self.entries[index];
        entry.generation = entry.generation.wrapping_add(1);
        self.free_indices.push(index as u32);
        entry.attempt.take()
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len() - self.free_indices.len()
    }
}
