//! Classes and the services that they are for.

use std::collections::HashMap;

use crate::report::Report;
use crate::{Class, Manifest, Service, ServiceKind};

use super::super::unique::Unique;

/// Most that the shares of a service's classes may add up to.
const SHARES_MAX: f64 = 0.9;

/// Room for rounding in a sum of shares.
const SHARES_ROUNDING: f64 = 1e-9;

/// Checks every class.
pub(super) fn check(manifest: &Manifest, report: &mut Report<'_>) {
    let mut names = Unique::new("each class name once");
    let services = ServiceIndex::new(manifest, report);
    for (i, class) in manifest.classes.iter().enumerate() {
        names.note(class.name.as_str(), &class.name, format!("classes[{i}].name"), report);
        service(class, i, &services, report);
    }
    if report.trusts_all("classes.service") {
        per_service(manifest, report);
    }
}

/// Services by id, each with its position.
struct ServiceIndex<'m> {
    by_id: HashMap<&'m str, (usize, &'m Service)>,
    /// Whether every id stands as written.
    complete: bool,
}

impl<'m> ServiceIndex<'m> {
    fn new(manifest: &'m Manifest, report: &Report<'_>) -> ServiceIndex<'m> {
        let mut by_id = HashMap::new();
        for (i, service) in manifest.services.iter().enumerate() {
            by_id.entry(service.id.as_str()).or_insert((i, service));
        }
        ServiceIndex {
            by_id,
            complete: report.trusts_all("services.id"),
        }
    }
}

fn service(class: &Class, i: usize, services: &ServiceIndex<'_>, report: &mut Report<'_>) {
    let Some((at, service)) = services.by_id.get(class.service.as_str()) else {
        if services.complete {
            let message = format!("{:?} is unknown", class.service);
            report.add(
                &format!("classes[{i}].service"),
                message,
                "the id of a service of this manifest",
            );
        }
        return;
    };
    let plain = service.kind == ServiceKind::Plain && report.trusts(&format!("services[{at}].kind"));
    if plain && class.between_tokens.is_some() {
        let message = format!("{} is a plain service", service.id);
        report.add(
            &format!("classes[{i}].between_tokens"),
            message,
            "only for a service of kind model",
        );
    }
}

/// One class and its position.
type Placed<'m> = (usize, &'m Class);

fn per_service(manifest: &Manifest, report: &mut Report<'_>) {
    let mut classes: HashMap<&str, Vec<Placed<'_>>> = HashMap::new();
    for (i, class) in manifest.classes.iter().enumerate() {
        classes.entry(class.service.as_str()).or_default().push((i, class));
    }
    let defaults_known = report.trusts_all("classes.default");
    for (i, service) in manifest.services.iter().enumerate() {
        let classes = classes.get(service.id.as_str()).map_or(&[][..], Vec::as_slice);
        shares(classes, &service.id, report);
        default_classes(classes, &service.id, report);
        let has_default = classes.iter().any(|(_, class)| class.default);
        if !has_default && defaults_known {
            let message = format!("{} has no default class", service.id);
            report.add(
                &format!("services[{i}].id"),
                message,
                "exactly one default class for a service",
            );
        }
    }
}

fn shares(classes: &[Placed<'_>], service: &str, report: &mut Report<'_>) {
    let mut sum = 0.0;
    for (i, class) in classes {
        let path = format!("classes[{i}].guaranteed_share");
        if !report.trusts(&path) {
            return;
        }
        sum += class.guaranteed_share;
        if sum > SHARES_MAX + SHARES_ROUNDING {
            let message = format!("the shares of {service} add up to {sum:.3} here");
            report.add(
                &path,
                message,
                format!("at most {SHARES_MAX} over all classes of a service"),
            );
            return;
        }
    }
}

fn default_classes(classes: &[Placed<'_>], service: &str, report: &mut Report<'_>) {
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
