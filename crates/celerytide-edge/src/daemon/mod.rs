//! Startup, reload of the settings, and exit of the process.

use std::cell::Cell;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream as StdStream;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use celerytide_http::memory::Account;
use celerytide_http::server::{self, Handler, Request, Responder, Shutdown, serve_with_account};
use celerytide_http::{Limits, server::bind};
use celerytide_kernel::metrics::{CONTENT_TYPE, Metrics};
use celerytide_kernel::{Kernel, logs, signals};
use http::{HeaderMap, HeaderValue, StatusCode};
use monoio::io::AsyncReadRent;
use monoio::net::{TcpListener, UnixStream};
use monoio::{LegacyDriver, RuntimeBuilder};
use signal_hook::consts::SIGHUP;
use signal_hook::low_level::pipe;
use snafu::{ResultExt, Snafu};
use tokio_util::sync::CancellationToken;
use tracing::{error, info, warn};

use crate::edge::{Edge, StoreAccess, ask_returned};
use crate::memory::{AccountedHandler, open_account};
use crate::protocol::Protocol;
use crate::settings::{self, Settings};
use crate::source::Source;
use crate::{follow, peers, stop};

/// Exit code if the process can't start.
const EXIT_START_FAILED: u8 = 2;
/// Log level if the settings give none.
const LOG_LEVEL: &str = "info";
/// Idle time of connections to the readiness and metrics addresses.
const STATUS_IDLE: Duration = Duration::from_secs(60);
/// Names of the services in the kernel's registry.
const EDGE_SERVICE: &str = "edge";
const METRICS_SERVICE: &str = "metrics";

/// Why the process can't start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings file can't be read.
    #[snafu(display("can't read {file}: {source}"))]
    Read {
        /// Path of the file.
        file: String,
        /// I/O error.
        source: io::Error,
    },
    /// The settings are invalid.
    #[snafu(display("{file}: {source}"))]
    Check {
        /// Path of the file.
        file: String,
        /// What is wrong with them.
        source: settings::Error,
    },
    /// The async runtime can't start.
    #[snafu(display("the runtime can't start: {source}"))]
    Runtime {
        /// I/O error.
        source: io::Error,
    },
    /// Logging can't start.
    #[snafu(display("{source}"), context(false))]
    Logs {
        /// Error of the log module.
        source: logs::Error,
    },
    /// A TCP address can't be bound.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// Error of the HTTP server.
        source: server::Error,
    },
    /// The UDP address for digests or placement can't be bound.
    #[snafu(display("can't listen for datagrams on {addr}: {source}"))]
    Datagrams {
        /// The address.
        addr: SocketAddr,
        /// I/O error.
        source: io::Error,
    },
    /// Signal handlers can't be installed.
    #[snafu(display("{source}"), context(false))]
    Signals {
        /// Error of the signal module.
        source: signals::Error,
    },
    /// The handler of SIGHUP can't be installed.
    #[snafu(display("can't watch SIGHUP: {source}"))]
    Hangup {
        /// I/O error.
        source: io::Error,
    },
    /// The kernel's registry refused a service.
    #[snafu(display("{source}"), context(false))]
    Kernel {
        /// Error of the kernel.
        source: celerytide_kernel::Error,
    },
}

/// Reads and validates the settings in `file`.
pub fn read_settings(file: &str) -> Result<Settings, Error> {
    let text = fs::read_to_string(file).context(ReadSnafu { file })?;
    settings::parse(&text).context(CheckSnafu { file })
}

/// Runs the process with the settings in `file` until a signal stops it; `source` creates the reader of the store.
pub fn main<P: Protocol, S: Source>(file: &str, protocol: P, source: impl FnOnce(&Settings) -> S) -> ExitCode {
    match try_main(file, protocol, source) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

fn try_main<P: Protocol, S: Source>(file: &str, protocol: P, source: impl FnOnce(&Settings) -> S) -> Result<(), Error> {
    let settings = read_settings(file)?;
    logs::init_nonblocking(settings.log_level.as_deref().unwrap_or(LOG_LEVEL))?;
    let source = source(&settings);
    let built = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    let mut runtime = built.context(RuntimeSnafu)?;
    runtime.block_on(run(file.to_owned(), settings, protocol, source))
}

async fn run<P: Protocol, S: Source>(file: String, settings: Settings, protocol: P, source: S) -> Result<(), Error> {
    let kernel = Kernel::new();
    let account = open_account(&settings);
    let edge = kernel.register(EDGE_SERVICE, Rc::new(Edge::new(settings, protocol)))?;
    let metrics = kernel.register(METRICS_SERVICE, Rc::new(Metrics::default()))?;
    metrics.register(|registry| edge.counters.register(registry));
    let abort = CancellationToken::new();
    signals::watch(edge.stopping.clone(), abort.clone())?;
    watch_hangup(edge.clone(), file)?;
    let shutdown = Shutdown {
        drain: CancellationToken::new(),
        end: CancellationToken::new(),
    };
    listen_status(&edge, &metrics, &account, &shutdown)?;
    let callers = Rc::new(AccountedHandler::new(edge.clone(), account.clone()));
    listen_peers(&edge, &callers, &shutdown)?;
    let listener = bind(edge.settings.callers, &edge.limits.get())?;
    monoio::spawn(serve_with_account(
        listener,
        edge.limits.clone(),
        callers,
        shutdown.clone(),
        account,
    ));
    monoio::spawn(follow::run(edge.clone(), source));
    monoio::spawn(ask_returned(edge.clone()));
    let s = &edge.settings;
    info!(instance = s.instance, zone = s.zone, callers = %s.callers, store = %s.store, seeds = ?s.seeds, "edge: started");
    monoio::select! {
        () = stop::run(&edge, &shutdown) => {}
        () = abort.cancelled() => warn!(cut = edge.active_requests.get(), "edge: ended by a second signal"),
    }
    Ok(())
}

fn listen_status<P: Protocol>(
    edge: &Rc<Edge<P>>,
    metrics: &Rc<Metrics>,
    account: &Account,
    shutdown: &Shutdown,
) -> Result<(), Error> {
    let limits = Limits {
        idle_timeout: STATUS_IDLE,
        max_connections: 16,
        ..Limits::default()
    };
    let handler = Rc::new(StatusHandler {
        edge: edge.clone(),
        metrics: metrics.clone(),
        account: account.clone(),
    });
    let shutdown = Shutdown {
        drain: shutdown.end.clone(),
        end: shutdown.end.clone(),
    };
    let limits = Rc::new(Cell::new(limits));
    let addresses = [Some(edge.settings.readiness), edge.settings.metrics];
    for addr in addresses.into_iter().flatten() {
        let listener = bind(addr, &limits.get())?;
        let serving = serve_with_account(
            listener,
            limits.clone(),
            handler.clone(),
            shutdown.clone(),
            account.clone(),
        );
        monoio::spawn(serving);
    }
    Ok(())
}

fn listen_peers<P: Protocol>(
    edge: &Rc<Edge<P>>,
    callers: &Rc<AccountedHandler<P>>,
    shutdown: &Shutdown,
) -> Result<(), Error> {
    let Some(addr) = edge.settings.peers else {
        return Ok(());
    };
    let listener: TcpListener = bind(addr, &Limits::default())?;
    let service = Rc::new(peers::Service {
        edge: edge.clone(),
        callers: callers.clone(),
    });
    monoio::spawn(celerytide_wire::serve(
        listener,
        peers::options(),
        service,
        shutdown.end.clone(),
    ));
    monoio::spawn(peers::run(edge.clone()));
    if let Some(addr) = edge.settings.placement {
        let socket = peers::bind(addr).context(DatagramsSnafu { addr })?;
        monoio::spawn(peers::send_placements(edge.clone(), socket.clone()));
        monoio::spawn(peers::receive_placements(edge.clone(), socket));
        monoio::spawn(peers::tick_placements(edge.clone()));
    }
    if let Some(addr) = edge.settings.digests {
        let socket = peers::bind(addr).context(DatagramsSnafu { addr })?;
        monoio::spawn(peers::send_digests(edge.clone(), socket.clone()));
        monoio::spawn(peers::receive_digests(edge.clone(), socket));
    }
    Ok(())
}

/// Serves readiness checks and requests for metrics.
struct StatusHandler<P: Protocol> {
    edge: Rc<Edge<P>>,
    metrics: Rc<Metrics>,
    account: Account,
}

impl<P: Protocol> Handler for StatusHandler<P> {
    async fn handle(&self, req: Request, out: Responder, _cx: CancellationToken) {
        let edge = &self.edge;
        let mut headers = HeaderMap::new();
        let (status, body) = if req.uri.path().ends_with("/metrics") {
            headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static(CONTENT_TYPE));
            edge.counters.busy.set(edge.active_requests.get() as i64);
            edge.counters.dropped_lines.set(logs::dropped_lines() as i64);
            edge.counters
                .reading
                .set(i64::from(edge.store_access.get() == StoreAccess::Direct));
            let coordination = edge.coordination.borrow();
            edge.counters.placement_in_flight.set(coordination.in_flight() as i64);
            edge.counters.placement_waiting.set(coordination.waiting() as i64);
            drop(coordination);
            let position = edge.view.borrow().position();
            edge.counters.revision.set(position.revision as i64);
            edge.counters.era.set(position.era as i64);
            edge.counters.set_memory(&self.account.usage());
            (StatusCode::OK, Bytes::from(self.metrics.text()))
        } else if edge.is_ready() {
            (StatusCode::OK, Bytes::from_static(b"ready\n"))
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"not ready\n"))
        };
        // The client may have disconnected.
        let _ = out.whole(status, headers, body).await;
    }
}

fn watch_hangup<P: Protocol>(edge: Rc<Edge<P>>, file: String) -> Result<(), Error> {
    let (rx, tx) = StdStream::pair().context(HangupSnafu)?;
    rx.set_nonblocking(true).context(HangupSnafu)?;
    pipe::register(SIGHUP, tx).context(HangupSnafu)?;
    let rx = UnixStream::from_std(rx).context(HangupSnafu)?;
    monoio::spawn(reload_on_signal(rx, edge, file));
    Ok(())
}

async fn reload_on_signal<P: Protocol>(mut rx: UnixStream, edge: Rc<Edge<P>>, file: String) {
    let mut buf = vec![0_u8; 16];
    loop {
        let (read, back) = rx.read(buf).await;
        buf = back;
        if !matches!(read, Ok(n) if n > 0) {
            return;
        }
        match read_settings(&file) {
            Ok(settings) => {
                edge.members.borrow_mut().set_seeds(&settings.seeds);
                info!(seeds = ?settings.seeds, release = ?settings.release, "edge: settings reloaded");
                edge.release_listed(&settings.released_subjects());
            }
            Err(error) => error!(%error, "edge: reload failed; the settings are unchanged"),
        }
    }
}
