//! Start and stop of a daemon.

mod process;

pub use process::run_process;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_http::client::Client;
use celerytide_http::server;
use celerytide_kernel::audit::{Audit, Kind};
use celerytide_kernel::metrics::Metrics;
use celerytide_kernel::readiness::Readiness;
use celerytide_kernel::trace::TraceLog;
use celerytide_kernel::{Kernel, signals};
use celerytide_manifest::{Fault, Platform};
use celerytide_membership::watch::WatchOptions;
use celerytide_membership::{Membership, Options, watch};
use celerytide_operator::{Operator, Status, names};
use celerytide_types::{Incarnation, InstanceId, RegionId, ZoneId, new_incarnation, now_boot};
use celerytide_wire::messages::Method;
use celerytide_wire::{ConnectionPool, Exchange};
use monoio::net::TcpListener;
use snafu::{ResultExt, Snafu};
use tokio_util::sync::CancellationToken;

use crate::suspect::Suspects;
use crate::{gossip, tick};

/// Which daemon a process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// `celerytide-entry`.
    Entry,
    /// `celerytide-dispatch`.
    Dispatch,
}

/// Why a daemon could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The settings file could not be read.
    #[snafu(display("{file}: {source}"))]
    Read {
        /// The file.
        file: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The settings are wrong.
    #[snafu(display("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")))]
    Settings {
        /// What is wrong.
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
    /// An address could not be listened on.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Listen {
        /// The address.
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
    /// Signals could not be watched.
    #[snafu(display("{source}"))]
    Signals {
        /// The kernel's error.
        source: signals::Error,
    },
    /// A service of the kernel is missing.
    #[snafu(display("{source}"))]
    Kernel {
        /// The kernel's error.
        source: celerytide_kernel::Error,
    },
}

/// Who this process is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Its daemon.
    pub role: Role,
    /// Its instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
}

/// How often a process hears of others, and how long it trusts what it heard.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Time between rounds of gossip.
    pub gossip_interval: Duration,
    /// Views older than this are stale, where it is above the membership's own bound.
    pub view_age: Option<Duration>,
}

/// One process among its peers.
pub struct Node {
    /// Its daemon.
    pub role: Role,
    /// Its instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// Views.
    pub membership: Rc<Membership>,
    /// Connections to peers.
    pub links: ConnectionPool,
    /// Owners that can't be reached.
    pub suspects: Rc<Suspects>,
    /// Calls over HTTP.
    pub client: Client,
    /// The audit trail.
    pub audit: Rc<Audit>,
    /// Stories of recent requests.
    pub trail: Rc<TraceLog>,
    /// Readiness.
    pub ready: Rc<Readiness>,
    /// Metrics.
    pub metrics: Rc<Metrics>,
    /// Cancelled by the first signal: a graceful stop begins.
    pub stop: CancellationToken,
    /// Cancelled by the second signal, or when the stop is complete.
    pub abort: CancellationToken,
    pub(crate) seed_peers: Vec<SocketAddr>,
    pub(crate) gossip_interval: Duration,
}

impl Node {
    /// Registers the kernel's services, watches signals, and begins to follow the configuration service and peers.
    pub fn start(
        kernel: &Kernel,
        who: Identity,
        platform: &Platform,
        pace: Pace,
        wire: celerytide_wire::Options,
    ) -> Result<Rc<Node>, Error> {
        let stop = kernel.cx().clone();
        let abort = CancellationToken::new();
        signals::watch(stop.clone(), abort.clone()).context(SignalsSnafu)?;
        let incarnation = new_incarnation();
        let membership = Rc::new(Membership::new(now_boot(), options(incarnation, pace.view_age)));
        let audit = kernel
            .register(names::AUDIT, Rc::new(Audit::default()))
            .context(KernelSnafu)?;
        let suspects = Suspects::new(
            Some(who.instance.clone()).filter(|_| who.role == Role::Dispatch),
            membership.clone(),
            audit.clone(),
            wire,
            abort.clone(),
        );
        let node = Rc::new(Node {
            suspects: Rc::new(suspects),
            role: who.role,
            instance: who.instance,
            zone: who.zone,
            region: who.region,
            incarnation,
            membership,
            links: ConnectionPool::new(wire, abort.clone()),
            client: Client::new(celerytide_http::client::Options::default()),
            audit,
            trail: kernel
                .register(names::TRAIL, Rc::new(TraceLog::default()))
                .context(KernelSnafu)?,
            ready: kernel
                .register(names::READY, Rc::new(Readiness::default()))
                .context(KernelSnafu)?,
            metrics: kernel
                .register(names::METRICS, Rc::new(Metrics::default()))
                .context(KernelSnafu)?,
            stop,
            abort,
            seed_peers: platform.peers.clone(),
            gossip_interval: pace.gossip_interval,
        });
        node.ready.set("manifest", false);
        node.ready.set("instances", false);
        node.ready.set("serving", true);
        node.audit.record(Kind::Process, &node.instance, "started", 0);
        node.follow(platform);
        Ok(node)
    }

    /// Serves a peer's exchange about views.
    pub async fn serve(self: &Rc<Self>, method: Method, ex: Exchange) {
        gossip::serve(self, method, ex).await;
    }

    /// What every daemon's `/status` begins with.
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
            "connections": self.links.count(),
        })
    }

    /// Serves the operators' address until the process ends.
    pub fn serve_operators<S: Status>(&self, kernel: &Kernel, addr: SocketAddr, status: Rc<S>) -> Result<(), Error> {
        let operator = Operator::new(kernel, status).context(KernelSnafu)?;
        let limits = celerytide_http::Limits::default();
        let listener = server::bind(addr, &limits).context(HttpSnafu)?;
        let abort = self.abort.clone();
        monoio::spawn(async move { server::serve(listener, limits, Rc::new(operator), abort).await });
        Ok(())
    }

    fn follow(self: &Rc<Self>, platform: &Platform) {
        let opts = WatchOptions {
            config_service: platform.config_service.clone(),
            wait: platform.watch_wait,
            manifest_wait: platform.watch_wait,
            read_timeout: platform.read_timeout,
            start_jitter: platform.start_jitter,
            ..WatchOptions::default()
        };
        self.register_reads(&opts);
        let (membership, client, cx) = (self.membership.clone(), self.client.clone(), self.abort.clone());
        monoio::spawn(gossip::fetch_sections(self.clone(), opts.clone()));
        monoio::spawn(async move { watch(&membership, &client, &opts, &cx).await });
        monoio::spawn(gossip::run(self.clone()));
        monoio::spawn(tick::run(self.clone()));
    }

    fn register_reads(&self, opts: &WatchOptions) {
        let counts = opts.counts.clone();
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

/// Listens on `addr`.
pub fn listen(addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr).context(ListenSnafu { addr })
}

fn options(incarnation: Incarnation, view_age: Option<Duration>) -> Options {
    let mut opts = Options {
        incarnation,
        ..Options::default()
    };
    if let Some(age) = view_age {
        opts.fresh_for = opts.fresh_for.max(age);
    }
    opts
}
