//! HTTP/1.1 server for callers and client for endpoints, with validation and limits around `monoio-http`.
//!
//! Heads and chunks are decoded by `monoio-http`. [`validate`] inspects the bytes first: it limits the size of every
//! head, body and chunk line, and rejects input that the decoder would misread or panic on, so that no peer can end the
//! process. What the decoder returns is checked again before it is used (see [`validate::request_framing`]).
//!
//! Rules for both sides:
//!
//! - **Lengths.** A head with more than one `content-length`, or with both `content-length` and
//!   `transfer-encoding`, is rejected and its connection closed. The only transfer coding is `chunked`.
//! - **Statuses** outside 100 to 599 are rejected.
//! - **Chunk extensions** are dropped; one without a name, or a chunk line longer than
//!   [`validate::MAX_CHUNK_LINE_BYTES`], is rejected.
//! - **Trailers** are read up to [`validate::MAX_TRAILER_BYTES`] bytes and dropped; a line that is no field is rejected.
//! - **Responses delimited by close** (neither a length nor chunked) are rejected with an explicit error, because a
//!   complete response can't be distinguished from one whose endpoint died halfway. A client whose endpoints are known
//!   to respond like this accepts them with [`client::Options::until_close`]; a reset is still an error, and so
//!   is an end before the request has been written.
//! - **Early responses**, sent before a long request body was written, are accepted; the connection isn't reused, since
//!   the endpoint would read the next request as the rest of that body.
//! - **Interim responses** (1xx) are skipped; `101` and more than [`client::MAX_INTERIM`] of them are rejected.
//! - **HTTP/1.0 callers** may use `GET` and `HEAD` and get responses with a length; streaming needs HTTP/1.1.
//!
//! The library's encoder is not used, because it holds streamed chunks back until eight kilobytes are buffered.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod client;
mod h1;
mod limits;
pub mod memory;
pub mod server;
pub mod sse;
pub mod validate;

pub use limits::Limits;
pub use memory::Payload;
