//! Starts the services that both daemons share, with the errors that keep a daemon from starting.

mod process;

pub use process::run_process;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_http::client::{self, Client};
use celerytide_http::server;
use celerytide_kernel::audit::{Audit, Kind};
use celerytide_kernel::metrics::Metrics;
use celerytide_kernel::readiness::Readiness;
use celerytide_kernel::trace::TraceLog;
use celerytide_kernel::{Kernel, signals};
use celerytide_manifest::{Fault, Platform};
use celerytide_membership::watch::WatchOptions;
use celerytide_membership::{Membership, Options, watch};
use celerytide_operator::{OperatorHandler, StatusSource, names};
use celerytide_types::{Incarnation, InstanceId, RegionId, ZoneId, new_incarnation, now_boot};
use celerytide_wire::messages::Method;
use celerytide_wire::{ConnectionPool, Exchange};
use monoio::net::TcpListener;
use snafu::{ResultExt, Snafu};
use tokio_util::sync::CancellationToken;

use crate::failure_detector::FailureDetector;
use crate::{gossip, tick};

/// The daemon that a process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// `celerytide-entry`, which serves callers.
    Entry,
    /// `celerytide-dispatch`, which grants permits.
    Dispatch,
}

/// Why a daemon could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The settings file could not be read.
    #[snafu(display("{file}: {source}"))]
    Read {
        /// Path of the file.
        file: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The settings have faults.
    #[snafu(display("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")))]
    Settings {
        /// All faults that the check found.
        faults: Vec<Fault>,
    },
    /// The runtime could not be built.
    #[snafu(display("runtime: {source}"))]
    Runtime {
        /// The system's error.
        source: std::io::Error,
    },
    /// Logging could not start.
    #[snafu(display("{source}"))]
    Logs {
        /// The kernel's error.
        source: celerytide_kernel::logs::Error,
    },
    /// The peer address could not be bound.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Listen {
        /// Address that could not be bound.
        addr: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The HTTP server could not start.
    #[snafu(display("{source}"))]
    Http {
        /// The server's error.
        source: server::Error,
    },
    /// Signal handlers could not be installed.
    #[snafu(display("{source}"))]
    Signals {
        /// The kernel's error.
        source: signals::Error,
    },
    /// A service could not be registered with the kernel, or is missing from it.
    #[snafu(display("{source}"))]
    Kernel {
        /// The kernel's error.
        source: celerytide_kernel::Error,
    },
}

/// Identity of a process.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Daemon that the process runs.
    pub role: Role,
    /// Instance that the process runs on.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Region of the availability zone.
    pub region: RegionId,
}

/// How often a process exchanges views with peers, and for how long it trusts a view.
#[derive(Debug, Clone, Copy)]
pub struct ViewTiming {
    /// Mean interval between rounds of gossip.
    pub gossip_interval: Duration,
    /// Age from which views are stale, if it is above the membership's own bound.
    pub view_age: Option<Duration>,
}

/// A process and the services that entry and dispatch processes share.
pub struct Node {
    /// Daemon that the process runs.
    pub role: Role,
    /// Instance that the process runs on.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Region of the availability zone.
    pub region: RegionId,
    /// Random id of this run of the process.
    pub incarnation: Incarnation,
    /// Views of the manifest, the instances and the endpoints.
    pub membership: Rc<Membership>,
    /// Connections to peers, opened on demand.
    pub connections: ConnectionPool,
    /// Detector of pool owners that can't be reached.
    pub failure_detector: Rc<FailureDetector>,
    /// HTTP client, for endpoints and the configuration service.
    pub client: Client,
    /// Audit trail of changes.
    pub audit: Rc<Audit>,
    /// Steps of recent requests, for `explain`.
    pub trace_log: Rc<TraceLog>,
    /// Conditions of `/readyz`.
    pub ready: Rc<Readiness>,
    /// Registry of `/metrics`.
    pub metrics: Rc<Metrics>,
    /// Cancelled by the first signal: a graceful stop begins.
    pub stop: CancellationToken,
    /// Cancelled by the second signal, or when the stop is complete.
    pub abort: CancellationToken,
    pub(crate) seed_peers: Vec<SocketAddr>,
    pub(crate) gossip_interval: Duration,
}

impl Node {
    /// Registers the kernel's services, installs signal handlers, and starts to watch the configuration service and
    /// peers.
    pub fn start(
        kernel: &Kernel,
        identity: Identity,
        platform: &Platform,
        timing: ViewTiming,
        wire_options: celerytide_wire::Options,
    ) -> Result<Rc<Node>, Error> {
        let stop = kernel.cx().clone();
        let abort = CancellationToken::new();
        signals::watch(stop.clone(), abort.clone()).context(SignalsSnafu)?;
        let incarnation = new_incarnation();
        let membership = Rc::new(Membership::new(
            now_boot(),
            membership_options(incarnation, timing.view_age),
        ));
        let audit = kernel
            .register(names::AUDIT, Rc::new(Audit::default()))
            .context(KernelSnafu)?;
        let failure_detector = FailureDetector::new(
            Some(identity.instance.clone()).filter(|_| identity.role == Role::Dispatch),
            membership.clone(),
            audit.clone(),
            wire_options,
            abort.clone(),
        );
        let node = Rc::new(Node {
            failure_detector: Rc::new(failure_detector),
            role: identity.role,
            instance: identity.instance,
            zone: identity.zone,
            region: identity.region,
            incarnation,
            membership,
            connections: ConnectionPool::new(wire_options, abort.clone()),
            client: Client::new(client_options()),
            audit,
            trace_log: kernel
                .register(names::TRACE_LOG, Rc::new(TraceLog::default()))
                .context(KernelSnafu)?,
            ready: kernel
                .register(names::READINESS, Rc::new(Readiness::default()))
                .context(KernelSnafu)?,
            metrics: kernel
                .register(names::METRICS, Rc::new(Metrics::default()))
                .context(KernelSnafu)?,
            stop,
            abort,
            seed_peers: platform.peers.clone(),
            gossip_interval: timing.gossip_interval,
        });
        node.ready.set("manifest", false);
        node.ready.set("instances", false);
        node.ready.set("serving", true);
        node.audit.record(Kind::Process, &node.instance, "started", 0);
        node.start_tasks(platform);
        Ok(node)
    }

    /// Serves a gossip exchange that a peer opened.
    pub async fn serve(self: &Rc<Self>, method: Method, ex: Exchange) {
        gossip::serve(self, method, ex).await;
    }

    /// The fields that `/status` of every daemon has; `process` is the daemon's short name.
    pub fn status(&self, process: &str) -> serde_json::Value {
        let view = self.membership.view();
        let now = now_boot();
        let age = self.membership.digest(now).confirmed_ms_ago;
        serde_json::json!({
            "process": process,
            "instance": self.instance,
            "incarnation": format!("{:016x}", self.incarnation),
            "zone": self.zone,
            "region": self.region,
            "ready": self.ready.is_ready(),
            "freshness": format!("{:?}", self.membership.freshness(now)),
            "manifest": { "version": view.manifest_version, "digest": view.manifest_digest, "age_ms": age },
            "list": { "version": view.list_version, "instances": view.instances.len(), "age_ms": age },
            "endpoints": { "version": view.endpoints_version, "listed": view.endpoints.len() },
            "zones": view.manifest.as_ref().map(|m| m.zones.clone()),
            "connections": self.connections.count(),
        })
    }

    /// Serves the operators' address until the process ends.
    pub fn serve_operators<S: StatusSource>(
        &self,
        kernel: &Kernel,
        addr: SocketAddr,
        status: Rc<S>,
    ) -> Result<(), Error> {
        let operator = OperatorHandler::new(kernel, status).context(KernelSnafu)?;
        let limits = celerytide_http::Limits::default();
        let listener = server::bind(addr, &limits).context(HttpSnafu)?;
        let abort = self.abort.clone();
        monoio::spawn(async move { server::serve(listener, limits, Rc::new(operator), abort).await });
        Ok(())
    }

    fn start_tasks(self: &Rc<Self>, platform: &Platform) {
        let opts = WatchOptions {
            config_service: platform.config_service.clone(),
            wait: platform.watch_wait,
            manifest_wait: platform.watch_wait,
            read_timeout: platform.read_timeout,
            start_jitter: platform.start_jitter,
            ..WatchOptions::default()
        };
        self.register_read_counters(&opts);
        let (membership, client, cx) = (self.membership.clone(), self.client.clone(), self.abort.clone());
        monoio::spawn(gossip::fetch_sections(self.clone(), opts.clone()));
        monoio::spawn(async move { watch(&membership, &client, &opts, &cx).await });
        monoio::spawn(gossip::run(self.clone()));
        monoio::spawn(tick::run(self.clone()));
    }

    fn register_read_counters(&self, opts: &WatchOptions) {
        let counts = opts.counters.clone();
        self.metrics.register(|registry| {
            let reads = registry.sub_registry_with_prefix("config_reads");
            reads.register("manifest", "Reads of the manifest", counts.manifest);
            reads.register("sections", "Reads of sections of the manifest", counts.sections);
            reads.register("instances", "Reads of the instance list", counts.instances);
            reads.register("endpoints", "Reads of the endpoint list", counts.endpoints);
            reads.register("failed", "Reads that failed", counts.failed);
        });
    }
}

/// Binds the peer address `addr`.
pub fn listen(addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr).context(ListenSnafu { addr })
}

/// An answer that names no request may be followed by a copy of itself, which would be taken for the next request's.
fn client_options() -> client::Options {
    client::Options {
        reuse_nameless: false,
        ..client::Options::default()
    }
}

fn membership_options(incarnation: Incarnation, view_age: Option<Duration>) -> Options {
    let mut opts = Options {
        incarnation,
        ..Options::default()
    };
    if let Some(age) = view_age {
        opts.fresh_for = opts.fresh_for.max(age);
    }
    opts
}
