//! All endpoints of a pool, indexed by room.
//!
//! A decision looks at a few endpoints with the least load and the one with the most room for prefill, so it costs
//! the logarithm of the pool's size and no scan.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use ahash::AHashMap;
use celerytide_types::EndpointId;

use super::Endpoint;
use crate::ask::Trust;
use crate::options::DeliberateFault;

/// Parts that a load of one is cut into.
const LOAD_PARTS: u64 = 1 << 16;

/// Order in which endpoints with room are preferred.
type RoomKey = (bool, u64, u64, usize);
/// Endpoints by room for prefill, the most first.
type PrefillKey = (Reverse<u64>, u64, usize);

#[derive(Debug, Clone, Copy, Default)]
struct Keys {
    room: Option<RoomKey>,
    prefill: Option<PrefillKey>,
    limit: u32,
    open: bool,
}

/// The endpoints of a pool.
#[derive(Debug)]
pub(crate) struct Table {
    rows: Vec<Option<Endpoint>>,
    keys: Vec<Keys>,
    free: Vec<usize>,
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
            free: Vec::new(),
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

    pub fn get(&self, at: usize) -> Option<&Endpoint> {
        self.rows.get(at)?.as_ref()
    }

    /// Changes an endpoint and its place in the index.
    pub fn update<R>(&mut self, at: usize, change: impl FnOnce(&mut Endpoint) -> R) -> Option<R> {
        let row = self.rows.get_mut(at)?.as_mut()?;
        let outcome = change(row);
        self.index(at);
        Some(outcome)
    }

    pub fn insert(&mut self, endpoint: Endpoint) -> usize {
        let id = endpoint.plan.id.clone();
        let at = self.free.pop().unwrap_or(self.rows.len());
        if at == self.rows.len() {
            self.rows.push(None);
            self.keys.push(Keys::default());
        }
        self.rows[at] = Some(endpoint);
        self.by_id.insert(id, at);
        self.index(at);
        at
    }

    pub fn remove(&mut self, at: usize) {
        if let Some(endpoint) = self.rows.get_mut(at).and_then(Option::take) {
            self.by_id.remove(&endpoint.plan.id);
            self.index(at);
            self.free.push(at);
        }
    }

    pub fn set_trust(&mut self, trust: Trust) {
        self.trust = trust;
        for at in 0..self.rows.len() {
            self.index(at);
        }
    }

    /// Indices of all endpoints.
    pub fn indices(&self) -> Vec<usize> {
        (0..self.rows.len()).filter(|&at| self.rows[at].is_some()).collect()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.rows.iter().flatten()
    }

    /// Endpoints with room, the least loaded first.
    pub fn with_room(&self) -> impl Iterator<Item = usize> + '_ {
        self.by_room.iter().map(|&(_, _, _, at)| at)
    }

    /// The idle endpoint among the slow ones that was granted to least lately.
    pub fn idle_suspect(&self) -> Option<usize> {
        let &(_, load, _, at) = self.by_room.range((true, 0, 0, 0)..).next()?;
        (load == 0).then_some(at)
    }

    /// Endpoints with room, the most room for prefill first.
    pub fn with_prefill_room(&self) -> impl Iterator<Item = usize> + '_ {
        self.by_prefill.iter().map(|&(_, _, at)| at)
    }

    pub fn has_room(&self) -> bool {
        !self.by_room.is_empty()
    }

    pub fn is_free(&self, at: usize) -> bool {
        self.keys.get(at).is_some_and(|keys| keys.room.is_some())
    }

    /// Permits that one endpoint may bear now.
    pub fn limit(&self, at: usize) -> u32 {
        self.keys.get(at).map_or(0, |keys| keys.limit)
    }

    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    pub fn open_count(&self) -> usize {
        self.open
    }

    fn index(&mut self, at: usize) {
        let old = self.keys[at];
        let new = self.keys_of(at);
        self.capacity = self.capacity - counted(&old) + counted(&new);
        self.open = self.open - usize::from(old.open) + usize::from(new.open);
        if old.room != new.room {
            old.room.map(|key| self.by_room.remove(&key));
            new.room.map(|key| self.by_room.insert(key));
        }
        if old.prefill != new.prefill {
            old.prefill.map(|key| self.by_prefill.remove(&key));
            new.prefill.map(|key| self.by_prefill.insert(key));
        }
        self.keys[at] = new;
    }

    fn keys_of(&self, at: usize) -> Keys {
        let Some(endpoint) = &self.rows[at] else {
            return Keys::default();
        };
        let limit = endpoint.limit(self.trust, self.fault);
        let open = endpoint.is_open();
        let usable = open || (self.fault == Some(DeliberateFault::GrantClosed) && !endpoint.gone);
        let mut keys = Keys {
            room: None,
            prefill: None,
            limit,
            open,
        };
        if usable && endpoint.in_flight < limit {
            let load = u64::from(endpoint.in_flight) * LOAD_PARTS / u64::from(limit);
            keys.room = Some((endpoint.ramp.is_suspect(), load, endpoint.last_grant, at));
            keys.prefill = Some((Reverse(endpoint.prefill_room()), load, at));
        }
        keys
    }
}

fn counted(keys: &Keys) -> u64 {
    if keys.open { u64::from(keys.limit) } else { 0 }
}
