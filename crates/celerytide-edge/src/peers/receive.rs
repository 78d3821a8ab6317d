//! Receives datagrams of other instances.

use std::net::SocketAddr;
use std::time::Duration;

use monoio::net::udp::UdpSocket;
use monoio::time::sleep;
use tracing::debug;

/// Wait after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(25);

/// Hands each datagram of at most `max` bytes to `handle` until the process ends.
pub(super) async fn receive(socket: &UdpSocket, max: usize, handle: impl Fn(&[u8], SocketAddr)) {
    let mut buf = vec![0_u8; max];
    loop {
        let (received, back) = socket.recv_from(buf).await;
        buf = back;
        match received {
            Ok((n, from)) => handle(buf.get(..n).unwrap_or_default(), from),
            Err(error) => {
                debug!(%error, "peers: failed to receive a datagram");
                sleep(RETRY_DELAY).await;
            }
        }
        buf.resize(max, 0);
    }
}
