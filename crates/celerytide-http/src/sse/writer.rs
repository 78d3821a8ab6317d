//! Encodes server-sent events.

use bytes::BytesMut;

/// Data of the event that ends a model's streamed response.
pub const DONE: &[u8] = b"[DONE]";

/// Appends an event; each line of `data` becomes a `data:` line, and line ends in `name` are dropped.
pub fn write_event(dst: &mut BytesMut, name: Option<&str>, data: &[u8]) {
    dst.reserve(name.map_or(0, str::len) + data.len() + 32);
    if let Some(name) = name {
        dst.extend_from_slice(b"event: ");
        dst.extend(name.bytes().filter(|b| *b != b'\n' && *b != b'\r'));
        dst.extend_from_slice(b"\n");
    }
    for line in data.split(|b| *b == b'\n') {
        dst.extend_from_slice(b"data: ");
        dst.extend_from_slice(line.strip_suffix(b"\r").unwrap_or(line));
        dst.extend_from_slice(b"\n");
    }
    dst.extend_from_slice(b"\n");
}
