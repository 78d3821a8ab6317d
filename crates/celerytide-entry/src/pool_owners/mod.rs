//! Finds the dispatch that owns a pool, from this entry's view of the instances.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use celerytide_membership::ownership::{Pool, owner_of, pools_of};
use celerytide_membership::{Instance, Membership, View};
use celerytide_types::{PoolId, RegionId, ServiceId};
use rand::Rng;

/// Pools by service and their owners, computed once for each view.
///
/// A new owner that announces itself before the view names it is kept as an override.
pub struct PoolOwners {
    membership: Rc<Membership>,
    region: RegionId,
    table: RefCell<OwnerTable>,
    overrides: RefCell<HashMap<PoolId, SocketAddr>>,
}

#[derive(Default)]
struct OwnerTable {
    generation: u64,
    by_service: HashMap<ServiceId, Vec<ServicePool>>,
    owners: HashMap<PoolId, Instance>,
}

#[derive(Clone)]
struct ServicePool {
    pool: PoolId,
    region: RegionId,
}

impl PoolOwners {
    /// Owners by the view of `membership`; pools of `region` are preferred.
    pub fn new(membership: Rc<Membership>, region: RegionId) -> PoolOwners {
        PoolOwners {
            membership,
            region,
            table: RefCell::default(),
            overrides: RefCell::default(),
        }
    }

    /// A random pool of `service` that has an owner: in the own region, or in another one if the own has none.
    pub fn pick_pool(&self, service: &str) -> Option<PoolId> {
        self.refresh();
        let table = self.table.borrow();
        let pools = table.by_service.get(service)?;
        let has_owner = |p: &&ServicePool| table.owners.contains_key(&p.pool);
        let own: Vec<&ServicePool> = pools
            .iter()
            .filter(has_owner)
            .filter(|p| p.region == self.region)
            .collect();
        if own.is_empty() {
            let others: Vec<&ServicePool> = pools.iter().filter(has_owner).collect();
            return choose_random(&others);
        }
        choose_random(&own)
    }

    /// Peer address of the owner of `pool`: the override if there is one, otherwise the owner by view.
    pub fn owner_address(&self, pool: &str) -> Option<SocketAddr> {
        let replaced_by = self.overrides.borrow().get(pool).copied();
        replaced_by.or_else(|| self.owner_in_view(pool).map(|owner| owner.dispatch_peer))
    }

    /// The owner of `pool` by view, without overrides.
    pub fn owner_in_view(&self, pool: &str) -> Option<Instance> {
        self.refresh();
        self.table.borrow().owners.get(pool).cloned()
    }

    /// Uses `owner` as the owner of `pool`, whatever the view says.
    pub fn set_override(&self, pool: &str, owner: SocketAddr) {
        self.overrides.borrow_mut().insert(pool.to_owned(), owner);
    }

    /// Returns to the owner by view if `owner` is the override: it can't be reached or no longer owns `pool`.
    pub fn clear_override(&self, pool: &str, owner: SocketAddr) {
        let mut overrides = self.overrides.borrow_mut();
        if overrides.get(pool) == Some(&owner) {
            overrides.remove(pool);
        }
    }

    fn refresh(&self) {
        let view = self.membership.view();
        let mut table = self.table.borrow_mut();
        if table.generation != view.generation {
            *table = OwnerTable::build(&view);
        }
    }
}

impl OwnerTable {
    fn build(view: &View) -> OwnerTable {
        let mut table = OwnerTable {
            generation: view.generation,
            ..OwnerTable::default()
        };
        let pools = view.manifest.as_deref().map(pools_of).unwrap_or_default();
        for pool in pools {
            table.add_pool(view, pool);
        }
        table
    }

    fn add_pool(&mut self, view: &View, pool: Pool) {
        if let Some(owner) = owner_of(&pool.id, &pool.region, &view.instances) {
            self.owners.insert(pool.id.clone(), owner.clone());
        }
        let service_pool = ServicePool {
            pool: pool.id,
            region: pool.region,
        };
        self.by_service.entry(pool.service).or_default().push(service_pool);
    }
}

fn choose_random(pools: &[&ServicePool]) -> Option<PoolId> {
    match pools {
        [] => None,
        [only] => Some(only.pool.clone()),
        many => {
            let at = rand::rng().random_range(0..many.len());
            many.get(at).map(|p| p.pool.clone())
        }
    }
}
