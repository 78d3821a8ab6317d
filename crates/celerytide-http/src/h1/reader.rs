//! The read half of a connection: fills a buffer, validates its content, then decodes it.

use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::BytesMut;
use futures::FutureExt;
use http::{HeaderMap, Method, StatusCode, Uri, Version};
use monoio::io::{AsyncReadRent, OwnedReadHalf};
use monoio::net::TcpStream;
use monoio_http::h1::FramedRead;
use monoio_http::h1::codec::decoder::{RequestHeadDecoder, ResponseHeadDecoder};
use snafu::Snafu;

use crate::memory::Holder;
use crate::validate::{HeadScan, ProtocolError, response_status, scan_head};

/// Initial and minimum size of a read.
const MIN_READ_BYTES: usize = 4 * 1024;
/// Maximum size of a read; the size doubles each time a peer fills a read.
const MAX_READ_BYTES: usize = 64 * 1024;
/// The same for a caller, whose large bodies are read into blocks.
const MAX_CALLER_READ_BYTES: usize = 16 * 1024;
/// Size of a caller's buffer that is a part of the connection's own charge.
const USUAL_BUFFER_BYTES: usize = 2 * MIN_READ_BYTES;
/// The buffer grows when its spare capacity falls below the read size divided by this.
const SPARE_DIVISOR: usize = 4;

/// Why a head could not be read.
#[derive(Debug, Snafu)]
pub(crate) enum HeadError {
    /// The peer closed the connection before the end of the head.
    #[snafu(display("closed"))]
    Closed,
    /// The head is invalid.
    #[snafu(display("{source}"), context(false))]
    Protocol {
        /// The violated rule.
        source: ProtocolError,
    },
    /// Reading from the socket failed.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// Error of the read call.
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

/// A decoded response head.
pub(crate) struct ResponseHead {
    pub(crate) status: StatusCode,
    pub(crate) version: Version,
    pub(crate) headers: HeaderMap,
}

/// The read half of a connection with its buffer.
pub(crate) struct Reader {
    framed: FramedRead<OwnedReadHalf<TcpStream>, ()>,
    scanned: usize,
    read_size: usize,
    max_read: usize,
    /// The connection in the memory account, if it is one of a caller.
    holder: Option<Rc<Holder>>,
    /// Size of the buffer that is charged.
    charged: usize,
}

impl Reader {
    pub(crate) fn new(io: OwnedReadHalf<TcpStream>) -> Self {
        Reader {
            framed: FramedRead::with_capacity(io, (), 0),
            scanned: 0,
            read_size: MIN_READ_BYTES,
            max_read: MAX_READ_BYTES,
            holder: None,
            charged: 0,
        }
    }

    /// A reader whose buffer is charged to a caller's connection.
    pub(crate) fn for_caller(io: OwnedReadHalf<TcpStream>, holder: Rc<Holder>) -> Self {
        Reader {
            max_read: MAX_CALLER_READ_BYTES,
            holder: Some(holder),
            charged: USUAL_BUFFER_BYTES,
            ..Reader::new(io)
        }
    }

    /// Whether the peer sends more than the smallest reads take.
    pub(crate) fn is_filled_fast(&self) -> bool {
        self.read_size > MIN_READ_BYTES
    }

    /// Allows reads of the usual size, or only the smallest ones.
    pub(crate) fn allow_large_reads(&mut self, is_allowed: bool) {
        self.max_read = if is_allowed { MAX_READ_BYTES } else { MIN_READ_BYTES };
    }

    /// Number of bytes read but not yet consumed.
    pub(crate) fn buffered(&self) -> usize {
        self.framed.read_buffer().len()
    }

    pub(crate) fn framed(&mut self) -> &mut FramedRead<OwnedReadHalf<TcpStream>, ()> {
        &mut self.framed
    }

    /// Reserves capacity for `more` further bytes.
    pub(crate) fn reserve(&mut self, more: usize) {
        self.framed.read_buffer_mut().reserve(more);
    }

    /// Reads once and returns the number of bytes, zero at end of stream. Dropping the future loses no byte. Fails with
    /// [`io::ErrorKind::OutOfMemory`] if the memory account has no room for a larger buffer.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        let (io, buf) = self.framed.read_state_mut();
        let read_size = self.read_size.min(self.max_read);
        if buf.capacity() - buf.len() < read_size / SPARE_DIVISOR {
            buf.reserve(read_size);
        }
        if let Some(holder) = self.holder.as_ref().filter(|_| buf.capacity() > self.charged) {
            let charged = holder.charge_buffer(buf.capacity() - USUAL_BUFFER_BYTES);
            charged.map_err(|e| io::Error::new(io::ErrorKind::OutOfMemory, e))?;
            self.charged = buf.capacity();
        }
        let spare: BytesMut = buf.split_off(buf.len());
        let offered = spare.capacity();
        let (res, spare) = io.read(spare).await;
        buf.unsplit(spare);
        match res {
            Ok(n) if n == offered => self.read_size = (self.read_size * 2).min(MAX_READ_BYTES),
            Ok(n) if n < self.read_size / SPARE_DIVISOR => self.read_size = MIN_READ_BYTES,
            _ => {}
        }
        res
    }

    /// Ready once the peer has sent bytes that weren't asked for, or has closed or reset the connection, which can't be
    /// used any more then: a byte may have been lost. Until then the waker of `cx` stays registered.
    pub(crate) fn poll_ended(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.buffered() > 0 {
            return Poll::Ready(());
        }
        let (io, _) = self.framed.read_state_mut();
        // The driver keeps the waker when the future of a pending read is dropped.
        let read = pin!(io.read(Box::new([0_u8])));
        read.poll(cx).map(drop)
    }

    /// Reads once into `block`, at most `max` bytes, after the buffered bytes have been taken.
    pub(crate) async fn fill_block(&mut self, block: &mut BytesMut, max: usize) -> io::Result<usize> {
        let (io, _) = self.framed.read_state_mut();
        let mut spare: BytesMut = block.split_off(block.len());
        if spare.capacity() > max {
            // Further bytes belong to the next request.
            drop(spare.split_off(max));
        }
        let (res, spare) = io.read(spare).await;
        block.unsplit(spare);
        res
    }

    /// Frees the buffer if it is empty, so that an idle connection holds no memory.
    pub(crate) fn release_buffer(&mut self) {
        if self.buffered() > 0 {
            return;
        }
        *self.framed.read_buffer_mut() = BytesMut::new();
        self.read_size = MIN_READ_BYTES;
        if let Some(holder) = self.holder.as_ref().filter(|_| self.charged > USUAL_BUFFER_BYTES) {
            // A smaller charge always fits.
            let _ = holder.charge_buffer(0);
            self.charged = USUAL_BUFFER_BYTES;
        }
    }

    /// Drops all buffered bytes.
    pub(crate) fn discard(&mut self) {
        self.framed.read_buffer_mut().clear();
        self.scanned = 0;
    }

    /// Takes all buffered bytes and leaves no buffer.
    pub(crate) fn take_buffered(&mut self) -> BytesMut {
        std::mem::take(self.framed.read_buffer_mut())
    }

    /// Reads and decodes a request head of at most `max` bytes.
    pub(crate) async fn read_request_head(&mut self, max: usize) -> Result<RequestHead, HeadError> {
        self.fill_head(max).await?;
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

    /// Reads and decodes a response head of at most `max` bytes.
    pub(crate) async fn read_response_head(&mut self, max: usize) -> Result<ResponseHead, HeadError> {
        self.fill_head(max).await?;
        let decoded = self.framed.next_with(&mut ResponseHeadDecoder).now_or_never();
        match decoded {
            Some(Some(Ok(head))) => Ok(ResponseHead {
                status: response_status(head.status.as_u16())?,
                version: head.version,
                headers: head.headers,
            }),
            _ => Err(ProtocolError::Syntax.into()),
        }
    }

    async fn fill_head(&mut self, max: usize) -> Result<(), HeadError> {
        loop {
            match scan_head(self.framed.read_buffer(), self.scanned, max)? {
                HeadScan::Complete { skip, .. } => {
                    let _ = self.framed.read_buffer_mut().split_to(skip);
                    self.scanned = 0;
                    return Ok(());
                }
                HeadScan::Partial { scanned } => self.scanned = scanned,
            }
            if self.fill().await? == 0 {
                return Err(HeadError::Closed);
            }
        }
    }
}
