//! Whether an endpoint takes new work, as a pure function of one view.
//!
//! Three things close it: its zone is out (or unknown) in the manifest, the list shows it as leaving, or the list doesn't
//! show it. Entry and dispatch each ask their own view, so the news needs to reach only one of the two.

use celerytide_manifest::{EndpointSpec, ZoneState};

use crate::view::View;

/// Whether new work may go to the endpoint.
pub fn accepts_new_work(view: &View, spec: &EndpointSpec) -> bool {
    let listed_live = view.endpoint(&spec.id).is_some_and(|e| e.live);
    listed_live && is_zone_in_service(view, &spec.zone)
}

/// Whether the manifest has the zone in service; false for a zone that it doesn't name.
pub fn is_zone_in_service(view: &View, zone: &str) -> bool {
    let Some(manifest) = &view.manifest else { return false };
    manifest.zone(zone).is_some_and(|z| z.state == ZoneState::In)
}
