//! An HTTP server that plays a daemon's operators' address with canned responses.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// The response to one path.
#[derive(Clone)]
pub struct CannedResponse {
    pub path: &'static str,
    pub status: u16,
    pub body: &'static str,
}

/// Starts a server with these responses; any other path gets 404. Several responses to one path are sent in turn, the
/// last one repeatedly.
pub fn start_fake_daemon(responses: &[CannedResponse]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let responses = responses.to_vec();
    thread::spawn(move || serve(&listener, &responses));
    address
}

/// An address on which nothing listens.
pub fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

fn serve(listener: &TcpListener, responses: &[CannedResponse]) {
    let mut requested: Vec<String> = Vec::new();
    for mut stream in listener.incoming().flatten() {
        let path = read_path(&stream);
        let earlier_requests = requested.iter().filter(|path_before| **path_before == path).count();
        let mut matching: Vec<&CannedResponse> = responses.iter().filter(|response| response.path == path).collect();
        matching.truncate(earlier_requests + 1);
        let (status, body) = matching
            .last()
            .map_or((404, "{}"), |response| (response.status, response.body));
        let head = format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(format!("{head}{body}").as_bytes()).unwrap_or_default();
        requested.push(path);
    }
}

fn read_path(stream: &TcpStream) -> String {
    let lines = BufReader::new(stream).lines();
    let head: Vec<String> = lines
        .map_while(Result::ok)
        .take_while(|line| !line.is_empty())
        .collect();
    let path = head.first().and_then(|line| line.split(' ').nth(1));
    path.unwrap_or_default().to_owned()
}
