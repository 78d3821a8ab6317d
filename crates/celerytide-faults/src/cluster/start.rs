//! Starts the processes of a cluster, restarts them after a fault, and publishes manifest and lists.

use std::{io, net::SocketAddr};

use celerytide_load::fleet::{Deployment, EndpointInfo, InstanceAddresses, TempDir, documents, yaml};
use celerytide_standin::{
    config::{TEST_LIST_PATH, TEST_MANIFEST_PATH},
    launch::{self, Process, free_addr},
    probe, relay,
};
use serde::Serialize;
use serde_json::Value;
use snafu::Snafu;

use super::{Cluster, ControlClient, ENGINES, INSTANCES, Link, PLAIN_ENDPOINTS, settings};

const FIRST_VERSION: u64 = 1;
const INSTANCE_LIST: &str = "celerytide";
const ENDPOINT_LIST: &str = "celerytide-endpoints";

/// Why a cluster did not start or could not be changed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A process did not start.
    #[snafu(display("{source}"), context(false))]
    Launch {
        /// Error of the launcher.
        source: launch::Error,
    },
    /// A stand-in could not be reached or rejected the request.
    #[snafu(display("{source}"), context(false))]
    Probe {
        /// Error of the request.
        source: probe::Error,
    },
    /// A file could not be written.
    #[snafu(display("{source}"), context(false))]
    File {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A document could not be encoded as YAML.
    #[snafu(display("{source}"), context(false))]
    Yaml {
        /// Error of the encoder.
        source: yaml::Error,
    },
    /// The embedded deployment could not be decoded.
    #[snafu(display("{source}"), context(false))]
    Plan {
        /// Error of the decoder.
        source: serde_saphyr::Error,
    },
}

/// A process into which faults are injected, by kind and index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Daemon {
    /// Entry of an instance.
    Entry(usize),
    /// Dispatch of an instance.
    Dispatch(usize),
    /// A model engine.
    Engine(usize),
    /// A plain service.
    Plain(usize),
}

struct StandinAddrs {
    config: SocketAddr,
    engines: Vec<SocketAddr>,
    plain_endpoints: Vec<SocketAddr>,
}

impl Cluster {
    /// Starts every process; the daemons may not be ready yet.
    pub fn start() -> Result<Cluster, Error> {
        Cluster::start_with(|_| {})
    }

    /// Like [`Cluster::start`], with a changed deployment.
    pub fn start_with(change: impl FnOnce(&mut Deployment)) -> Result<Cluster, Error> {
        let mut deployment = settings::deployment()?;
        change(&mut deployment);
        let dir = TempDir::create()?;
        let allocate = |i| InstanceAddresses::allocate(&deployment, i);
        let instances = (0..INSTANCES).map(allocate).collect::<Result<Vec<_>, _>>()?;
        let addrs = StandinAddrs {
            config: free_addr()?,
            engines: (0..ENGINES).map(|_| free_addr()).collect::<Result<_, _>>()?,
            plain_endpoints: (0..PLAIN_ENDPOINTS).map(|_| free_addr()).collect::<Result<_, _>>()?,
        };
        let relay = start_relay(&instances, &addrs)?;
        let routes: Vec<SocketAddr> = relay::routes(relay.addr())?.iter().map(|r| r.listen).collect();
        let config = start_standin("config", addrs.config, &[])?;
        let engines = (0..ENGINES)
            .map(|i| start_engine(&deployment, i, addrs.engines[i]))
            .collect::<Result<Vec<_>, _>>()?;
        let plain_endpoints = (0..PLAIN_ENDPOINTS)
            .map(|i| start_plain(&deployment, i, addrs.plain_endpoints[i]))
            .collect::<Result<Vec<_>, _>>()?;
        let manifest = documents::manifest(
            &deployment,
            FIRST_VERSION,
            &routed_endpoints(&deployment, &deployment.engines.service, &routes, Link::Engine(0)),
            &routed_endpoints(&deployment, &deployment.plain.service, &routes, Link::Plain(0)),
        );
        let mut cluster = Cluster {
            entries: Vec::new(),
            dispatches: Vec::new(),
            instances,
            engines,
            plain_endpoints,
            config,
            relay,
            routes,
            manifest,
            control: ControlClient::default(),
            dir,
            deployment,
        };
        cluster.publish_manifest()?;
        cluster.publish_endpoints()?;
        cluster.publish_instances(&[true; INSTANCES])?;
        for index in 0..INSTANCES {
            let dispatch = cluster.start_dispatch(index)?;
            cluster.dispatches.push(dispatch);
            let entry = cluster.start_entry(index)?;
            cluster.entries.push(entry);
        }
        Ok(cluster)
    }

    /// Kills a process if it runs and starts it again at the same address.
    pub fn restart(&mut self, daemon: Daemon) -> Result<(), Error> {
        let addr = self.process(daemon).addr();
        self.process_mut(daemon).kill();
        let process = match daemon {
            Daemon::Entry(index) => self.start_entry(index)?,
            Daemon::Dispatch(index) => self.start_dispatch(index)?,
            Daemon::Engine(index) => start_engine(&self.deployment, index, addr)?,
            Daemon::Plain(index) => start_plain(&self.deployment, index, addr)?,
        };
        *self.process_mut(daemon) = process;
        Ok(())
    }

    /// Publishes the current manifest.
    pub fn publish_manifest(&self) -> Result<(), Error> {
        let text = yaml::to_yaml(&self.manifest)?;
        Ok(probe::put(self.config.addr(), TEST_MANIFEST_PATH, text.as_bytes())?)
    }

    /// Publishes any text as the manifest, for example an invalid one.
    pub fn publish_manifest_text(&self, text: &str) -> Result<(), Error> {
        Ok(probe::put(self.config.addr(), TEST_MANIFEST_PATH, text.as_bytes())?)
    }

    /// Publishes an instance list with the instances whose flag in `listed` is set.
    pub fn publish_instances(&self, listed: &[bool]) -> Result<(), Error> {
        let routed = |(index, own): (usize, &InstanceAddresses)| InstanceAddresses {
            caller: self.link_addr(Link::Caller(index)),
            entry_peer: self.link_addr(Link::EntryPeer(index)),
            dispatch_peer: self.link_addr(Link::DispatchPeer(index)),
            ..own.clone()
        };
        let all = self.instances.iter().enumerate().map(routed);
        let listed_instances = all.zip(listed).filter(|(_, listed)| **listed).map(|(routed, _)| routed);
        let list = documents::instance_list(&self.deployment, &listed_instances.collect::<Vec<_>>());
        self.publish_list(INSTANCE_LIST, &list)
    }

    fn publish_endpoints(&self) -> Result<(), Error> {
        let (model, forms) = (&self.deployment.engines.service, &self.deployment.plain.service);
        let engines = routed_endpoints(&self.deployment, model, &self.routes, Link::Engine(0));
        let plain_endpoints = routed_endpoints(&self.deployment, forms, &self.routes, Link::Plain(0));
        let mut list = documents::endpoint_list(&self.deployment, model, &engines);
        list.extend(documents::endpoint_list(&self.deployment, forms, &plain_endpoints));
        self.publish_list(ENDPOINT_LIST, &Value::Array(list))
    }

    fn publish_list(&self, name: &str, list: &Value) -> Result<(), Error> {
        let path = format!("{TEST_LIST_PATH}{name}");
        Ok(probe::put(self.config.addr(), &path, list.to_string().as_bytes())?)
    }

    fn start_entry(&self, index: usize) -> Result<Process, Error> {
        let settings = settings::entry(
            &self.deployment,
            &self.instances[index],
            self.link_addr(Link::Config(index)),
        );
        self.start_daemon("celerytide-entry", index, &settings)
    }

    fn start_dispatch(&self, index: usize) -> Result<Process, Error> {
        let settings = settings::dispatch(
            &self.deployment,
            &self.instances[index],
            self.link_addr(Link::Config(index)),
        );
        self.start_daemon("celerytide-dispatch", index, &settings)
    }

    fn start_daemon<T: Serialize>(&self, name: &str, index: usize, settings: &T) -> Result<Process, Error> {
        let file = self
            .dir
            .write(&format!("{name}-{index}.yaml"), &yaml::to_yaml(settings)?)?;
        Ok(Process::start(&launch::Options {
            program: launch::sibling_binary(name)?,
            args: vec![file.display().to_string()],
            ready_prefix: None,
            log: Some(self.dir.path().join(format!("{name}-{index}.log"))),
            own_group: false,
        })?)
    }

    /// Log of a daemon; empty if it can't be read.
    pub fn read_log(&self, name: &str, index: usize) -> String {
        let path = self.dir.path().join(format!("{name}-{index}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }
}

fn start_relay(instances: &[InstanceAddresses], addrs: &StandinAddrs) -> Result<Process, Error> {
    let entries = instances.iter();
    let mut targets: Vec<SocketAddr> = entries.clone().map(|i| i.caller).collect();
    targets.extend(entries.clone().map(|i| i.entry_peer));
    targets.extend(entries.map(|i| i.dispatch_peer));
    targets.extend(instances.iter().map(|_| addrs.config));
    targets.extend(&addrs.engines);
    targets.extend(&addrs.plain_endpoints);
    let args: Vec<String> = targets
        .iter()
        .flat_map(|to| ["--to".to_owned(), to.to_string()])
        .collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    Ok(Process::standin("relay", &args)?)
}

/// Endpoints as the platform publishes them, with the addresses of their relay routes.
fn routed_endpoints(deployment: &Deployment, service: &str, routes: &[SocketAddr], first: Link) -> Vec<EndpointInfo> {
    let count = if matches!(first, Link::Engine(_)) {
        ENGINES
    } else {
        PLAIN_ENDPOINTS
    };
    let endpoint = |i: usize| EndpointInfo {
        id: format!("{service}-{i}"),
        zone: deployment.zone(i),
        addr: routes[first.index() + i],
    };
    (0..count).map(endpoint).collect()
}

fn start_standin(kind: &str, listen: SocketAddr, args: &[(&str, String)]) -> Result<Process, Error> {
    let mut all = vec![kind.to_owned(), "--listen".to_owned(), listen.to_string()];
    all.extend(
        args.iter()
            .flat_map(|(name, value)| [(*name).to_owned(), value.clone()]),
    );
    Ok(Process::start(&launch::Options {
        program: launch::sibling_binary(launch::STANDIN_BINARY)?,
        args: all,
        ready_prefix: Some(launch::READY_PREFIX),
        log: None,
        own_group: false,
    })?)
}

fn start_engine(deployment: &Deployment, index: usize, listen: SocketAddr) -> Result<Process, Error> {
    let group = &deployment.engines;
    let args = [
        ("--id", format!("{}-{index}", group.service)),
        ("--model", group.model.clone()),
        ("--slots", group.slots.to_string()),
        ("--cold-slots", group.cold_slots.to_string()),
        ("--cold-seconds", group.cold_seconds.to_string()),
        ("--decode-ms", group.decode_ms.to_string()),
    ];
    start_standin("engine", listen, &args)
}

fn start_plain(deployment: &Deployment, index: usize, listen: SocketAddr) -> Result<Process, Error> {
    let args = [
        ("--id", format!("{}-{index}", deployment.plain.service)),
        ("--delay-ms", deployment.plain.delay_ms.to_string()),
    ];
    start_standin("plain", listen, &args)
}
