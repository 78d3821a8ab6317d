//! Publishes a configuration change and holds it at a step.

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

/// Timeout for reaching a step.
const REACH_TIMEOUT: Duration = Duration::from_secs(8);
/// Bytes of a new version that are let through before the rest is held.
const VERSION_PREFIX_BYTES: u64 = 300;
/// Daemon that has to reach the step.
const ENTRY: Daemon = Daemon::Entry(0);
/// Index of the zone that a change takes out of service.
const EVACUATED_ZONE: usize = 1;

/// Configuration changes of a run.
#[derive(Default)]
pub(super) struct ConfigChange {
    pub(super) zone_evacuation: Option<ZoneEvacuation>,
    is_published: bool,
}

impl ConfigChange {
    /// Publishes a change and holds it at `step`; returns whether the step was reached.
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

    /// Publishes the next version, with one zone out of service.
    pub(super) fn publish(&mut self, cluster: &mut Cluster) {
        cluster.manifest.version += 1;
        if let Some(zone) = cluster.manifest.zones.get_mut(EVACUATED_ZONE) {
            zone.state = ZoneState::Out;
        }
        self.is_published = true;
        cluster
            .publish_manifest()
            .expect("the configuration service accepts what tests publish");
    }

    /// Records that from now on every entry is able to learn of the evacuation.
    pub(super) fn record_evacuation(&mut self, _cluster: &Cluster) {
        if self.is_published {
            self.zone_evacuation = Some(ZoneEvacuation {
                plain: EVACUATED_ZONE,
                reachable_unix_ms: now_unix_ms(),
            });
        }
    }
}

/// Publishes an invalid version; returns whether the first entry rejected it and kept the earlier one active.
async fn publish_invalid(cluster: &mut Cluster) -> bool {
    let (before, rejection_count) = (active_version(cluster, ENTRY).await, rejection_count(cluster).await);
    cluster.manifest.version += 1;
    // Each version has a different error, because the audit trail records a repeated rejection only once.
    let version = cluster.manifest.version;
    let text = format!("format: 1\nversion: {version}\nnothing-{version}: true\n");
    cluster
        .publish_manifest_text(&text)
        .expect("the configuration service accepts what tests publish");
    let cluster = &*cluster;
    let rejected = wait_until(REACH_TIMEOUT, async || {
        self::rejection_count(cluster).await > rejection_count
    })
    .await;
    rejected && active_version(cluster, ENTRY).await == before
}

/// Number of configurations that the first entry rejected, by its audit trail.
async fn rejection_count(cluster: &Cluster) -> usize {
    let trail = cluster.control.get(cluster.operator_addr(ENTRY), "/audit").await;
    let records = trail.and_then(|t| t.as_array().cloned()).unwrap_or_default();
    records.iter().filter(|r| r["kind"] == "configuration-refused").count()
}

/// Active configuration version of a daemon; 0 if it doesn't respond.
pub(super) async fn active_version(cluster: &Cluster, daemon: Daemon) -> u64 {
    let status = cluster.status(daemon).await;
    status["manifest"]["version"].as_u64().unwrap_or(0)
}
