//! Checks classes one by one, then all classes of each service together.

use std::collections::HashMap;

use crate::report::Report;
use crate::{Class, Manifest, Service, ServiceKind};

use super::super::unique::UniqueValues;

/// Largest sum of the guaranteed shares of a service's classes.
const MAX_SHARE_SUM: f64 = 0.9;

/// Tolerance for rounding errors in the sum.
const SHARE_SUM_TOLERANCE: f64 = 1e-9;

/// Checks every class.
pub(super) fn check(manifest: &Manifest, report: &mut Report<'_>) {
    let mut names = UniqueValues::new("each class name once");
    let services = ServiceIndex::new(manifest, report);
    for (i, class) in manifest.classes.iter().enumerate() {
        names.insert(class.name.as_str(), &class.name, format!("classes[{i}].name"), report);
        check_class(class, i, &services, report);
    }
    if report.all_intact("classes.service") {
        check_classes_by_service(manifest, report);
    }
}

/// Services by id, each with its index in the manifest.
struct ServiceIndex<'m> {
    by_id: HashMap<&'m str, (usize, &'m Service)>,
    /// Whether every service's id was valid; if not, a class may name the id that was replaced.
    all_ids_intact: bool,
}

impl<'m> ServiceIndex<'m> {
    fn new(manifest: &'m Manifest, report: &Report<'_>) -> ServiceIndex<'m> {
        let mut by_id = HashMap::new();
        for (i, service) in manifest.services.iter().enumerate() {
            by_id.entry(service.id.as_str()).or_insert((i, service));
        }
        ServiceIndex {
            by_id,
            all_ids_intact: report.all_intact("services.id"),
        }
    }
}

fn check_class(class: &Class, i: usize, services: &ServiceIndex<'_>, report: &mut Report<'_>) {
    let Some((index, service)) = services.by_id.get(class.service.as_str()) else {
        if services.all_ids_intact {
            let message = format!("{:?} is unknown", class.service);
            report.add(
                &format!("classes[{i}].service"),
                message,
                "the id of a service of this manifest",
            );
        }
        return;
    };
    let plain = service.kind == ServiceKind::Plain && report.is_intact(&format!("services[{index}].kind"));
    if plain && class.between_tokens.is_some() {
        let message = format!("{} is a plain service", service.id);
        report.add(
            &format!("classes[{i}].between_tokens"),
            message,
            "only for a service of kind model",
        );
    }
}

/// A class and its index in the manifest.
type IndexedClass<'m> = (usize, &'m Class);

fn check_classes_by_service(manifest: &Manifest, report: &mut Report<'_>) {
    let mut classes: HashMap<&str, Vec<IndexedClass<'_>>> = HashMap::new();
    for (i, class) in manifest.classes.iter().enumerate() {
        classes.entry(class.service.as_str()).or_default().push((i, class));
    }
    let defaults_intact = report.all_intact("classes.default");
    for (i, service) in manifest.services.iter().enumerate() {
        let classes = classes.get(service.id.as_str()).map_or(&[][..], Vec::as_slice);
        check_shares(classes, &service.id, report);
        check_default_classes(classes, &service.id, report);
        let has_default = classes.iter().any(|(_, class)| class.default);
        if !has_default && defaults_intact {
            let message = format!("{} has no default class", service.id);
            report.add(
                &format!("services[{i}].id"),
                message,
                "exactly one default class for a service",
            );
        }
    }
}

fn check_shares(classes: &[IndexedClass<'_>], service: &str, report: &mut Report<'_>) {
    let mut sum = 0.0;
    for (i, class) in classes {
        let path = format!("classes[{i}].guaranteed_share");
        if !report.is_intact(&path) {
            return;
        }
        sum += class.guaranteed_share;
        if sum > MAX_SHARE_SUM + SHARE_SUM_TOLERANCE {
            let message = format!("the shares of {service} add up to {sum:.3} here");
            report.add(
                &path,
                message,
                format!("at most {MAX_SHARE_SUM} over all classes of a service"),
            );
            return;
        }
    }
}

fn check_default_classes(classes: &[IndexedClass<'_>], service: &str, report: &mut Report<'_>) {
    let mut defaults = classes.iter().filter(|(_, class)| class.default);
    let Some((_, first)) = defaults.next() else {
        return;
    };
    for (i, _) in defaults {
        let message = format!("{} is the default class of {service} already", first.name);
        report.add(
            &format!("classes[{i}].default"),
            message,
            "exactly one default class for a service",
        );
    }
}
