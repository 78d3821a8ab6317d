//! Bytes that are no answer and have no end, sent until the caller closes.

use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

/// What is sent without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endless {
    /// Header lines of a head.
    Headers,
    /// One header line.
    HeaderLine,
    /// Interim answers.
    Interim,
    /// The size line of a chunk.
    ChunkLine,
    /// Data of a chunk whose size says that it has no end.
    Chunk,
    /// Chunks.
    Chunks,
    /// Trailer lines.
    Trailers,
    /// Data of a body with a huge length.
    Length,
    /// Data of a body that ends with its connection.
    UntilClose,
    /// Data behind a whole answer.
    TrailingData,
    /// Comments of a stream.
    Comments,
    /// Empty events of a stream.
    EmptyEvents,
    /// One event of a stream.
    Event,
    /// A head, one byte at a time.
    DripHead,
    /// A body of the stated length, one byte at a time.
    DripBody,
}

/// Pause between two bytes of what comes one byte at a time, and between two pieces of a stream.
const GAP: Duration = Duration::from_millis(100);
/// The same of what comes fast: 16 MB a second, so that those who read it can bear it.
const FAST: Duration = Duration::from_millis(1);
/// Bytes of one piece of what comes fast.
const PIECE: usize = 16 * 1024;

impl Endless {
    /// Sends it behind `headers`, the lines of a sealed answer, until the caller closes.
    pub fn send(self, out: &mut TcpStream, headers: &str) {
        let (front, piece, gap) = self.parts(headers);
        let mut sent = out.write_all(front.as_bytes());
        while sent.is_ok() {
            sent = out.write_all(&piece);
            sleep(gap);
        }
    }

    /// What comes first, what is repeated, and the pause between two.
    fn parts(self, headers: &str) -> (String, Vec<u8>, Duration) {
        let start = format!("HTTP/1.1 200 OK\r\n{headers}");
        let chunked = format!("{start}transfer-encoding: chunked\r\n\r\n");
        let stream = format!("{start}content-type: text/event-stream\r\n\r\n");
        let data = vec![b'x'; PIECE];
        let fast = FAST;
        match self {
            Endless::Headers => (start, b"x-more: more\r\n".repeat(100), fast),
            Endless::HeaderLine => (format!("{start}x-more: "), data, fast),
            Endless::Interim => (String::new(), b"HTTP/1.1 103 Early\r\n\r\n".repeat(4), fast),
            Endless::ChunkLine => (format!("{chunked}5;"), data, fast),
            Endless::Chunk => (format!("{chunked}fffffffffff\r\n"), data, fast),
            Endless::Chunks => (chunked, b"5\r\nhello\r\n".repeat(1000), fast),
            Endless::Trailers => (format!("{chunked}0\r\n"), b"x-more: more\r\n".repeat(100), fast),
            Endless::Length => (format!("{start}content-length: 99999999999\r\n\r\n"), data, fast),
            Endless::UntilClose => (format!("{start}\r\n"), data, fast),
            Endless::TrailingData => (format!("{start}content-length: 2\r\n\r\nok"), data, fast),
            Endless::Comments => (stream, b": still here\n\n".to_vec(), GAP),
            Endless::EmptyEvents => (stream, b"\n\n".repeat(8), GAP),
            Endless::Event => (format!("{stream}id: 1\ndata: "), data, fast),
            Endless::DripHead => (start, b"x".to_vec(), GAP),
            Endless::DripBody => (format!("{start}content-length: 800\r\n\r\n"), b"x".to_vec(), GAP),
        }
    }
}
