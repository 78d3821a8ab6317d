//! The body of a message, in one piece or in blocks of the account.

use std::fmt::{self, Debug, Formatter};
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

use super::account::Account;
use super::holder::Holder;
use super::ledger::NoRoom;

/// Largest body that is held in one piece, in the buffer that it was read into.
pub(crate) const INLINE_BYTES: usize = 16 * 1024;

/// A complete body. Clones share its memory.
#[derive(Clone)]
pub struct Payload {
    repr: Repr,
}

#[derive(Clone)]
enum Repr {
    Piece(Bytes),
    Blocks(Rc<Blocks>),
}

/// Segments in blocks of an account, to which they return.
struct Blocks {
    segments: Vec<Bytes>,
    len: usize,
    account: Account,
}

impl Drop for Blocks {
    fn drop(&mut self) {
        self.account.put_blocks(self.segments.drain(..));
    }
}

impl Payload {
    /// Number of bytes.
    pub fn len(&self) -> usize {
        match &self.repr {
            Repr::Piece(bytes) => bytes.len(),
            Repr::Blocks(blocks) => blocks.len,
        }
    }

    /// Whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Its bytes in order; none of the segments is empty unless the body is.
    pub fn segments(&self) -> &[Bytes] {
        match &self.repr {
            Repr::Piece(bytes) => std::slice::from_ref(bytes),
            Repr::Blocks(blocks) => &blocks.segments,
        }
    }

    /// Its bytes in one piece; copies them if there are several segments.
    pub fn to_bytes(&self) -> Bytes {
        match &self.repr {
            Repr::Piece(bytes) => bytes.clone(),
            Repr::Blocks(blocks) => blocks.segments.concat().into(),
        }
    }
}

impl Default for Payload {
    fn default() -> Payload {
        Payload::from(Bytes::new())
    }
}

impl Debug for Payload {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "Payload({} bytes)", self.len())
    }
}

impl<T: Into<Bytes>> From<T> for Payload {
    fn from(bytes: T) -> Payload {
        Payload {
            repr: Repr::Piece(bytes.into()),
        }
    }
}

/// Collects a body: in one buffer up to [`INLINE_BYTES`], in blocks of the account beyond that.
pub(crate) struct Collector {
    holder: Rc<Holder>,
    inline: BytesMut,
    full: Vec<Bytes>,
    full_len: usize,
    /// The block being filled; has room.
    block: BytesMut,
}

impl Collector {
    pub(crate) fn new(holder: Rc<Holder>) -> Collector {
        Collector {
            holder,
            inline: BytesMut::new(),
            full: Vec::new(),
            full_len: 0,
            block: BytesMut::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.inline.len() + self.full_len + self.block.len()
    }

    /// Whether the next bytes go to blocks.
    pub(crate) fn has_blocks(&self) -> bool {
        self.full_len + self.block.len() > 0
    }

    /// Appends a copy of `data`.
    pub(crate) async fn push(&mut self, data: &[u8]) -> Result<(), NoRoom> {
        if !self.has_blocks() {
            if self.inline.len() + data.len() <= INLINE_BYTES {
                self.inline.extend_from_slice(data);
                return Ok(());
            }
            let inline = std::mem::take(&mut self.inline);
            self.push_to_blocks(&inline).await?;
        }
        self.push_to_blocks(data).await
    }

    /// Appends a copy of `data` to the blocks.
    pub(crate) async fn push_to_blocks(&mut self, mut data: &[u8]) -> Result<(), NoRoom> {
        while !data.is_empty() {
            let block = self.open_block().await?;
            let n = data.len().min(block.capacity() - block.len());
            block.extend_from_slice(&data[..n]);
            data = &data[n..];
        }
        Ok(())
    }

    /// The block being filled, with room for at least one byte. A new block is progress of the connection.
    pub(crate) async fn open_block(&mut self) -> Result<&mut BytesMut, NoRoom> {
        if self.block.len() == self.block.capacity() {
            let next = self.holder.take_block().await?;
            self.holder.wait();
            let full = std::mem::replace(&mut self.block, next);
            self.push_full(full);
        }
        Ok(&mut self.block)
    }

    /// The collected body.
    pub(crate) fn finish(mut self) -> Payload {
        if !self.has_blocks() {
            return Payload::from(std::mem::take(&mut self.inline).freeze());
        }
        let last = std::mem::take(&mut self.block);
        self.push_full(last);
        let blocks = Blocks {
            segments: std::mem::take(&mut self.full),
            len: self.full_len,
            account: self.holder.account().clone(),
        };
        Payload {
            repr: Repr::Blocks(Rc::new(blocks)),
        }
    }

    fn push_full(&mut self, block: BytesMut) {
        if !block.is_empty() {
            self.full_len += block.len();
            self.full.push(block.freeze());
        }
    }
}

impl Drop for Collector {
    fn drop(&mut self) {
        let block = std::mem::take(&mut self.block);
        if block.capacity() > 0 {
            self.full.push(block.freeze());
        }
        self.holder.account().put_blocks(self.full.drain(..));
    }
}
