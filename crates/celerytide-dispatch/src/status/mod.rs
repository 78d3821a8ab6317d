//! Contents of `/status` for a dispatch process: its node, and each owned pool with its ownership state.

use std::rc::Rc;

use celerytide_operator::StatusSource;
use celerytide_policy::PoolStatus;
use celerytide_types::{PoolId, data};
use serde_json::Value;

use crate::dispatch::Dispatch;
use crate::pools::ownership_state_name;

data! {
    struct PoolEntry {
        pool: PoolId,
        standing: String,
        status: PoolStatus,
    }
}

/// Serves the status of a dispatch daemon.
pub struct DispatchStatus(pub Rc<Dispatch>);

impl StatusSource for DispatchStatus {
    fn status(&self) -> Value {
        let mut status = self.0.node.status("dispatch");
        if let Value::Object(fields) = &mut status {
            fields.insert(String::from("pools"), pools(&self.0));
        }
        status
    }

    fn update_gauges(&self) {
        let owned_pools = self.0.pools.all();
        let queued = owned_pools
            .iter()
            .flat_map(|s| s.status().tiers)
            .map(|t| t.queued)
            .sum();
        self.0
            .metrics
            .set_levels(owned_pools.len(), self.0.pools.in_flight(), queued);
    }
}

fn pools(dispatch: &Dispatch) -> Value {
    let entry = |owned_pool: &Rc<crate::owned_pool::OwnedPool>| PoolEntry {
        pool: owned_pool.id.clone(),
        standing: ownership_state_name(dispatch.pools.ownership_state(&owned_pool.id)).to_owned(),
        status: owned_pool.status(),
    };
    let pools: Vec<PoolEntry> = dispatch.pools.all().iter().map(entry).collect();
    serde_json::to_value(pools).unwrap_or_default()
}
