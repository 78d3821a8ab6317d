//! A deployment whose every link goes through a relay, with short bounds, and whose processes can be started again.

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

/// Instances of a world.
pub const INSTANCES: usize = 2;
/// Engines of a world, one in each zone.
pub const ENGINES: usize = 2;
/// Plain services of a world, one in each zone.
pub const PLAIN_ENDPOINTS: usize = 2;
/// Slots of an engine.
pub const ENGINE_SLOTS: u32 = 2;
/// Slots of a cold engine.
pub const COLD_SLOTS: u32 = 1;
/// Slots of a plain service.
pub const PLAIN_SLOTS: u32 = 3;
/// Silence after which a connection between two daemons counts as dead.
pub const PEER_SILENCE: Duration = Duration::from_millis(900);
/// Longest wait for a permit.
pub const PERMIT_TIMEOUT: Duration = Duration::from_secs(3);
/// Longer than each bound that a request meets: connect, first byte, between bytes, silence and permit.
pub const BEYOND_TIMEOUTS: Duration = Duration::from_millis(3500);

/// Processes of one deployment and the relay between them.
pub struct Cluster {
    deployment: Deployment,
    /// Where each instance really listens.
    pub instances: Vec<InstanceAddresses>,
    entries: Vec<Process>,
    dispatches: Vec<Process>,
    engines: Vec<Process>,
    plain_endpoints: Vec<Process>,
    config: Process,
    relay: Process,
    routes: Vec<std::net::SocketAddr>,
    /// The manifest published last.
    pub manifest: Manifest,
    /// Asks control and operators' addresses.
    pub control: ControlClient,
    dir: TempDir,
}

impl Cluster {
    /// The deployment it was started from.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// The process of a daemon.
    pub fn process(&self, daemon: Daemon) -> &Process {
        match daemon {
            Daemon::Entry(index) => &self.entries[index],
            Daemon::Dispatch(index) => &self.dispatches[index],
            Daemon::Engine(index) => &self.engines[index],
            Daemon::Plain(index) => &self.plain_endpoints[index],
        }
    }

    /// The same, to be ended.
    pub fn process_mut(&mut self, daemon: Daemon) -> &mut Process {
        match daemon {
            Daemon::Entry(index) => &mut self.entries[index],
            Daemon::Dispatch(index) => &mut self.dispatches[index],
            Daemon::Engine(index) => &mut self.engines[index],
            Daemon::Plain(index) => &mut self.plain_endpoints[index],
        }
    }
}
