//! Fetches the sections that a waiting manifest needs, and serves stored sections to peers.
//!
//! Sections are fetched one at a time, so that each check is short and other tasks run in between. A few missing
//! sections are read from the configuration service, at a random time within a short spread. Many are requested from
//! peers first, by each process in a different order, so that processes that start together share the reads of the
//! service.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_membership::watch::{WatchOptions, read_section};
use celerytide_membership::{MissingSection, Origin, SectionOfferResult};
use celerytide_wire::messages::{Method, SectionRequest, SectionText};
use celerytide_wire::{Error, Exchange};
use monoio::time::{sleep, timeout};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::EXCHANGE_TIMEOUT;
use crate::{Node, peer_address};

/// Up to this many missing sections count as a changed manifest; more mean that the process has just started.
const MAX_CHANGED_SECTIONS: usize = 4;
/// Maximum rate of section reads by all processes together; the configuration service serves about twice as many reads
/// of all kinds.
const MAX_READS_PER_SECOND: u32 = 1000;
/// Processes on one instance: an entry and a dispatch process.
const PROCESSES_PER_INSTANCE: u32 = 2;
/// Spread of the reads while there is no instance list.
const READ_SPREAD_WITHOUT_LIST: Duration = Duration::from_millis(400);
/// Wait before sections that no source had are requested again.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Source of a section.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Service,
    /// The peer that offered the manifest.
    OfferingPeer,
    AnyPeer,
}

/// Result of the fetch of one section from its sources.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FetchResult {
    Applied,
    /// A source returned a text with another digest.
    Refused,
    NotFound,
}

/// One pass over the missing sections.
#[derive(Debug)]
struct Pass {
    is_change: bool,
    service_failed: bool,
}

/// Fetches missing sections until the process stops.
pub(crate) async fn fetch(node: Rc<Node>, opts: WatchOptions) {
    while let Some(missing) = node.abort.run_until_cancelled(node.membership.missing_sections()).await {
        run_pass(&node, &opts, missing).await;
    }
}

/// Fetches each missing section once; waits if none was found.
async fn run_pass(node: &Rc<Node>, opts: &WatchOptions, mut missing: Vec<MissingSection>) {
    missing.shuffle(&mut rand::rng());
    let mut pass = Pass {
        is_change: missing.len() <= MAX_CHANGED_SECTIONS,
        service_failed: false,
    };
    if pass.is_change && missing.iter().any(|section| section.origin == Origin::Service) {
        sleep_random_part(read_spread(node)).await;
    }
    let mut applied_count = 0;
    let mut not_found = Vec::new();
    for section in &missing {
        if node.abort.is_cancelled() {
            return;
        }
        match fetch_one(node, opts, section, &mut pass).await {
            FetchResult::Applied => applied_count += 1,
            FetchResult::Refused => {}
            FetchResult::NotFound => not_found.push(section),
        }
    }
    // Each pass reports one section, the same while nothing changes, so that the audit trail isn't flooded.
    if let Some(first) = not_found.into_iter().min_by(|a, b| a.digest.cmp(&b.digest)) {
        node.membership.section_not_found(&first.origin, &first.digest);
    }
    if applied_count == 0 {
        sleep(RETRY_INTERVAL).await;
    }
}

impl Pass {
    fn sources(&self, origin: &Origin) -> &'static [Source] {
        match origin {
            Origin::Peer(_) => &[Source::OfferingPeer, Source::AnyPeer, Source::Service],
            Origin::Service if self.is_change && !self.service_failed => &[Source::Service, Source::AnyPeer],
            Origin::Service => &[Source::AnyPeer, Source::Service],
        }
    }
}

/// Fetches a section from its sources in turn until one has it.
async fn fetch_one(node: &Rc<Node>, opts: &WatchOptions, section: &MissingSection, pass: &mut Pass) -> FetchResult {
    let mut result = FetchResult::NotFound;
    for source in pass.sources(&section.origin) {
        let response = fetch_from(node, opts, section, *source).await;
        if *source == Source::Service {
            pass.service_failed = response.is_none();
            if !pass.is_change {
                sleep_random_part(2 * read_spread(node)).await;
            }
        }
        let Some((origin, text)) = response else { continue };
        let applied = node.membership.offer_section(&origin, &section.digest, &text);
        if applied != SectionOfferResult::OtherDigest {
            return FetchResult::Applied;
        }
        result = FetchResult::Refused;
    }
    result
}

/// Time over which every process can read one section without exceeding [`MAX_READS_PER_SECOND`].
fn read_spread(node: &Node) -> Duration {
    match node.membership.view().instances.len() {
        0 => READ_SPREAD_WITHOUT_LIST,
        instances => {
            let processes = PROCESSES_PER_INSTANCE.saturating_mul(u32::try_from(instances).unwrap_or(u32::MAX));
            Duration::from_secs(processes.into()) / MAX_READS_PER_SECOND
        }
    }
}

async fn fetch_from(
    node: &Rc<Node>,
    opts: &WatchOptions,
    section: &MissingSection,
    source: Source,
) -> Option<(Origin, String)> {
    if !node.membership.needs_section(&section.digest) {
        return None;
    }
    match source {
        Source::Service => {
            let addr = *opts.config_service.choose(&mut rand::rng())?;
            let read = read_section(&node.client, opts, addr, &section.digest, &node.abort).await;
            Some((Origin::Service, read.ok().flatten()?))
        }
        Source::OfferingPeer => fetch_from_peer(node, &offering_peer(node, &section.origin)?, &section.digest).await,
        Source::AnyPeer => fetch_from_peer(node, &any_peer(node)?, &section.digest).await,
    }
}

/// A peer to fetch from.
struct Peer {
    origin: Origin,
    addr: SocketAddr,
}

fn offering_peer(node: &Node, origin: &Origin) -> Option<Peer> {
    let Origin::Peer(id) = origin else { return None };
    let view = node.membership.view();
    let addr = peer_address(node.role, view.instance(id)?);
    Some(Peer {
        origin: origin.clone(),
        addr,
    })
}

/// A random live peer of the instance list, or a seed peer of the settings while there is no list.
fn any_peer(node: &Node) -> Option<Peer> {
    let view = node.membership.view();
    let others: Vec<_> = view
        .instances
        .iter()
        .filter(|i| i.live && i.id != node.instance)
        .collect();
    if let Some(peer) = others.choose(&mut rand::rng()) {
        return Some(Peer {
            origin: Origin::Peer(peer.id.clone()),
            addr: peer_address(node.role, peer),
        });
    }
    let addr = *node.seed_peers.choose(&mut rand::rng())?;
    Some(Peer {
        origin: Origin::Peer(addr.to_string()),
        addr,
    })
}

async fn fetch_from_peer(node: &Rc<Node>, peer: &Peer, digest: &str) -> Option<(Origin, String)> {
    let req = SectionRequest {
        digest: digest.to_owned(),
    };
    let result = timeout(
        EXCHANGE_TIMEOUT,
        node.connections.call(peer.addr, Method::Section, &req),
    )
    .await;
    let response: SectionText = result.ok()?.ok()?;
    Some((peer.origin.clone(), response.text?))
}

/// Sleeps for a random part of `span`.
async fn sleep_random_part(span: Duration) {
    let part = rand::rng().random_range(0.0..1.0);
    sleep(span.mul_f64(part)).await;
}

/// Serves a section to a peer.
pub(super) async fn serve(node: &Rc<Node>, mut ex: Exchange) -> Result<(), Error> {
    let req: SectionRequest = ex.recv_required().await?;
    let text = node.membership.section_text(&req.digest);
    let response = SectionText {
        text: text.map(|text| text.to_string()),
    };
    ex.send_last(&response).await
}
