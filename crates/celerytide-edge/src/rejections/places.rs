//! Divides the places of endpoints among the instances.

use std::net::SocketAddr;

use celerytide_types::{ServiceId, rendezvous_weight};

/// Share of a rejection limit that may be used up by requests for which no slot is free: instances differ on who lives, and
/// on what the others have in flight.
const USED_SHARE: f64 = 0.25;

/// An endpoint's slots divided by this may be in use by instances beyond their parts; the rest stays free for the others'
/// parts.
const LENT_DIVISOR: usize = 2;

/// Requests beyond its slots that an endpoint of `slots` gets at once.
pub fn extra_places(slots: usize, rejections_per_s: f64) -> usize {
    // A conversion from a float saturates.
    ((rejections_per_s * USED_SHARE) as usize).min(slots)
}

/// This instance's share of the places of one service's endpoints.
#[derive(Debug, Clone, Copy)]
pub struct Share {
    /// Number of instances that come before it.
    rank: usize,
    /// Number of instances, at least one.
    instances: usize,
}

impl Share {
    /// The share of `own` among all `instances`, which include it.
    pub fn new(service: &ServiceId, own: SocketAddr, instances: &[SocketAddr]) -> Share {
        let weight = |instance: &SocketAddr| rendezvous_weight(service, &instance.to_string());
        let own_weight = weight(&own);
        let others = instances.iter().filter(|i| **i != own);
        Share {
            rank: others.filter(|i| weight(i) > own_weight).count(),
            instances: instances.len().max(1),
        }
    }

    /// Number of this instance's places among `places`, which are handed out in turn, the first one to the instance of rank
    /// `offset`.
    pub fn part(&self, places: usize, offset: usize) -> usize {
        let first = offset % self.instances;
        let turn = (self.rank + self.instances - first) % self.instances;
        places / self.instances + usize::from(turn < places % self.instances)
    }
}

/// What this instance knows of the others.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    /// This instance's share.
    pub share: Share,
    /// Other instances.
    pub others: usize,
    /// Others whose requests in flight are known; `None` if they aren't told by endpoint.
    pub heard: Option<usize>,
    /// Part, from 0 to 1, of all places that these instances may use together.
    pub usable: f64,
}

/// An endpoint with a rejection limit.
#[derive(Debug, Clone, Copy)]
pub struct FullEndpoint {
    /// Requests that it runs at once.
    pub slots: usize,
    /// Rejections in a second that it bears.
    pub rejections_per_s: f64,
    /// Places of the service's endpoints in front of it.
    pub offset: usize,
    /// Requests of this instance in flight there.
    pub own: usize,
    /// Those sent so recently that others may not know of them.
    pub untold: usize,
    /// Requests of other instances in flight there, as far as told.
    pub remote: usize,
}

impl FullEndpoint {
    /// Whether this instance may send one more request there; `after_pause` is what it may have in flight after a pause.
    pub fn has_place(&self, fleet: &Fleet, after_pause: usize) -> bool {
        self.own < self.allowance(fleet).min(after_pause)
    }

    /// Whether this instance may send one more request there while all slots may be in use.
    pub fn has_extra_place(&self, fleet: &Fleet, after_pause: usize) -> bool {
        let extra = extra_places(self.slots, self.rejections_per_s);
        let part = fleet.share.part((extra as f64 * fleet.usable) as usize, self.offset);
        self.own < part.min(after_pause)
    }

    /// Requests that this instance may have in flight there at once.
    pub fn allowance(&self, fleet: &Fleet) -> usize {
        let places = self.slots + extra_places(self.slots, self.rejections_per_s);
        let usable = |places: usize| (places as f64 * fleet.usable) as usize;
        let part = fleet.share.part(usable(places), self.offset);
        let Some(heard) = fleet.heard else {
            return part;
        };
        if self.own + self.remote >= places {
            return self.own;
        }
        let told = self.own.saturating_sub(self.untold);
        // Instances that aren't heard may be cut off; they use at most their parts.
        let silent = fleet.others.saturating_sub(heard);
        let reserved = (self.slots * silent).div_ceil(fleet.others + 1);
        let lent = usable(self.slots / LENT_DIVISOR);
        let free = lent.saturating_sub(told + self.remote + reserved);
        part.max(told + fleet.share.part(free, self.offset))
    }
}
