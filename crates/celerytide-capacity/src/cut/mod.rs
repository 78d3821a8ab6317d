//! A fleet of which one instance only reaches the configuration service; the others learn from their peers.

use celerytide_load::fleet::{Addresses, Deployment, Fleet, Instance, WorkDir, documents, settings, yaml};
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

/// Starts the fleet; the folder holds the settings and logs of all instances but the first.
pub fn start(size: usize) -> Result<(Fleet, WorkDir), Error> {
    let processes = size * 2 + OTHERS;
    if processes > PROCESSES_MAX {
        return TooManySnafu {
            processes,
            bound: PROCESSES_MAX,
        }
        .fail();
    }
    let (mut fleet, _) = sample::start(&Deployment::demo(1)?)?;
    let dir = WorkDir::create()?;
    let rest = (1..size).map(|index| Addresses::pick(&fleet.plan, index));
    let rest = rest.collect::<Result<Vec<_>, _>>()?;
    let all: Vec<Addresses> = fleet
        .instances
        .iter()
        .map(|i| &i.addresses)
        .chain(&rest)
        .cloned()
        .collect();
    let list = documents::instance_list(&fleet.plan, &all).to_string();
    let path = format!("{TEST_LIST_PATH}{INSTANCE_LIST}");
    probe::put(fleet.config.addr(), &path, list.as_bytes())?;
    for addresses in rest {
        let instance = instance(&fleet, addresses, &dir)?;
        fleet.instances.push(instance);
    }
    fleet.wait_ready(READY_TIMEOUT)?;
    Ok((fleet, dir))
}

/// An instance that finds nobody at the configuration service's address.
fn instance(fleet: &Fleet, addresses: Addresses, dir: &WorkDir) -> Result<Instance, Error> {
    let nobody = launch::free_addr()?;
    let mut entry = settings::entry(&fleet.plan, &addresses, nobody);
    let mut dispatch = settings::dispatch(&fleet.plan, &addresses, nobody);
    let first = fleet.instances.first().map(|i| &i.addresses);
    entry.platform.peers = first.map(|at| at.entry_peer).into_iter().collect();
    dispatch.platform.peers = first.map(|at| at.dispatch_peer).into_iter().collect();
    Ok(Instance {
        entry: daemon(ENTRY, &addresses.id, &entry, dir)?,
        dispatch: daemon(DISPATCH, &addresses.id, &dispatch, dir)?,
        addresses,
    })
}

fn daemon<T: Serialize>(name: &str, id: &str, settings: &T, dir: &WorkDir) -> Result<Process, Error> {
    let file = dir.write(&format!("{name}-{id}.yaml"), &yaml::to_yaml(settings)?)?;
    let options = launch::Options {
        program: launch::sibling(name)?,
        args: vec![file.display().to_string()],
        ready_prefix: None,
        log: Some(dir.path().join(format!("{name}-{id}.log"))),
        own_group: false,
    };
    Ok(Process::start(&options)?)
}
