//! The writing half of a connection: every write is bounded in time.

use std::io;
use std::time::Duration;

use bytes::{Buf, Bytes};
use monoio::io::{AsyncWriteRent, OwnedWriteHalf};
use monoio::net::TcpStream;
use monoio::time::timeout;
use snafu::Snafu;

/// Bytes could not be written.
#[derive(Debug, Snafu)]
pub(crate) enum WriteError {
    /// The peer took nothing for the bound.
    #[snafu(display("the peer stopped reading"))]
    Stalled,
    /// The connection broke.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// The system's error.
        source: io::Error,
    },
}

/// The writing half of a connection.
pub(crate) struct Writer {
    io: OwnedWriteHalf<TcpStream>,
    stall: Duration,
}

impl Writer {
    pub(crate) fn new(io: OwnedWriteHalf<TcpStream>, stall: Duration) -> Self {
        Writer { io, stall }
    }

    /// Writes all of `buf`; each single write is bounded by the stall time.
    pub(crate) async fn write_all(&mut self, mut buf: Bytes) -> Result<(), WriteError> {
        while buf.has_remaining() {
            let Ok((res, rest)) = timeout(self.stall, self.io.write(buf)).await else {
                return Err(WriteError::Stalled);
            };
            buf = rest;
            match res {
                Ok(0) => return Err(io::Error::from(io::ErrorKind::WriteZero).into()),
                Ok(n) => buf.advance(n.min(buf.len())),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e.into()),
            }
        }
        Ok(())
    }

    /// Tells the peer that nothing more comes.
    pub(crate) async fn shutdown(&mut self) {
        // A connection that is already broken needs no end.
        let _ = self.io.shutdown().await;
    }
}
