//! A blocking HTTP client that sends requests as the platform's callers do.
//!
//! It returns incomplete responses as far as they were received, since tests check responses that are cut off.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout of each read; longer than the timeout of any route.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Host header of all routes.
pub const HOST: &str = "app.example";
/// API key of the customer `acme`.
pub const KEY: &str = "key-acme";

/// Visible characters that no name of a header holds.
const NO_NAME_BYTES: &[u8] = b"\"(),/:;<=>?@[\\]{}";

/// A response as far as it was received.
#[derive(Debug, Default, Clone)]
pub struct Response {
    /// HTTP status code; zero without a response.
    pub status: u16,
    /// Status line and headers, in lower case.
    pub head: String,
    /// The body as far as it was received.
    pub body: String,
    /// Whether the whole body was received, behind a valid head.
    pub is_complete: bool,
}

impl Response {
    /// Whether it carries the seal by which a runner proves that it ran the request.
    pub fn is_sealed(&self) -> bool {
        self.head.contains("x-response-seal:")
    }

    /// The value of the header with this lower-case name; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let named = |line: &str| line.split_once(':').is_some_and(|(n, _)| n == name);
        let line = self.head.lines().find(|line| named(line));
        line.and_then(|line| line.split_once(':'))
            .map_or("", |(_, value)| value.trim())
    }

    /// Whether the connection can be reused.
    pub fn is_reusable(&self) -> bool {
        self.is_complete && !self.head.contains("connection: close")
    }
}

/// Headers of a request of `acme` with this attempt id and deadline in milliseconds.
pub fn headers<'a>(id: &'a str, deadline_ms: &'a str) -> [(&'static str, &'a str); 3] {
    [("api-key", KEY), ("x-attempt-id", id), ("x-deadline-ms", deadline_ms)]
}

/// Whether the process at the address `readiness` reports that it accepts new connections.
pub fn is_ready(readiness: SocketAddr) -> bool {
    get(readiness, "/-/readyz", &[]).is_ok_and(|response| response.status == 200)
}

/// Sends a GET request on a new connection.
pub fn get(addr: SocketAddr, path: &str, headers: &[(&str, &str)]) -> std::io::Result<Response> {
    exchange(addr, "GET", path, headers, "")
}

/// Sends one request on a new connection and reads the response.
pub fn exchange(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<Response> {
    let mut conn = TcpStream::connect(addr)?;
    conn.set_read_timeout(Some(READ_TIMEOUT))?;
    conn.write_all(request(method, path, headers, body).as_bytes())?;
    read_response(&mut BufReader::new(conn))
}

/// Encodes a request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    text + "\r\n" + body
}

/// Reads one response as far as it can be received.
pub fn read_response(conn: &mut BufReader<TcpStream>) -> std::io::Result<Response> {
    let mut response = Response::default();
    loop {
        let mut line = String::new();
        if conn.read_line(&mut line)? == 0 {
            return Ok(response);
        }
        if line == "\r\n" {
            break;
        }
        response.head.push_str(&line.to_lowercase());
    }
    response.status = response
        .head
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let length = response
        .head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "))
        .map(|l| l.trim().to_owned());
    match length.and_then(|l| l.parse::<usize>().ok()) {
        Some(length) => {
            let mut body = vec![0; length];
            response.is_complete = conn.read_exact(&mut body).is_ok();
            response.body = String::from_utf8_lossy(&body).into_owned();
        }
        None => read_chunks(conn, &mut response),
    }
    response.is_complete &= is_head(&response.head);
    Ok(response)
}

/// Whether the text is a head: a status of three digits from 100 to 599, and a field in each further line.
fn is_head(text: &str) -> bool {
    let mut lines = text.lines();
    lines.next().is_some_and(is_status_line) && lines.all(is_field)
}

fn is_status_line(line: &str) -> bool {
    let status = line
        .strip_prefix("http/1.1 ")
        .map(|rest| rest.split(' ').next().unwrap_or(rest));
    status.is_some_and(|status| status.len() == 3 && matches!(status.parse(), Ok(100..=599_u16)))
}

fn is_field(line: &str) -> bool {
    let name = line.split_once(':').map_or("", |(name, _)| name);
    !name.is_empty()
        && name
            .bytes()
            .all(|b| b.is_ascii_graphic() && !NO_NAME_BYTES.contains(&b))
}

fn read_chunks(conn: &mut BufReader<TcpStream>, response: &mut Response) {
    loop {
        let mut line = String::new();
        if !matches!(conn.read_line(&mut line), Ok(n) if n > 0) {
            return;
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
            return;
        };
        let mut data = vec![0; size + 2];
        if conn.read_exact(&mut data).is_err() || !data.ends_with(b"\r\n") {
            return;
        }
        if size == 0 {
            response.is_complete = true;
            return;
        }
        response.body.push_str(&String::from_utf8_lossy(&data[..size]));
    }
}
