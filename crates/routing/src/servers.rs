//! Table of the listed servers, by handle and by id.

use std::collections::HashMap;
use std::sync::Arc;

use dunelink_serving_model::{Micros, ServerCapacity, ServerModel};
use xxhash_rust::xxh3::xxh3_64;

use crate::health::Health;
use crate::{ServerHandle, ServerInfo};

/// Number of bits of a handle that hold the index of the table entry. The other bits hold the entry's
/// generation, which distinguishes the servers that occupy the entry one after another.
const INDEX_BITS: u32 = 20;
const INDEX_COUNT: u32 = 1 << INDEX_BITS;

/// A listed server.
pub(crate) struct Server {
    pub(crate) info: Arc<ServerInfo>,
    /// Hash of the server's id.
    pub(crate) hash: u64,
    pub(crate) model: ServerModel,
    pub(crate) health: Health,
    /// Index of the service in the router.
    pub(crate) service: usize,
    /// The label whose pool the server belongs to; `None` in the unlabelled pool.
    pub(crate) label: Option<usize>,
    /// When the server will be warm; 0 if it is.
    pub(crate) cold_until: Micros,
    /// The time by which a response was due to the requests sent since the last one; `None` if none is due.
    pub(crate) response_due: Option<Micros>,
    /// Whether the list that is being applied contains the server.
    listed: bool,
}

#[derive(Default)]
struct Entry {
    generation: u32,
    server: Option<Server>,
}

/// Servers by handle and by id.
#[derive(Default)]
pub(crate) struct ServerTable {
    entries: Vec<Entry>,
    free_indices: Vec<u32>,
    by_id: HashMap<String, u32>,
}

impl ServerTable {
    pub(crate) fn get(&self, handle: ServerHandle) -> Option<&Server> {
        let entry = self.entries.get((handle.0 % INDEX_COUNT) as usize)?;
        if entry.generation % (1 << (32 - INDEX_BITS)) == handle.0 >> INDEX_BITS {
            entry.server.as_ref()
        } else {
            None
        }
    }

    pub(crate) fn get_mut(&mut self, handle: ServerHandle) -> Option<&mut Server> {
        let entry = self.entries.get_mut((handle.0 % INDEX_COUNT) as usize)?;
        if entry.generation % (1 << (32 - INDEX_BITS)) == handle.0 >> INDEX_BITS {
            entry.server.as_mut()
        } else {
            None
        }
    }

    /// The server with this id, if it is listed.
    pub(crate) fn by_id_mut(&mut self, id: &str) -> Option<&mut Server> {
        let index = *self.by_id.get(id)?;
        self.by_index_mut(index)
    }

    pub(crate) fn by_index(&self, index: u32) -> Option<&Server> {
        self.entries.get(index as usize)?.server.as_ref()
    }

    pub(crate) fn by_index_mut(&mut self, index: u32) -> Option<&mut Server> {
        self.entries.get_mut(index as usize)?.server.as_mut()
    }

    /// The index of a server that is still listed.
    pub(crate) fn index_of(&self, handle: ServerHandle) -> Option<u32> {
        self.get(handle).map(|_| handle.0 % INDEX_COUNT)
    }

    pub(crate) fn handle(&self, index: u32) -> ServerHandle {
        ServerHandle((self.entries[index as usize].generation << INDEX_BITS) | index)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (u32, &Server)> {
        let entries = self.entries.iter().enumerate();
        entries.filter_map(|(index, entry)| Some((index as u32, entry.server.as_ref()?)))
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (u32, &mut Server)> {
        let entries = self.entries.iter_mut().enumerate();
        entries.filter_map(|(index, entry)| Some((index as u32, entry.server.as_mut()?)))
    }

    /// Starts the update from a new list: marks all servers as unlisted.
    pub(crate) fn begin_listing(&mut self) {
        self.iter_mut().for_each(|(_, server)| server.listed = false);
    }

    /// Adds or updates one server. Returns whether the pools of its service change.
    pub(crate) fn upsert(
        &mut self,
        now: Micros,
        info: &ServerInfo,
        service: usize,
        capacity: ServerCapacity,
    ) -> bool {
        let cold_until = now + info.cold_remaining_ms * 1_000;
        if let Some(&index) = self.by_id.get(&info.id) {
            let Some(server) = self.by_index_mut(index) else { return false };
            server.listed = true;
            let changed = server.info.ready != info.ready || server.service != service;
            if *server.info != *info {
                server.info = Arc::new(info.clone());
            }
            if server.model.capacity() != capacity {
                server.model.set_capacity(capacity);
            }
            server.service = service;
            server.cold_until = if info.cold_remaining_ms > 0 { cold_until } else { 0 };
            return changed;
        }
        let server = Server {
            info: Arc::new(info.clone()),
            hash: xxh3_64(info.id.as_bytes()),
            model: ServerModel::new(capacity),
            health: Health::default(),
            service,
            label: None,
            cold_until: if info.cold_remaining_ms > 0 { cold_until } else { 0 },
            response_due: None,
            listed: true,
        };
        let index = self.free_indices.pop().unwrap_or_else(|| {
            self.entries.push(Entry::default());
            (self.entries.len() - 1) as u32
        });
        self.entries[index as usize].server = Some(server);
        self.by_id.insert(info.id.clone(), index);
        true
    }

    /// Finishes the update from a new list: removes the servers that it lacks. Returns the services whose
    /// pools change.
    pub(crate) fn finish_listing(&mut self) -> Vec<usize> {
        let removed: Vec<u32> =
            self.iter().filter(|(_, server)| !server.listed).map(|(index, _)| index).collect();
        let mut services = Vec::new();
        for index in removed {
            let entry = &mut self.entries[index as usize];
            entry.generation = entry.generation.wrapping_add(1);
            if let Some(server) = entry.server.take() {
                self.by_id.remove(&server.info.id);
                services.push(server.service);
            }
            self.free_indices.push(index);
        }
        services
    }
}
