//! Closes connections under the server's feet, so that callers see them end without an answer.
//!
//! The server never ends a connection without a word, as it should; an endpoint that breaks down does. The process
//! therefore looks its own sockets up in `/proc/self/fd` and shuts them down. A caller sees the end of the
//! connection, and a reset when it sends on.

use std::{fs, net::SocketAddr, os::fd::RawFd};

use nix::sys::socket::{Shutdown, SockaddrStorage, getpeername, shutdown};

const FD_DIR: &str = "/proc/self/fd";

/// Ends the connection with `peer`.
pub(crate) fn close(peer: SocketAddr) {
    close_where(|addr| addr == Some(peer));
}

/// Ends every connection of this process.
pub(crate) fn close_all() {
    close_where(|_| true);
}

fn close_where(is_wanted: impl Fn(Option<SocketAddr>) -> bool) {
    for fd in open_fds() {
        // What has no peer is no connection.
        let Ok(addr) = getpeername::<SockaddrStorage>(fd) else {
            continue;
        };
        if is_wanted(to_std(&addr)) {
            // Fails only if the other end was quicker.
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
