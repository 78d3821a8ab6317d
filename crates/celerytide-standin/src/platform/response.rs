//! Parts of the responses that a runner writes.

use std::io::Write;
use std::net::TcpStream;

use super::request::Request;

/// Refusals that belong to no request, for [`RunnerMode::Trailing`](super::RunnerMode::Trailing).
pub const FOREIGN_REFUSALS: [&str; 3] = [
    "HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 503 Full\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n",
];

/// A response with this status that states that the request did not run.
pub(super) fn refusal(status: &str, req: &Request) -> String {
    let id = req.header("x-attempt-id");
    format!("HTTP/1.1 {status}\r\nx-attempt-id: {id}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n")
}

/// The head of a successful response.
pub(super) fn sealed_head(sealed: &str, length: usize, is_stream: bool) -> String {
    let rest = if is_stream {
        "content-type: text/event-stream\r\n".to_owned()
    } else {
        format!("content-length: {length}\r\n")
    };
    format!("HTTP/1.1 200 OK\r\n{sealed}{rest}\r\n")
}

/// Sends a response; true if the connection can be used again.
pub(super) fn send_response(out: &mut TcpStream, status: &str, headers: &str, body: &str) -> bool {
    let length = body.len();
    let response = format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}");
    out.write_all(response.as_bytes()).is_ok()
}
