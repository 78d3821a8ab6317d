//! Validation before and after decoding.
//!
//! Before: [`scan_head`] finds the end of a head within its size limit and rejects bytes that the decoder can't
//! handle; [`scan_chunk_line`] and [`scan_trailer_line`] do the same for the size line of a chunk and for trailers. After:
//! [`response_status`] rejects numbers that aren't a status, and [`request_framing`] and [`response_framing`] determine
//! from a decoded head how its body ends. All of them are pure functions over bytes that never panic and return a result
//! for every input.

mod chunk;
mod error;
mod framing;
mod head;
mod status;

pub use chunk::{ChunkLine, MAX_CHUNK_LINE_BYTES, MAX_TRAILER_BYTES, TrailerLine, scan_chunk_line, scan_trailer_line};
pub use error::ProtocolError;
pub use framing::{Framing, request_framing, response_framing, wants_close};
pub use head::{HeadScan, MAX_HEADERS, MAX_NAME_BYTES, scan_head};
pub use status::response_status;
