//! Validates a message head before the decoder sees it.
//!
//! The decoder searches for the first empty line ended by CRLF, but its parser also accepts bare LF as a line end,
//! loses the bytes between the two, panics on a header name over 64 KB, and stops at 96 headers. Only heads with CRLF
//! line ends, valid header names and a bounded number of headers are therefore passed to it.

use super::ProtocolError;

/// Maximum number of header lines in a head.
pub const MAX_HEADERS: usize = 96;
/// Maximum length of a header name.
pub const MAX_NAME_BYTES: usize = 1024;

const HEAD_END: &[u8] = b"\r\n\r\n";
const CRLF: &[u8] = b"\r\n";
/// The control byte above the printable ones.
const DELETE: u8 = 0x7f;

/// Result of scanning a buffer for a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadScan {
    /// The head is incomplete: the first `scanned` bytes don't contain its end.
    Partial {
        /// Offset at which the next scan may start.
        scanned: usize,
    },
    /// The head is complete and can be decoded.
    Complete {
        /// Bytes of an empty line to drop before the head.
        skip: usize,
        /// Length of the head in bytes, after `skip`.
        len: usize,
    },
}

/// Searches `buf` for a complete head of at most `max` bytes, skipping the `scanned` bytes of an earlier call.
pub fn scan_head(buf: &[u8], scanned: usize, max: usize) -> Result<HeadScan, ProtocolError> {
    let skip = if buf.starts_with(CRLF) { CRLF.len() } else { 0 };
    let body = buf.get(skip..).unwrap_or_default();
    let from = scanned.saturating_sub(skip).min(body.len());
    let window = body.get(from..body.len().min(max)).unwrap_or_default();
    match find_subslice(window, HEAD_END) {
        Some(at) => {
            let len = from + at + HEAD_END.len();
            check_lines(body.get(..len - CRLF.len()).unwrap_or_default())?;
            Ok(HeadScan::Complete { skip, len })
        }
        None if body.len() >= max => Err(ProtocolError::HeadTooLarge),
        None => {
            check_start(body)?;
            let scanned = (skip + body.len()).saturating_sub(HEAD_END.len() - 1);
            Ok(HeadScan::Partial { scanned })
        }
    }
}

fn find_subslice(hay: &[u8], needle: &[u8]) -> Option<usize> {
    let last = *needle.last()?;
    let mut from = needle.len() - 1;
    while let Some(step) = hay.get(from..)?.iter().position(|b| *b == last) {
        let end = from + step + 1;
        if hay.get(..end)?.ends_with(needle) {
            return Some(end - needle.len());
        }
        from = end;
    }
    None
}

/// Checks that the head starts with a token, so that binary protocols are rejected without waiting for its end.
fn check_start(body: &[u8]) -> Result<(), ProtocolError> {
    match body {
        [b'\r'] => Ok(()),
        [b, ..] if !is_token(*b) => Err(ProtocolError::Syntax),
        _ => Ok(()),
    }
}

fn check_lines(lines: &[u8]) -> Result<(), ProtocolError> {
    check_start(lines)?;
    let mut count = 0;
    for line in lines.split_inclusive(|b| *b == b'\n') {
        let line = line.strip_suffix(CRLF).ok_or(ProtocolError::Syntax)?;
        if line.contains(&b'\r') {
            return Err(ProtocolError::Syntax);
        }
        if count > 0 {
            check_name(line)?;
        }
        count += 1;
    }
    match count {
        0 => Err(ProtocolError::Syntax),
        n if n - 1 > MAX_HEADERS => Err(ProtocolError::HeadTooLarge),
        _ => Ok(()),
    }
}

/// Checks that a field line has a colon and a valid name before it.
pub(super) fn check_name(line: &[u8]) -> Result<(), ProtocolError> {
    let colon = line.iter().position(|b| *b == b':').ok_or(ProtocolError::Syntax)?;
    let name = line.get(..colon).unwrap_or_default();
    if name.len() > MAX_NAME_BYTES {
        return Err(ProtocolError::HeadTooLarge);
    }
    if !is_name(name) {
        return Err(ProtocolError::Syntax);
    }
    Ok(())
}

/// Whether the bytes are the name of a field.
pub(super) fn is_name(name: &[u8]) -> bool {
    !name.is_empty() && name.iter().all(|b| is_token(*b))
}

/// Whether a field's value may hold the byte.
pub(super) fn is_value_byte(b: u8) -> bool {
    b == b'\t' || (b >= b' ' && b != DELETE)
}

fn is_token(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b)
}
