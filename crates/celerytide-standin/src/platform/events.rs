//! Streams of events that a runner sends.

use std::io::{self, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use super::request::Request;

const CONTENT_TYPE: &str = "content-type: text/event-stream\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

/// What delimits the body of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamFraming {
    /// Chunks, with the last chunk.
    Chunks,
    /// Chunks without the last one: the connection ends before it.
    Unfinished,
    /// A stated length.
    Length,
    /// The end of the connection.
    Close,
}

/// The first events of a stream, then some bytes, then the regular end of the body. A stream that continues after
/// `Last-Event-Id` has all events that are left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TornStream {
    /// HTTP status of the response.
    pub status: u16,
    /// What delimits the body.
    pub framing: StreamFraming,
    /// Number of events in the whole stream.
    pub all: u32,
    /// Number of events that are sent.
    pub sent: u32,
    /// Bytes behind them.
    pub rest: &'static str,
}

fn event(number: u32) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

fn last_event(req: &Request) -> u32 {
    req.header("last-event-id").parse().unwrap_or(0)
}

impl TornStream {
    /// Sends the stream; true if the connection stays open.
    pub(super) fn send(&self, out: &mut TcpStream, req: &Request, sealed: &str) -> io::Result<bool> {
        let from = last_event(req);
        let (to, rest) = if from > 0 {
            (self.all, "")
        } else {
            (self.sent, self.rest)
        };
        let body: String = (from + 1..=to).map(event).chain([rest.to_owned()]).collect();
        let head = format!("HTTP/1.1 {} OK\r\n{sealed}{CONTENT_TYPE}", self.status);
        let length = body.len();
        let response = match self.framing {
            StreamFraming::Close => format!("{head}\r\n{body}"),
            StreamFraming::Length => format!("{head}content-length: {length}\r\n\r\n{body}"),
            StreamFraming::Unfinished if body.is_empty() => format!("{head}{CHUNKED}"),
            StreamFraming::Unfinished => format!("{head}{CHUNKED}{length:x}\r\n{body}\r\n"),
            StreamFraming::Chunks if body.is_empty() => format!("{head}{CHUNKED}0\r\n\r\n"),
            StreamFraming::Chunks => format!("{head}{CHUNKED}{length:x}\r\n{body}\r\n0\r\n\r\n"),
        };
        out.write_all(response.as_bytes())?;
        Ok(matches!(self.framing, StreamFraming::Chunks | StreamFraming::Length))
    }
}

/// Sends the first events, whatever the request names as the last one; true if the connection stays open.
pub(super) fn send_from_start(out: &mut TcpStream, sealed: &str, count: u32) -> io::Result<bool> {
    let body: String = (1..=count).map(event).collect();
    let length = body.len();
    let response = format!("HTTP/1.1 200 OK\r\n{sealed}{CONTENT_TYPE}{CHUNKED}{length:x}\r\n{body}\r\n0\r\n\r\n");
    out.write_all(response.as_bytes())?;
    Ok(true)
}

/// Sends one byte of an event at a time until the client closes the connection.
pub(super) fn send_drip(out: &mut TcpStream, sealed: &str, gap: Duration) -> io::Result<bool> {
    out.write_all(format!("HTTP/1.1 200 OK\r\n{sealed}{CONTENT_TYPE}{CHUNKED}").as_bytes())?;
    loop {
        out.write_all(b"1\r\nd\r\n")?;
        sleep(gap);
    }
}

/// Sends the events after `Last-Event-Id` up to `all`; true if the connection stays open. A stream from the start ends in
/// the middle of event `cut`. `pause` is called between two events.
pub(super) fn send_events(
    out: &mut TcpStream,
    req: &Request,
    sealed: &str,
    all: u32,
    cut: u32,
    pause: impl Fn(),
) -> io::Result<bool> {
    out.write_all(format!("HTTP/1.1 200 OK\r\n{sealed}{CONTENT_TYPE}{CHUNKED}").as_bytes())?;
    let from = last_event(req);
    let cut = if from == 0 { cut } else { 0 };
    for number in from + 1..=all {
        if number > from + 1 {
            pause();
        }
        let event = event(number);
        let sent = if number == cut {
            &event[..event.len() / 2]
        } else {
            &event
        };
        out.write_all(format!("{:x}\r\n{sent}\r\n", sent.len()).as_bytes())?;
        if number == cut {
            return Ok(false);
        }
    }
    out.write_all(b"0\r\n\r\n")?;
    Ok(true)
}
