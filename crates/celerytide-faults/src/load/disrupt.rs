//! What is done to daemons and links, and undone again.

use std::time::Duration;

use celerytide_standin::relay::Mode;
use monoio::time::sleep;

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
}

pub(super) async fn disrupt(world: &mut World, disruption: Disruption) -> Result<(), String> {
    let owner = owner(world).await.ok_or("the model service has no owner")?;
    match disruption {
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
