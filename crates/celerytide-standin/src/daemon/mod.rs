//! Runs the HTTP server of a stand-in process: binds, prints the address and serves.

use std::{io, io::Write, net::SocketAddr, rc::Rc, time::Duration};

use celerytide_http::{Limits, server};
use monoio::{LegacyDriver, RuntimeBuilder};
use snafu::{ResultExt, Snafu};
use tokio_util::sync::CancellationToken;

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
const IDLE_TIMEOUT: Duration = Duration::from_secs(3600);
const MAX_CONNECTIONS: usize = 16 * 1024;

/// Why a stand-in did not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The async runtime could not be built.
    #[snafu(display("runtime: {source}"))]
    Runtime {
        /// Error from the operating system.
        source: io::Error,
    },
    /// The server could not bind or serve.
    #[snafu(display("{source}"), context(false))]
    Serve {
        /// Error of the server.
        source: server::Error,
    },
    /// The bound address could not be read.
    #[snafu(display("listen on {addr}: {source}"))]
    Listen {
        /// Requested address; of a route of the relay, its target.
        addr: SocketAddr,
        /// Error from the operating system.
        source: io::Error,
    },
    /// A file given as an option could not be read.
    #[snafu(display("read {path}: {source}"))]
    Read {
        /// Path of the file.
        path: String,
        /// Error from the operating system.
        source: io::Error,
    },
}

/// Serves the handler that `make` builds on `listen` until the process ends.
///
/// `make` runs inside the runtime, so that it may spawn tasks.
pub fn run<H, F>(listen: SocketAddr, make: F) -> Result<(), Error>
where
    H: server::Handler + 'static,
    F: FnOnce() -> Result<Rc<H>, Error>,
{
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .context(RuntimeSnafu)?;
    runtime.block_on(async move {
        let limits = limits();
        let listener = server::bind(listen, &limits)?;
        let addr = listener.local_addr().context(ListenSnafu { addr: listen })?;
        let handler = make()?;
        print_address(addr);
        Ok(server::serve(listener, limits, handler, CancellationToken::new()).await?)
    })
}

/// Wide limits, since the system under test is to enforce its own.
fn limits() -> Limits {
    Limits {
        max_body_bytes: MAX_BODY_BYTES,
        idle_timeout: IDLE_TIMEOUT,
        max_connections: MAX_CONNECTIONS,
        ..Limits::default()
    }
}

fn print_address(addr: SocketAddr) {
    let mut out = io::stdout();
    // The stand-in keeps serving if its output is closed.
    let _ = writeln!(out, "{}{addr}", crate::launch::READY_PREFIX);
    let _ = out.flush();
}
