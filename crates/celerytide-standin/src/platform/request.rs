//! Parses HTTP requests from a blocking connection.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

use super::publish::HEALTH_PATH;

/// A request that a stand-in has received.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Request line: method, target and version.
    pub line: String,
    /// Headers with their names in lower case.
    pub headers: BTreeMap<String, String>,
    /// Body, whose length is that of `content-length`.
    pub body: Vec<u8>,
}

impl Request {
    /// The value of the header `name`; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Whether it is a health check: a GET of the path that the published configuration names.
    pub fn is_health_check(&self) -> bool {
        self.line.starts_with(&format!("GET {HEALTH_PATH} "))
    }

    /// The value of the query parameter `name`; empty if it is absent.
    pub fn query(&self, name: &str) -> &str {
        let target = self.line.split(' ').nth(1).unwrap_or_default();
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
    }
}

/// Reads the next request; `None` if the connection ends first.
pub fn read(conn: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut request = Request {
        line: read_line(conn)?,
        ..Request::default()
    };
    loop {
        let line = read_line(conn)?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        request
            .headers
            .insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = request.header("content-length").parse().unwrap_or(0);
    request.body = vec![0; length];
    conn.read_exact(&mut request.body).ok()?;
    Some(request)
}

fn read_line(conn: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    match conn.read_line(&mut line) {
        Ok(n) if n > 0 => Some(line.trim_end().to_owned()),
        _ => None,
    }
}
