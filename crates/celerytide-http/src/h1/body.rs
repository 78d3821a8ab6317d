//! Reads a body from a connection's buffer, piece by piece.
//!
//! Chunks up to [`MAX_DECODED_CHUNK_BYTES`] are decoded by the library once they are completely buffered. A larger
//! chunk is passed on in pieces as they arrive, so that a peer can't control how much memory is used. Where a whole body is
//! gathered, small chunks that follow one another are passed on as one piece: a peer that sends a byte in each would take
//! the processor from all others.

use bytes::{Buf, Bytes, BytesMut};
use futures::FutureExt;
use monoio_http::h1::codec::decoder::ChunkedBodyDecoder;

use super::Reader;
use crate::validate::{
    ChunkLine, Framing, MAX_TRAILER_BYTES, ProtocolError, TrailerLine, scan_chunk_line, scan_trailer_line,
};

/// Maximum data size of a chunk that is buffered completely and decoded by the library; each connection may hold one.
const MAX_DECODED_CHUNK_BYTES: usize = 8 * 1024;
/// Data size of a chunk below which those that follow it are passed on with it.
const SMALL_CHUNK_BYTES: usize = 64;
const CRLF: &[u8] = b"\r\n";

/// Result of reading a body from the buffer.
pub(crate) enum Piece {
    /// Body data.
    Data(Bytes),
    /// More bytes must be read from the connection first.
    More,
    /// The body is complete.
    End,
}

enum State {
    End,
    Fixed(usize),
    Size,
    Data(usize),
    DataEnd,
    Trailers(usize),
    UntilClose,
}

/// Decoder state of one body.
pub(crate) struct Body {
    state: State,
    /// Whether small chunks are passed on together.
    joins_chunks: bool,
}

impl Body {
    pub(crate) fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::End,
            Framing::Length(left) => State::Fixed(left),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::UntilClose,
        };
        Body {
            state,
            joins_chunks: false,
        }
    }

    /// As [`Body::new`]; small chunks that follow one another are passed on as one piece.
    pub(crate) fn joining_chunks(framing: Framing) -> Self {
        Body {
            joins_chunks: true,
            ..Body::new(framing)
        }
    }

    /// Whether the body was read to its end.
    pub(crate) fn is_complete(&self) -> bool {
        matches!(self.state, State::End)
    }

    /// Whether the body ends when the peer closes the connection.
    pub(crate) fn is_until_close(&self) -> bool {
        matches!(self.state, State::UntilClose)
    }

    /// Ends a body that the close of the connection delimits.
    pub(crate) fn end_by_close(&mut self) {
        if self.is_until_close() {
            self.state = State::End;
        }
    }

    /// Takes the next buffered piece of the body.
    pub(crate) fn next_piece(&mut self, reader: &mut Reader) -> Result<Piece, ProtocolError> {
        loop {
            let buf = reader.framed().read_buffer_mut();
            match self.state {
                State::End => return Ok(Piece::End),
                State::Fixed(left) => return Ok(self.take_data(buf, left, State::Fixed, State::End)),
                State::Data(left) => return Ok(self.take_data(buf, left, State::Data, State::DataEnd)),
                State::UntilClose if buf.is_empty() => return Ok(Piece::More),
                State::UntilClose => return Ok(Piece::Data(buf.split().freeze())),
                State::DataEnd if buf.len() < CRLF.len() => return Ok(Piece::More),
                State::DataEnd if !buf.starts_with(CRLF) => return Err(ProtocolError::Chunk),
                State::DataEnd => {
                    buf.advance(CRLF.len());
                    self.state = State::Size;
                }
                State::Size => {
                    let Some(line) = scan_chunk_line(buf)? else {
                        return Ok(Piece::More);
                    };
                    if let Some(piece) = self.start_chunk(reader, line)? {
                        return Ok(piece);
                    }
                }
                State::Trailers(read) => {
                    let Some(line) = scan_trailer_line(buf)? else {
                        return Ok(Piece::More);
                    };
                    self.skip_trailer(buf, read, line)?;
                }
            }
        }
    }

    fn take_data(&mut self, buf: &mut BytesMut, left: usize, more: fn(usize) -> State, done: State) -> Piece {
        let n = left.min(buf.len());
        if n == 0 {
            return Piece::More;
        }
        self.state = if n == left { done } else { more(left - n) };
        Piece::Data(buf.split_to(n).freeze())
    }

    fn start_chunk(&mut self, reader: &mut Reader, line: ChunkLine) -> Result<Option<Piece>, ProtocolError> {
        let buf = reader.framed().read_buffer_mut();
        if line.size == 0 {
            buf.advance(line.len + CRLF.len());
            self.state = State::Trailers(0);
            return Ok(None);
        }
        if line.size > MAX_DECODED_CHUNK_BYTES {
            buf.advance(line.len + CRLF.len());
            self.state = State::Data(line.size);
            return Ok(None);
        }
        let total_len = line.len + CRLF.len() + line.size + CRLF.len();
        if buf.len() < total_len {
            let missing = total_len - buf.len();
            reader.reserve(missing);
            return Ok(Some(Piece::More));
        }
        if self.joins_chunks && line.size < SMALL_CHUNK_BYTES {
            return take_small_chunks(buf).map(Some);
        }
        drop_extension(buf, line);
        decode_chunk(reader).map(Some)
    }

    fn skip_trailer(&mut self, buf: &mut BytesMut, read: usize, line: TrailerLine) -> Result<(), ProtocolError> {
        match line {
            TrailerLine::End => {
                buf.advance(CRLF.len());
                self.state = State::End;
            }
            TrailerLine::Field(len) if read + len > MAX_TRAILER_BYTES => return Err(ProtocolError::Chunk),
            TrailerLine::Field(len) => {
                buf.advance(len);
                self.state = State::Trailers(read + len);
            }
        }
        Ok(())
    }
}

/// Takes the small chunks that are completely buffered, of which there is one at least.
fn take_small_chunks(buf: &mut BytesMut) -> Result<Piece, ProtocolError> {
    let mut data = BytesMut::new();
    while let Some(line) = scan_chunk_line(buf)? {
        let end = line.len + CRLF.len() + line.size;
        let is_last = line.size == 0 || line.size >= SMALL_CHUNK_BYTES;
        if is_last || buf.len() < end + CRLF.len() {
            break;
        }
        if !buf[end..].starts_with(CRLF) {
            return Err(ProtocolError::Chunk);
        }
        data.extend_from_slice(&buf[line.len + CRLF.len()..end]);
        buf.advance(end + CRLF.len());
    }
    Ok(Piece::Data(data.freeze()))
}

/// Removes the extensions from a size line by moving the size digits to the line's end.
fn drop_extension(buf: &mut BytesMut, line: ChunkLine) {
    let extension_len = line.len - line.digits;
    if extension_len > 0 {
        buf.copy_within(0..line.digits, extension_len);
        buf.advance(extension_len);
    }
}

fn decode_chunk(reader: &mut Reader) -> Result<Piece, ProtocolError> {
    let mut decoder = ChunkedBodyDecoder::default();
    match reader.framed().next_with(&mut decoder).now_or_never() {
        Some(Some(Ok(Some(data)))) => Ok(Piece::Data(data)),
        _ => Err(ProtocolError::Chunk),
    }
}
