//! TCP sockets with the options used by both sides.

use std::io;
use std::net::SocketAddr;

use monoio::net::TcpStream;
use monoio_compat::StreamWrapper;

/// Size of the buffer for reads from the socket.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Size of the buffer for writes to the socket.
const WRITE_BUFFER_BYTES: usize = 32 * 1024;

/// The stream type used by `h2`.
pub(crate) type Io = StreamWrapper<TcpStream>;

/// Connects to `addr` and sets the socket options.
pub(crate) async fn connect(addr: SocketAddr) -> io::Result<Io> {
    let stream = TcpStream::connect(addr).await?;
    prepare(stream)
}

/// Sets the options of a connected socket and wraps it for `h2`.
pub(crate) fn prepare(stream: TcpStream) -> io::Result<Io> {
    stream.set_nodelay(true)?;
    Ok(StreamWrapper::new_with_buffer_size(
        stream,
        READ_BUFFER_BYTES,
        WRITE_BUFFER_BYTES,
    ))
}
