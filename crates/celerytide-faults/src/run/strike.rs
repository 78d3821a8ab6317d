//! Lets faults strike, and lets them pass.

use std::time::Duration;

use celerytide_standin::{engine::OVERLOADS_PATH, relay::Mode};

use super::{
    callers::{Callers, Request, TOKENS},
    change::Change,
    step::links,
};
use crate::{
    history::{Kind, Ran, Sent},
    matrix::{Fault, Step, Strike},
    world::{Daemon, ENGINES, Error, INSTANCES, Link, PLAINS, World},
};

/// Time in which a configuration service that is down or stale is met.
const MEET: Duration = Duration::from_millis(600);
/// Chat calls that meet engines turned cold.
const MORE: usize = 6;

/// What struck and has yet to pass.
#[derive(Default)]
pub(super) struct Struck {
    killed: Vec<Daemon>,
    paused: Vec<Daemon>,
    pub(super) saved_runs: Vec<Ran>,
    pub(super) saved_falls: u64,
}

/// Whether the fault stays for longer than each bound.
pub(super) fn lasts(fault: Fault) -> bool {
    matches!(
        fault,
        Fault::PauseEntry
            | Fault::PauseDispatch
            | Fault::PauseEndpoint
            | Fault::CutOneWay
            | Fault::CutBoth
            | Fault::Late
    )
}

/// Lets a fault strike where requests or a change stand.
pub(super) async fn strike(
    world: &mut World,
    callers: &Callers,
    change: &mut Change,
    strike: Strike,
    struck: &mut Struck,
) {
    let at = links(strike.step);
    match strike.fault {
        Fault::KillEntry => kill(world, Daemon::Entry(0), struck).await,
        Fault::KillDispatch => {
            for daemon in owners(world, strike.step).await {
                kill(world, daemon, struck).await;
            }
        }
        Fault::KillEndpoint => {
            for daemon in holders(world) {
                kill(world, daemon, struck).await;
            }
        }
        Fault::PauseEntry => pause(world, Daemon::Entry(0), struck),
        Fault::PauseDispatch => {
            for daemon in owners(world, strike.step).await {
                pause(world, daemon, struck);
            }
        }
        Fault::PauseEndpoint => holders(world)
            .into_iter()
            .for_each(|daemon| pause(world, daemon, struck)),
        Fault::Reset => world.set(&at, Mode::Reset),
        Fault::Silent => {
            world.set(&at, Mode::Silent);
            if at.contains(&Link::Caller(0)) {
                callers.excuse_open();
            }
        }
        Fault::CutOneWay => world.set(&at, Mode::Cut { up: false, down: true }),
        Fault::CutBoth => world.set(&at, Mode::Cut { up: true, down: true }),
        Fault::ServiceDown => service(world, r#"{"kind":"down"}"#).await,
        Fault::ServiceStale => service(world, r#"{"kind":"stale"}"#).await,
        Fault::ListLagging => lag(world).await,
        Fault::Duplicate | Fault::Reordered => again(world, callers, change, strike).await,
        Fault::Late => {}
        Fault::Cold => cold(world, callers).await,
    }
}

/// Lets everything pass: the network, the service, the lists, and every process lives.
pub(super) async fn relent(world: &mut World, struck: &mut Struck) -> Result<(), Error> {
    for daemon in struck.paused.drain(..) {
        let _ = world.daemon(daemon).resume();
    }
    world.heal();
    world.config_fault(r#"{"kind":"none"}"#).await;
    for daemon in struck.killed.drain(..) {
        world.restart(daemon)?;
    }
    world.publish_instances(&[true; INSTANCES])?;
    world.put_manifest()
}

async fn kill(world: &mut World, daemon: Daemon, struck: &mut Struck) {
    if let Some(paused) = struck.paused.iter().position(|p| *p == daemon) {
        struck.paused.remove(paused);
        // A stand-in's record is read before it goes.
        let _ = world.daemon(daemon).resume();
    }
    if struck.killed.contains(&daemon) {
        return;
    }
    match daemon {
        Daemon::Plain(at) => {
            let runs = world.runs(at).await.unwrap_or_default();
            struck
                .saved_runs
                .extend(runs.into_iter().map(|run| Ran { plain: at, run }));
        }
        Daemon::Engine(_) => {
            let falls = world.http.get(world.operator(daemon), OVERLOADS_PATH).await;
            struck.saved_falls += falls.and_then(|f| f.as_u64()).unwrap_or(0);
        }
        Daemon::Entry(_) | Daemon::Dispatch(_) => {}
    }
    world.daemon_mut(daemon).kill();
    struck.killed.push(daemon);
}

fn pause(world: &World, daemon: Daemon, struck: &mut Struck) {
    if !struck.killed.contains(&daemon) && world.daemon(daemon).pause().is_ok() {
        struck.paused.push(daemon);
    }
}

/// The dispatches that own pools; for a change, the first instance's.
async fn owners(world: &World, step: Step) -> Vec<Daemon> {
    if step.is_change() {
        return vec![Daemon::Dispatch(0)];
    }
    let mut owners = Vec::new();
    for at in 0..INSTANCES {
        if !world.pools(at).await.is_empty() {
            owners.push(Daemon::Dispatch(at));
        }
    }
    owners
}

/// The endpoints that hold requests; without any, one of each kind.
fn holders(world: &World) -> Vec<Daemon> {
    let engines = (0..ENGINES).map(|at| (Daemon::Engine(at), Link::Engine(at)));
    let plains = (0..PLAINS).map(|at| (Daemon::Plain(at), Link::Plain(at)));
    let holding: Vec<Daemon> = engines
        .chain(plains)
        .filter(|(_, link)| world.link(*link).held > 0)
        .map(|(daemon, _)| daemon)
        .collect();
    match holding.is_empty() {
        true => vec![Daemon::Engine(0), Daemon::Plain(0)],
        false => holding,
    }
}

async fn service(world: &World, json: &str) {
    world.config_fault(json).await;
    monoio::time::sleep(MEET).await;
}

/// The second instance alone learns that the first has left the list.
async fn lag(world: &World) {
    world.set(&[Link::Config(0)], Mode::Cut { up: true, down: true });
    let told = world.publish_instances(&[false, true]);
    told.expect("the service takes what tests publish");
    monoio::time::sleep(MEET).await;
}

/// The same a second time: requests through the other entry, a change as a second publication.
async fn again(world: &mut World, callers: &Callers, change: &mut Change, strike: Strike) {
    if strike.step.is_change() {
        return publish_again(world, change, strike.fault);
    }
    let first: Vec<Sent> = callers
        .sent
        .borrow()
        .iter()
        .filter(|s| s.told.is_none())
        .cloned()
        .collect();
    for sent in first {
        let request = Request {
            entry: 1,
            request: callers.name("again"),
            kind: sent.kind,
            ticket: sent.ticket,
        };
        match strike.fault {
            Fault::Reordered => drop(callers.call(request).await),
            _ => callers.send(request),
        }
    }
    monoio::time::sleep(MEET).await;
}

fn publish_again(world: &mut World, change: &mut Change, fault: Fault) {
    if fault == Fault::Duplicate {
        world.put_manifest().expect("the service takes what tests publish");
        // The same version with other content is refused.
        let mut other = world.manifest.clone();
        other.event.name.push_str("-other");
        let own = std::mem::replace(&mut world.manifest, other);
        world.put_manifest().expect("the service takes what tests publish");
        world.manifest = own;
        return;
    }
    change.publish(world);
    let newest = world.manifest.clone();
    world.manifest.version -= 1;
    world.put_manifest().expect("the service takes what tests publish");
    world.manifest = newest;
}

async fn cold(world: &World, callers: &Callers) {
    for at in 0..ENGINES {
        let addr = world.operator(Daemon::Engine(at));
        world.http.fault(addr, r#"{"kind":"cold","signal":false}"#).await;
    }
    for at in 0..MORE {
        callers.send(Request {
            entry: at % INSTANCES,
            request: callers.name("more"),
            kind: Kind::Chat(TOKENS),
            ticket: None,
        });
    }
    monoio::time::sleep(MEET).await;
}
