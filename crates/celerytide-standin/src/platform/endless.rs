//! Endless or very slow responses, sent until the caller closes the connection, to test limits on memory and time.

use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The part of a response that is sent without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endless {
    /// Header lines.
    Headers,
    /// One header line.
    HeaderLine,
    /// Interim (1xx) responses.
    Interim,
    /// The size line of a chunk.
    ChunkLine,
    /// Data of a chunk with a huge size.
    Chunk,
    /// Chunks.
    Chunks,
    /// Trailer lines.
    Trailers,
    /// Data of a body with a huge `content-length`.
    Length,
    /// Data of a body that ends with its connection.
    UntilClose,
    /// Data after a complete response.
    TrailingData,
    /// Comments in an event stream.
    Comments,
    /// Empty events in an event stream.
    EmptyEvents,
    /// Data of one event in an event stream.
    Event,
    /// A response head, one byte at a time.
    DripHead,
    /// A body of known length, one byte at a time.
    DripBody,
}

/// Longest work without a response.
const MAX_SILENCE: Duration = Duration::from_secs(20);
/// Interval at which a runner without a response looks whether its client has left.
const CLOSE_POLL: Duration = Duration::from_millis(20);

/// Whether the client has closed the connection, as far as is known without waiting.
pub(super) fn is_closed(conn: &TcpStream) -> bool {
    // Both fail only on a socket that is closed here.
    let _ = conn.set_nonblocking(true);
    let peeked = conn.peek(&mut [0]);
    let _ = conn.set_nonblocking(false);
    match peeked {
        Ok(bytes) => bytes == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

/// Waits until the client closes the connection, for [`MAX_SILENCE`] at the longest.
pub(super) fn wait_for_close(conn: &TcpStream) {
    let until = Instant::now() + MAX_SILENCE;
    while Instant::now() < until && !is_closed(conn) {
        sleep(CLOSE_POLL);
    }
}

/// Pause after each byte of a slow response and after each piece of an event stream.
const DRIP_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after each piece of fast data: 16 MB per second, which readers can keep up with.
const FAST_INTERVAL: Duration = Duration::from_millis(1);
/// Size of a piece of fast data.
const PIECE_BYTES: usize = 16 * 1024;

impl Endless {
    /// Sends a response that starts with the header lines `headers`; returns only once the client
    /// has closed the connection.
    pub fn send(self, out: &mut TcpStream, headers: &str) {
        let (opening, repeated, interval) = self.parts(headers);
        let mut sent = out.write_all(opening.as_bytes());
        while sent.is_ok() && !is_closed(out) {
            sleep(interval);
            sent = out.write_all(&repeated);
        }
    }

    /// The first bytes, the bytes that are repeated, and the pause after each repetition.
    fn parts(self, headers: &str) -> (String, Vec<u8>, Duration) {
        let start = format!("HTTP/1.1 200 OK\r\n{headers}");
        let chunked = format!("{start}transfer-encoding: chunked\r\n\r\n");
        let stream = format!("{start}content-type: text/event-stream\r\n\r\n");
        let data = vec![b'x'; PIECE_BYTES];
        let fast = FAST_INTERVAL;
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
            Endless::Comments => (stream, b": still here\n\n".to_vec(), DRIP_INTERVAL),
            Endless::EmptyEvents => (stream, b"\n\n".repeat(8), DRIP_INTERVAL),
            Endless::Event => (format!("{stream}id: 1\ndata: "), data, fast),
            Endless::DripHead => (start, b"x".to_vec(), DRIP_INTERVAL),
            Endless::DripBody => (
                format!("{start}content-length: 800\r\n\r\n"),
                b"x".to_vec(),
                DRIP_INTERVAL,
            ),
        }
    }
}
