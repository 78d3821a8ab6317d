//! Signal handling: the first SIGTERM or SIGINT requests a graceful shutdown, the second ends the process at once.

use std::io;
use std::os::unix::net::UnixStream as StdStream;

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::low_level::pipe;
use snafu::{ResultExt, Snafu};
use tokio_util::sync::CancellationToken;

/// Why signal handling could not be set up.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The socket pair that signals are written to could not be created or registered.
    #[snafu(display("signals: {source}"))]
    Pipe {
        /// Error of the failed call.
        source: io::Error,
    },
}

/// Handles signals until the process ends: the first cancels `stop`, the second cancels `abort`.
pub fn watch(stop: CancellationToken, abort: CancellationToken) -> Result<(), Error> {
    let (rx, tx) = StdStream::pair().context(PipeSnafu)?;
    rx.set_nonblocking(true).context(PipeSnafu)?;
    let tx_int = tx.try_clone().context(PipeSnafu)?;
    pipe::register(SIGTERM, tx).context(PipeSnafu)?;
    pipe::register(SIGINT, tx_int).context(PipeSnafu)?;
    let rx = UnixStream::from_std(rx).context(PipeSnafu)?;
    monoio::spawn(handle_signals(rx, stop, abort));
    Ok(())
}

async fn handle_signals(mut rx: UnixStream, stop: CancellationToken, abort: CancellationToken) {
    let mut buf = vec![0_u8; 16];
    loop {
        let (read, back) = rx.read(buf).await;
        buf = back;
        let count = match read {
            Ok(0) | Err(_) => return,
            Ok(count) => count,
        };
        for _ in 0..count {
            if stop.is_cancelled() {
                abort.cancel();
            }
            stop.cancel();
        }
    }
}
