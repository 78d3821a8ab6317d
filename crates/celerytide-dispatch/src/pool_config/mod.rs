//! Builds a pool's configuration from the view: endpoints and whether they are open, classes, and customer weights.

use std::collections::HashMap;

use celerytide_manifest::{Class, EndpointSpec, Manifest, ServiceKind};
use celerytide_membership::ownership::Pool;
use celerytide_membership::{View, accepts_new_work};
use celerytide_policy::{ClassPlan, CustomerPlan, EndpointPlan, PoolPlan};

use crate::owned_pool::PoolConfig;

/// Returns the configuration of `pool` in `view`.
pub fn pool_config(view: &View, manifest: &Manifest, pool: &Pool) -> PoolConfig {
    let Some(service) = manifest.service(&pool.service) else {
        return PoolConfig {
            plan: PoolPlan::default(),
            endpoint_addresses: HashMap::new(),
            has_load_reports: false,
        };
    };
    let specs: Vec<&EndpointSpec> = service
        .endpoints
        .iter()
        .filter(|e| pool.endpoints.contains(&e.id))
        .collect();
    let endpoint_addresses = specs.iter().map(|e| (e.id.clone(), e.address)).collect();
    let plan = PoolPlan {
        endpoints: specs.iter().map(|e| endpoint(view, e)).collect(),
        classes: manifest
            .classes
            .iter()
            .filter(|c| c.service == service.id)
            .map(class)
            .collect(),
        customers: manifest
            .all_customers()
            .filter(|c| c.weight != 1)
            .map(customer)
            .collect(),
    };
    let has_load_reports = service.kind == ServiceKind::Model;
    PoolConfig {
        plan,
        endpoint_addresses,
        has_load_reports,
    }
}

fn endpoint(view: &View, spec: &EndpointSpec) -> EndpointPlan {
    EndpointPlan {
        id: spec.id.clone(),
        zone: spec.zone.clone(),
        slots: spec.slots,
        cold_slots: spec.cold_slots,
        prefill_tokens: spec.prefill_tokens,
        resumes: spec.resumes,
        open: accepts_new_work(view, spec),
    }
}

fn class(class: &Class) -> ClassPlan {
    ClassPlan {
        name: class.name.clone(),
        tier: class.tier,
        priority: class.priority,
        first_token: class.first_token,
        guaranteed_share: class.guaranteed_share,
        preemptible: class.preemptible,
    }
}

fn customer(customer: &celerytide_manifest::Customer) -> CustomerPlan {
    CustomerPlan {
        id: customer.id.clone(),
        weight: customer.weight,
    }
}
