//! Start, reload and end of the process.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream as StdStream;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use celerytide_http::server::{self, Handler, Request, Responder, Shutdown, serve_with_shutdown};
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

use crate::edge::{Edge, Reading};
use crate::forward::Callers;
use crate::names::Wire;
use crate::settings::{self, Settings};
use crate::source::Source;
use crate::{follow, peers, stop};

/// Exit code when the process could not start.
const EXIT_START: u8 = 2;
/// Log level where the settings name none.
const LOG_LEVEL: &str = "info";
/// Wait for a request to the readiness or metrics address.
const ASIDE_IDLE: Duration = Duration::from_secs(60);
/// Names of the services in the kernel's registry.
const EDGE: &str = "edge";
const METRICS: &str = "metrics";

/// The process can't start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings file can't be read.
    #[snafu(display("can't read {file}: {source}"))]
    Read {
        /// Its path.
        file: String,
        /// The system's error.
        source: io::Error,
    },
    /// The settings can't be used.
    #[snafu(display("{file}: {source}"))]
    Check {
        /// Path of the file.
        file: String,
        /// What is wrong.
        source: settings::Error,
    },
    /// The runtime can't start.
    #[snafu(display("the runtime can't start: {source}"))]
    Runtime {
        /// The system's error.
        source: io::Error,
    },
    /// Logs can't start.
    #[snafu(display("{source}"), context(false))]
    Logs {
        /// Why.
        source: logs::Error,
    },
    /// An address can't be listened on.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// Why.
        source: server::Error,
    },
    /// The address for digests can't be used.
    #[snafu(display("can't listen for digests on {addr}: {source}"))]
    Digests {
        /// The address.
        addr: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// Signals can't be watched.
    #[snafu(display("{source}"), context(false))]
    Signals {
        /// Why.
        source: signals::Error,
    },
    /// SIGHUP can't be watched.
    #[snafu(display("can't watch SIGHUP: {source}"))]
    Hangup {
        /// The system's error.
        source: io::Error,
    },
    /// The kernel's registry refused a service.
    #[snafu(display("{source}"), context(false))]
    Kernel {
        /// Why.
        source: celerytide_kernel::Error,
    },
}

/// Reads and checks the settings in `file`.
pub fn read_settings(file: &str) -> Result<Settings, Error> {
    let text = fs::read_to_string(file).context(ReadSnafu { file })?;
    settings::parse(&text).context(CheckSnafu { file })
}

/// Runs the process with the settings in `file` until a signal stops it; `source` makes the reader of the store.
pub fn main<W: Wire, S: Source>(file: &str, wire: W, source: impl FnOnce(&Settings) -> S) -> ExitCode {
    match try_main(file, wire, source) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn try_main<W: Wire, S: Source>(file: &str, wire: W, source: impl FnOnce(&Settings) -> S) -> Result<(), Error> {
    let settings = read_settings(file)?;
    logs::init_nonblocking(settings.log_level.as_deref().unwrap_or(LOG_LEVEL))?;
    let source = source(&settings);
    let built = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    let mut runtime = built.context(RuntimeSnafu)?;
    runtime.block_on(run(file.to_owned(), settings, wire, source))
}

async fn run<W: Wire, S: Source>(file: String, settings: Settings, wire: W, source: S) -> Result<(), Error> {
    let kernel = Kernel::new();
    let edge = kernel.register(EDGE, Rc::new(Edge::new(settings, wire)))?;
    let metrics = kernel.register(METRICS, Rc::new(Metrics::default()))?;
    metrics.register(|registry| edge.counters.register(registry));
    let abort = CancellationToken::new();
    signals::watch(edge.stopping.clone(), abort.clone())?;
    watch_hangup(edge.clone(), file)?;
    let stop = Shutdown {
        drain: CancellationToken::new(),
        end: CancellationToken::new(),
    };
    listen_aside(&edge, &metrics, &stop)?;
    listen_peers(&edge, &stop)?;
    let listener = bind(edge.settings.callers, &edge.limits.get())?;
    let callers = Rc::new(Callers(edge.clone()));
    monoio::spawn(serve_with_shutdown(
        listener,
        edge.limits.clone(),
        callers,
        stop.clone(),
    ));
    monoio::spawn(follow::run(edge.clone(), source));
    let s = &edge.settings;
    info!(instance = s.instance, zone = s.zone, callers = %s.callers, store = %s.store, seeds = ?s.seeds, "edge: started");
    monoio::select! {
        () = stop::run(&edge, &stop) => {}
        () = abort.cancelled() => warn!(cut = edge.busy.get(), "edge: ended by a second signal"),
    }
    Ok(())
}

fn listen_aside<W: Wire>(edge: &Rc<Edge<W>>, metrics: &Rc<Metrics>, stop: &Shutdown) -> Result<(), Error> {
    let limits = Limits {
        idle: ASIDE_IDLE,
        connections: 16,
        ..Limits::default()
    };
    let aside = Rc::new(Aside {
        edge: edge.clone(),
        metrics: metrics.clone(),
    });
    let addresses = [Some(edge.settings.readiness), edge.settings.metrics];
    for addr in addresses.into_iter().flatten() {
        let listener = bind(addr, &limits)?;
        monoio::spawn(server::serve(listener, limits, aside.clone(), stop.end.clone()));
    }
    Ok(())
}

fn listen_peers<W: Wire>(edge: &Rc<Edge<W>>, stop: &Shutdown) -> Result<(), Error> {
    let Some(addr) = edge.settings.peers else {
        return Ok(());
    };
    let listener: TcpListener = bind(addr, &Limits::default())?;
    let service = Rc::new(peers::Service(edge.clone()));
    monoio::spawn(celerytide_wire::serve(
        listener,
        peers::options(),
        service,
        stop.end.clone(),
    ));
    monoio::spawn(peers::run(edge.clone()));
    if let Some(addr) = edge.settings.digests {
        let socket = peers::open(addr).context(DigestsSnafu { addr })?;
        monoio::spawn(peers::tell(edge.clone(), socket.clone()));
        monoio::spawn(peers::hear(edge.clone(), socket));
    }
    Ok(())
}

/// Answers the platform's question for readiness, and readers of metrics.
struct Aside<W: Wire> {
    edge: Rc<Edge<W>>,
    metrics: Rc<Metrics>,
}

impl<W: Wire> Handler for Aside<W> {
    async fn handle(&self, req: Request, out: Responder, _cx: CancellationToken) {
        let edge = &self.edge;
        let mut headers = HeaderMap::new();
        let (status, body) = if req.uri.path().ends_with("/metrics") {
            headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static(CONTENT_TYPE));
            edge.counters.busy.set(edge.busy.get() as i64);
            edge.counters.dropped_lines.set(logs::dropped_lines() as i64);
            edge.counters
                .reading
                .set(i64::from(edge.reading.get() == Reading::Reads));
            let position = edge.view.borrow().position();
            edge.counters.revision.set(position.revision as i64);
            edge.counters.era.set(position.era as i64);
            (StatusCode::OK, Bytes::from(self.metrics.text()))
        } else if edge.is_ready() {
            (StatusCode::OK, Bytes::from_static(b"ready\n"))
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"not ready\n"))
        };
        // The asker may be gone.
        let _ = out.whole(status, headers, body).await;
    }
}

fn watch_hangup<W: Wire>(edge: Rc<Edge<W>>, file: String) -> Result<(), Error> {
    let (rx, tx) = StdStream::pair().context(HangupSnafu)?;
    rx.set_nonblocking(true).context(HangupSnafu)?;
    pipe::register(SIGHUP, tx).context(HangupSnafu)?;
    let rx = UnixStream::from_std(rx).context(HangupSnafu)?;
    monoio::spawn(reload_on_signal(rx, edge, file));
    Ok(())
}

async fn reload_on_signal<W: Wire>(mut rx: UnixStream, edge: Rc<Edge<W>>, file: String) {
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
                info!(seeds = ?settings.seeds, "edge: settings read again");
            }
            Err(error) => error!(%error, "edge: settings stay as they were"),
        }
    }
}
