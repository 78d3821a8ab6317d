//! Sends digests to other instances and receives theirs, one UDP datagram each.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::{BootTime, now_boot};
use monoio::net::udp::UdpSocket;
use monoio::time::sleep;
use serde::de::DeserializeOwned;
use tracing::{debug, warn};

use super::digest::Digest;
use super::members::{Instances, Members};
use super::receive::receive;
use super::streams;
use crate::edge::Edge;
use crate::metrics::PurposeLabel;
use crate::protocol::Protocol;
use crate::quarantine::{Evidence, SuspectEntry};
use crate::rate_limit::LimitEntry;
use crate::software::StreamEntry;

/// Label of the traffic in metrics.
const PURPOSE: &str = "digest";
/// Interval between digests while something changes.
const INTERVAL: Duration = Duration::from_millis(25);
/// Interval at which an unchanged digest is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 1400;
/// Most streams in one digest of a small fleet.
const MAX_STREAMS: usize = 16;
/// Interval between digests in a large fleet, where each goes to few instances.
const LARGE_FLEET_INTERVAL: Duration = Duration::from_millis(100);
/// Recipients of one digest in a large fleet: with the interval, about 1.5 KB per second of the 2 KB that control
/// traffic may use.
const LARGE_FLEET_RECIPIENTS: usize = 3;

/// Sends this instance's digest to others until the process ends.
pub async fn send_digests<P: Protocol>(edge: Rc<Edge<P>>, socket: Rc<UdpSocket>) {
    let mut sent = Digest::default();
    let mut sent_at = now_boot();
    let mut work_at = sent_at;
    loop {
        let is_large = edge.members.borrow().is_large(now_boot());
        monoio::select! {
            () = sleep(if is_large { LARGE_FLEET_INTERVAL } else { INTERVAL }) => {}
            () = edge.stream_news.notified() => {}
        }
        let now = now_boot();
        let backlogs = if is_large {
            Vec::new()
        } else {
            edge.loads.borrow().backlogs()
        };
        // Work changes all the time. Its last entries are sent again until `REPEAT_INTERVAL` has passed, so that work
        // alone causes no new digest.
        let work = if now.since(work_at) >= REPEAT_INTERVAL {
            work_at = now;
            edge.split.borrow().entries(now)
        } else {
            sent.work.clone()
        };
        let digest = Digest {
            work,
            ..Digest::new(backlogs, edge.tokens_in_flight.borrow().entries())
        };
        let limits = edge.limits_to_tell(now);
        let rejection_limits = edge.rejection_limits_to_tell(now);
        let has_state = digest != Digest::default() || edge.knows_rejection_limits();
        let is_due = has_state && now.since(sent_at) >= REPEAT_INTERVAL;
        let suspects = edge.suspects_to_tell(now);
        let streams = edge.streams.borrow_mut().take_untold(max_streams(is_large), now);
        let rows = Rows {
            limits,
            suspects,
            streams,
            rejection_limits,
        };
        if digest == sent && !is_due && rows == Rows::default() {
            continue;
        }
        let Some(buf) = encode(&digest, &rows) else {
            warn!("peers: failed to encode a digest");
            continue;
        };
        sent = digest;
        sent_at = now;
        let peers = recipients(&edge.members.borrow(), is_large, &rows.streams, now);
        for peer in peers {
            edge.counters
                .control_bytes
                .get_or_create(&PurposeLabel { purpose: PURPOSE })
                .inc_by(buf.len() as u64);
            let addr = SocketAddr::new(peer.ip(), edge.settings.digests.map_or(0, |d| d.port()));
            if let (Err(error), _) = socket.send_to(buf.clone(), addr).await {
                debug!(%peer, %error, "peers: digest not sent");
            }
        }
    }
}

/// Streams told in one digest: in a large fleet one, whose holders are the recipients.
fn max_streams(is_large: bool) -> usize {
    if is_large { 1 } else { MAX_STREAMS }
}

/// A suspect at whose crashes not all responses had just begun.
type FurtherEntry = (SuspectEntry, Vec<Evidence>);

/// What follows a digest, in this order; behind it come the suspects at whose crashes not all responses had just begun.
#[derive(Default, PartialEq)]
struct Rows {
    limits: Vec<LimitEntry>,
    suspects: Vec<SuspectEntry>,
    streams: Vec<StreamEntry>,
    rejection_limits: Vec<LimitEntry>,
}

/// Encodes a digest, followed by its rows if there are any; a process that doesn't know some of them reads what is in front
/// of them. Suspects that don't fit are left out.
fn encode(digest: &Digest, rows: &Rows) -> Option<Vec<u8>> {
    let config = bincode::config::standard();
    let mut buf = bincode::serde::encode_to_vec(digest, config).ok()?;
    if *rows == Rows::default() {
        return Some(buf);
    }
    buf.extend(bincode::serde::encode_to_vec(&rows.limits, config).ok()?);
    let mut rest = bincode::serde::encode_to_vec(&rows.streams, config).ok()?;
    rest.extend(bincode::serde::encode_to_vec(&rows.rejection_limits, config).ok()?);
    for count in (0..=rows.suspects.len()).rev() {
        let (plain, further) = split_suspects(rows.suspects.get(..count)?);
        let plain = bincode::serde::encode_to_vec(plain, config).ok()?;
        let further = if further.is_empty() {
            Vec::new()
        } else {
            bincode::serde::encode_to_vec(further, config).ok()?
        };
        if count == 0 || buf.len() + plain.len() + rest.len() + further.len() <= MAX_DATAGRAM {
            buf.extend(plain.into_iter().chain(rest).chain(further));
            break;
        }
    }
    Some(buf)
}

/// Suspects as processes from before tell them, and the others.
fn split_suspects(suspects: &[SuspectEntry]) -> (Vec<&SuspectEntry>, Vec<(&SuspectEntry, &[Evidence])>) {
    let (plain, further): (Vec<_>, Vec<_>) = suspects.iter().partition(|entry| entry.evidence.is_empty());
    let further = further.into_iter();
    (plain, further.map(|entry| (entry, entry.evidence.as_slice())).collect())
}

fn recipients(members: &Members, is_large: bool, streams: &[StreamEntry], now: BootTime) -> Instances {
    let live = members.live_peers(now);
    match streams.first() {
        _ if !is_large => live,
        Some(entry) => streams::holders(entry.stream, &live),
        None => members.sample(now, LARGE_FLEET_RECIPIENTS),
    }
}

/// Receives digests of others until the process ends.
pub async fn receive_digests<P: Protocol>(edge: Rc<Edge<P>>, socket: Rc<UdpSocket>) {
    receive(&socket, MAX_DATAGRAM, |bytes, from| apply(&edge, bytes, from)).await;
}

fn apply<P: Protocol>(edge: &Edge<P>, bytes: &[u8], from: SocketAddr) {
    let mut rest = bytes;
    if let Some(digest) = next_part::<Digest>(&mut rest, from, "a digest") {
        edge.digests.borrow_mut().insert(from, digest, now_boot());
    }
    if let Some(limits) = next_part::<Vec<LimitEntry>>(&mut rest, from, "rate limits") {
        edge.apply_told_limits(&limits);
    }
    if let Some(suspects) = next_part::<Vec<SuspectEntry>>(&mut rest, from, "suspects") {
        edge.apply_told_suspects(&suspects);
    }
    if let Some(streams) = next_part::<Vec<StreamEntry>>(&mut rest, from, "streams") {
        edge.streams.borrow_mut().learn(&streams, now_boot());
    }
    if let Some(limits) = next_part::<Vec<LimitEntry>>(&mut rest, from, "rejection limits") {
        edge.apply_told_rejection_limits(&limits);
    }
    if let Some(further) = next_part::<Vec<FurtherEntry>>(&mut rest, from, "further suspects") {
        let with_evidence = |(entry, evidence)| SuspectEntry { evidence, ..entry };
        let suspects: Vec<SuspectEntry> = further.into_iter().map(with_evidence).collect();
        edge.apply_told_suspects(&suspects);
    }
}

/// Reads the next part of a datagram; `None` at its end, which is also where a part can't be decoded.
fn next_part<T: DeserializeOwned>(rest: &mut &[u8], from: SocketAddr, name: &'static str) -> Option<T> {
    if rest.is_empty() {
        return None;
    }
    match bincode::serde::decode_from_slice(rest, bincode::config::standard()) {
        Ok((part, read)) => {
            *rest = rest.get(read..).unwrap_or_default();
            Some(part)
        }
        Err(error) => {
            debug!(%from, %error, "peers: failed to decode {name}");
            *rest = &[];
            None
        }
    }
}

/// Binds the socket for digests.
pub fn bind(addr: SocketAddr) -> io::Result<Rc<UdpSocket>> {
    UdpSocket::bind(addr).map(Rc::new)
}
