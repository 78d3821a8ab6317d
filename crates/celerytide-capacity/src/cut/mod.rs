//! A fleet whose instances but the first have other settings: none reaches the configuration service, or pings are rarer.

use std::time::Duration;

use celerytide_load::fleet::{Deployment, Fleet, Instance, InstanceAddresses, TempDir, documents, settings, yaml};
use celerytide_standin::{
    config::TEST_LIST_PATH,
    launch::{self, Process},
    probe,
};
use serde::Serialize;

use crate::{
    error::{Error, TooManySnafu},
    sample::{self, PROCESSES_MAX, READY_TIMEOUT},
};

const ENTRY: &str = "celerytide-entry";
const DISPATCH: &str = "celerytide-dispatch";
const INSTANCE_LIST: &str = "celerytide";
/// Stand-ins and the instance that reads.
const OTHERS: usize = 6;

/// Pings that may go unanswered.
const PINGS_UNANSWERED: u32 = 3;

/// What differs at all instances but the first.
#[derive(Debug, Clone, Copy)]
pub enum Differs {
    /// They don't reach the configuration service and learn from their peers.
    CutOff,
    /// They ping their peers at this interval.
    Ping(Duration),
}

/// Starts the fleet; the folder holds the settings and logs of all instances but the first.
pub fn start(size: usize, differs: Differs) -> Result<(Fleet, TempDir), Error> {
    let processes = size * 2 + OTHERS;
    if processes > PROCESSES_MAX {
        return TooManySnafu {
            processes,
            bound: PROCESSES_MAX,
        }
        .fail();
    }
    let mut fleet = sample::start(&Deployment::demo(1)?)?;
    let dir = TempDir::create()?;
    let rest = (1..size).map(|index| InstanceAddresses::allocate(&fleet.deployment, index));
    let rest = rest.collect::<Result<Vec<_>, _>>()?;
    let all: Vec<InstanceAddresses> = fleet
        .instances
        .iter()
        .map(|i| &i.addresses)
        .chain(&rest)
        .cloned()
        .collect();
    let list = documents::instance_list(&fleet.deployment, &all).to_string();
    let path = format!("{TEST_LIST_PATH}{INSTANCE_LIST}");
    probe::put(fleet.config.addr(), &path, list.as_bytes())?;
    for addresses in rest {
        let instance = instance(&fleet, addresses, differs, &dir)?;
        fleet.instances.push(instance);
    }
    fleet.wait_ready(READY_TIMEOUT)?;
    Ok((fleet, dir))
}

fn instance(fleet: &Fleet, addresses: InstanceAddresses, differs: Differs, dir: &TempDir) -> Result<Instance, Error> {
    let mut entry = settings::entry(&fleet.deployment, &addresses, fleet.config.addr());
    let mut dispatch = settings::dispatch(&fleet.deployment, &addresses, fleet.config.addr());
    match differs {
        Differs::CutOff => {
            // Nobody listens there.
            let nobody = vec![launch::free_addr()?];
            entry.platform.config_service = nobody.clone();
            dispatch.platform.config_service = nobody;
            let first = fleet.instances.first().map(|i| &i.addresses);
            entry.platform.peers = first.map(|at| at.entry_peer).into_iter().collect();
            dispatch.platform.peers = first.map(|at| at.dispatch_peer).into_iter().collect();
        }
        Differs::Ping(interval) => {
            entry.timeouts.peer_ping = interval;
            entry.timeouts.peer_silence = interval * PINGS_UNANSWERED;
            dispatch.timeouts.peer_ping = interval;
            dispatch.timeouts.peer_silence = interval * PINGS_UNANSWERED;
        }
    }
    Ok(Instance {
        entry: daemon(ENTRY, &addresses.id, &entry, dir)?,
        dispatch: daemon(DISPATCH, &addresses.id, &dispatch, dir)?,
        addresses,
    })
}

fn daemon<T: Serialize>(name: &str, id: &str, settings: &T, dir: &TempDir) -> Result<Process, Error> {
    let file = dir.write(&format!("{name}-{id}.yaml"), &yaml::to_yaml(settings)?)?;
    let options = launch::Options {
        program: launch::sibling_binary(name)?,
        args: vec![file.display().to_string()],
        ready_prefix: None,
        log: Some(dir.path().join(format!("{name}-{id}.log"))),
        own_group: false,
    };
    Ok(Process::start(&options)?)
}
