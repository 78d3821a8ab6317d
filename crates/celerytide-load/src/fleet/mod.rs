//! Starts and controls a whole deployment on loopback, with each daemon and stand-in as a separate process.

mod deployment;
pub mod documents;
pub mod settings;
mod start;
mod temp_dir;
pub mod yaml;

use std::{
    fs, io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use celerytide_manifest::{Manifest, ZoneState};
use celerytide_standin::{
    config::{TEST_LIST_PATH, TEST_MANIFEST_PATH},
    launch::{self, Process},
    probe,
};
use celerytide_types::EndpointId;
use snafu::Snafu;

pub use deployment::{CustomerSpec, Deployment, EngineSpec, PlainServiceSpec};
pub use documents::EndpointInfo;
pub use settings::InstanceAddresses;
pub use start::Options;
pub use temp_dir::TempDir;

/// Interval for checking whether a daemon is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of lines of a daemon's log that an error shows.
const LOG_TAIL_LINES: usize = 8;
const INSTANCE_LIST: &str = "celerytide";
const ENDPOINT_LIST: &str = "celerytide-endpoints";

/// Reason why a deployment did not start or could not be changed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A process did not start.
    #[snafu(display("{source}"), context(false))]
    Launch {
        /// Underlying error.
        source: launch::Error,
    },
    /// A request to a stand-in failed.
    #[snafu(display("{source}"), context(false))]
    Probe {
        /// Underlying error.
        source: probe::Error,
    },
    /// A file could not be written.
    #[snafu(display("{source}"), context(false))]
    File {
        /// Underlying error.
        source: io::Error,
    },
    /// A document could not be encoded as YAML.
    #[snafu(display("{source}"), context(false))]
    Yaml {
        /// Underlying error.
        source: yaml::Error,
    },
    /// A daemon was not ready in time, or exited.
    #[snafu(display("{name} is not ready; the end of its log:\n{log}"))]
    NotReady {
        /// Daemon and instance.
        name: String,
        /// Last lines of its log.
        log: String,
    },
}

/// Process of an endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Id, zone and address.
    pub info: EndpointInfo,
    /// Stand-in process.
    pub process: Process,
}

/// Processes of an instance.
#[derive(Debug)]
pub struct Instance {
    /// Listening addresses.
    pub addresses: InstanceAddresses,
    /// Process of `celerytide-entry`.
    pub entry: Process,
    /// Process of `celerytide-dispatch`.
    pub dispatch: Process,
}

/// Running deployment. Dropping it kills every process and removes the files.
#[derive(Debug)]
pub struct Fleet {
    /// Description from which it was started.
    pub deployment: Deployment,
    /// Instances of the system.
    pub instances: Vec<Instance>,
    /// Model engines.
    pub engines: Vec<Endpoint>,
    /// Replicas of the plain service.
    pub plain_endpoints: Vec<Endpoint>,
    /// Stand-in of the configuration service.
    pub config: Process,
    /// Manifest published last.
    pub manifest: Manifest,
    dir: TempDir,
}

impl Fleet {
    /// Applies `change` to the manifest and publishes it with the next version.
    pub fn publish(&mut self, change: impl FnOnce(&mut Manifest)) -> Result<(), Error> {
        change(&mut self.manifest);
        self.manifest.version += 1;
        publish_manifest(self.config.addr(), &self.manifest)
    }

    /// Publishes a new state of a zone.
    pub fn set_zone(&mut self, zone: &str, state: ZoneState) -> Result<(), Error> {
        self.publish(|manifest| {
            for listed in manifest.zones.iter_mut().filter(|listed| listed.id == zone) {
                listed.state = state;
            }
        })
    }

    /// Returns the endpoint with this id.
    pub fn endpoint(&self, id: &str) -> Option<&Endpoint> {
        self.engines
            .iter()
            .chain(&self.plain_endpoints)
            .find(|endpoint| endpoint.info.id == id)
    }

    /// Returns the ids of all endpoints, engines first.
    pub fn endpoint_ids(&self) -> Vec<EndpointId> {
        self.engines
            .iter()
            .chain(&self.plain_endpoints)
            .map(|endpoint| endpoint.info.id.clone())
            .collect()
    }

    /// Waits until every daemon reports that it is ready; fails if one isn't within `timeout`.
    pub fn wait_ready(&mut self, timeout: Duration) -> Result<(), Error> {
        let deadline = Instant::now() + timeout;
        for instance in &mut self.instances {
            let addresses = &instance.addresses;
            let daemons = [
                (start::ENTRY_DAEMON, addresses.entry_operator, &mut instance.entry),
                (
                    start::DISPATCH_DAEMON,
                    addresses.dispatch_operator,
                    &mut instance.dispatch,
                ),
            ];
            for (daemon, operator, process) in daemons {
                if !wait_daemon_ready(operator, process, deadline) {
                    let name = format!("{} of {}", daemon, addresses.id);
                    return NotReadySnafu {
                        name,
                        log: read_log_tail(&self.dir, daemon, &addresses.id),
                    }
                    .fail();
                }
            }
        }
        Ok(())
    }

    /// Sends SIGTERM to every daemon. Returns whether all exited successfully within `timeout`.
    pub fn stop(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let daemons = self
            .instances
            .iter()
            .flat_map(|instance| [&instance.entry, &instance.dispatch]);
        // Every daemon gets its signal, also if an earlier one has ended and can't be signalled.
        let failed = daemons.filter(|process| process.term().is_err()).count();
        let processes = self
            .instances
            .iter_mut()
            .flat_map(|instance| [&mut instance.entry, &mut instance.dispatch]);
        processes.fold(failed == 0, |success, process| {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let status = process.wait(remaining);
            success && status.is_some_and(|status| status.success())
        })
    }

    /// Returns the last lines of a daemon's log.
    pub fn log_tail(&self, daemon: &str, instance: &str) -> String {
        read_log_tail(&self.dir, daemon, instance)
    }
}

fn wait_daemon_ready(operator: SocketAddr, process: &mut Process, deadline: Instant) -> bool {
    while Instant::now() < deadline && process.is_running() {
        let response = probe::send(operator, "GET", "/readyz", &[], b"");
        if response.is_ok_and(|response| response.status == 200) {
            return true;
        }
        thread::sleep(READY_POLL_INTERVAL);
    }
    false
}

fn publish_manifest(config: SocketAddr, manifest: &Manifest) -> Result<(), Error> {
    let text = yaml::to_yaml(manifest)?;
    Ok(probe::put(config, TEST_MANIFEST_PATH, text.as_bytes())?)
}

fn publish_list(config: SocketAddr, name: &str, list: &serde_json::Value) -> Result<(), Error> {
    Ok(probe::put(
        config,
        &format!("{TEST_LIST_PATH}{name}"),
        list.to_string().as_bytes(),
    )?)
}

fn read_log_tail(dir: &TempDir, daemon: &str, instance: &str) -> String {
    let text = fs::read_to_string(start::log_path(dir, daemon, instance)).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
}
