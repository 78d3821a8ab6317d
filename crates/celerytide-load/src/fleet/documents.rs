//! What the configuration service publishes for a deployment: the manifest and both lists.

use std::net::SocketAddr;

use celerytide_manifest::{
    Customer, CustomerIndex, EndpointSpec, Event, KeyHash, Manifest, Service, ServiceKind, Zone, ZoneState,
};
use celerytide_types::{EndpointId, Version, ZoneId};
use serde_json::{Value, json};

use super::{Deployment, InstanceAddresses};

/// Format of the manifest.
const MANIFEST_FORMAT: u32 = 1;
/// A start of the event for deployments that name none.
const EVENT_START: &str = "2026-01-01T00:00:00Z";

/// An endpoint that runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointInfo {
    /// Endpoint id.
    pub id: EndpointId,
    /// Its zone.
    pub zone: ZoneId,
    /// Where it listens.
    pub addr: SocketAddr,
}

/// The manifest with all zones in service.
pub fn manifest(
    plan: &Deployment,
    version: Version,
    engines: &[EndpointInfo],
    plain_endpoints: &[EndpointInfo],
) -> Manifest {
    Manifest {
        format: MANIFEST_FORMAT,
        version,
        event: Event {
            name: plan.name.clone(),
            start: EVENT_START.to_owned(),
        },
        zones: plan.zones.iter().map(|id| zone(plan, id)).collect(),
        services: vec![model_service(plan, engines), plain_service(plan, plain_endpoints)],
        classes: plan.classes.clone(),
        customers: customers(plan),
        customer_sections: Vec::new(),
        customer_index: CustomerIndex::default(),
        orders: Vec::new(),
    }
}

fn zone(plan: &Deployment, id: &ZoneId) -> Zone {
    Zone {
        id: id.clone(),
        region: plan.region.clone(),
        state: ZoneState::In,
    }
}

fn customers(plan: &Deployment) -> Vec<Customer> {
    let customers = plan.customers.iter().map(|customer| Customer {
        id: customer.id.clone(),
        key_sha256: KeyHash::of(&customer.key()),
        requests_per_second: customer.requests_per_second,
        burst: customer.burst,
        weight: 1,
    });
    customers.collect()
}

fn model_service(plan: &Deployment, engines: &[EndpointInfo]) -> Service {
    let group = &plan.engines;
    let endpoints = engines.iter().map(|engine| EndpointSpec {
        prefill_tokens: group.prefill_tokens,
        fenced: group.fenced,
        resumes: true,
        ..endpoint(engine, group.slots, group.cold_slots)
    });
    Service {
        id: group.service.clone(),
        kind: ServiceKind::Model,
        models: vec![group.model.clone()],
        pools: 1,
        endpoints: endpoints.collect(),
        actions: Vec::new(),
    }
}

fn plain_service(plan: &Deployment, plain_endpoints: &[EndpointInfo]) -> Service {
    let group = &plan.plain;
    Service {
        id: group.service.clone(),
        kind: ServiceKind::Plain,
        models: Vec::new(),
        pools: 1,
        endpoints: plain_endpoints
            .iter()
            .map(|plain| endpoint(plain, group.slots, group.slots))
            .collect(),
        actions: group.actions.clone(),
    }
}

fn endpoint(running: &EndpointInfo, slots: u32, cold_slots: u32) -> EndpointSpec {
    EndpointSpec {
        id: running.id.clone(),
        address: running.addr,
        zone: running.zone.clone(),
        slots,
        cold_slots,
        prefill_tokens: 0,
        fenced: false,
        checks_sender: false,
        resumes: false,
    }
}

/// The list of instances.
pub fn instance_list(plan: &Deployment, instances: &[InstanceAddresses]) -> Value {
    let entries = instances.iter().map(|instance| {
        let meta = json!({
            "zone": instance.zone,
            "region": plan.region,
            "state": "live",
            "entry_peer": instance.entry_peer.to_string(),
            "dispatch_peer": instance.dispatch_peer.to_string(),
        });
        entry(&instance.id, instance.caller, meta)
    });
    entries.collect()
}

/// The list of endpoints.
pub fn endpoint_list(plan: &Deployment, service: &str, endpoints: &[EndpointInfo]) -> Vec<Value> {
    let entries = endpoints.iter().map(|endpoint| {
        let meta = json!({
            "zone": endpoint.zone,
            "region": plan.region,
            "state": "live",
            "service": service,
        });
        entry(&endpoint.id, endpoint.addr, meta)
    });
    entries.collect()
}

fn entry(id: &str, addr: SocketAddr, meta: Value) -> Value {
    json!({ "Service": { "ID": id, "Address": addr.ip().to_string(), "Port": addr.port(), "Meta": meta } })
}
