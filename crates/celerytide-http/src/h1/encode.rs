//! Encodes heads and chunk framing.
//!
//! Framing headers passed by the user of this crate are dropped; new ones are written that match the body being sent.

use std::fmt::Write;

use bytes::BytesMut;
use http::StatusCode;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, TRANSFER_ENCODING};

use crate::client::Call;

const HEAD_SIZE_HINT: usize = 256;
const HEADER_SIZE_HINT: usize = 48;
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// The body length declared by a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyLength {
    /// No length is declared.
    Absent,
    /// `content-length` with this many bytes.
    Fixed(usize),
    /// Chunked transfer coding.
    Chunked,
}

/// Appends the head of a response.
pub(crate) fn put_response_head(
    dst: &mut BytesMut,
    status: StatusCode,
    headers: &HeaderMap,
    length: BodyLength,
    close: bool,
) {
    dst.reserve(HEAD_SIZE_HINT + headers.len() * HEADER_SIZE_HINT);
    dst.extend_from_slice(b"HTTP/1.1 ");
    dst.extend_from_slice(status.as_str().as_bytes());
    dst.extend_from_slice(b" ");
    dst.extend_from_slice(status.canonical_reason().unwrap_or_default().as_bytes());
    dst.extend_from_slice(b"\r\n");
    put_headers(dst, headers, |_| true);
    put_length(dst, length);
    if close {
        dst.extend_from_slice(b"connection: close\r\n");
    }
    dst.extend_from_slice(b"\r\n");
}

/// Appends the head of a request.
pub(crate) fn put_request_head(dst: &mut BytesMut, call: &Call, length: BodyLength) {
    let (path, headers) = (&call.path, &call.headers);
    dst.reserve(HEAD_SIZE_HINT + path.len() + headers.len() * HEADER_SIZE_HINT);
    dst.extend_from_slice(call.method.as_str().as_bytes());
    dst.extend_from_slice(b" ");
    dst.extend_from_slice(path.as_bytes());
    dst.extend_from_slice(b" HTTP/1.1\r\n");
    dst.extend_from_slice(b"host: ");
    match &call.host {
        Some(host) => dst.extend_from_slice(host.as_bytes()),
        // Writing to a growable buffer can't fail.
        None => drop(write!(dst, "{}", call.addr)),
    }
    dst.extend_from_slice(b"\r\n");
    put_headers(dst, headers, |name| *name != HOST);
    put_length(dst, length);
    dst.extend_from_slice(b"\r\n");
}

/// Appends the size line of a chunk.
pub(crate) fn put_chunk_line(dst: &mut BytesMut, len: usize) {
    let _ = write!(dst, "{len:x}\r\n");
}

/// Appends the last chunk, which ends a body.
pub(crate) fn put_last_chunk(dst: &mut BytesMut) {
    dst.extend_from_slice(LAST_CHUNK);
}

fn put_headers(dst: &mut BytesMut, headers: &HeaderMap, keep: fn(&HeaderName) -> bool) {
    for (name, value) in headers {
        let is_framing = *name == CONTENT_LENGTH || *name == TRANSFER_ENCODING || *name == CONNECTION;
        if is_framing || !keep(name) {
            continue;
        }
        dst.extend_from_slice(name.as_ref());
        dst.extend_from_slice(b": ");
        dst.extend_from_slice(value.as_bytes());
        dst.extend_from_slice(b"\r\n");
    }
}

fn put_length(dst: &mut BytesMut, length: BodyLength) {
    match length {
        BodyLength::Absent => {}
        BodyLength::Fixed(len) => {
            let _ = write!(dst, "content-length: {len}\r\n");
        }
        BodyLength::Chunked => dst.extend_from_slice(b"transfer-encoding: chunked\r\n"),
    }
}
