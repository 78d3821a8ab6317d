//! Whether an endpoint accepts new work, as a pure function of one view.
//!
//! It does not if its zone is out or unknown in the manifest, or if the list shows it as leaving or doesn't contain it.
//! Entry and dispatch processes each check their own view, so it is enough if one of them has learned of the change.

use celerytide_manifest::{EndpointSpec, ZoneState};

use crate::view::View;

/// Whether new work may be sent to the endpoint.
pub fn accepts_new_work(view: &View, spec: &EndpointSpec) -> bool {
    let listed_live = view.endpoint(&spec.id).is_some_and(|e| e.live);
    listed_live && is_zone_in_service(view, &spec.zone)
}

/// Whether the zone is in service according to the manifest; false if the manifest doesn't name it.
pub fn is_zone_in_service(view: &View, zone: &str) -> bool {
    let Some(manifest) = &view.manifest else { return false };
    manifest.zone(zone).is_some_and(|z| z.state == ZoneState::In)
}
