//! The servers of the list, by handle.

use std::collections::HashMap;
use std::sync::Arc;

use dunelink_serving_model::{Micros, ServerCapacity, ServerModel};
use xxhash_rust::xxh3::xxh3_64;

use crate::health::Health;
use crate::{ServerHandle, ServerInfo};

/// How many bits of a handle are the place; the rest tells one holder of the place from the next.
const PLACE_BITS: u32 = 20;
const PLACES: u32 = 1 << PLACE_BITS;

/// One server that is listed.
pub(crate) struct Server {
    pub(crate) info: Arc<ServerInfo>,
    /// The hash of its id.
    pub(crate) hash: u64,
    pub(crate) model: ServerModel,
    pub(crate) health: Health,
    pub(crate) service: usize,
    pub(crate) label: Option<usize>,
    pub(crate) cold_until: Micros,
    /// When a sign of life was due at the latest for what was sent since the last one.
    pub(crate) sign_due: Option<Micros>,
    listed: bool,
}

#[derive(Default)]
struct Place {
    generation: u32,
    server: Option<Server>,
}

/// Servers by handle, and handles by id.
#[derive(Default)]
pub(crate) struct Servers {
    places: Vec<Place>,
    free: Vec<u32>,
    by_id: HashMap<String, u32>,
}

impl Servers {
    pub(crate) fn get(&self, handle: ServerHandle) -> Option<&Server> {
        let place = self.places.get((handle.0 % PLACES) as usize)?;
        if place.generation % (1 << (32 - PLACE_BITS)) == handle.0 >> PLACE_BITS {
            place.server.as_ref()
        } else {
            None
        }
    }

    pub(crate) fn get_mut(&mut self, handle: ServerHandle) -> Option<&mut Server> {
        let place = self.places.get_mut((handle.0 % PLACES) as usize)?;
        if place.generation % (1 << (32 - PLACE_BITS)) == handle.0 >> PLACE_BITS {
            place.server.as_mut()
        } else {
            None
        }
    }

    /// The server of this id, if it is listed.
    pub(crate) fn by_id_mut(&mut self, id: &str) -> Option<&mut Server> {
        let place = *self.by_id.get(id)?;
        self.at_mut(place)
    }

    pub(crate) fn at(&self, place: u32) -> Option<&Server> {
        self.places.get(place as usize)?.server.as_ref()
    }

    pub(crate) fn at_mut(&mut self, place: u32) -> Option<&mut Server> {
        self.places.get_mut(place as usize)?.server.as_mut()
    }

    /// The place of a server that is still listed.
    pub(crate) fn place(&self, handle: ServerHandle) -> Option<u32> {
        self.get(handle).map(|_| handle.0 % PLACES)
    }

    pub(crate) fn handle(&self, place: u32) -> ServerHandle {
        ServerHandle((self.places[place as usize].generation << PLACE_BITS) | place)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (u32, &Server)> {
        let all = self.places.iter().enumerate();
        all.filter_map(|(at, place)| Some((at as u32, place.server.as_ref()?)))
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (u32, &mut Server)> {
        let all = self.places.iter_mut().enumerate();
        all.filter_map(|(at, place)| Some((at as u32, place.server.as_mut()?)))
    }

    /// Before a whole list is taken in: nothing counts as listed.
    pub(crate) fn begin_list(&mut self) {
        self.iter_mut().for_each(|(_, server)| server.listed = false);
    }

    /// Takes in one entry; true if the pools of its service change by it.
    pub(crate) fn list(
        &mut self,
        now: Micros,
        info: &ServerInfo,
        service: usize,
        shape: ServerCapacity,
    ) -> bool {
        let cold_until = now + info.cold_remaining_ms * 1_000;
        if let Some(&place) = self.by_id.get(&info.id) {
            let Some(server) = self.at_mut(place) else { return false };
            server.listed = true;
            let changed = server.info.ready != info.ready || server.service != service;
            if *server.info != *info {
                server.info = Arc::new(info.clone());
            }
            if server.model.capacity() != shape {
                server.model.set_capacity(shape);
            }
            server.service = service;
            server.cold_until = if info.cold_remaining_ms > 0 { cold_until } else { 0 };
            return changed;
        }
        let server = Server {
            info: Arc::new(info.clone()),
            hash: xxh3_64(info.id.as_bytes()),
            model: ServerModel::new(shape),
            health: Health::default(),
            service,
            label: None,
            cold_until: if info.cold_remaining_ms > 0 { cold_until } else { 0 },
            sign_due: None,
            listed: true,
        };
        let place = self.free.pop().unwrap_or_else(|| {
            self.places.push(Place::default());
            (self.places.len() - 1) as u32
        });
        self.places[place as usize].server = Some(server);
        self.by_id.insert(info.id.clone(), place);
        true
    }

    /// After a whole list: what it left out is gone. Gives the services whose pools change by that.
    pub(crate) fn end_list(&mut self) -> Vec<usize> {
        let gone: Vec<u32> =
            self.iter().filter(|(_, server)| !server.listed).map(|(place, _)| place).collect();
        let mut services = Vec::new();
        for place in gone {
            let slot = &mut self.places[place as usize];
            slot.generation = slot.generation.wrapping_add(1);
            if let Some(server) = slot.server.take() {
                self.by_id.remove(&server.info.id);
                services.push(server.service);
            }
            self.free.push(place);
        }
        services
    }
}
