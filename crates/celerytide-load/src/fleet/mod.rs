//! A whole deployment on loopback, each process of its own.

mod deployment;
mod dir;
pub mod documents;
pub mod settings;
mod start;
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

pub use deployment::{CustomerPlan, Deployment, EngineGroup, PlainGroup};
pub use dir::TempDir;
pub use documents::EndpointInfo;
pub use settings::InstanceAddresses;
pub use start::Options;

/// Time between two looks at readiness.
const READY_LOOK: Duration = Duration::from_millis(20);
/// Lines of a log that an error shows.
const LOG_TAIL_LINES: usize = 8;
const INSTANCE_LIST: &str = "celerytide";
const ENDPOINT_LIST: &str = "celerytide-endpoints";

/// Why a deployment did not start or could not be changed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A process did not start.
    #[snafu(display("{source}"), context(false))]
    Launch {
        /// What the launcher said.
        source: launch::Error,
    },
    /// A stand-in could not be told something.
    #[snafu(display("{source}"), context(false))]
    Probe {
        /// What the probe said.
        source: probe::Error,
    },
    /// A file could not be written.
    #[snafu(display("{source}"), context(false))]
    File {
        /// What the system said.
        source: io::Error,
    },
    /// A document has no YAML form.
    #[snafu(display("{source}"), context(false))]
    Yaml {
        /// What the encoder said.
        source: yaml::Error,
    },
    /// A daemon was not ready in time, or ended.
    #[snafu(display("{name} is not ready; the end of its log:\n{log}"))]
    NotReady {
        /// Instance and daemon.
        name: String,
        /// Last lines of its log.
        log: String,
    },
}

/// An endpoint's process.
#[derive(Debug)]
pub struct Endpoint {
    /// Who it is.
    pub info: EndpointInfo,
    /// The process.
    pub process: Process,
}

/// An instance's processes.
#[derive(Debug)]
pub struct Instance {
    /// Where it listens.
    pub addresses: InstanceAddresses,
    /// `celerytide-entry`.
    pub entry: Process,
    /// `celerytide-dispatch`.
    pub dispatch: Process,
}

/// A deployment that runs. Dropping it ends every process and removes its files.
#[derive(Debug)]
pub struct Fleet {
    /// What it was started from.
    pub deployment: Deployment,
    /// The instances.
    pub instances: Vec<Instance>,
    /// The model engines.
    pub engines: Vec<Endpoint>,
    /// The plain services.
    pub plain_endpoints: Vec<Endpoint>,
    /// The configuration service.
    pub config: Process,
    /// The manifest that was published last.
    pub manifest: Manifest,
    dir: TempDir,
}

impl Fleet {
    /// Publishes the manifest with a higher version after `change`.
    pub fn publish(&mut self, change: impl FnOnce(&mut Manifest)) -> Result<(), Error> {
        change(&mut self.manifest);
        self.manifest.version += 1;
        publish_manifest(self.config.addr(), &self.manifest)
    }

    /// Takes a zone in or out of service.
    pub fn set_zone(&mut self, zone: &str, state: ZoneState) -> Result<(), Error> {
        self.publish(|manifest| {
            for listed in manifest.zones.iter_mut().filter(|listed| listed.id == zone) {
                listed.state = state;
            }
        })
    }

    /// The endpoint of that id.
    pub fn endpoint(&self, id: &str) -> Option<&Endpoint> {
        self.engines
            .iter()
            .chain(&self.plain_endpoints)
            .find(|endpoint| endpoint.info.id == id)
    }

    /// Ids of all endpoints, engines first.
    pub fn endpoint_ids(&self) -> Vec<EndpointId> {
        self.engines
            .iter()
            .chain(&self.plain_endpoints)
            .map(|endpoint| endpoint.info.id.clone())
            .collect()
    }

    /// Waits until every daemon says that it is ready.
    pub fn wait_ready(&mut self, bound: Duration) -> Result<(), Error> {
        let until = Instant::now() + bound;
        for instance in &mut self.instances {
            let addresses = &instance.addresses;
            let daemons = [
                (start::ENTRY, addresses.entry_operator, &mut instance.entry),
                (start::DISPATCH, addresses.dispatch_operator, &mut instance.dispatch),
            ];
            for (daemon, operator, process) in daemons {
                if !wait_ready(operator, process, until) {
                    let name = format!("{} of {}", daemon, addresses.id);
                    return NotReadySnafu {
                        name,
                        log: tail(&self.dir, daemon, &addresses.id),
                    }
                    .fail();
                }
            }
        }
        Ok(())
    }

    /// Asks every daemon to stop; whether all ended by themselves with success within `bound`.
    pub fn stop(&mut self, bound: Duration) -> bool {
        let until = Instant::now() + bound;
        let daemons = || {
            self.instances
                .iter()
                .flat_map(|instance| [&instance.entry, &instance.dispatch])
        };
        let told = daemons().all(|process| process.term().is_ok());
        let ended = self
            .instances
            .iter_mut()
            .flat_map(|instance| [&mut instance.entry, &mut instance.dispatch]);
        ended.fold(told, |all, process| {
            let left = until.saturating_duration_since(Instant::now());
            let status = process.wait(left);
            all && status.is_some_and(|status| status.success())
        })
    }

    /// The last lines of a daemon's log.
    pub fn log_tail(&self, daemon: &str, instance: &str) -> String {
        tail(&self.dir, daemon, instance)
    }
}

fn wait_ready(operator: SocketAddr, process: &mut Process, until: Instant) -> bool {
    while Instant::now() < until && process.is_running() {
        let reply = probe::send(operator, "GET", "/readyz", &[], b"");
        if reply.is_ok_and(|reply| reply.status == 200) {
            return true;
        }
        thread::sleep(READY_LOOK);
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

fn tail(dir: &TempDir, daemon: &str, instance: &str) -> String {
    let text = fs::read_to_string(start::log_path(dir, daemon, instance)).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
}
