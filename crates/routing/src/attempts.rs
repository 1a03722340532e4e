//! Attempts that are out, by number.

use dunelink_serving_model::{InFlightRequest, Micros};

use crate::{AttemptId, ServerHandle};

/// One attempt that is out.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) server: ServerHandle,
    pub(crate) work: InFlightRequest,
    /// When the first event was expected, at the decision.
    pub(crate) due: Micros,
}

#[derive(Default)]
struct Place {
    generation: u32,
    attempt: Option<Attempt>,
}

/// Attempts by number: a place and how often it was used.
#[derive(Default)]
pub(crate) struct Attempts {
    places: Vec<Place>,
    free: Vec<u32>,
}

impl Attempts {
    pub(crate) fn add(&mut self, attempt: Attempt) -> AttemptId {
        let at = self.free.pop().unwrap_or_else(|| {
            self.places.push(Place::default());
            (self.places.len() - 1) as u32
        });
        let place = &mut self.places[at as usize];
        place.attempt = Some(attempt);
        AttemptId(u64::from(place.generation) << 32 | u64::from(at))
    }

    pub(crate) fn get(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        let place = self.places.get_mut((id.0 & u64::from(u32::MAX)) as usize)?;
        if u64::from(place.generation) == id.0 >> 32 { place.attempt.as_mut() } else { None }
    }

    pub(crate) fn remove(&mut self, id: AttemptId) -> Option<Attempt> {
        self.get(id)?;
        let at = (id.0 & u64::from(u32::MAX)) as usize;
        let place = &mut self.places[at];
        place.generation = place.generation.wrapping_add(1);
        self.free.push(at as u32);
        place.attempt.take()
    }

    pub(crate) fn len(&self) -> usize {
        self.places.len() - self.free.len()
    }
}
