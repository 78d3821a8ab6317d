//! Checks the fields of a manifest against each other.

mod classes;
mod services;

use crate::report::Report;
use crate::{Customer, Manifest, OrderKind};

use super::unique::UniqueValues;

/// Second pass over a manifest; checks that depend on a field with a fault from the first pass are skipped.
pub(crate) fn check(manifest: &Manifest, report: &mut Report<'_>) {
    check_zones(manifest, report);
    services::check(manifest, report);
    classes::check(manifest, report);
    check_customers(&manifest.customers, report);
    check_sections(manifest, report);
    check_orders(manifest, report);
}

fn check_zones(manifest: &Manifest, report: &mut Report<'_>) {
    let mut ids = UniqueValues::new("each zone id once");
    for (i, zone) in manifest.zones.iter().enumerate() {
        ids.insert(zone.id.as_str(), &zone.id, format!("zones[{i}].id"), report);
    }
}

/// Reports repeated customer ids and keys.
pub(super) fn check_customers(customers: &[Customer], report: &mut Report<'_>) {
    let mut ids = UniqueValues::new("each customer id once");
    let mut keys = UniqueValues::new("each key for one customer");
    for (i, customer) in customers.iter().enumerate() {
        ids.insert(customer.id.as_str(), &customer.id, format!("customers[{i}].id"), report);
        let path = format!("customers[{i}].key_sha256");
        keys.insert(customer.key_sha256, "the key", path, report);
    }
}

fn check_sections(manifest: &Manifest, report: &mut Report<'_>) {
    let mut digests = UniqueValues::new("each section once");
    for (i, digest) in manifest.customer_sections.iter().enumerate() {
        digests.insert(
            digest.as_str(),
            "the section",
            format!("customer_sections[{i}]"),
            report,
        );
    }
}

fn check_orders(manifest: &Manifest, report: &mut Report<'_>) {
    let endpoint_ids = services::endpoint_ids(manifest);
    let endpoint_ids_intact = report.all_intact("services.endpoints.id");
    let mut orders = UniqueValues::new("each order once");
    let mut roles = UniqueValues::new("one role for an endpoint");
    for (i, order) in manifest.orders.iter().enumerate() {
        let path = format!("orders[{i}].endpoint");
        if endpoint_ids_intact && !endpoint_ids.contains(order.endpoint.as_str()) {
            report.add(
                &path,
                format!("{:?} is unknown", order.endpoint),
                "the id of an endpoint of a service",
            );
        }
        if !report.is_intact(&path) || !report.is_intact(&format!("orders[{i}].kind")) {
            continue;
        }
        let name_path = format!("orders[{i}].name");
        match order.kind {
            OrderKind::SetRole => roles.insert(&order.endpoint, "a role of the endpoint", name_path, report),
            kind => {
                let value = (&order.endpoint, kind as u8, &order.name);
                orders.insert(value, "the order", name_path, report);
            }
        }
    }
}
