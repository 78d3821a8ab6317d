//! Starts a fleet in which all instances but the first have different settings: they can't reach the configuration
//! service, or they ping their peers at another interval.

use std::time::Duration;

use celerytide_load::fleet::{Deployment, Fleet, Instance, InstanceAddresses, TempDir, documents, settings, yaml};
use celerytide_standin::{
    config::TEST_LIST_PATH,
    launch::{self, Process},
    probe,
};
use serde::Serialize;

use crate::{
    error::{Error, TooManyProcessesSnafu},
    sample::{self, MAX_PROCESSES, READY_TIMEOUT},
};

const ENTRY_DAEMON: &str = "celerytide-entry";
const DISPATCH_DAEMON: &str = "celerytide-dispatch";
const INSTANCE_LIST: &str = "celerytide";
/// Processes of the stand-ins, and of the first instance, which reads the configuration.
const OTHER_PROCESSES: usize = 6;

/// Number of pings that may remain unanswered.
const MAX_UNANSWERED_PINGS: u32 = 3;

/// Settings that differ at all instances but the first.
#[derive(Debug, Clone, Copy)]
pub enum Override {
    /// They can't reach the configuration service, and get the configuration from their peers.
    NoConfigService,
    /// Interval at which they ping their peers.
    PingInterval(Duration),
}

/// Starts the fleet. The directory contains the settings and logs of all instances but the first.
pub fn start(size: usize, settings_override: Override) -> Result<(Fleet, TempDir), Error> {
    let processes = size * 2 + OTHER_PROCESSES;
    if processes > MAX_PROCESSES {
        return TooManyProcessesSnafu {
            processes,
            bound: MAX_PROCESSES,
        }
        .fail();
    }
    let mut fleet = sample::start(&Deployment::demo(1)?)?;
    let dir = TempDir::create()?;
    let others = (1..size).map(|index| InstanceAddresses::allocate(&fleet.deployment, index));
    let others = others.collect::<Result<Vec<_>, _>>()?;
    let all: Vec<InstanceAddresses> = fleet
        .instances
        .iter()
        .map(|i| &i.addresses)
        .chain(&others)
        .cloned()
        .collect();
    let list = documents::instance_list(&fleet.deployment, &all).to_string();
    let path = format!("{TEST_LIST_PATH}{INSTANCE_LIST}");
    probe::put(fleet.config.addr(), &path, list.as_bytes())?;
    for addresses in others {
        let instance = start_instance(&fleet, addresses, settings_override, &dir)?;
        fleet.instances.push(instance);
    }
    fleet.wait_ready(READY_TIMEOUT)?;
    Ok((fleet, dir))
}

fn start_instance(
    fleet: &Fleet,
    addresses: InstanceAddresses,
    settings_override: Override,
    dir: &TempDir,
) -> Result<Instance, Error> {
    let mut entry = settings::entry(&fleet.deployment, &addresses, fleet.config.addr());
    let mut dispatch = settings::dispatch(&fleet.deployment, &addresses, fleet.config.addr());
    match settings_override {
        Override::NoConfigService => {
            // No process listens on this address.
            let unused = vec![launch::free_addr()?];
            entry.platform.config_service = unused.clone();
            dispatch.platform.config_service = unused;
            let first = fleet.instances.first().map(|i| &i.addresses);
            entry.platform.peers = first.map(|addresses| addresses.entry_peer).into_iter().collect();
            dispatch.platform.peers = first.map(|addresses| addresses.dispatch_peer).into_iter().collect();
        }
        Override::PingInterval(interval) => {
            entry.timeouts.peer_ping = interval;
            entry.timeouts.peer_silence = interval * MAX_UNANSWERED_PINGS;
            dispatch.timeouts.peer_ping = interval;
            dispatch.timeouts.peer_silence = interval * MAX_UNANSWERED_PINGS;
        }
    }
    Ok(Instance {
        entry: start_daemon(ENTRY_DAEMON, &addresses.id, &entry, dir)?,
        dispatch: start_daemon(DISPATCH_DAEMON, &addresses.id, &dispatch, dir)?,
        addresses,
    })
}

fn start_daemon<T: Serialize>(name: &str, id: &str, settings: &T, dir: &TempDir) -> Result<Process, Error> {
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
