//! Checks in front of the decoder and behind it.
//!
//! In front: [`scan_head`] finds the end of a head within its bound and refuses the bytes that the decoder can't
//! take; [`scan_chunk`] does the same for the size line of a chunk. Behind: [`request_framing`] and
//! [`answer_framing`] decide from a decoded head how its body ends. All of them are pure functions over bytes, never
//! panic, and always give a verdict.

mod chunk;
mod error;
mod framing;
mod head;

pub use chunk::{ChunkLine, MAX_CHUNK_LINE, MAX_TRAILERS, TrailerLine, scan_chunk, scan_trailer};
pub use error::ProtocolError;
pub use framing::{Framing, answer_framing, request_framing, wants_close};
pub use head::{Head, MAX_HEADERS, MAX_NAME, scan_head};
