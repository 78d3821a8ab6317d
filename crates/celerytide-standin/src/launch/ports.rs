//! Free loopback ports for processes that get their port by configuration.

use std::{
    collections::HashMap,
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    ops::RangeInclusive,
    sync::{LazyLock, Mutex, PoisonError},
};

use rand::Rng;
use snafu::ResultExt;

use super::{Error, SystemSnafu};

/// Below the range from which the kernel takes ephemeral ports.
const PORT_RANGE: RangeInclusive<u16> = 12_000..=31_999;
/// Most ports tried before the search fails.
const MAX_DRAWS: u32 = 1000;
/// Address whose UDP ports stand for those that some process has drawn and may not have bound yet.
const RESERVATIONS: Ipv4Addr = Ipv4Addr::new(127, 254, 0, 1);

/// Ports that this process has returned, each with the socket that keeps other processes from drawing it.
///
/// A child that is being spawned briefly holds the sockets of this process, so spawning also takes the lock.
pub(super) static ALLOCATED_PORTS: LazyLock<Mutex<HashMap<u16, UdpSocket>>> = LazyLock::new(Mutex::default);

/// A loopback port that is free for TCP and UDP and that no process that draws ports has returned before.
pub fn free_port() -> Result<u16, Error> {
    let mut allocated = ALLOCATED_PORTS.lock().unwrap_or_else(PoisonError::into_inner);
    for _ in 0..MAX_DRAWS {
        let port = rand::rng().random_range(PORT_RANGE);
        let addr = (Ipv4Addr::LOCALHOST, port);
        let Ok(reservation) = UdpSocket::bind((RESERVATIONS, port)) else {
            continue;
        };
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            allocated.insert(port, reservation);
            return Ok(port);
        }
    }
    Err(io::Error::from(io::ErrorKind::AddrInUse)).context(SystemSnafu)
}

/// A loopback address with a port from [`free_port`].
pub fn free_addr() -> Result<SocketAddr, Error> {
    Ok(SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()?)))
}
