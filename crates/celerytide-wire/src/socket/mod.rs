//! Socket options common to both sides.

use std::io;
use std::net::SocketAddr;

use monoio::net::TcpStream;
use monoio_compat::StreamWrapper;

/// Bytes read from the socket at once.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Bytes written to the socket at once.
const WRITE_BUFFER_BYTES: usize = 32 * 1024;

/// The stream type that h2 runs on.
pub(crate) type Io = StreamWrapper<TcpStream>;

/// Connects and prepares the socket.
pub(crate) async fn connect(addr: SocketAddr) -> io::Result<Io> {
    let stream = TcpStream::connect(addr).await?;
    prepare(stream)
}

/// Sets the options of a connected socket.
pub(crate) fn prepare(stream: TcpStream) -> io::Result<Io> {
    stream.set_nodelay(true)?;
    Ok(StreamWrapper::new_with_buffer_size(
        stream,
        READ_BUFFER_BYTES,
        WRITE_BUFFER_BYTES,
    ))
}
