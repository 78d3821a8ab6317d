//! Chunk lines and trailers in front of the decoder.
//!
//! The decoder takes an empty size line for the end, fails on extensions and trailers, and waits for a whole chunk
//! of any stated size.

use super::ProtocolError;

/// Bytes of a chunk's size line with its extensions, without CRLF.
pub const MAX_CHUNK_LINE: usize = 256;
/// Bytes of all trailers of a body.
pub const MAX_TRAILERS: usize = 8 * 1024;

const MAX_DIGITS: usize = 15;
const HEX: u32 = 16;

/// A valid size line at the front of the bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkLine {
    /// Bytes of data in the chunk; zero for the last one.
    pub size: usize,
    /// Hex digits at the front of the line.
    pub digits: usize,
    /// Bytes of the line without CRLF.
    pub len: usize,
}

/// A trailer line at the front of the bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrailerLine {
    /// A field of this many bytes with CRLF.
    Field(usize),
    /// The empty line that ends the body.
    End,
}

/// Reads the size line at the front of `buf`; `None` while it is not whole.
pub fn scan_chunk(buf: &[u8]) -> Result<Option<ChunkLine>, ProtocolError> {
    let Some(len) = scan_line(buf, MAX_CHUNK_LINE)? else {
        return Ok(None);
    };
    let line = buf.get(..len).unwrap_or_default();
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    if digits == 0 || digits > MAX_DIGITS || !extension(line.get(digits..).unwrap_or_default()) {
        return Err(ProtocolError::Chunk);
    }
    let size = line.iter().take(digits).try_fold(0usize, |size, b| {
        let digit = char::from(*b).to_digit(HEX)?;
        size.checked_mul(HEX as usize)?.checked_add(digit as usize)
    });
    let size = size.ok_or(ProtocolError::Chunk)?;
    Ok(Some(ChunkLine { size, digits, len }))
}

/// Reads the trailer line at the front of `buf`; `None` while it is not whole.
pub fn scan_trailer(buf: &[u8]) -> Result<Option<TrailerLine>, ProtocolError> {
    let line = scan_line(buf, MAX_TRAILERS)?;
    Ok(line.map(|len| match len {
        0 => TrailerLine::End,
        _ => TrailerLine::Field(len + 2),
    }))
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

fn extension(rest: &[u8]) -> bool {
    let text = rest.trim_ascii_start();
    text.is_empty() && rest.is_empty() || text.starts_with(b";") && rest.iter().all(|b| *b >= b' ' || *b == b'\t')
}
