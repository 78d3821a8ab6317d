//! Sends digests to other instances, and takes theirs: one datagram each.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::{BootTime, now_boot};
use monoio::net::udp::UdpSocket;
use monoio::time::sleep;
use tracing::{debug, warn};

use super::digest::Digest;
use super::members::{Instances, Members};
use crate::edge::Edge;
use crate::names::Wire;

/// Pause between two digests while something changes.
const PAUSE: Duration = Duration::from_millis(25);
/// Pause after which a digest is repeated though nothing changed.
const REPEAT: Duration = Duration::from_millis(250);
/// Bytes of a datagram.
const MAX_DATAGRAM: usize = 1400;
/// Pause between two digests in a large fleet, where each goes to few instances.
const LARGE_PAUSE: Duration = Duration::from_millis(100);
/// Instances that one digest goes to in a large fleet: with the pause, some 1.5 KB a second of the 2 KB that control may
/// use.
const LARGE_TOLD: usize = 3;

/// Tells others what is in flight, until the process ends.
pub async fn tell<W: Wire>(edge: Rc<Edge<W>>, socket: Rc<UdpSocket>) {
    let mut told = Digest::default();
    let mut told_at = now_boot();
    let mut worked_at = told_at;
    loop {
        let large = edge.members.borrow().is_large(now_boot());
        sleep(if large { LARGE_PAUSE } else { PAUSE }).await;
        let now = now_boot();
        let backlogs = if large {
            Vec::new()
        } else {
            edge.loads.borrow().backlogs()
        };
        // Work changes all the time: what is told of it stays for a while, so that it alone makes no new digest.
        let work = if now.since(worked_at) >= REPEAT {
            worked_at = now;
            edge.split.borrow().told(now)
        } else {
            told.work.clone()
        };
        let digest = Digest {
            work,
            ..Digest::new(backlogs, edge.held.borrow().told())
        };
        let repeats = digest != Digest::default() && now.since(told_at) >= REPEAT;
        if digest == told && !repeats {
            continue;
        }
        let Ok(buf) = bincode::serde::encode_to_vec(&digest, bincode::config::standard()) else {
            warn!("peers: a digest can't be written");
            continue;
        };
        told = digest;
        told_at = now;
        let peers = to_tell(&edge.members.borrow(), large, now);
        for peer in peers {
            let addr = SocketAddr::new(peer.ip(), edge.settings.digests.map_or(0, |d| d.port()));
            if let (Err(error), _) = socket.send_to(buf.clone(), addr).await {
                debug!(%peer, %error, "peers: digest not sent");
            }
        }
    }
}

fn to_tell(members: &Members, large: bool, now: BootTime) -> Instances {
    if large {
        members.some(now, LARGE_TOLD)
    } else {
        members.living(now)
    }
}

/// Takes the digests of others, until the process ends.
pub async fn hear<W: Wire>(edge: Rc<Edge<W>>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0_u8; MAX_DATAGRAM];
    loop {
        let (received, back) = socket.recv_from(buf).await;
        buf = back;
        match received {
            Ok((n, from)) => take(&edge, buf.get(..n).unwrap_or_default(), from),
            Err(error) => {
                debug!(%error, "peers: no datagram");
                sleep(PAUSE).await;
            }
        }
        buf.resize(MAX_DATAGRAM, 0);
    }
}

fn take<W: Wire>(edge: &Edge<W>, bytes: &[u8], from: SocketAddr) {
    match bincode::serde::decode_from_slice::<Digest, _>(bytes, bincode::config::standard()) {
        Ok((digest, _)) => edge.digests.borrow_mut().take(from, digest, now_boot()),
        Err(error) => debug!(%from, %error, "peers: a datagram is no digest"),
    }
}

/// Opens the socket for digests.
pub fn open(addr: SocketAddr) -> io::Result<Rc<UdpSocket>> {
    UdpSocket::bind(addr).map(Rc::new)
}
