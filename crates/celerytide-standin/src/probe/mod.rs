//! Blocking HTTP for the test side: small requests to control paths and operator addresses.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use serde::de::DeserializeOwned;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::plain::{RUNS_PATH, Run};

/// All control paths start with it.
pub const CONTROL_PREFIX: &str = "/__";
/// Takes faults by `PUT`.
pub const FAULT_PATH: &str = "/__fault";
/// Bound on each wait of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a probe failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection failed or broke.
    #[snafu(display("{addr}: {source}"))]
    Io {
        /// Whom the probe asked.
        addr: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The answer is not HTTP.
    #[snafu(display("{addr}: the answer is not HTTP"))]
    NotHttp {
        /// Whom the probe asked.
        addr: SocketAddr,
    },
    /// The answer says that the request failed.
    #[snafu(display("{addr}: status {status}: {body}"))]
    Refused {
        /// Whom the probe asked.
        addr: SocketAddr,
        /// HTTP status code.
        status: u16,
        /// Body of the answer.
        body: String,
    },
    /// The answer's body is not the expected JSON.
    #[snafu(display("{addr}: {source}"))]
    Json {
        /// Whom the probe asked.
        addr: SocketAddr,
        /// What the decoder said.
        source: serde_json::Error,
    },
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Reply {
    /// The value of a header, by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends one request on a connection of its own and reads the answer to its end.
pub fn send(addr: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Result<Reply, Error> {
    let raw = exchange(addr, method, path, headers, body).context(IoSnafu { addr })?;
    parse(&raw).context(NotHttpSnafu { addr })
}

/// Asks for `path` and reads the answer's JSON.
pub fn get_json<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> Result<T, Error> {
    let reply = accepted(addr, send(addr, "GET", path, &[], b"")?)?;
    serde_json::from_slice(&reply.body).context(JsonSnafu { addr })
}

/// Puts `body` at `path`.
pub fn put(addr: SocketAddr, path: &str, body: &[u8]) -> Result<(), Error> {
    accepted(addr, send(addr, "PUT", path, &[], body)?).map(|_| ())
}

/// Sends a fault to a stand-in.
pub fn set_fault(addr: SocketAddr, json: &str) -> Result<(), Error> {
    put(addr, FAULT_PATH, json.as_bytes())
}

/// The runs that a plain service recorded.
pub fn runs(addr: SocketAddr) -> Result<Vec<Run>, Error> {
    get_json(addr, RUNS_PATH)
}

fn accepted(addr: SocketAddr, reply: Reply) -> Result<Reply, Error> {
    if (200..300).contains(&reply.status) {
        return Ok(reply);
    }
    RefusedSnafu {
        addr,
        status: reply.status,
        body: reply.text(),
    }
    .fail()
}

fn exchange(addr: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&addr, PROBE_TIMEOUT)?;
    stream.set_read_timeout(Some(PROBE_TIMEOUT))?;
    stream.set_write_timeout(Some(PROBE_TIMEOUT))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    read_answer(&mut stream)
}

/// Reads to the stated length, or to the end of the connection if the answer states none.
fn read_answer(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut raw = Vec::new();
    let mut buf = [0; 16 * 1024];
    loop {
        if is_whole(&raw) {
            return Ok(raw);
        }
        match stream.read(&mut buf)? {
            0 => return Ok(raw),
            n => raw.extend_from_slice(&buf[..n]),
        }
    }
}

fn is_whole(raw: &[u8]) -> bool {
    let Some((head, body)) = split(raw) else {
        return false;
    };
    let head = String::from_utf8_lossy(head).to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
    let length = length.and_then(|value| value.trim().parse::<usize>().ok());
    length.is_some_and(|length| body.len() >= length)
}

fn split(raw: &[u8]) -> Option<(&[u8], &[u8])> {
    let at = raw.windows(4).position(|window| window == b"\r\n\r\n")?;
    Some((&raw[..at], &raw[at + 4..]))
}

fn parse(raw: &[u8]) -> Option<Reply> {
    let (head, body) = split(raw)?;
    let head = String::from_utf8_lossy(head);
    let mut lines = head.lines();
    let status = lines.next()?.split_whitespace().nth(1)?.parse().ok()?;
    let headers: Vec<_> = lines.filter_map(header_line).collect();
    let chunked = headers
        .iter()
        .any(|(name, value)| name == "transfer-encoding" && value.contains("chunked"));
    let body = if chunked { unchunk(body)? } else { body.to_vec() };
    Some(Reply { status, headers, body })
}

fn header_line(line: &str) -> Option<(String, String)> {
    let (name, value) = line.split_once(':')?;
    Some((name.to_ascii_lowercase(), value.trim().to_owned()))
}

/// Joins the chunks; `None` if the last chunk is missing.
fn unchunk(mut rest: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = rest.windows(2).position(|window| window == b"\r\n")?;
        let size = std::str::from_utf8(&rest[..end]).ok()?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        let start = end + 2;
        body.extend_from_slice(rest.get(start..start + size)?);
        rest = rest.get(start + size + 2..)?;
    }
}
