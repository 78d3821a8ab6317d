//! Sockets with their options set.
//!
//! `TCP_USER_TIMEOUT` ends a connection whose peer acknowledges nothing or keeps its window shut. On the listening
//! side the options are set on the listener; accepted sockets inherit them.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use monoio::net::{TcpListener, TcpStream};
use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};

const BACKLOG: i32 = 1024;
/// Unanswered probes after which a connection ends.
const PROBES: u32 = 2;
/// Unsent bytes that the system holds for a connection.
const UNSENT: u32 = 128 * 1024;

/// Opens a listener whose connections end when a peer has acknowledged nothing for `silence`.
pub(crate) fn listen(addr: SocketAddr, silence: Duration) -> io::Result<TcpListener> {
    let socket = socket(addr, silence)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Connects; the second handle is for looking at the socket without the runtime.
/// With `probe` the system probes the peer after that much silence, and ends the connection when it answers nothing.
pub(crate) async fn connect(
    addr: SocketAddr,
    silence: Duration,
    probe: Option<Duration>,
) -> io::Result<(TcpStream, Socket)> {
    let socket = socket(addr, silence)?;
    if let Some(time) = probe {
        let keepalive = TcpKeepalive::new()
            .with_time(time)
            .with_interval(time)
            .with_retries(PROBES);
        socket.set_tcp_keepalive(&keepalive)?;
    }
    let started = socket.connect(&addr.into());
    let probe = socket.try_clone()?;
    let stream = TcpStream::from_std(socket.into())?;
    stream.writable(false).await?;
    if let Some(e) = probe.take_error()? {
        return Err(e);
    }
    match probe.peer_addr() {
        Ok(_) => Ok((stream, probe)),
        Err(e) => Err(started.err().unwrap_or(e)),
    }
}

fn socket(addr: SocketAddr, silence: Duration) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(silence))?;
    socket.set_tcp_notsent_lowat(UNSENT)?;
    Ok(socket)
}
