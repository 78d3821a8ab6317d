//! Brings a change of the configuration to a step and holds it there.

use std::time::Duration;

use celerytide_manifest::ZoneState;
use celerytide_standin::relay::Mode;
use celerytide_types::now_unix_ms;

use super::step::links;
use crate::{
    cluster::{Cluster, Daemon, Link, wait_until},
    history::ZoneEvacuation,
    matrix::Step,
};

/// Time in which a step must be reached.
const REACH_TIMEOUT: Duration = Duration::from_secs(8);
/// Bytes of a new version that arrive before the hold.
const PART: u64 = 300;
/// The daemon that must reach the step.
const ENTRY: Daemon = Daemon::Entry(0);
/// Index of the zone that a change takes out.
const ZONE: usize = 1;

/// Changes of one run.
#[derive(Default)]
pub(super) struct Change {
    pub(super) zone_evacuation: Option<ZoneEvacuation>,
    made: bool,
}

impl Change {
    /// Publishes a change and holds it at the step; whether it reached it.
    pub(super) async fn bring(&mut self, cluster: &mut Cluster, step: Step) -> bool {
        let hold = |down| Mode::Hold {
            up: None,
            down: Some(down),
            keep: 0,
        };
        match step {
            Step::VersionSeen => cluster.set_link_mode(&links(step), hold(0)),
            Step::Fetched => cluster.set_link_mode(&links(step), hold(PART)),
            Step::Checked => return refused(cluster).await,
            Step::Applied => {
                let cut = Mode::Cut { up: true, down: true };
                cluster.set_link_mode(&[Link::Config(1)], cut);
                cluster.set_link_mode(&links(step), cut);
            }
            _ => {
                cluster.set_link_mode(&[Link::Config(1)], Mode::Cut { up: true, down: true });
                cluster.set_link_mode(&links(step), hold(0));
            }
        }
        self.publish(cluster);
        let version = cluster.manifest.version;
        let cluster = &*cluster;
        match step {
            Step::VersionSeen | Step::Fetched => {
                let held = || {
                    links(step)
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
        if let Some(zone) = cluster.manifest.zones.get_mut(ZONE) {
            zone.state = ZoneState::Out;
        }
        self.made = true;
        cluster
            .publish_manifest()
            .expect("the service takes what tests publish");
    }

    /// Notes that from now on nothing keeps the news from any entry.
    pub(super) fn reachable(&mut self, _cluster: &Cluster) {
        if self.made {
            self.zone_evacuation = Some(ZoneEvacuation {
                plain: ZONE,
                reachable_unix_ms: now_unix_ms(),
            });
        }
    }
}

/// Publishes a version that the checks refuse; whether the first entry refused it and kept the earlier one in force.
async fn refused(cluster: &mut Cluster) -> bool {
    let (before, refusals) = (active_version(cluster, ENTRY).await, refusals(cluster).await);
    cluster.manifest.version += 1;
    // Each version has a fault of its own: the trail keeps a repeated refusal once.
    let version = cluster.manifest.version;
    let text = format!("format: 1\nversion: {version}\nnothing-{version}: true\n");
    cluster
        .publish_manifest_text(&text)
        .expect("the service takes what tests publish");
    let cluster = &*cluster;
    let refused = wait_until(REACH_TIMEOUT, async || self::refusals(cluster).await > refusals).await;
    refused && active_version(cluster, ENTRY).await == before
}

/// Configurations that the first entry refused, by its audit trail.
async fn refusals(cluster: &Cluster) -> usize {
    let trail = cluster.control.get(cluster.operator_addr(ENTRY), "/audit").await;
    let records = trail.and_then(|t| t.as_array().cloned()).unwrap_or_default();
    records.iter().filter(|r| r["kind"] == "configuration-refused").count()
}

/// The version in force at a daemon; 0 if it doesn't answer.
pub(super) async fn active_version(cluster: &Cluster, daemon: Daemon) -> u64 {
    let status = cluster.status(daemon).await;
    status["manifest"]["version"].as_u64().unwrap_or(0)
}
