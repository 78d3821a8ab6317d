//! A deployment with short timeouts whose every link passes through a relay and whose processes can be killed and restarted.

mod control;
mod links;
mod settings;
mod start;

use std::time::Duration;

use celerytide_load::fleet::{Deployment, InstanceAddresses, TempDir};
use celerytide_manifest::Manifest;
use celerytide_standin::launch::Process;

pub use control::{ControlClient, POLL_INTERVAL, wait_until};
pub use links::Link;
pub use start::{Daemon, Error};

/// Number of instances.
pub const INSTANCES: usize = 2;
/// Number of model engines, one in each zone.
pub const ENGINES: usize = 2;
/// Number of plain service endpoints, one in each zone.
pub const PLAIN_ENDPOINTS: usize = 2;
/// Slots of a warm engine.
pub const ENGINE_SLOTS: u32 = 2;
/// Slots of a cold engine.
pub const COLD_SLOTS: u32 = 1;
/// Slots of a plain service.
pub const PLAIN_SLOTS: u32 = 3;
/// Time without traffic after which a connection between two daemons is considered dead.
pub const PEER_SILENCE: Duration = Duration::from_millis(900);
/// Timeout for getting a permit.
pub const PERMIT_TIMEOUT: Duration = Duration::from_secs(3);
/// Longer than every timeout of a request: connect, first byte, between bytes, peer silence and permit.
pub const BEYOND_TIMEOUTS: Duration = Duration::from_millis(3500);

/// The processes of a deployment and the relay between them.
pub struct Cluster {
    deployment: Deployment,
    /// Listen addresses of each instance, behind the relay.
    pub instances: Vec<InstanceAddresses>,
    entries: Vec<Process>,
    dispatches: Vec<Process>,
    engines: Vec<Process>,
    plain_endpoints: Vec<Process>,
    config: Process,
    relay: Process,
    routes: Vec<std::net::SocketAddr>,
    /// The current manifest; changes take effect when it is published.
    pub manifest: Manifest,
    /// Client for operator addresses of daemons and control addresses of stand-ins.
    pub control: ControlClient,
    dir: TempDir,
}

impl Cluster {
    /// The deployment that the cluster was started from.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Process of a daemon or stand-in.
    pub fn process(&self, daemon: Daemon) -> &Process {
        match daemon {
            Daemon::Entry(index) => &self.entries[index],
            Daemon::Dispatch(index) => &self.dispatches[index],
            Daemon::Engine(index) => &self.engines[index],
            Daemon::Plain(index) => &self.plain_endpoints[index],
        }
    }

    /// Mutable access to the process of a daemon or stand-in, for killing it.
    pub fn process_mut(&mut self, daemon: Daemon) -> &mut Process {
        match daemon {
            Daemon::Entry(index) => &mut self.entries[index],
            Daemon::Dispatch(index) => &mut self.dispatches[index],
            Daemon::Engine(index) => &mut self.engines[index],
            Daemon::Plain(index) => &mut self.plain_endpoints[index],
        }
    }
}
