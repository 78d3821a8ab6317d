//! Brings a change of the configuration to a step and holds it there.

use std::time::Duration;

use celerytide_manifest::ZoneState;
use celerytide_standin::relay::Mode;
use celerytide_types::now_unix_ms;

use super::step::step_links;
use crate::{
    cluster::{Cluster, Daemon, Link, wait_until},
    history::ZoneEvacuation,
    matrix::Step,
};

/// Time in which a step must be reached.
const REACH_TIMEOUT: Duration = Duration::from_secs(8);
/// Bytes of a new version that arrive before the hold.
const VERSION_PREFIX_BYTES: u64 = 300;
/// The daemon that must reach the step.
const ENTRY: Daemon = Daemon::Entry(0);
/// Index of the zone that a change takes out.
const EVACUATED_ZONE: usize = 1;

/// Changes of one run.
#[derive(Default)]
pub(super) struct ConfigChange {
    pub(super) zone_evacuation: Option<ZoneEvacuation>,
    is_published: bool,
}

impl ConfigChange {
    /// Publishes a change and holds it at the step; whether it reached it.
    pub(super) async fn hold_change(&mut self, cluster: &mut Cluster, step: Step) -> bool {
        let hold = |down| Mode::Hold {
            up: None,
            down: Some(down),
            keep: 0,
        };
        match step {
            Step::VersionSeen => cluster.set_link_mode(&step_links(step), hold(0)),
            Step::Fetched => cluster.set_link_mode(&step_links(step), hold(VERSION_PREFIX_BYTES)),
            Step::Checked => return publish_invalid(cluster).await,
            Step::Applied => {
                let cut = Mode::Cut { up: true, down: true };
                cluster.set_link_mode(&[Link::Config(1)], cut);
                cluster.set_link_mode(&step_links(step), cut);
            }
            _ => {
                cluster.set_link_mode(&[Link::Config(1)], Mode::Cut { up: true, down: true });
                cluster.set_link_mode(&step_links(step), hold(0));
            }
        }
        self.publish(cluster);
        let version = cluster.manifest.version;
        let cluster = &*cluster;
        match step {
            Step::VersionSeen | Step::Fetched => {
                let held = || {
                    step_links(step)
                        .into_iter()
                        .all(|link| cluster.link_state(link).held_down > 0)
                };
                wait_until(REACH_TIMEOUT, async || held()).await
            }
            _ => wait_until(REACH_TIMEOUT, async || active_version(cluster, ENTRY).await == version).await,
        }
    }

    /// Publishes the next version, with the zone out.
    pub(super) fn publish(&mut self, cluster: &mut Cluster) {
        cluster.manifest.version += 1;
        if let Some(zone) = cluster.manifest.zones.get_mut(EVACUATED_ZONE) {
            zone.state = ZoneState::Out;
        }
        self.is_published = true;
        cluster
            .publish_manifest()
            .expect("the service takes what tests publish");
    }

    /// Notes that from now on nothing keeps the news from any entry.
    pub(super) fn record_evacuation(&mut self, _cluster: &Cluster) {
        if self.is_published {
            self.zone_evacuation = Some(ZoneEvacuation {
                plain: EVACUATED_ZONE,
                reachable_unix_ms: now_unix_ms(),
            });
        }
    }
}

/// Publishes a version that the checks refuse; whether the first entry refused it and kept the earlier one in force.
async fn publish_invalid(cluster: &mut Cluster) -> bool {
    let (before, rejection_count) = (active_version(cluster, ENTRY).await, rejection_count(cluster).await);
    cluster.manifest.version += 1;
    // Each version has a fault of its own: the trail keeps a repeated refusal once.
    let version = cluster.manifest.version;
    let text = format!("format: 1\nversion: {version}\nnothing-{version}: true\n");
    cluster
        .publish_manifest_text(&text)
        .expect("the service takes what tests publish");
    let cluster = &*cluster;
    let rejected = wait_until(REACH_TIMEOUT, async || {
        self::rejection_count(cluster).await > rejection_count
    })
    .await;
    rejected && active_version(cluster, ENTRY).await == before
}

/// Configurations that the first entry refused, by its audit trail.
async fn rejection_count(cluster: &Cluster) -> usize {
    let trail = cluster.control.get(cluster.operator_addr(ENTRY), "/audit").await;
    let records = trail.and_then(|t| t.as_array().cloned()).unwrap_or_default();
    records.iter().filter(|r| r["kind"] == "configuration-refused").count()
}

/// The version in force at a daemon; 0 if it doesn't answer.
pub(super) async fn active_version(cluster: &Cluster, daemon: Daemon) -> u64 {
    let status = cluster.status(daemon).await;
    status["manifest"]["version"].as_u64().unwrap_or(0)
}
