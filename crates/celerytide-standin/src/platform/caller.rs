//! Callers: requests as they send them, and what comes back, over blocking connections.
//!
//! Answers are kept as far as they come: one that breaks off is what tests are about.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time for which an answer is waited for: more than any route has.
const PATIENCE: Duration = Duration::from_secs(10);
/// Host of all routes.
pub const HOST: &str = "app.example";
/// A key of the customer `acme`.
pub const KEY: &str = "key-acme";

/// What a caller got.
#[derive(Debug, Default, Clone)]
pub struct Response {
    /// Status; zero without an answer.
    pub status: u16,
    /// Status line and headers, in lower case.
    pub head: String,
    /// The body, as far as it came.
    pub body: String,
    /// The body ended properly.
    pub is_complete: bool,
}

impl Response {
    /// Whether it carries the proof of a runner.
    pub fn is_sealed(&self) -> bool {
        self.head.contains("x-response-seal:")
    }

    /// The value of a header, by its name in lower case; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let named = |line: &str| line.split_once(':').is_some_and(|(n, _)| n == name);
        let line = self.head.lines().find(|line| named(line));
        line.and_then(|line| line.split_once(':'))
            .map_or("", |(_, value)| value.trim())
    }

    /// Whether the connection may be used again.
    pub fn is_reusable(&self) -> bool {
        self.is_complete && !self.head.contains("connection: close")
    }
}

/// Headers of a request of `acme` with that id, whose caller waits for `deadline_ms`.
pub fn headers<'a>(id: &'a str, deadline_ms: &'a str) -> [(&'static str, &'a str); 3] {
    [("api-key", KEY), ("x-attempt-id", id), ("x-deadline-ms", deadline_ms)]
}

/// Whether the process says that new connections may come.
pub fn is_ready(readiness: SocketAddr) -> bool {
    get(readiness, "/-/readyz", &[]).is_ok_and(|got| got.status == 200)
}

/// A GET on a connection of its own.
pub fn get(addr: SocketAddr, path: &str, headers: &[(&str, &str)]) -> std::io::Result<Response> {
    exchange(addr, "GET", path, headers, "")
}

/// One request on a connection of its own.
pub fn exchange(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<Response> {
    let mut conn = TcpStream::connect(addr)?;
    conn.set_read_timeout(Some(PATIENCE))?;
    conn.write_all(request(method, path, headers, body).as_bytes())?;
    read_response(&mut BufReader::new(conn))
}

/// A request's bytes.
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

/// Reads one answer, as far as it comes.
pub fn read_response(conn: &mut BufReader<TcpStream>) -> std::io::Result<Response> {
    let mut got = Response::default();
    loop {
        let mut line = String::new();
        if conn.read_line(&mut line)? == 0 {
            return Ok(got);
        }
        if line == "\r\n" {
            break;
        }
        got.head.push_str(&line.to_lowercase());
    }
    got.status = got.head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let length = got
        .head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "))
        .map(|l| l.trim().to_owned());
    match length.and_then(|l| l.parse::<usize>().ok()) {
        Some(length) => {
            let mut body = vec![0; length];
            got.is_complete = conn.read_exact(&mut body).is_ok();
            got.body = String::from_utf8_lossy(&body).into_owned();
        }
        None => read_chunks(conn, &mut got),
    }
    Ok(got)
}

fn read_chunks(conn: &mut BufReader<TcpStream>, got: &mut Response) {
    loop {
        let mut line = String::new();
        if !matches!(conn.read_line(&mut line), Ok(n) if n > 0) {
            return;
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
            return;
        };
        let mut data = vec![0; size + 2];
        if conn.read_exact(&mut data).is_err() {
            return;
        }
        if size == 0 {
            got.is_complete = true;
            return;
        }
        got.body.push_str(&String::from_utf8_lossy(&data[..size]));
    }
}
