//! The head in front of the decoder.
//!
//! The decoder looks for the first empty line ended by CRLF, but its parser also takes bare LF as a line end, loses
//! the bytes between the two, panics on a header name over 64 KB, and stops at 96 headers. So only heads with
//! CRLF line ends, token names and bounded counts pass.

use super::ProtocolError;

/// Header lines in a head.
pub const MAX_HEADERS: usize = 96;
/// Bytes of a header name.
pub const MAX_NAME: usize = 1024;

const END: &[u8] = b"\r\n\r\n";
const BLANK: &[u8] = b"\r\n";

/// Verdict on the bytes of a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Head {
    /// More bytes are needed; the first `scanned` bytes hold no end.
    Partial {
        /// Where the next scan may start.
        scanned: usize,
    },
    /// The head is whole and may be decoded.
    Whole {
        /// Empty-line bytes to drop in front of the head.
        skip: usize,
        /// Bytes of the head after `skip`.
        len: usize,
    },
}

/// Looks for a whole head in `buf`, starting behind the `scanned` bytes of an earlier call, within `max` bytes.
pub fn scan_head(buf: &[u8], scanned: usize, max: usize) -> Result<Head, ProtocolError> {
    let skip = if buf.starts_with(BLANK) { BLANK.len() } else { 0 };
    let body = buf.get(skip..).unwrap_or_default();
    let from = scanned.saturating_sub(skip).min(body.len());
    let window = body.get(from..body.len().min(max)).unwrap_or_default();
    match find(window, END) {
        Some(at) => {
            let len = from + at + END.len();
            check_lines(body.get(..len - BLANK.len()).unwrap_or_default())?;
            Ok(Head::Whole { skip, len })
        }
        None if body.len() >= max => Err(ProtocolError::HeadTooLarge),
        None => {
            check_start(body)?;
            let scanned = (skip + body.len()).saturating_sub(END.len() - 1);
            Ok(Head::Partial { scanned })
        }
    }
}

fn find(hay: &[u8], needle: &[u8]) -> Option<usize> {
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

/// A head starts with a method or a version: refuses binary protocols without waiting for an end.
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
        let line = line.strip_suffix(BLANK).ok_or(ProtocolError::Syntax)?;
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

fn check_name(line: &[u8]) -> Result<(), ProtocolError> {
    let colon = line.iter().position(|b| *b == b':').ok_or(ProtocolError::Syntax)?;
    let name = line.get(..colon).unwrap_or_default();
    if name.len() > MAX_NAME {
        return Err(ProtocolError::HeadTooLarge);
    }
    if name.is_empty() || !name.iter().all(|b| is_token(*b)) {
        return Err(ProtocolError::Syntax);
    }
    Ok(())
}

fn is_token(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b)
}
