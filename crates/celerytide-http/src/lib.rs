//! HTTP/1.1 towards callers and endpoints: monoio-http behind a guard that bounds and checks.
//!
//! Heads and chunks are decoded by `monoio-http`. The [`validate`] reads first: it bounds every head, body and chunk
//! line, and refuses what the decoder would read wrongly or fall over on, so that no peer can end the process.
//! What the decoder returns is checked again before it is used (see [`validate::request_framing`]).
//!
//! Decisions that hold on both sides:
//!
//! - **Lengths.** A head with more than one `content-length`, or with both `content-length` and
//!   `transfer-encoding`, is refused and its connection closed. The only transfer coding is `chunked`.
//! - **Chunk extensions** are dropped; a chunk line longer than [`validate::MAX_CHUNK_LINE`] is refused.
//! - **Trailers** are read within [`validate::MAX_TRAILERS`] bytes and dropped.
//! - **Answers that end by close** (neither length nor chunked) are refused with an explicit error: the end of such
//!   an answer can't be told from an endpoint that died in the middle of it. A client whose endpoints are known to answer
//!   so takes them by [`client::Options::until_close`]; a reset still is no end.
//! - **Early answers**, before a long body was written, are taken; the connection isn't used again, since what the
//!   endpoint reads next would be taken for the rest of the body.
//! - **Interim answers** (1xx) are skipped; `101` and more than [`client::MAX_INTERIM`] of them are refused.
//! - **HTTP/1.0 callers** are served for `GET` and `HEAD` with whole answers; a streamed answer needs HTTP/1.1.
//!
//! The library's encoder is not used: it holds streamed chunks back until eight kilobytes have gathered.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod client;
mod limits;
pub mod server;
pub mod sse;
pub mod validate;
mod wire;

pub use limits::Limits;
