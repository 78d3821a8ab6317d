//! Closes connections without a response, as an endpoint does that crashes.
//!
//! The HTTP server always responds before it closes a connection. The process therefore finds its own sockets in
//! `/proc/self/fd` and shuts them down. The caller sees the end of the connection, and a reset if it continues to send.

use std::{fs, net::SocketAddr, os::fd::RawFd};

use nix::sys::socket::{Shutdown, SockaddrStorage, getpeername, shutdown};

const FD_DIR: &str = "/proc/self/fd";

/// Shuts down the connection with `peer`.
pub(crate) fn close(peer: SocketAddr) {
    close_where(|addr| addr == Some(peer));
}

/// Shuts down every connection of this process.
pub(crate) fn close_all() {
    close_where(|_| true);
}

fn close_where(is_wanted: impl Fn(Option<SocketAddr>) -> bool) {
    for fd in open_fds() {
        // A file descriptor without a peer is no connection.
        let Ok(addr) = getpeername::<SockaddrStorage>(fd) else {
            continue;
        };
        if is_wanted(to_std(&addr)) {
            // Fails only if the peer has closed it already.
            let _ = shutdown(fd, Shutdown::Both);
        }
    }
}

fn open_fds() -> Vec<RawFd> {
    let Ok(entries) = fs::read_dir(FD_DIR) else {
        return Vec::new();
    };
    entries
        .flatten()
        .filter_map(|entry| entry.file_name().to_str()?.parse().ok())
        .collect()
}

fn to_std(addr: &SockaddrStorage) -> Option<SocketAddr> {
    if let Some(v4) = addr.as_sockaddr_in() {
        return Some(SocketAddr::from((v4.ip(), v4.port())));
    }
    addr.as_sockaddr_in6().map(|v6| SocketAddr::from((v6.ip(), v6.port())))
}
