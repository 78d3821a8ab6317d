//! Blocking HTTP client for tests: small requests to control paths and operator addresses.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use serde::de::DeserializeOwned;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::plain::{RUNS_PATH, Run};

/// Prefix of all control paths.
pub const CONTROL_PREFIX: &str = "/__";
/// Control path that accepts a fault by `PUT`.
pub const FAULT_PATH: &str = "/__fault";
/// Timeout of connecting and of each read and write.
const IO_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a probe failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection failed or broke.
    #[snafu(display("{addr}: {source}"))]
    Io {
        /// Address of the server.
        addr: SocketAddr,
        /// Error of the socket.
        source: io::Error,
    },
    /// The response is not complete HTTP.
    #[snafu(display("{addr}: the response is not HTTP"))]
    NotHttp {
        /// Address of the server.
        addr: SocketAddr,
    },
    /// The status of the response is not 2xx.
    #[snafu(display("{addr}: status {status}: {body}"))]
    Refused {
        /// Address of the server.
        addr: SocketAddr,
        /// HTTP status code.
        status: u16,
        /// Body of the response.
        body: String,
    },
    /// The body of the response is not the expected JSON.
    #[snafu(display("{addr}: {source}"))]
    Json {
        /// Address of the server.
        addr: SocketAddr,
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
}

/// A complete HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
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

/// Sends one request on a new connection and reads the complete response.
pub fn send(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<Response, Error> {
    let raw = exchange(addr, method, path, headers, body).context(IoSnafu { addr })?;
    parse_response(&raw).context(NotHttpSnafu { addr })
}

/// Gets `path` and decodes the JSON body of the response.
pub fn get_json<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> Result<T, Error> {
    let response = check_status(addr, send(addr, "GET", path, &[], b"")?)?;
    serde_json::from_slice(&response.body).context(JsonSnafu { addr })
}

/// Sends `body` to `path` by `PUT`.
pub fn put(addr: SocketAddr, path: &str, body: &[u8]) -> Result<(), Error> {
    check_status(addr, send(addr, "PUT", path, &[], body)?).map(|_| ())
}

/// Sends a fault to a stand-in.
pub fn set_fault(addr: SocketAddr, json: &str) -> Result<(), Error> {
    put(addr, FAULT_PATH, json.as_bytes())
}

/// The runs that the plain service at `addr` recorded.
pub fn runs(addr: SocketAddr) -> Result<Vec<Run>, Error> {
    get_json(addr, RUNS_PATH)
}

fn check_status(addr: SocketAddr, response: Response) -> Result<Response, Error> {
    if (200..300).contains(&response.status) {
        return Ok(response);
    }
    RefusedSnafu {
        addr,
        status: response.status,
        body: response.text(),
    }
    .fail()
}

fn exchange(addr: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&addr, IO_TIMEOUT)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    read_response(&mut stream)
}

/// Reads up to `content-length`, or to the end of the connection if the response has none.
fn read_response(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut raw = Vec::new();
    let mut buf = [0; 16 * 1024];
    loop {
        if is_complete(&raw) {
            return Ok(raw);
        }
        match stream.read(&mut buf)? {
            0 => return Ok(raw),
            n => raw.extend_from_slice(&buf[..n]),
        }
    }
}

fn is_complete(raw: &[u8]) -> bool {
    let Some((head, body)) = split_head(raw) else {
        return false;
    };
    let head = String::from_utf8_lossy(head).to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
    let length = length.and_then(|value| value.trim().parse::<usize>().ok());
    length.is_some_and(|length| body.len() >= length)
}

fn split_head(raw: &[u8]) -> Option<(&[u8], &[u8])> {
    let at = raw.windows(4).position(|window| window == b"\r\n\r\n")?;
    Some((&raw[..at], &raw[at + 4..]))
}

fn parse_response(raw: &[u8]) -> Option<Response> {
    let (head, body) = split_head(raw)?;
    let head = String::from_utf8_lossy(head);
    let mut lines = head.lines();
    let status = lines.next()?.split_whitespace().nth(1)?.parse().ok()?;
    let headers: Vec<_> = lines.filter_map(parse_header).collect();
    let is_chunked = headers
        .iter()
        .any(|(name, value)| name == "transfer-encoding" && value.contains("chunked"));
    let body = if is_chunked {
        decode_chunks(body)?
    } else {
        body.to_vec()
    };
    Some(Response { status, headers, body })
}

fn parse_header(line: &str) -> Option<(String, String)> {
    let (name, value) = line.split_once(':')?;
    Some((name.to_ascii_lowercase(), value.trim().to_owned()))
}

/// Decodes a chunked body; `None` if the last chunk is missing.
fn decode_chunks(mut rest: &[u8]) -> Option<Vec<u8>> {
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
