//! The reading half of a connection: fills a buffer, lets the guard look at it, then decodes.

use std::io;

use bytes::BytesMut;
use futures::FutureExt;
use http::{HeaderMap, Method, StatusCode, Uri, Version};
use monoio::io::{AsyncReadRent, OwnedReadHalf};
use monoio::net::TcpStream;
use monoio_http::h1::FramedRead;
use monoio_http::h1::codec::decoder::{RequestHeadDecoder, ResponseHeadDecoder};
use snafu::Snafu;

use crate::validate::{Head, ProtocolError, scan_head};

/// Room for a read at first, in bytes.
const READ_SIZE: usize = 4 * 1024;
/// Room for a read from a peer that fills what it gets, in bytes.
const READ_MAX: usize = 64 * 1024;
/// The buffer grows when less than this share of the room is left.
const SPARE_SHARE: usize = 4;

/// A head could not be read.
#[derive(Debug, Snafu)]
pub(crate) enum HeadError {
    /// The peer closed the connection.
    #[snafu(display("closed"))]
    Closed,
    /// The peer's bytes are at fault.
    #[snafu(display("{source}"), context(false))]
    Protocol {
        /// The fault.
        source: ProtocolError,
    },
    /// The connection broke.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// The system's error.
        source: io::Error,
    },
}

/// A decoded request head.
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) version: Version,
    pub(crate) headers: HeaderMap,
}

/// A decoded answer head.
pub(crate) struct AnswerHead {
    pub(crate) status: StatusCode,
    pub(crate) version: Version,
    pub(crate) headers: HeaderMap,
}

/// The reading half of a connection with its buffer.
pub(crate) struct Reader {
    framed: FramedRead<OwnedReadHalf<TcpStream>, ()>,
    scanned: usize,
    room: usize,
}

impl Reader {
    pub(crate) fn new(io: OwnedReadHalf<TcpStream>) -> Self {
        Reader {
            framed: FramedRead::with_capacity(io, (), 0),
            scanned: 0,
            room: READ_SIZE,
        }
    }

    /// Bytes read but not yet taken.
    pub(crate) fn buffered(&self) -> usize {
        self.framed.read_buffer().len()
    }

    pub(crate) fn framed(&mut self) -> &mut FramedRead<OwnedReadHalf<TcpStream>, ()> {
        &mut self.framed
    }

    /// Makes room for `more` further bytes.
    pub(crate) fn reserve(&mut self, more: usize) {
        self.framed.read_buffer_mut().reserve(more);
    }

    /// Reads once; zero at the peer's end. Dropping the future loses no byte.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        let (io, buf) = self.framed.read_state_mut();
        if buf.capacity() - buf.len() < self.room / SPARE_SHARE {
            buf.reserve(self.room);
        }
        let spare: BytesMut = buf.split_off(buf.len());
        let offered = spare.capacity();
        let (res, spare) = io.read(spare).await;
        buf.unsplit(spare);
        match res {
            Ok(n) if n == offered => self.room = (self.room * 2).min(READ_MAX),
            Ok(n) if n < self.room / SPARE_SHARE => self.room = READ_SIZE,
            _ => {}
        }
        res
    }

    /// Gives an empty buffer back, so that an idle connection holds none.
    pub(crate) fn release(&mut self) {
        if self.buffered() == 0 {
            *self.framed.read_buffer_mut() = BytesMut::new();
        }
    }

    /// Drops what is buffered.
    pub(crate) fn discard(&mut self) {
        self.framed.read_buffer_mut().clear();
        self.scanned = 0;
    }

    /// Reads until a whole request head is there.
    pub(crate) async fn request_head(&mut self, max: usize) -> Result<RequestHead, HeadError> {
        self.wait_head(max).await?;
        let decoded = self.framed.next_with(&mut RequestHeadDecoder).now_or_never();
        match decoded {
            Some(Some(Ok(head))) => Ok(RequestHead {
                method: head.method,
                uri: head.uri,
                version: head.version,
                headers: head.headers,
            }),
            _ => Err(ProtocolError::Syntax.into()),
        }
    }

    /// Reads until a whole answer head is there.
    pub(crate) async fn answer_head(&mut self, max: usize) -> Result<AnswerHead, HeadError> {
        self.wait_head(max).await?;
        let decoded = self.framed.next_with(&mut ResponseHeadDecoder).now_or_never();
        match decoded {
            Some(Some(Ok(head))) => Ok(AnswerHead {
                status: head.status,
                version: head.version,
                headers: head.headers,
            }),
            _ => Err(ProtocolError::Syntax.into()),
        }
    }

    async fn wait_head(&mut self, max: usize) -> Result<(), HeadError> {
        loop {
            match scan_head(self.framed.read_buffer(), self.scanned, max)? {
                Head::Whole { skip, .. } => {
                    let _ = self.framed.read_buffer_mut().split_to(skip);
                    self.scanned = 0;
                    return Ok(());
                }
                Head::Partial { scanned } => self.scanned = scanned,
            }
            if self.fill().await? == 0 {
                return Err(HeadError::Closed);
            }
        }
    }
}
