//! One exchange: an h2 stream on which both sides send typed messages.
//!
//! Dropping an exchange that was not ended resets it, which the other side sees as an error at once.

use std::future::poll_fn;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::busy::Counted;
use crate::error::{DecodeSnafu, EncodeSnafu, Error, H2Snafu, TooLargeSnafu};

/// Largest frame in bytes.
pub const MAX_FRAME_BYTES: usize = 12 * 1024 * 1024;
/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;

/// One side of an exchange.
pub struct Exchange {
    tx: SendStream<Bytes>,
    rx: Incoming,
    buf: BytesMut,
    counted: Counted,
}

/// The receiving half: a client learns of it only with the answer's head.
pub(crate) enum Incoming {
    /// The head has not come yet.
    Awaited(h2::client::ResponseFuture),
    /// Frames can be read.
    Open(RecvStream),
}

impl Exchange {
    pub(crate) fn new(tx: SendStream<Bytes>, rx: Incoming, counted: Counted) -> Exchange {
        Exchange {
            tx,
            rx,
            buf: BytesMut::new(),
            counted,
        }
    }

    /// From now on nobody waits on this exchange: it alone doesn't keep its connection pinged.
    pub fn set_background(&mut self) {
        self.counted.quiet();
    }

    /// Sends one message. Waits for the peer's window.
    pub async fn send<M: Serialize>(&mut self, message: &M) -> Result<(), Error> {
        let frame = encode(message)?;
        self.send_frame(frame, false).await
    }

    /// Sends the last message of this side.
    pub async fn send_last<M: Serialize>(&mut self, message: &M) -> Result<(), Error> {
        let frame = encode(message)?;
        self.send_frame(frame, true).await
    }

    /// Receives the next message; `None` once the peer has sent its last.
    ///
    /// Cancel-safe: a call that is dropped loses nothing.
    pub async fn recv<M: DeserializeOwned>(&mut self) -> Result<Option<M>, Error> {
        loop {
            if let Some(frame) = self.take_frame()? {
                let (message, _) =
                    bincode::serde::decode_from_slice(&frame, bincode::config::standard()).context(DecodeSnafu)?;
                return Ok(Some(message));
            }
            match self.read_more().await? {
                Some(data) => self.buf.put(data),
                None if self.buf.is_empty() => return Ok(None),
                None => return Err(Error::Ended),
            }
        }
    }

    /// Receives a message that must come.
    pub async fn recv_required<M: DeserializeOwned>(&mut self) -> Result<M, Error> {
        self.recv().await?.ok_or(Error::Ended)
    }

    async fn send_frame(&mut self, mut frame: Bytes, last: bool) -> Result<(), Error> {
        while !frame.is_empty() {
            let room = self.reserve(frame.len()).await?;
            let part = frame.split_to(room.min(frame.len()));
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
                Some(Ok(room)) => return Ok(room),
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

    async fn read_more(&mut self) -> Result<Option<Bytes>, Error> {
        if let Incoming::Awaited(head) = &mut self.rx {
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
