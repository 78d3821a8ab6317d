//! All endpoints of a pool, indexed by free capacity.
//!
//! A placement considers a few endpoints with the least load and the most room for prefill, so its cost is logarithmic
//! in the size of the pool and it needs no scan.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use ahash::AHashMap;
use celerytide_types::EndpointId;

use super::Endpoint;
use crate::options::DeliberateFault;
use crate::request::Trust;

/// Number of steps into which a load of one is divided.
const LOAD_PARTS: u64 = 1 << 16;

/// Order in which endpoints with free slots are preferred: not slow, least loaded, least recently used.
type RoomKey = (bool, u64, u64, usize);
/// Order by room for prefill, the most first.
type PrefillKey = (Reverse<u64>, u64, usize);

#[derive(Debug, Clone, Copy, Default)]
struct IndexKeys {
    room: Option<RoomKey>,
    prefill: Option<PrefillKey>,
    limit: u32,
    open: bool,
}

/// The endpoints of a pool.
#[derive(Debug)]
pub(crate) struct Table {
    rows: Vec<Option<Endpoint>>,
    keys: Vec<IndexKeys>,
    free_rows: Vec<usize>,
    by_id: AHashMap<EndpointId, usize>,
    by_room: BTreeSet<RoomKey>,
    by_prefill: BTreeSet<PrefillKey>,
    /// Sum of the limits of open endpoints.
    capacity: u64,
    open: usize,
    pub trust: Trust,
    pub fault: Option<DeliberateFault>,
}

impl Table {
    pub fn new(fault: Option<DeliberateFault>) -> Table {
        Table {
            rows: Vec::new(),
            keys: Vec::new(),
            free_rows: Vec::new(),
            by_id: AHashMap::new(),
            by_room: BTreeSet::new(),
            by_prefill: BTreeSet::new(),
            capacity: 0,
            open: 0,
            trust: Trust::Settled,
            fault,
        }
    }

    pub fn find(&self, id: &str) -> Option<usize> {
        self.by_id.get(id).copied()
    }

    pub fn get(&self, idx: usize) -> Option<&Endpoint> {
        self.rows.get(idx)?.as_ref()
    }

    /// Changes an endpoint and updates its index keys.
    pub fn update<R>(&mut self, idx: usize, change: impl FnOnce(&mut Endpoint) -> R) -> Option<R> {
        let row = self.rows.get_mut(idx)?.as_mut()?;
        let outcome = change(row);
        self.index(idx);
        Some(outcome)
    }

    pub fn insert(&mut self, endpoint: Endpoint) -> usize {
        let id = endpoint.plan.id.clone();
        let idx = self.free_rows.pop().unwrap_or(self.rows.len());
        if idx == self.rows.len() {
            self.rows.push(None);
            self.keys.push(IndexKeys::default());
        }
        self.rows[idx] = Some(endpoint);
        self.by_id.insert(id, idx);
        self.index(idx);
        idx
    }

    pub fn remove(&mut self, idx: usize) {
        if let Some(endpoint) = self.rows.get_mut(idx).and_then(Option::take) {
            self.by_id.remove(&endpoint.plan.id);
            self.index(idx);
            self.free_rows.push(idx);
        }
    }

    pub fn set_trust(&mut self, trust: Trust) {
        self.trust = trust;
        for idx in 0..self.rows.len() {
            self.index(idx);
        }
    }

    /// Indices of all endpoints.
    pub fn indices(&self) -> Vec<usize> {
        (0..self.rows.len()).filter(|&idx| self.rows[idx].is_some()).collect()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.rows.iter().flatten()
    }

    /// Endpoints with free slots, the least loaded first.
    pub fn with_room(&self) -> impl Iterator<Item = usize> + '_ {
        self.by_room.iter().map(|&(_, _, _, idx)| idx)
    }

    /// The least recently used idle endpoint among the slow ones.
    pub fn idle_slow(&self) -> Option<usize> {
        let &(_, load, _, idx) = self.by_room.range((true, 0, 0, 0)..).next()?;
        (load == 0).then_some(idx)
    }

    /// Endpoints with free slots, the most room for prefill first.
    pub fn with_prefill_room(&self) -> impl Iterator<Item = usize> + '_ {
        self.by_prefill.iter().map(|&(_, _, idx)| idx)
    }

    pub fn has_room(&self) -> bool {
        !self.by_room.is_empty()
    }

    pub fn has_room_at(&self, idx: usize) -> bool {
        self.keys.get(idx).is_some_and(|keys| keys.room.is_some())
    }

    /// Permits that one endpoint may have in flight now.
    pub fn limit(&self, idx: usize) -> u32 {
        self.keys.get(idx).map_or(0, |keys| keys.limit)
    }

    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    pub fn open_count(&self) -> usize {
        self.open
    }

    fn index(&mut self, idx: usize) {
        let old = self.keys[idx];
        let new = self.index_keys(idx);
        self.capacity = self.capacity - open_limit(&old) + open_limit(&new);
        self.open = self.open - usize::from(old.open) + usize::from(new.open);
        if old.room != new.room {
            old.room.map(|key| self.by_room.remove(&key));
            new.room.map(|key| self.by_room.insert(key));
        }
        if old.prefill != new.prefill {
            old.prefill.map(|key| self.by_prefill.remove(&key));
            new.prefill.map(|key| self.by_prefill.insert(key));
        }
        self.keys[idx] = new;
    }

    fn index_keys(&self, idx: usize) -> IndexKeys {
        let Some(endpoint) = &self.rows[idx] else {
            return IndexKeys::default();
        };
        let limit = endpoint.limit(self.trust, self.fault);
        let open = endpoint.accepts_requests();
        let usable = open || (self.fault == Some(DeliberateFault::GrantClosed) && !endpoint.is_removed);
        let mut keys = IndexKeys {
            room: None,
            prefill: None,
            limit,
            open,
        };
        if usable && endpoint.in_flight < limit {
            let load = u64::from(endpoint.in_flight) * LOAD_PARTS / u64::from(limit);
            keys.room = Some((endpoint.ramp.is_slow(), load, endpoint.last_grant, idx));
            keys.prefill = Some((Reverse(endpoint.prefill_room()), load, idx));
        }
        keys
    }
}

fn open_limit(keys: &IndexKeys) -> u64 {
    if keys.open { u64::from(keys.limit) } else { 0 }
}
