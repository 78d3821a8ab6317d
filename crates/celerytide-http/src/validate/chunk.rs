//! Validates chunk size lines and trailers before the decoder sees them.
//!
//! The decoder takes an empty size line for the end of the body, fails on extensions and trailers, and buffers a
//! complete chunk whatever its declared size. Trailers are dropped, and must be fields all the same: other bytes in their
//! place belong to another message.

use super::ProtocolError;
use super::head::{check_name, is_name, is_value_byte};

/// Maximum length of a chunk's size line including extensions, without CRLF.
pub const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Maximum total size of a body's trailers.
pub const MAX_TRAILER_BYTES: usize = 8 * 1024;

const MAX_SIZE_DIGITS: usize = 15;
const RADIX: u32 = 16;

/// A valid size line at the start of a buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkLine {
    /// Data bytes in the chunk; zero for the last chunk.
    pub size: usize,
    /// Number of leading hex digits.
    pub digits: usize,
    /// Length of the line in bytes, without CRLF.
    pub len: usize,
}

/// A trailer line at the start of a buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrailerLine {
    /// A field line of this many bytes, including CRLF.
    Field(usize),
    /// The empty line that ends the body.
    End,
}

/// Parses the size line at the start of `buf`; `None` if it is incomplete.
pub fn scan_chunk_line(buf: &[u8]) -> Result<Option<ChunkLine>, ProtocolError> {
    let Some(len) = scan_line(buf, MAX_CHUNK_LINE_BYTES)? else {
        return Ok(None);
    };
    let line = buf.get(..len).unwrap_or_default();
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    if digits == 0 || digits > MAX_SIZE_DIGITS || !is_valid_extension(line.get(digits..).unwrap_or_default()) {
        return Err(ProtocolError::Chunk);
    }
    let size = line.iter().take(digits).try_fold(0usize, |size, b| {
        let digit = char::from(*b).to_digit(RADIX)?;
        size.checked_mul(RADIX as usize)?.checked_add(digit as usize)
    });
    let size = size.ok_or(ProtocolError::Chunk)?;
    Ok(Some(ChunkLine { size, digits, len }))
}

/// Finds the trailer line at the start of `buf`; `None` if it is incomplete.
pub fn scan_trailer_line(buf: &[u8]) -> Result<Option<TrailerLine>, ProtocolError> {
    let Some(len) = scan_line(buf, MAX_TRAILER_BYTES)? else {
        return Ok(None);
    };
    let line = buf.get(..len).unwrap_or_default();
    if line.is_empty() {
        return Ok(Some(TrailerLine::End));
    }
    if check_name(line).is_err() || !line.iter().all(|b| is_value_byte(*b)) {
        return Err(ProtocolError::Trailer);
    }
    Ok(Some(TrailerLine::Field(len + 2)))
}

fn scan_line(buf: &[u8], max: usize) -> Result<Option<usize>, ProtocolError> {
    let window = buf.get(..buf.len().min(max + 2)).unwrap_or_default();
    let Some(lf) = window.iter().position(|b| *b == b'\n') else {
        return if buf.len() >= max + 2 {
            Err(ProtocolError::Chunk)
        } else {
            Ok(None)
        };
    };
    let line = window.get(..lf).and_then(|line| line.strip_suffix(b"\r"));
    match line {
        Some(line) if !line.contains(&b'\r') => Ok(Some(line.len())),
        _ => Err(ProtocolError::Chunk),
    }
}

/// Whether what follows the digits of a size line is empty or a list of extensions, each with a name.
fn is_valid_extension(rest: &[u8]) -> bool {
    if rest.is_empty() {
        return true;
    }
    let Some(list) = rest.trim_ascii_start().strip_prefix(b";") else {
        return false;
    };
    let mut is_quoted = false;
    let mut is_escaped = false;
    let mut extensions = list.split(|b| {
        let was_escaped = is_escaped;
        is_escaped = is_quoted && !was_escaped && *b == b'\\';
        is_quoted ^= *b == b'"' && !was_escaped;
        *b == b';' && !is_quoted
    });
    let have_names = extensions.all(has_name);
    have_names && !is_quoted && list.iter().all(|b| is_value_byte(*b))
}

/// Whether an extension has a name, with or without a value.
fn has_name(extension: &[u8]) -> bool {
    let name = extension.split(|b| *b == b'=').next().unwrap_or_default();
    is_name(name.trim_ascii())
}
