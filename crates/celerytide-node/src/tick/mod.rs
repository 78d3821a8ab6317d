//! Periodic work of a process: detects suspensions of the process, records changes of the views in the audit trail,
//! updates readiness.

use std::rc::Rc;
use std::time::Duration;

use celerytide_kernel::audit::Kind;
use celerytide_manifest::{Manifest, ZoneState};
use celerytide_membership::{Document, DocumentEvent, Freshness};
use celerytide_types::{ZoneId, now_boot};
use monoio::time::sleep;

use crate::Node;

/// Interval between ticks, far shorter than a gap that counts as a suspension of the process.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// State that was last recorded in the audit trail, so that only changes are.
#[derive(Default)]
struct LastRecorded {
    fresh: Option<bool>,
    zones: Vec<ZoneStatus>,
}

#[derive(Clone, PartialEq)]
struct ZoneStatus {
    id: ZoneId,
    state: ZoneState,
}

pub(crate) async fn run(node: Rc<Node>) {
    let mut last = LastRecorded::default();
    while !node.abort.is_cancelled() {
        let now = now_boot();
        node.membership.tick(now);
        for event in node.membership.take_events() {
            record_event(&node, &event);
        }
        let view = node.membership.view();
        if let Some(manifest) = &view.manifest {
            last.record_zones(&node, manifest);
        }
        node.ready.set("manifest", view.manifest.is_some());
        node.ready.set("instances", view.list_version > 0);
        last.record_freshness(&node, node.membership.freshness(now));
        sleep(TICK_INTERVAL).await;
    }
}

fn record_event(node: &Node, event: &DocumentEvent) {
    let kind = match (event.about, event.applied) {
        (Document::Manifest, true) => Kind::ConfigurationApplied,
        (Document::Manifest, false) => Kind::ConfigurationRefused,
        (Document::Instances, _) => Kind::InstancesChanged,
        (Document::Endpoints, _) => Kind::EndpointChanged,
    };
    let subject = match event.about {
        Document::Manifest => "manifest",
        Document::Instances => "instance-list",
        Document::Endpoints => "endpoint-list",
    };
    let cause = format!("{} (from {})", event.cause, event.origin);
    node.audit.record(kind, subject, &cause, event.version);
}

impl LastRecorded {
    fn record_zones(&mut self, node: &Node, manifest: &Manifest) {
        let zones: Vec<ZoneStatus> = manifest
            .zones
            .iter()
            .map(|z| ZoneStatus {
                id: z.id.clone(),
                state: z.state,
            })
            .collect();
        for zone in zones.iter().filter(|z| !self.zones.contains(z)) {
            let cause = match zone.state {
                ZoneState::In => "in",
                ZoneState::Out => "out",
            };
            node.audit.record(Kind::ZoneChanged, &zone.id, cause, manifest.version);
        }
        self.zones = zones;
    }

    fn record_freshness(&mut self, node: &Node, freshness: Freshness) {
        let fresh = freshness == Freshness::Fresh;
        if self.fresh == Some(fresh) {
            return;
        }
        self.fresh = Some(fresh);
        let version = node.membership.view().list_version;
        node.audit
            .record(Kind::FreshnessChanged, "views", &format!("{freshness:?}"), version);
    }
}
