//! Classes and the services that they are for.

use crate::report::Report;
use crate::{Class, Manifest, ServiceKind};

use super::super::unique::Unique;

/// Most that the shares of a service's classes may add up to.
const SHARES_MAX: f64 = 0.9;

/// Room for rounding in a sum of shares.
const SHARES_ROUNDING: f64 = 1e-9;

/// Checks every class.
pub(super) fn check(manifest: &Manifest, report: &mut Report<'_>) {
    let mut names = Unique::new("each class name once");
    let services_known = report.trusts_all("services.id");
    for (i, class) in manifest.classes.iter().enumerate() {
        names.note(class.name.as_str(), &class.name, format!("classes[{i}].name"), report);
        service(manifest, class, i, services_known, report);
    }
    if !report.trusts_all("classes.service") {
        return;
    }
    let defaults_known = report.trusts_all("classes.default");
    for (i, service) in manifest.services.iter().enumerate() {
        shares(manifest, &service.id, report);
        default_class(
            manifest,
            &service.id,
            &format!("services[{i}].id"),
            defaults_known,
            report,
        );
    }
}

fn service(manifest: &Manifest, class: &Class, i: usize, services_known: bool, report: &mut Report<'_>) {
    let Some((at, service)) = manifest
        .services
        .iter()
        .enumerate()
        .find(|(_, s)| s.id == class.service)
    else {
        if services_known {
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

fn shares(manifest: &Manifest, service: &str, report: &mut Report<'_>) {
    let mut sum = 0.0;
    for (i, class) in of_service(manifest, service) {
        let path = format!("classes[{i}].guaranteed_share");
        if !report.trusts(&path) {
            return;
        }
        let before = sum;
        sum += class.guaranteed_share;
        if sum > SHARES_MAX + SHARES_ROUNDING && before <= SHARES_MAX + SHARES_ROUNDING {
            let message = format!("the shares of {service} add up to {sum:.3} here");
            report.add(
                &path,
                message,
                format!("at most {SHARES_MAX} over all classes of a service"),
            );
        }
    }
}

fn default_class(manifest: &Manifest, service: &str, path: &str, defaults_known: bool, report: &mut Report<'_>) {
    let mut first = None;
    for (i, class) in of_service(manifest, service).filter(|(_, class)| class.default) {
        match first {
            None => first = Some(&class.name),
            Some(name) => {
                let message = format!("{name} is the default class of {service} already");
                report.add(
                    &format!("classes[{i}].default"),
                    message,
                    "exactly one default class for a service",
                );
            }
        }
    }
    if first.is_none() && defaults_known {
        let message = format!("{service} has no default class");
        report.add(path, message, "exactly one default class for a service");
    }
}

fn of_service<'m>(manifest: &'m Manifest, service: &str) -> impl Iterator<Item = (usize, &'m Class)> {
    let classes = manifest.classes.iter().enumerate();
    classes.filter(move |(_, class)| class.service == service)
}
