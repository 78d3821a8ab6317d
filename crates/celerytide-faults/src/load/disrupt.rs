//! What is done to daemons and links, and undone again.

use std::time::Duration;

use celerytide_manifest::ZoneState;
use celerytide_standin::relay::Mode;
use celerytide_types::now_unix_ms;
use monoio::time::sleep;

use crate::history::{InForce, ZoneOut};
use crate::world::{Daemon, ENGINES, INSTANCES, Link, PLAINS, World};

/// Time for which a killed daemon is away.
const AWAY: Duration = Duration::from_millis(1000);
/// Longer than each bound that a request meets, than a permit's age and than an owner goes on without a view.
const PAST_BOUNDS: Duration = Duration::from_millis(4500);
/// Longer than the term of an owner as well.
const PAST_TERM: Duration = Duration::from_millis(9000);
/// Answers of each endpoint that are spoilt, and the time between them.
const SPOILT: usize = 12;
const SPOIL_EVERY: Duration = Duration::from_millis(250);
/// Index of the zone that a change concerns.
const ZONE: usize = 1;
/// Looks at the versions in force after a publication, and the time between them.
const LOOKS: usize = 15;
const LOOK: Duration = Duration::from_millis(150);
/// Service whose owner is meant by a target.
const SERVICE: &str = "assist/";

/// A daemon by its part in the ownership of the model service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// The entry of the owner's instance.
    OwnersEntry,
    /// The entry of the other instance.
    OtherEntry,
    /// The dispatch that owns.
    Owner,
    /// The dispatch that doesn't.
    OtherDispatch,
}

/// Links that are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// Between our processes, all.
    Peers,
    /// To the owner's instance from all others; it reaches them.
    ToOwner,
    /// From all instances to the configuration service.
    Config,
    /// From the owner's instance to the configuration service.
    OwnersConfig,
    /// To all endpoints.
    Endpoints,
    /// To the endpoints of one availability zone.
    ZoneEndpoints,
}

/// What becomes of endpoints' answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answers {
    /// Two carry each other's request id and body.
    Crossed,
    /// They end before their end.
    CutMidAnswer,
    /// The request runs, and the connection is closed before the answer.
    Reset,
}

impl Answers {
    fn fault(self) -> &'static str {
        match self {
            Answers::Crossed => r#"{"kind":"crossed"}"#,
            Answers::CutMidAnswer => r#"{"kind":"cut-mid-answer","after":5}"#,
            Answers::Reset => r#"{"kind":"reset"}"#,
        }
    }
}

/// What happens under load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disruption {
    /// A daemon is killed and started again.
    Kill(Target),
    /// A daemon is paused past the bounds and woken.
    Pause(Target),
    /// Links are cut past the bounds and healed.
    Cut {
        /// Which.
        place: Place,
        /// Nothing passes towards their far ends.
        up: bool,
        /// Nothing passes from their far ends.
        down: bool,
    },
    /// Some answers of every endpoint are spoilt.
    Spoil(Answers),
    /// An availability zone is taken out of service.
    ZoneOut,
    /// Once a new manifest is in force everywhere, the earlier one is published again.
    OlderAgain,
}

/// What a disruption adds to the record.
#[derive(Default)]
pub(super) struct Noted {
    pub(super) zone_out: Option<ZoneOut>,
    pub(super) in_force: Vec<InForce>,
}

pub(super) async fn disrupt(world: &mut World, disruption: Disruption) -> Result<Noted, String> {
    let owner = owner(world).await.ok_or("the model service has no owner")?;
    let mut noted = Noted::default();
    match disruption {
        Disruption::ZoneOut => noted.zone_out = Some(zone_out(world).await?),
        Disruption::OlderAgain => noted.in_force = older_again(world).await?,
        other => pass(world, other, owner).await?,
    }
    Ok(noted)
}

/// A disruption that passes and leaves the configuration as it was.
async fn pass(world: &mut World, disruption: Disruption, owner: usize) -> Result<(), String> {
    match disruption {
        Disruption::ZoneOut | Disruption::OlderAgain => Ok(()),
        Disruption::Kill(target) => kill(world, daemon(target, owner)).await,
        Disruption::Pause(target) => pause(world, daemon(target, owner), past(target)).await,
        Disruption::Cut { place, up, down } => {
            world.set(&links(place, owner), Mode::Cut { up, down });
            sleep(PAST_BOUNDS).await;
            world.heal();
            Ok(())
        }
        Disruption::Spoil(answers) => {
            for _ in 0..SPOILT {
                endpoints(world, answers.fault()).await;
                sleep(SPOIL_EVERY).await;
            }
            endpoints(world, r#"{"kind":"none"}"#).await;
            Ok(())
        }
    }
}

async fn zone_out(world: &mut World) -> Result<ZoneOut, String> {
    publish(world, 1, ZoneState::Out)?;
    let out = ZoneOut {
        plain: ZONE,
        reachable_unix_ms: now_unix_ms(),
    };
    sleep(PAST_BOUNDS).await;
    Ok(out)
}

async fn older_again(world: &mut World) -> Result<Vec<InForce>, String> {
    let mut seen = Vec::new();
    publish(world, 1, ZoneState::In)?;
    follow(world, &mut seen).await;
    let newest = world.manifest.clone();
    publish(world, -1, ZoneState::In)?;
    follow(world, &mut seen).await;
    world.manifest = newest;
    world.put_manifest().map_err(|e| e.to_string())?;
    Ok(seen)
}

/// Publishes the manifest with its version moved and the zone's state set.
fn publish(world: &mut World, by: i64, state: ZoneState) -> Result<(), String> {
    world.manifest.version = world.manifest.version.saturating_add_signed(by);
    if let Some(zone) = world.manifest.zones.get_mut(ZONE) {
        zone.state = state;
    }
    world.put_manifest().map_err(|e| e.to_string())
}

/// Notes the version in force at each daemon for longer than a round of reads and of gossip.
async fn follow(world: &World, seen: &mut Vec<InForce>) {
    for _ in 0..LOOKS {
        for at in 0..INSTANCES {
            for daemon in [Daemon::Entry(at), Daemon::Dispatch(at)] {
                let status = world.status(daemon).await;
                let Some(version) = status["manifest"]["version"].as_u64() else {
                    continue;
                };
                seen.push(InForce {
                    process: format!("{daemon:?}"),
                    incarnation: status["incarnation"].as_str().unwrap_or_default().to_owned(),
                    version,
                });
            }
        }
        sleep(LOOK).await;
    }
}

async fn kill(world: &mut World, daemon: Daemon) -> Result<(), String> {
    world.daemon_mut(daemon).kill();
    sleep(AWAY).await;
    world.restart(daemon).map_err(|e| e.to_string())
}

async fn pause(world: &World, daemon: Daemon, time: Duration) -> Result<(), String> {
    let process = world.daemon(daemon);
    process.pause().map_err(|e| e.to_string())?;
    sleep(time).await;
    process.resume().map_err(|e| e.to_string())
}

/// Tells every endpoint a fault.
async fn endpoints(world: &World, json: &str) {
    let engines = (0..ENGINES).map(Daemon::Engine);
    for daemon in engines.chain((0..PLAINS).map(Daemon::Plain)) {
        world.http.fault(world.operator(daemon), json).await;
    }
}

fn past(target: Target) -> Duration {
    match target {
        Target::Owner => PAST_TERM,
        _ => PAST_BOUNDS,
    }
}

fn daemon(target: Target, owner: usize) -> Daemon {
    let other = (owner + 1) % INSTANCES;
    match target {
        Target::OwnersEntry => Daemon::Entry(owner),
        Target::OtherEntry => Daemon::Entry(other),
        Target::Owner => Daemon::Dispatch(owner),
        Target::OtherDispatch => Daemon::Dispatch(other),
    }
}

fn links(place: Place, owner: usize) -> Vec<Link> {
    match place {
        Place::Peers => [Link::both(Link::EntryPeer), Link::both(Link::DispatchPeer)].concat(),
        Place::ToOwner => vec![Link::EntryPeer(owner), Link::DispatchPeer(owner)],
        Place::Config => Link::both(Link::Config),
        Place::OwnersConfig => vec![Link::Config(owner)],
        Place::Endpoints => Link::endpoints(),
        Place::ZoneEndpoints => vec![Link::Engine(0), Link::Plain(0)],
    }
}

/// The instance whose dispatch owns the model service.
async fn owner(world: &World) -> Option<usize> {
    for at in 0..INSTANCES {
        let pools = world.pools(at).await;
        let owned = pools.iter().filter_map(|pool| pool["pool"].as_str());
        if owned.into_iter().any(|id| id.starts_with(SERVICE)) {
            return Some(at);
        }
    }
    None
}
