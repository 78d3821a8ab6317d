//! Requests, processes and a persistent connection for the tests of the stand-ins.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use celerytide_standin::{
    launch::Process,
    probe::{self, Response},
};

/// Time without bytes after which a connection counts as silent.
pub const QUIET_TIME: Duration = Duration::from_millis(300);

/// JSON body of a chat request; `rest` is appended to its fields.
pub fn chat_body(text: &str, rest: &str) -> Vec<u8> {
    format!(r#"{{"model":"stand-in","messages":[{{"role":"user","content":"{text}"}}]{rest}}}"#).into_bytes()
}

/// Sends a chat request on a new connection.
pub fn send_chat(process: &Process, id: &str, body: &[u8]) -> Result<Response, probe::Error> {
    probe::send(
        process.addr(),
        "POST",
        "/v1/chat/completions",
        &[("x-request-id", id)],
        body,
    )
}

/// Starts an engine with short steps and the arguments `args`.
pub fn start_engine(args: &[&str]) -> Process {
    let mut all = vec!["--id", "e1", "--prefill-us-per-token", "1"];
    all.extend(args);
    if !args.contains(&"--decode-ms") {
        all.extend(["--decode-ms", "1"]);
    }
    Process::standin("engine", &all).expect("engine")
}

/// Starts a plain service.
pub fn start_plain() -> Process {
    Process::standin("plain", &["--id", "p1"]).expect("plain")
}

/// Text of the tokens `from..to` of an engine's response.
pub fn token_text(from: usize, to: usize) -> String {
    (from..to).map(|i| format!("w{i} ")).collect()
}

/// The text of a streamed response, and whether it ended with `[DONE]`.
pub fn read_stream(response: &Response) -> (String, bool) {
    let body = response.text();
    let events: Vec<&str> = body
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "))
        .collect();
    let is_done = events.last() == Some(&"[DONE]");
    let text = events.iter().filter_map(|event| {
        let event: serde_json::Value = serde_json::from_str(event).ok()?;
        Some(event["choices"][0]["delta"]["content"].as_str()?.to_owned())
    });
    (text.collect(), is_done)
}

/// A connection that stays open between requests.
pub struct PersistentConnection {
    stream: TcpStream,
}

impl PersistentConnection {
    pub fn open(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).expect("connect");
        Self { stream }
    }

    pub fn send(&mut self, id: &str) {
        let head = format!("GET /ping HTTP/1.1\r\nhost: here\r\nx-request-id: {id}\r\n\r\n");
        self.stream.write_all(head.as_bytes()).expect("write");
    }

    /// Reads once with the timeout `bound`; empty at the end of the connection.
    pub fn read(&mut self, bound: Duration) -> io::Result<Vec<u8>> {
        self.stream.set_read_timeout(Some(bound)).expect("timeout");
        let mut buf = vec![0; 64 * 1024];
        let n = self.stream.read(&mut buf)?;
        buf.truncate(n);
        Ok(buf)
    }
}
