//! A runner that writes an answer once more, at a place on its connection that a test chooses.

use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};
use std::thread::sleep;
use std::time::Duration;

use super::arrival::Arrival;
use super::request::Request;
use super::response::refusal;
use super::runner::SEAL;

/// First letter of the ids of requests whose first answer is copied; others are served at once.
const COPIED: char = 'q';
/// First letter of the ids of requests behind whose answer the connection is closed.
const CLOSED: char = 'c';
/// First letter of the ids of streams that the end of the connection never delimits.
const KEPT: char = 'w';
/// Time from an answer to its copy on an idle connection, and from a copy to the answer of a request that runs.
const COPY_DELAY: Duration = Duration::from_millis(30);
/// Body of a stream, with text of a response's head in its data and comments.
pub const TWO_EVENTS: &str =
    "id: 1\n: content-length: 1\ndata: HTTP/1.1 201\n\nid: 2\n: content-length: 2\ndata: HTTP/1.1 202\n\n";
/// Length of its first event in bytes.
const EVENT_BYTES: usize = TWO_EVENTS.len() / 2;

/// Which answer is copied, and where its copy is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Copying {
    /// The first answer to a request whose id begins with `q`.
    pub answer: CopiedAnswer,
    /// Where it is written once more.
    pub place: CopyPlace,
}

/// An answer that is copied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopiedAnswer {
    /// This status, which states that the request did not run.
    Refusal(&'static str),
    /// A 421 that names no request.
    NamelessMisdirected,
    /// A sealed error 500: the request ran.
    Failure,
    /// A sealed success.
    Success,
    /// A sealed success; the copy is an interim response with the request's id.
    Interim,
}

/// Where a copy is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyPlace {
    /// Directly behind the answer.
    AtOnce,
    /// While the connection is idle.
    Idle,
    /// In front of the next response on the connection.
    BeforeNext,
    /// Inside the head of the next response.
    InHead,
    /// Behind the first event of the next response, or in front of the body of one that isn't a stream.
    InBody,
    /// In front of the response after the next one.
    AfterAnother,
    /// While the next request runs.
    UnderWay,
    /// Inside the first event of the next response, whose body the end of the connection delimits.
    InOpenEvent,
    /// Behind the first event of such a body.
    InOpenBody,
    /// Behind the last event of such a body.
    BehindOpenBody,
}

impl CopyPlace {
    /// Whether the end of the connection delimits streams.
    pub fn is_open(self) -> bool {
        matches!(
            self,
            CopyPlace::InOpenEvent | CopyPlace::InOpenBody | CopyPlace::BehindOpenBody
        )
    }
}

impl Copying {
    /// Whether this request's answer is copied.
    pub(super) fn copies(req: &Request, earlier: &[Arrival]) -> bool {
        let id = req.header("x-attempt-id");
        id.starts_with(COPIED) && earlier.iter().all(|arrival| arrival.id != id)
    }

    /// Whether a request runs whose answer is copied.
    pub(super) fn runs(self) -> bool {
        !matches!(
            self.answer,
            CopiedAnswer::Refusal(_) | CopiedAnswer::NamelessMisdirected
        )
    }

    fn answer(self, req: &Request) -> String {
        match self.answer {
            CopiedAnswer::Refusal(status) => refusal(status, req),
            CopiedAnswer::NamelessMisdirected => {
                "HTTP/1.1 421 Misdirected\r\nx-instance-id: other\r\ncontent-length: 0\r\n\r\n".to_owned()
            }
            CopiedAnswer::Failure => format!(
                "HTTP/1.1 500 Failed\r\nx-attempt-id: {}\r\nx-response-seal: {SEAL}\r\ncontent-length: 0\r\n\r\n",
                req.header("x-attempt-id")
            ),
            CopiedAnswer::Success | CopiedAnswer::Interim => good(req).concat(),
        }
    }

    fn copy(self, req: &Request) -> String {
        let id = req.header("x-attempt-id");
        match self.answer {
            CopiedAnswer::Interim => format!("HTTP/1.1 103 Early\r\nx-attempt-id: {id}\r\n\r\n"),
            _ => self.answer(req),
        }
    }
}

/// The copy that is still to be written on a connection.
#[derive(Debug, Default)]
pub(super) struct PendingCopy {
    copy: String,
    /// Responses in front of it.
    after: usize,
}

impl PendingCopy {
    /// Answers a request and keeps the copy, unless it is written at once.
    pub(super) fn answer(&mut self, out: &mut TcpStream, req: &Request, copying: Copying) -> io::Result<()> {
        let answer = copying.answer(req);
        let copy = copying.copy(req);
        match copying.place {
            CopyPlace::AtOnce => return out.write_all((answer + &copy).as_bytes()),
            CopyPlace::Idle => {
                out.write_all(answer.as_bytes())?;
                sleep(COPY_DELAY);
                return out.write_all(copy.as_bytes());
            }
            CopyPlace::AfterAnother => self.after = 1,
            _ => self.after = 0,
        }
        self.copy = copy;
        out.write_all(answer.as_bytes())
    }

    /// Serves a request, with the copy in its place if there is one.
    pub(super) fn serve(&mut self, out: &mut TcpStream, req: &Request, place: CopyPlace) -> io::Result<()> {
        let is_kept = req.header("x-attempt-id").starts_with(KEPT);
        if place.is_open() && is_stream(req) && !is_kept {
            return self.serve_open(out, req, place);
        }
        let [begin, head, body] = good(req);
        if self.after > 0 {
            self.after -= 1;
            return out.write_all((begin + &head + &body).as_bytes());
        }
        let copy = std::mem::take(&mut self.copy);
        if place == CopyPlace::UnderWay && !copy.is_empty() {
            out.write_all(copy.as_bytes())?;
            sleep(COPY_DELAY);
            return out.write_all((begin + &head + &body).as_bytes());
        }
        let bytes = match place {
            CopyPlace::InHead => [begin, copy, head, body],
            CopyPlace::InBody => [begin, head, copy, body],
            _ => [copy, begin, head, body],
        };
        bytes.iter().try_for_each(|piece| out.write_all(piece.as_bytes()))
    }

    /// Serves a stream that the end of the connection delimits.
    fn serve_open(&mut self, out: &mut TcpStream, req: &Request, place: CopyPlace) -> io::Result<()> {
        let at = match place {
            CopyPlace::InOpenEvent => EVENT_BYTES / 2,
            CopyPlace::InOpenBody => EVENT_BYTES,
            _ => TWO_EVENTS.len(),
        };
        let (before, behind) = TWO_EVENTS.split_at(at);
        let copy = std::mem::take(&mut self.copy);
        let response = open_head(req) + before + &copy + behind;
        out.write_all(response.as_bytes())?;
        out.shutdown(Shutdown::Both)
    }
}

fn is_stream(req: &Request) -> bool {
    req.line.contains("/stream/") || req.line.contains("/resume/")
}

/// Head of a stream without a declared length.
fn open_head(req: &Request) -> String {
    let id = req.header("x-attempt-id");
    format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: {SEAL}\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n"
    )
}

/// A good response in three pieces, the second up to the first event.
fn good(req: &Request) -> [String; 3] {
    let id = req.header("x-attempt-id");
    let close = if id.starts_with(CLOSED) {
        "connection: close\r\n"
    } else {
        ""
    };
    let begin = format!("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\n{close}");
    let head = format!("x-response-seal: {SEAL}\r\n");
    if is_stream(req) {
        let (first, second) = TWO_EVENTS.split_at(EVENT_BYTES);
        let head = head + "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        return [begin, head + &chunk(first), chunk(second) + "0\r\n\r\n"];
    }
    let body = format!("answer to {id}");
    [begin, format!("{head}content-length: {}\r\n\r\n", body.len()), body]
}

fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}
