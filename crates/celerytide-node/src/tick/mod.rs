//! The process's own clockwork: notices pauses, drains news into the audit trail, keeps readiness true.

use std::rc::Rc;
use std::time::Duration;

use celerytide_kernel::audit::Kind;
use celerytide_manifest::{Manifest, ZoneState};
use celerytide_membership::{Document, DocumentEvent, Freshness};
use celerytide_types::{ZoneId, now_boot};
use monoio::time::sleep;

use crate::Node;

/// Time between ticks; far below the bound that counts as a pause.
const TICK: Duration = Duration::from_millis(100);

/// What the last tick saw.
#[derive(Default)]
struct Seen {
    fresh: Option<bool>,
    zones: Vec<ZoneSeen>,
}

#[derive(Clone, PartialEq)]
struct ZoneSeen {
    id: ZoneId,
    state: ZoneState,
}

pub(crate) async fn run(node: Rc<Node>) {
    let mut seen = Seen::default();
    while !node.abort.is_cancelled() {
        let now = now_boot();
        node.membership.tick(now);
        for news in node.membership.take_events() {
            record(&node, &news);
        }
        let view = node.membership.view();
        if let Some(manifest) = &view.manifest {
            seen.zones(&node, manifest);
        }
        node.ready.set("manifest", view.manifest.is_some());
        node.ready.set("instances", view.list_version > 0);
        seen.freshness(&node, node.membership.freshness(now));
        sleep(TICK).await;
    }
}

fn record(node: &Node, news: &DocumentEvent) {
    let kind = match (news.about, news.applied) {
        (Document::Manifest, true) => Kind::ConfigurationApplied,
        (Document::Manifest, false) => Kind::ConfigurationRefused,
        (Document::Instances, _) => Kind::InstancesChanged,
        (Document::Endpoints, _) => Kind::EndpointChanged,
    };
    let subject = match news.about {
        Document::Manifest => "manifest",
        Document::Instances => "instance-list",
        Document::Endpoints => "endpoint-list",
    };
    let cause = format!("{} (from {})", news.cause, news.origin);
    node.audit.record(kind, subject, &cause, news.version);
}

impl Seen {
    fn zones(&mut self, node: &Node, manifest: &Manifest) {
        let zones: Vec<ZoneSeen> = manifest
            .zones
            .iter()
            .map(|z| ZoneSeen {
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

    fn freshness(&mut self, node: &Node, freshness: Freshness) {
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
