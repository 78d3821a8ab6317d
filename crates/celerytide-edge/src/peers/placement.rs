//! Exchanges placement messages with other instances, one UDP datagram for all that is due to one of them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::now_boot;
use monoio::net::udp::UdpSocket;
use monoio::time::sleep;
use tracing::debug;

use super::receive::receive;
use crate::coordinator::messages::{MAX_DATAGRAM, Packet, datagrams};
use crate::edge::Edge;
use crate::metrics::PurposeLabel;
use crate::protocol::Protocol;

/// Time for which events other than questions are collected.
const EVENT_DELAY: Duration = Duration::from_millis(5);
/// Interval between two looks at what has expired.
const TICK: Duration = Duration::from_millis(250);
/// The same while requests wait.
const BUSY_TICK: Duration = Duration::from_millis(10);
/// Interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two ticks from which the process counts as having been suspended: what it knows of others is outdated.
const FROZEN_FOR: Duration = Duration::from_millis(1500);
/// Label of the traffic in metrics.
const PURPOSE: &str = "placement";

/// Sends questions, events and replies until the process ends.
pub async fn send_placements<P: Protocol>(edge: Rc<Edge<P>>, socket: Rc<UdpSocket>) {
    let Some(own) = edge.own_placement_address() else {
        return;
    };
    loop {
        let delayed = async {
            edge.placement_events.notified().await;
            sleep(EVENT_DELAY).await;
        };
        monoio::select! {
            () = edge.placement_urgent.notified() => {}
            () = delayed => {}
        }
        flush(&edge, &socket, own).await;
    }
}

/// Sends all that is due; what this instance has for itself is applied at once, and may lead to more.
async fn flush<P: Protocol>(edge: &Edge<P>, socket: &UdpSocket, own: SocketAddr) {
    loop {
        let events = edge.placements.borrow_mut().take_outgoing();
        let replies = edge.coordination.borrow_mut().take_replies();
        if events.is_empty() && replies.is_empty() {
            return;
        }
        for (to, events) in events {
            if to == own {
                edge.coordinate(own, events);
            } else {
                send(edge, socket, to, Packet::Events(events)).await;
            }
        }
        for (to, replies) in replies {
            if to == own {
                edge.apply_replies(own, &replies);
            } else {
                send(edge, socket, to, Packet::Replies(replies)).await;
            }
        }
    }
}

async fn send<P: Protocol>(edge: &Edge<P>, socket: &UdpSocket, to: SocketAddr, packet: Packet) {
    for buf in datagrams(packet) {
        edge.counters
            .control_bytes
            .get_or_create(&PurposeLabel { purpose: PURPOSE })
            .inc_by(buf.len() as u64);
        if let (Err(error), _) = socket.send_to(buf, to).await {
            debug!(%to, %error, "place: message not sent");
        }
    }
}

/// Receives messages until the process ends.
pub async fn receive_placements<P: Protocol>(edge: Rc<Edge<P>>, socket: Rc<UdpSocket>) {
    receive(&socket, MAX_DATAGRAM, |bytes, from| apply(&edge, bytes, from)).await;
}

fn apply<P: Protocol>(edge: &Edge<P>, bytes: &[u8], from: SocketAddr) {
    match bincode::serde::decode_from_slice::<Packet, _>(bytes, bincode::config::standard()) {
        Ok((Packet::Events(events), _)) => edge.coordinate(from, events),
        Ok((Packet::Replies(replies), _)) => edge.apply_replies(from, &replies),
        Err(error) => debug!(%from, %error, "place: failed to decode a message"),
    }
}

/// Reports the requests in flight each second and tries waiting requests again until the process ends.
pub async fn tick_placements<P: Protocol>(edge: Rc<Edge<P>>) {
    let mut ticked_at = now_boot();
    let mut reported_at = ticked_at;
    loop {
        let has_waiting = edge.coordination.borrow().waiting() > 0;
        if has_waiting {
            // The notification isn't awaited here: it comes each time that an instance asks again for a waiting request.
            sleep(BUSY_TICK).await;
        } else {
            monoio::select! {
                () = sleep(TICK) => {}
                () = edge.placement_queued.notified() => {}
            }
        }
        let now = now_boot();
        if now.since(ticked_at) > FROZEN_FOR {
            edge.coordination.borrow_mut().clear();
        }
        ticked_at = now;
        edge.tick_coordination(now);
        if now.since(reported_at) >= REPORT_INTERVAL {
            reported_at = now;
            edge.report_flights(now);
        }
    }
}
