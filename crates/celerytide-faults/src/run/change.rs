//! Brings a change of the configuration to a step and holds it there.

use std::time::Duration;

use celerytide_manifest::ZoneState;
use celerytide_standin::relay::Mode;
use celerytide_types::now_unix_ms;

use super::step::links;
use crate::{
    history::ZoneOut,
    matrix::Step,
    world::{Daemon, Link, World, until},
};

/// Time in which a step must be reached.
const REACH: Duration = Duration::from_secs(8);
/// Bytes of a new version that arrive before the hold.
const PART: u64 = 300;
/// The daemon that must reach the step.
const ENTRY: Daemon = Daemon::Entry(0);
/// Index of the zone that a change takes out.
const ZONE: usize = 1;

/// Changes of one run.
#[derive(Default)]
pub(super) struct Change {
    pub(super) zone_out: Option<ZoneOut>,
    made: bool,
}

impl Change {
    /// Publishes a change and holds it at the step; whether it reached it.
    pub(super) async fn bring(&mut self, world: &mut World, step: Step) -> bool {
        let hold = |down| Mode::Hold {
            up: None,
            down: Some(down),
            keep: 0,
        };
        match step {
            Step::Seen => world.set(&links(step), hold(0)),
            Step::Fetched => world.set(&links(step), hold(PART)),
            Step::Checked => return refused(world).await,
            Step::Applied => {
                let cut = Mode::Cut { up: true, down: true };
                world.set(&[Link::Config(1)], cut);
                world.set(&links(step), cut);
            }
            _ => {
                world.set(&[Link::Config(1)], Mode::Cut { up: true, down: true });
                world.set(&links(step), hold(0));
            }
        }
        self.publish(world);
        let version = world.manifest.version;
        let world = &*world;
        match step {
            Step::Seen | Step::Fetched => {
                let held = || links(step).into_iter().all(|link| world.link(link).held_down > 0);
                until(REACH, async || held()).await
            }
            _ => until(REACH, async || in_force(world, ENTRY).await == version).await,
        }
    }

    /// Publishes the next version, with the zone out.
    pub(super) fn publish(&mut self, world: &mut World) {
        world.manifest.version += 1;
        if let Some(zone) = world.manifest.zones.get_mut(ZONE) {
            zone.state = ZoneState::Out;
        }
        self.made = true;
        world.put_manifest().expect("the service takes what tests publish");
    }

    /// Notes that from now on nothing keeps the news from any entry.
    pub(super) fn reachable(&mut self, _world: &World) {
        if self.made {
            self.zone_out = Some(ZoneOut {
                plain: ZONE,
                reachable_unix_ms: now_unix_ms(),
            });
        }
    }
}

/// Publishes a version that the checks refuse; whether the first entry refused it and kept the earlier one in force.
async fn refused(world: &mut World) -> bool {
    let (before, refusals) = (in_force(world, ENTRY).await, refusals(world).await);
    world.manifest.version += 1;
    // Each version has a fault of its own: the trail keeps a repeated refusal once.
    let version = world.manifest.version;
    let text = format!("format: 1\nversion: {version}\nnothing-{version}: true\n");
    world
        .put_manifest_text(&text)
        .expect("the service takes what tests publish");
    let world = &*world;
    let refused = until(REACH, async || self::refusals(world).await > refusals).await;
    refused && in_force(world, ENTRY).await == before
}

/// Configurations that the first entry refused, by its audit trail.
async fn refusals(world: &World) -> usize {
    let trail = world.http.get(world.operator(ENTRY), "/audit").await;
    let records = trail.and_then(|t| t.as_array().cloned()).unwrap_or_default();
    records.iter().filter(|r| r["kind"] == "configuration-refused").count()
}

/// The version in force at a daemon; 0 if it doesn't answer.
pub(super) async fn in_force(world: &World, daemon: Daemon) -> u64 {
    let status = world.status(daemon).await;
    status["manifest"]["version"].as_u64().unwrap_or(0)
}
