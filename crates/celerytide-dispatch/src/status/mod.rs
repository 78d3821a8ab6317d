//! What `/status` tells of a dispatch.

use std::rc::Rc;

use celerytide_operator::StatusSource;
use celerytide_policy::PoolStatus;
use celerytide_types::{PoolId, data};
use serde_json::Value;

use crate::dispatch::Dispatch;
use crate::pools::name_of;

data! {
    struct OwnedPool {
        pool: PoolId,
        standing: String,
        status: PoolStatus,
    }
}

/// The dispatch's status.
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
        let slots = self.0.pools.all();
        let queued = slots.iter().flat_map(|s| s.status().tiers).map(|t| t.queued).sum();
        self.0.metrics.levels(slots.len(), self.0.pools.in_flight(), queued);
    }
}

fn pools(dispatch: &Dispatch) -> Value {
    let owned = |slot: &Rc<crate::slot::Slot>| OwnedPool {
        pool: slot.id.clone(),
        standing: name_of(dispatch.pools.standing(&slot.id)).to_owned(),
        status: slot.status(),
    };
    let pools: Vec<OwnedPool> = dispatch.pools.all().iter().map(owned).collect();
    serde_json::to_value(pools).unwrap_or_default()
}
