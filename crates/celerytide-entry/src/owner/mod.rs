//! Which process owns which pool, by this entry's view.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use celerytide_membership::ownership::{Pool, owner_of, pools_of};
use celerytide_membership::{Instance, Membership, View};
use celerytide_types::{PoolId, RegionId, ServiceId};
use rand::Rng;

/// Pools by service and their owners, worked out once for each view.
pub struct Owners {
    membership: Rc<Membership>,
    region: RegionId,
    known: RefCell<Known>,
    followed: RefCell<HashMap<PoolId, SocketAddr>>,
}

#[derive(Default)]
struct Known {
    generation: u64,
    by_service: HashMap<ServiceId, Vec<Owned>>,
    owners: HashMap<PoolId, Instance>,
}

#[derive(Clone)]
struct Owned {
    pool: PoolId,
    region: RegionId,
}

impl Owners {
    /// Follows `membership`; pools of `region` are preferred.
    pub fn new(membership: Rc<Membership>, region: RegionId) -> Owners {
        Owners {
            membership,
            region,
            known: RefCell::default(),
            followed: RefCell::default(),
        }
    }

    /// A pool of `service` that has an owner: one of the own region, or of another where the own region has none.
    pub fn pick(&self, service: &str) -> Option<PoolId> {
        self.bring_up_to_date();
        let known = self.known.borrow();
        let pools = known.by_service.get(service)?;
        let owned = |p: &&Owned| known.owners.contains_key(&p.pool);
        let own: Vec<&Owned> = pools.iter().filter(owned).filter(|p| p.region == self.region).collect();
        if own.is_empty() {
            let others: Vec<&Owned> = pools.iter().filter(owned).collect();
            return any_of(&others);
        }
        any_of(&own)
    }

    /// Where the owner of `pool` listens: the one that this entry follows, or the one that its view names.
    pub fn address(&self, pool: &str) -> Option<SocketAddr> {
        let followed = self.followed.borrow().get(pool).copied();
        followed.or_else(|| self.by_view(pool).map(|owner| owner.dispatch_peer))
    }

    /// The owner of `pool` by this entry's view.
    pub fn by_view(&self, pool: &str) -> Option<Instance> {
        self.bring_up_to_date();
        self.known.borrow().owners.get(pool).cloned()
    }

    /// Follows the owner of `pool` at `owner`, whatever the view names.
    pub fn follow(&self, pool: &str, owner: SocketAddr) {
        self.followed.borrow_mut().insert(pool.to_owned(), owner);
    }

    /// Goes back to the view's owner if `owner` is the one followed: it can't be reached or no longer owns `pool`.
    pub fn unfollow(&self, pool: &str, owner: SocketAddr) {
        let mut followed = self.followed.borrow_mut();
        if followed.get(pool) == Some(&owner) {
            followed.remove(pool);
        }
    }

    fn bring_up_to_date(&self) {
        let view = self.membership.view();
        let mut known = self.known.borrow_mut();
        if known.generation != view.generation {
            *known = Known::of(&view);
        }
    }
}

impl Known {
    fn of(view: &View) -> Known {
        let mut known = Known {
            generation: view.generation,
            ..Known::default()
        };
        let pools = view.manifest.as_deref().map(pools_of).unwrap_or_default();
        for pool in pools {
            known.add(view, pool);
        }
        known
    }

    fn add(&mut self, view: &View, pool: Pool) {
        if let Some(owner) = owner_of(&pool.id, &pool.region, &view.instances) {
            self.owners.insert(pool.id.clone(), owner.clone());
        }
        let owned = Owned {
            pool: pool.id,
            region: pool.region,
        };
        self.by_service.entry(pool.service).or_default().push(owned);
    }
}

fn any_of(pools: &[&Owned]) -> Option<PoolId> {
    match pools {
        [] => None,
        [only] => Some(only.pool.clone()),
        many => {
            let at = rand::rng().random_range(0..many.len());
            many.get(at).map(|p| p.pool.clone())
        }
    }
}
