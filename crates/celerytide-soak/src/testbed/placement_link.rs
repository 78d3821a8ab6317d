//! A link for the placement messages that other routers send to one router. It can be cut in each direction.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::spawn;
use std::time::Duration;

use celerytide_standin::launch::free_port;

use super::Addresses;

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 64 * 1024;
/// Interval at which the threads of a link look whether it was closed.
const CLOSE_POLL: Duration = Duration::from_millis(50);

/// A relay of datagrams in front of a router; closed on drop.
///
/// The router listens on a port of its own and the link on the port that all others send to. Each sender has a socket on the
/// way to the router, so that the router can tell the senders apart and its replies reach them.
pub struct PlacementLink {
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    cut_up: AtomicBool,
    cut_down: AtomicBool,
    closed: AtomicBool,
}

impl PlacementLink {
    /// Opens a link at the placement address of a router, and moves the router to another port.
    pub fn open(at: &mut Addresses) -> PlacementLink {
        let listen = at.placement.expect("a placement address");
        let to = SocketAddr::new(listen.ip(), free_port().expect("port"));
        at.placement = Some(to);
        let socket = socket(listen).expect("socket");
        let state = Arc::new(State::default());
        let shared = state.clone();
        spawn(move || relay(&Arc::new(socket), to, &shared));
        PlacementLink { state }
    }

    /// Drops datagrams to the router (`up`) and from it (`down`) from now on.
    pub fn cut(&self, up: bool, down: bool) {
        self.state.cut_up.store(up, Ordering::Relaxed);
        self.state.cut_down.store(down, Ordering::Relaxed);
    }
}

impl Drop for PlacementLink {
    fn drop(&mut self) {
        self.state.closed.store(true, Ordering::Relaxed);
    }
}

fn socket(addr: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(addr)?;
    socket.set_read_timeout(Some(CLOSE_POLL))?;
    Ok(socket)
}

/// Passes datagrams on to the router.
fn relay(listen: &Arc<UdpSocket>, to: SocketAddr, state: &Arc<State>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    let mut senders: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    while !state.closed.load(Ordering::Relaxed) {
        let Ok((n, from)) = listen.recv_from(&mut buf) else {
            continue;
        };
        let sender = senders.entry(from).or_insert_with(|| {
            let sender = Arc::new(socket((Ipv4Addr::LOCALHOST, 0).into()).expect("socket"));
            let (listen, replies, state) = (listen.clone(), sender.clone(), state.clone());
            spawn(move || relay_replies(&replies, &listen, from, &state));
            sender
        });
        if !state.cut_up.load(Ordering::Relaxed) {
            // The router may have ended.
            let _ = sender.send_to(&buf[..n], to);
        }
    }
}

/// Passes datagrams of the router on to one sender.
fn relay_replies(replies: &UdpSocket, listen: &UdpSocket, to: SocketAddr, state: &State) {
    let mut buf = vec![0; MAX_DATAGRAM];
    while !state.closed.load(Ordering::Relaxed) {
        let Ok((n, _)) = replies.recv_from(&mut buf) else {
            continue;
        };
        if !state.cut_down.load(Ordering::Relaxed) {
            // The sender may have ended.
            let _ = listen.send_to(&buf[..n], to);
        }
    }
}
