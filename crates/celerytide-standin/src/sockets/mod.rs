//! Closes connections without a response, as an endpoint does that crashes.
//!
//! The HTTP server always responds before it closes a connection. The process therefore finds its own sockets in
//! `/proc/self/fd` and shuts them down. The caller sees the end of the connection, and a reset if it continues to send.

use std::{
    fs, io,
    net::SocketAddr,
    os::fd::{AsFd, RawFd},
};

use nix::{
    libc,
    sys::socket::{Shutdown, SockaddrStorage, getpeername, setsockopt, shutdown, sockopt},
};

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

/// Sets `SO_LINGER` to zero, so that closing the socket resets the connection; accepted connections inherit it.
pub(crate) fn reset_on_close(socket: &impl AsFd) -> io::Result<()> {
    let linger = libc::linger {
        l_onoff: 1,
        l_linger: 0,
    };
    Ok(setsockopt(socket, sockopt::Linger, &linger)?)
}
