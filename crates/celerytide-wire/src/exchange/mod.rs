//! An exchange: an HTTP/2 stream on which both sides send typed messages.
//!
//! Dropping an exchange before its end resets the stream, so that the other side gets an error at once.

use std::future::poll_fn;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::activity::ExchangeGuard;
use crate::error::{DecodeSnafu, EncodeSnafu, Error, H2Snafu, TooLargeSnafu};

/// Maximum size of a frame's body.
pub const MAX_FRAME_BYTES: usize = 12 * 1024 * 1024;
/// Size of the length prefix of a frame.
const LENGTH_BYTES: usize = 4;

/// One side of a bidirectional exchange of messages.
pub struct Exchange {
    tx: SendStream<Bytes>,
    rx: Incoming,
    buf: BytesMut,
    guard: ExchangeGuard,
}

/// The receiving half, which a client gets only with the head of the response.
pub(crate) enum Incoming {
    /// The response head has not arrived yet.
    Pending(h2::client::ResponseFuture),
    /// Frames can be read.
    Open(RecvStream),
}

impl Exchange {
    pub(crate) fn new(tx: SendStream<Bytes>, rx: Incoming, guard: ExchangeGuard) -> Exchange {
        Exchange {
            tx,
            rx,
            buf: BytesMut::new(),
            guard,
        }
    }

    /// Marks the exchange as a background one, which doesn't cause pings on its connection.
    pub fn set_background(&mut self) {
        self.guard.set_background();
    }

    /// Sends one message, waiting for flow control.
    pub async fn send<M: Serialize>(&mut self, message: &M) -> Result<(), Error> {
        let frame = encode(message)?;
        self.send_frame(frame, false).await
    }

    /// Sends one message and ends the stream in this direction.
    pub async fn send_last<M: Serialize>(&mut self, message: &M) -> Result<(), Error> {
        let frame = encode(message)?;
        self.send_frame(frame, true).await
    }

    /// Receives the next message; `None` once the peer has ended the stream.
    ///
    /// Cancel-safe: dropping the future loses no data.
    pub async fn recv<M: DeserializeOwned>(&mut self) -> Result<Option<M>, Error> {
        loop {
            if let Some(frame) = self.take_frame()? {
                let (message, _) =
                    bincode::serde::decode_from_slice(&frame, bincode::config::standard()).context(DecodeSnafu)?;
                return Ok(Some(message));
            }
            match self.read_data().await? {
                Some(data) => self.buf.put(data),
                None if self.buf.is_empty() => return Ok(None),
                None => return Err(Error::Ended),
            }
        }
    }

    /// Receives the next message; the end of the stream is an error.
    pub async fn recv_required<M: DeserializeOwned>(&mut self) -> Result<M, Error> {
        self.recv().await?.ok_or(Error::Ended)
    }

    async fn send_frame(&mut self, mut frame: Bytes, last: bool) -> Result<(), Error> {
        while !frame.is_empty() {
            let capacity = self.reserve(frame.len()).await?;
            let part = frame.split_to(capacity.min(frame.len()));
            let end = last && frame.is_empty();
            self.tx.send_data(part, end).context(H2Snafu)?;
        }
        Ok(())
    }

    async fn reserve(&mut self, bytes: usize) -> Result<usize, Error> {
        self.tx.reserve_capacity(bytes);
        loop {
            let granted = poll_fn(|cx| self.tx.poll_capacity(cx)).await;
            match granted {
                Some(Ok(0)) => continue,
                Some(Ok(capacity)) => return Ok(capacity),
                Some(Err(source)) => return Err(Error::H2 { source }),
                None => return Err(Error::Ended),
            }
        }
    }

    fn take_frame(&mut self) -> Result<Option<BytesMut>, Error> {
        let Some(head) = self.buf.get(..LENGTH_BYTES) else {
            return Ok(None);
        };
        let mut head = head;
        let bytes = head.get_u32() as usize;
        if bytes > MAX_FRAME_BYTES {
            return TooLargeSnafu { bytes }.fail();
        }
        if self.buf.len() < LENGTH_BYTES + bytes {
            return Ok(None);
        }
        self.buf.advance(LENGTH_BYTES);
        Ok(Some(self.buf.split_to(bytes)))
    }

    async fn read_data(&mut self) -> Result<Option<Bytes>, Error> {
        if let Incoming::Pending(head) = &mut self.rx {
            let response = head.await.context(H2Snafu)?;
            self.rx = Incoming::Open(response.into_body());
        }
        let Incoming::Open(rx) = &mut self.rx else {
            return Err(Error::Ended);
        };
        match poll_fn(|cx| rx.poll_data(cx)).await {
            None => Ok(None),
            Some(Err(source)) => Err(Error::H2 { source }),
            Some(Ok(data)) => {
                rx.flow_control().release_capacity(data.len()).context(H2Snafu)?;
                Ok(Some(data))
            }
        }
    }
}

fn encode<M: Serialize>(message: &M) -> Result<Bytes, Error> {
    let body = bincode::serde::encode_to_vec(message, bincode::config::standard()).context(EncodeSnafu)?;
    if body.len() > MAX_FRAME_BYTES {
        return TooLargeSnafu { bytes: body.len() }.fail();
    }
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    frame.put_u32(body.len() as u32);
    frame.put_slice(&body);
    Ok(frame.freeze())
}
