//! Takes a body from a connection's buffer, piece by piece.
//!
//! Chunks up to [`WHOLE_CHUNK`] are decoded by the library once the guard has seen them whole. A larger one is handed
//! on in pieces as they arrive, so that no peer decides how much is held.

use bytes::{Buf, Bytes, BytesMut};
use futures::FutureExt;
use monoio_http::h1::codec::decoder::ChunkedBodyDecoder;

use super::Reader;
use crate::validate::{ChunkLine, Framing, MAX_TRAILERS, ProtocolError, TrailerLine, scan_chunk, scan_trailer};

/// Data bytes of a chunk that is decoded whole.
const WHOLE_CHUNK: usize = 64 * 1024;
const CRLF: &[u8] = b"\r\n";

/// What a look at the buffer gave.
pub(crate) enum Piece {
    /// Data of the body.
    Data(Bytes),
    /// More bytes must be read first.
    More,
    /// The body has ended properly.
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

/// How far a body has been taken.
pub(crate) struct Body {
    state: State,
}

impl Body {
    pub(crate) fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::End,
            Framing::Length(left) => State::Fixed(left),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::UntilClose,
        };
        Body { state }
    }

    /// Whether the body has ended properly.
    pub(crate) fn ended(&self) -> bool {
        matches!(self.state, State::End)
    }

    /// The peer ended the connection in good order; true if that ends the body properly.
    pub(crate) fn close(&mut self) -> bool {
        if matches!(self.state, State::UntilClose) {
            self.state = State::End;
        }
        self.ended()
    }

    /// Takes the next piece that is buffered.
    pub(crate) fn take(&mut self, reader: &mut Reader) -> Result<Piece, ProtocolError> {
        loop {
            let buf = reader.framed().read_buffer_mut();
            match self.state {
                State::End => return Ok(Piece::End),
                State::Fixed(left) => return Ok(self.take_part(buf, left, State::Fixed, State::End)),
                State::Data(left) => return Ok(self.take_part(buf, left, State::Data, State::DataEnd)),
                State::UntilClose if buf.is_empty() => return Ok(Piece::More),
                State::UntilClose => return Ok(Piece::Data(buf.split().freeze())),
                State::DataEnd if buf.len() < CRLF.len() => return Ok(Piece::More),
                State::DataEnd if !buf.starts_with(CRLF) => return Err(ProtocolError::Chunk),
                State::DataEnd => {
                    buf.advance(CRLF.len());
                    self.state = State::Size;
                }
                State::Size => {
                    let Some(line) = scan_chunk(buf)? else {
                        return Ok(Piece::More);
                    };
                    if let Some(piece) = self.enter_chunk(reader, line)? {
                        return Ok(piece);
                    }
                }
                State::Trailers(read) => {
                    let Some(line) = scan_trailer(buf)? else {
                        return Ok(Piece::More);
                    };
                    self.skip_trailer(buf, read, line)?;
                }
            }
        }
    }

    fn take_part(&mut self, buf: &mut BytesMut, left: usize, more: fn(usize) -> State, done: State) -> Piece {
        let n = left.min(buf.len());
        if n == 0 {
            return Piece::More;
        }
        self.state = if n == left { done } else { more(left - n) };
        Piece::Data(buf.split_to(n).freeze())
    }

    fn enter_chunk(&mut self, reader: &mut Reader, line: ChunkLine) -> Result<Option<Piece>, ProtocolError> {
        let buf = reader.framed().read_buffer_mut();
        if line.size == 0 {
            buf.advance(line.len + CRLF.len());
            self.state = State::Trailers(0);
            return Ok(None);
        }
        if line.size > WHOLE_CHUNK {
            buf.advance(line.len + CRLF.len());
            self.state = State::Data(line.size);
            return Ok(None);
        }
        let whole = line.len + CRLF.len() + line.size + CRLF.len();
        if buf.len() < whole {
            let missing = whole - buf.len();
            reader.reserve(missing);
            return Ok(Some(Piece::More));
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
            TrailerLine::Field(len) if read + len > MAX_TRAILERS => return Err(ProtocolError::Chunk),
            TrailerLine::Field(len) => {
                buf.advance(len);
                self.state = State::Trailers(read + len);
            }
        }
        Ok(())
    }
}

/// Moves the size digits up to the line's end and drops what stood between.
fn drop_extension(buf: &mut BytesMut, line: ChunkLine) {
    let extra = line.len - line.digits;
    if extra > 0 {
        buf.copy_within(0..line.digits, extra);
        buf.advance(extra);
    }
}

fn decode_chunk(reader: &mut Reader) -> Result<Piece, ProtocolError> {
    let mut decoder = ChunkedBodyDecoder::default();
    match reader.framed().next_with(&mut decoder).now_or_never() {
        Some(Some(Ok(Some(data)))) => Ok(Piece::Data(data)),
        _ => Err(ProtocolError::Chunk),
    }
}
