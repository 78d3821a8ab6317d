//! Documents that the configuration service publishes for a deployment: the manifest and both lists.

use std::net::SocketAddr;

use celerytide_manifest::{
    Customer, CustomerIndex, EndpointSpec, Event, KeyHash, Manifest, Service, ServiceKind, Zone, ZoneState,
};
use celerytide_types::{EndpointId, Version, ZoneId};
use serde_json::{Value, json};

use super::{Deployment, InstanceAddresses};

/// Format version of the manifest.
const MANIFEST_FORMAT: u32 = 1;
/// Start of the event in the manifest; deployments don't set one.
const DEFAULT_EVENT_START: &str = "2026-01-01T00:00:00Z";

/// Id, zone and address of a running endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointInfo {
    /// Endpoint id.
    pub id: EndpointId,
    /// Zone of the endpoint.
    pub zone: ZoneId,
    /// Listening address.
    pub addr: SocketAddr,
}

/// Creates the manifest with all zones in service.
pub fn manifest(
    deployment: &Deployment,
    version: Version,
    engines: &[EndpointInfo],
    plain_endpoints: &[EndpointInfo],
) -> Manifest {
    Manifest {
        format: MANIFEST_FORMAT,
        version,
        event: Event {
            name: deployment.name.clone(),
            start: DEFAULT_EVENT_START.to_owned(),
        },
        zones: deployment.zones.iter().map(|id| zone(deployment, id)).collect(),
        services: vec![
            model_service(deployment, engines),
            plain_service(deployment, plain_endpoints),
        ],
        classes: deployment.classes.clone(),
        customers: customers(deployment),
        customer_sections: Vec::new(),
        customer_index: CustomerIndex::default(),
        orders: Vec::new(),
    }
}

fn zone(deployment: &Deployment, id: &ZoneId) -> Zone {
    Zone {
        id: id.clone(),
        region: deployment.region.clone(),
        state: ZoneState::In,
    }
}

fn customers(deployment: &Deployment) -> Vec<Customer> {
    let customers = deployment.customers.iter().map(|customer| Customer {
        id: customer.id.clone(),
        key_sha256: KeyHash::of(&customer.key()),
        requests_per_second: customer.requests_per_second,
        burst: customer.burst,
        weight: 1,
    });
    customers.collect()
}

fn model_service(deployment: &Deployment, engines: &[EndpointInfo]) -> Service {
    let spec = &deployment.engines;
    let endpoints = engines.iter().map(|engine| EndpointSpec {
        prefill_tokens: spec.prefill_tokens,
        fenced: spec.fenced,
        resumes: true,
        ..endpoint_spec(engine, spec.slots, spec.cold_slots)
    });
    Service {
        id: spec.service.clone(),
        kind: ServiceKind::Model,
        models: vec![spec.model.clone()],
        pools: 1,
        endpoints: endpoints.collect(),
        actions: Vec::new(),
    }
}

fn plain_service(deployment: &Deployment, plain_endpoints: &[EndpointInfo]) -> Service {
    let spec = &deployment.plain;
    Service {
        id: spec.service.clone(),
        kind: ServiceKind::Plain,
        models: Vec::new(),
        pools: 1,
        endpoints: plain_endpoints
            .iter()
            .map(|plain| endpoint_spec(plain, spec.slots, spec.slots))
            .collect(),
        actions: spec.actions.clone(),
    }
}

fn endpoint_spec(info: &EndpointInfo, slots: u32, cold_slots: u32) -> EndpointSpec {
    EndpointSpec {
        id: info.id.clone(),
        address: info.addr,
        zone: info.zone.clone(),
        slots,
        cold_slots,
        prefill_tokens: 0,
        fenced: false,
        checks_sender: false,
        resumes: false,
    }
}

/// Creates the list of instances.
pub fn instance_list(deployment: &Deployment, instances: &[InstanceAddresses]) -> Value {
    let entries = instances.iter().map(|instance| {
        let meta = json!({
            "zone": instance.zone,
            "region": deployment.region,
            "state": "live",
            "entry_peer": instance.entry_peer.to_string(),
            "dispatch_peer": instance.dispatch_peer.to_string(),
        });
        catalog_entry(&instance.id, instance.caller, meta)
    });
    entries.collect()
}

/// Creates the list entries of a service's endpoints.
pub fn endpoint_list(deployment: &Deployment, service: &str, endpoints: &[EndpointInfo]) -> Vec<Value> {
    let entries = endpoints.iter().map(|endpoint| {
        let meta = json!({
            "zone": endpoint.zone,
            "region": deployment.region,
            "state": "live",
            "service": service,
        });
        catalog_entry(&endpoint.id, endpoint.addr, meta)
    });
    entries.collect()
}

fn catalog_entry(id: &str, addr: SocketAddr, meta: Value) -> Value {
    json!({ "Service": { "ID": id, "Address": addr.ip().to_string(), "Port": addr.port(), "Meta": meta } })
}
