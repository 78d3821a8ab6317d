//! Bytes of another response inside the events of a stream.
//!
//! An endpoint may write an earlier response once more while it writes a stream. Chunks tell such bytes apart; in a body that
//! a length or the end of its connection delimits, only the fields of the events do.

use http::HeaderName;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

use crate::events::Event;

/// Start of the first line of a response.
const STATUS_LINE: &[u8] = b"HTTP/1.";

/// Whether a line of the event is one of a response's head. The first one may follow the start of a field.
pub fn has_response_head(event: &Event, id_header: &HeaderName) -> bool {
    let mut lines = event.raw.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.any(|line| is_head_line(line, id_header))
}

fn is_head_line(line: &[u8], id_header: &HeaderName) -> bool {
    let field = line.split(|byte| *byte == b':').next().unwrap_or_default();
    let is_named = |header: &HeaderName| field.eq_ignore_ascii_case(header.as_str().as_bytes());
    let is_status_line = field.windows(STATUS_LINE.len()).any(|part| part == STATUS_LINE);
    is_status_line
        || [id_header, &CONTENT_LENGTH, &TRANSFER_ENCODING]
            .into_iter()
            .any(is_named)
}
