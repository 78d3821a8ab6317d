//! A daemon's stand-in at its operators' address.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// One answer of a daemon.
#[derive(Clone)]
pub struct Reply {
    pub path: &'static str,
    pub status: u16,
    pub body: &'static str,
}

/// Starts a daemon's stand-in that gives these answers, and 404 to all else; several to one path in turn, the last one
/// again and again.
pub fn daemon(replies: &[Reply]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let replies = replies.to_vec();
    thread::spawn(move || serve(&listener, &replies));
    address
}

/// An address where nothing listens.
pub fn nobody() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

fn serve(listener: &TcpListener, replies: &[Reply]) {
    let mut asked: Vec<String> = Vec::new();
    for mut stream in listener.incoming().flatten() {
        let path = read_path(&stream);
        let before = asked.iter().filter(|earlier| **earlier == path).count();
        let mut matching: Vec<&Reply> = replies.iter().filter(|reply| reply.path == path).collect();
        matching.truncate(before + 1);
        let (status, body) = matching.last().map_or((404, "{}"), |reply| (reply.status, reply.body));
        let head = format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(format!("{head}{body}").as_bytes()).unwrap_or_default();
        asked.push(path);
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
