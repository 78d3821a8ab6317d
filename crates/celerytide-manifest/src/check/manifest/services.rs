//! Checks services with their models, pools, endpoints and actions.

use std::collections::HashSet;
use std::net::SocketAddr;

use crate::report::Report;
use crate::{Manifest, Service, ServiceKind};

use super::super::unique::UniqueValues;

/// Checks every service.
pub(super) fn check(manifest: &Manifest, report: &mut Report<'_>) {
    let mut seen = Seen::new();
    let zones = KnownZones {
        ids: manifest.zones.iter().map(|zone| zone.id.as_str()).collect(),
        all_ids_intact: report.all_intact("zones.id"),
    };
    for (i, service) in manifest.services.iter().enumerate() {
        let path = format!("services[{i}]");
        seen.services
            .insert(service.id.as_str(), &service.id, format!("{path}.id"), report);
        check_models(service, &path, &mut seen, report);
        check_pools(service, &path, report);
        check_endpoints(service, &path, &zones, &mut seen, report);
        check_actions(service, &path, report);
    }
}

/// Ids of the endpoints of all services.
pub(super) fn endpoint_ids(manifest: &Manifest) -> HashSet<&str> {
    let endpoints = manifest.services.iter().flat_map(|service| &service.endpoints);
    endpoints.map(|endpoint| endpoint.id.as_str()).collect()
}

/// Zones that endpoints may name.
struct KnownZones<'m> {
    ids: HashSet<&'m str>,
    /// Whether every zone's id was valid; if not, an endpoint may name the id that was replaced.
    all_ids_intact: bool,
}

/// Values that must be unique over all services.
struct Seen<'m> {
    services: UniqueValues<&'m str>,
    models: UniqueValues<&'m str>,
    endpoints: UniqueValues<&'m str>,
    addresses: UniqueValues<SocketAddr>,
}

impl Seen<'_> {
    fn new() -> Self {
        Seen {
            services: UniqueValues::new("each service id once"),
            models: UniqueValues::new("each model in one service"),
            endpoints: UniqueValues::new("each endpoint id once over all services"),
            addresses: UniqueValues::new("each address for one endpoint"),
        }
    }
}

fn check_models<'m>(service: &'m Service, path: &str, seen: &mut Seen<'m>, report: &mut Report<'_>) {
    let field = format!("{path}.models");
    for (i, model) in service.models.iter().enumerate() {
        seen.models
            .insert(model.as_str(), model, format!("{field}[{i}]"), report);
    }
    if !report.is_intact(&format!("{path}.kind")) {
        return;
    }
    match service.kind {
        ServiceKind::Model if service.models.is_empty() => {
            report.add(
                &field,
                "no model is named".to_owned(),
                "at least one model for a service of kind model",
            );
        }
        ServiceKind::Plain if !service.models.is_empty() => {
            report.add(
                &field,
                "a plain service serves no models".to_owned(),
                "models only for kind model",
            );
        }
        _ => {}
    }
}

fn check_pools(service: &Service, path: &str, report: &mut Report<'_>) {
    let max_pools = service.endpoints.len().max(1);
    let pools = usize::try_from(service.pools).unwrap_or(usize::MAX);
    if pools > max_pools && report.is_intact(&format!("{path}.endpoints")) {
        let message = format!("{pools} pools for {} endpoints", service.endpoints.len());
        report.add(&format!("{path}.pools"), message, format!("from 1 to {max_pools}"));
    }
}

fn check_endpoints<'m>(
    service: &'m Service,
    path: &str,
    zones: &KnownZones<'_>,
    seen: &mut Seen<'m>,
    report: &mut Report<'_>,
) {
    for (i, endpoint) in service.endpoints.iter().enumerate() {
        let path = format!("{path}.endpoints[{i}]");
        seen.endpoints
            .insert(endpoint.id.as_str(), &endpoint.id, format!("{path}.id"), report);
        check_address(endpoint.address, format!("{path}.address"), seen, report);
        if zones.all_ids_intact && !zones.ids.contains(endpoint.zone.as_str()) {
            let message = format!("{:?} is unknown", endpoint.zone);
            report.add(&format!("{path}.zone"), message, "the id of a zone of this manifest");
        }
        if endpoint.cold_slots > endpoint.slots && report.is_intact(&format!("{path}.slots")) {
            let message = format!("{} is more than slots", endpoint.cold_slots);
            report.add(
                &format!("{path}.cold_slots"),
                message,
                format!("from 1 to {}", endpoint.slots),
            );
        }
    }
}

fn check_address(address: SocketAddr, path: String, seen: &mut Seen<'_>, report: &mut Report<'_>) {
    if address.ip().is_unspecified() || address.port() == 0 {
        report.add(
            &path,
            format!("{address} cannot be reached"),
            "a specific IP address and a port from 1 to 65535",
        );
    }
    seen.addresses.insert(address, &address.to_string(), path, report);
}

fn check_actions(service: &Service, path: &str, report: &mut Report<'_>) {
    let field = format!("{path}.actions");
    if service.kind == ServiceKind::Model && !service.actions.is_empty() && report.is_intact(&format!("{path}.kind")) {
        report.add(
            &field,
            "a model service has no actions".to_owned(),
            "actions only for kind plain",
        );
    }
    let mut names = UniqueValues::new("each action name once in a service");
    let mut calls = UniqueValues::new("one action for a method and path");
    for (i, action) in service.actions.iter().enumerate() {
        names.insert(action.name.as_str(), &action.name, format!("{field}[{i}].name"), report);
        if report.is_intact(&format!("{field}[{i}].method")) {
            let shown = format!("{} {}", action.method, action.path);
            let call = (action.method.as_str(), action.path.as_str());
            calls.insert(call, &shown, format!("{field}[{i}].path"), report);
        }
    }
}
