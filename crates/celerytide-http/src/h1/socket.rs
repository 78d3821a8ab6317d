//! Creates sockets and sets their options.
//!
//! `TCP_USER_TIMEOUT` ends a connection whose peer acknowledges nothing or keeps its receive window closed. On the
//! server side the options are set on the listener; accepted sockets inherit them.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use monoio::net::{TcpListener, TcpStream};
use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};

const BACKLOG: i32 = 1024;
/// `TCP_NOTSENT_LOWAT`: unsent bytes that the kernel buffers for a connection to an endpoint.
const NOTSENT_LOWAT_BYTES: u32 = 128 * 1024;
/// The same for a connection from a caller, which may read nothing.
const CALLER_NOTSENT_LOWAT_BYTES: u32 = 32 * 1024;
/// Receive buffer of a connection from a caller. The window is the kernel's usual initial one, and doesn't grow: a
/// connection that isn't read would otherwise hold several megabytes after a large body.
const CALLER_RECEIVE_BYTES: usize = 64 * 1024;

/// Opens a listener whose connections are dropped when a peer acknowledges nothing for `user_timeout`.
pub(crate) fn listen(addr: SocketAddr, user_timeout: Duration) -> io::Result<TcpListener> {
    let socket = socket(addr, user_timeout)?;
    socket.set_tcp_notsent_lowat(CALLER_NOTSENT_LOWAT_BYTES)?;
    socket.set_recv_buffer_size(CALLER_RECEIVE_BYTES)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Connects to `addr` and returns a second handle, which can be inspected without the runtime.
/// With `tcp_keepalive` the kernel probes an idle peer at that interval. It drops the connection at the first probe that is due
/// `user_timeout` after the peer's last segment: a set `TCP_USER_TIMEOUT` takes the place of a number of unanswered probes.
pub(crate) async fn connect(
    addr: SocketAddr,
    user_timeout: Duration,
    tcp_keepalive: Option<Duration>,
) -> io::Result<(TcpStream, Socket)> {
    let socket = socket(addr, user_timeout)?;
    if let Some(time) = tcp_keepalive {
        let tcp_keepalive = TcpKeepalive::new().with_time(time).with_interval(time);
        socket.set_tcp_keepalive(&tcp_keepalive)?;
    }
    let started = socket.connect(&addr.into());
    let handle = socket.try_clone()?;
    let stream = TcpStream::from_std(socket.into())?;
    stream.writable(false).await?;
    if let Some(e) = handle.take_error()? {
        return Err(e);
    }
    match handle.peer_addr() {
        Ok(_) => Ok((stream, handle)),
        Err(e) => Err(started.err().unwrap_or(e)),
    }
}

fn socket(addr: SocketAddr, user_timeout: Duration) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(user_timeout))?;
    socket.set_tcp_notsent_lowat(NOTSENT_LOWAT_BYTES)?;
    Ok(socket)
}
