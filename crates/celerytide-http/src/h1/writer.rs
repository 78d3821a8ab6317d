//! The write half of a connection, with a timeout on every write.

use std::io;
use std::time::Duration;

use bytes::{Buf, Bytes};
use monoio::io::{AsyncWriteRent, OwnedWriteHalf};
use monoio::net::TcpStream;
use monoio::time::timeout;
use snafu::Snafu;

/// Why a write failed.
#[derive(Debug, Snafu)]
pub(crate) enum WriteError {
    /// The peer accepted no byte within the timeout.
    #[snafu(display("the peer stopped reading"))]
    Stalled,
    /// Writing to the socket failed.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// Error of the write call.
        source: io::Error,
    },
}

/// The write half of a connection.
pub(crate) struct Writer {
    io: OwnedWriteHalf<TcpStream>,
    stall_timeout: Duration,
}

impl Writer {
    pub(crate) fn new(io: OwnedWriteHalf<TcpStream>, stall_timeout: Duration) -> Self {
        Writer { io, stall_timeout }
    }

    /// Writes all of `buf`; the timeout applies to each write call. Calls `progress` after each but the last.
    pub(crate) async fn write_all(&mut self, mut buf: Bytes, progress: impl Fn()) -> Result<(), WriteError> {
        while buf.has_remaining() {
            let Ok((res, rest)) = timeout(self.stall_timeout, self.io.write(buf)).await else {
                return Err(WriteError::Stalled);
            };
            buf = rest;
            match res {
                Ok(0) => return Err(io::Error::from(io::ErrorKind::WriteZero).into()),
                Ok(n) if n < buf.len() => {
                    buf.advance(n);
                    progress();
                }
                Ok(_) => buf.clear(),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e.into()),
            }
        }
        Ok(())
    }

    /// Shuts down the write side of the connection.
    pub(crate) async fn shutdown(&mut self) {
        // An error means that the connection has already ended.
        let _ = self.io.shutdown().await;
    }
}
