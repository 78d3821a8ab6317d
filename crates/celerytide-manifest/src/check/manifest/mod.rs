//! What the fields of a manifest say together.

mod classes;
mod services;

use crate::report::Report;
use crate::{Customer, Manifest, OrderKind};

use super::unique::Unique;

/// Checks a manifest whose single fields are in order or replaced.
pub(crate) fn check(manifest: &Manifest, report: &mut Report<'_>) {
    zones(manifest, report);
    services::check(manifest, report);
    classes::check(manifest, report);
    customers(&manifest.customers, report);
    sections(manifest, report);
    orders(manifest, report);
}

fn zones(manifest: &Manifest, report: &mut Report<'_>) {
    let mut ids = Unique::new("each zone id once");
    for (i, zone) in manifest.zones.iter().enumerate() {
        ids.note(zone.id.as_str(), &zone.id, format!("zones[{i}].id"), report);
    }
}

/// Checks customers against each other.
pub(super) fn customers(customers: &[Customer], report: &mut Report<'_>) {
    let mut ids = Unique::new("each customer id once");
    let mut keys = Unique::new("each key for one customer");
    for (i, customer) in customers.iter().enumerate() {
        ids.note(customer.id.as_str(), &customer.id, format!("customers[{i}].id"), report);
        let path = format!("customers[{i}].key_sha256");
        keys.note(customer.key_sha256, "the key", path, report);
    }
}

fn sections(manifest: &Manifest, report: &mut Report<'_>) {
    let mut digests = Unique::new("each section once");
    for (i, digest) in manifest.customer_sections.iter().enumerate() {
        digests.note(
            digest.as_str(),
            "the section",
            format!("customer_sections[{i}]"),
            report,
        );
    }
}

fn orders(manifest: &Manifest, report: &mut Report<'_>) {
    let known = services::endpoint_ids(manifest);
    let endpoints_trusted = report.trusts_all("services.endpoints.id");
    let mut orders = Unique::new("each order once");
    let mut roles = Unique::new("one role for an endpoint");
    for (i, order) in manifest.orders.iter().enumerate() {
        let path = format!("orders[{i}].endpoint");
        if endpoints_trusted && !known.contains(order.endpoint.as_str()) {
            report.add(
                &path,
                format!("{:?} is unknown", order.endpoint),
                "the id of an endpoint of a service",
            );
        }
        if !report.trusts(&path) || !report.trusts(&format!("orders[{i}].kind")) {
            continue;
        }
        let name_path = format!("orders[{i}].name");
        match order.kind {
            OrderKind::SetRole => roles.note(&order.endpoint, "a role of the endpoint", name_path, report),
            kind => {
                let value = (&order.endpoint, kind as u8, &order.name);
                orders.note(value, "the order", name_path, report);
            }
        }
    }
}
