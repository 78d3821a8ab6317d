//! Fetches the sections that a waiting manifest lacks, and serves those that are held.
//!
//! One section at a time, so that the check of each is short and other tasks run between. A few missing sections are
//! read from the service, spread over a short time; many are asked of peers first, each process in another order, so that
//! processes that start together share the reads.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_membership::watch::{WatchOptions, read_section};
use celerytide_membership::{MissingSection, Origin, SectionApplied};
use celerytide_wire::messages::{Method, SectionRequest, SectionText};
use celerytide_wire::{Error, Exchange};
use monoio::time::{sleep, timeout};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::EXCHANGE_TIME;
use crate::{Node, peer_address};

/// Up to this many missing sections are a change; more are a start.
const FEW_SECTIONS: usize = 4;
/// Most reads of sections a second over all processes; the service takes about twice as many of all kinds.
const READS_PER_SECOND: u32 = 1000;
/// Processes of an instance.
const PROCESSES: u32 = 2;
/// Time over which reads are spread while there is no instance list.
const SPREAD_UNKNOWN: Duration = Duration::from_millis(400);
/// Time until sections that nobody gave are asked for again.
const RETRY_GAP: Duration = Duration::from_secs(1);

/// Where a section may come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Giver {
    Service,
    /// The peer that offered the manifest.
    Offerer,
    AnyPeer,
}

/// What became of a fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fetched {
    Came,
    /// Another text than the one named was given.
    Refused,
    Absent,
}

/// One pass over the missing sections.
#[derive(Debug)]
struct Pass {
    few: bool,
    service_failed: bool,
}

/// Fetches sections as they are missed, until the process stops.
pub(crate) async fn fetch(node: Rc<Node>, opts: WatchOptions) {
    while let Some(missing) = node.abort.run_until_cancelled(node.membership.missing_sections()).await {
        one_pass(&node, &opts, missing).await;
    }
}

/// Asks for each missing section; waits if none came.
async fn one_pass(node: &Rc<Node>, opts: &WatchOptions, mut missing: Vec<MissingSection>) {
    missing.shuffle(&mut rand::rng());
    let mut pass = Pass {
        few: missing.len() <= FEW_SECTIONS,
        service_failed: false,
    };
    if pass.few && missing.iter().any(|section| section.origin == Origin::Service) {
        pause(spread(node)).await;
    }
    let mut came = 0;
    let mut absent = Vec::new();
    for section in &missing {
        if node.abort.is_cancelled() {
            return;
        }
        match fetch_one(node, opts, section, &mut pass).await {
            Fetched::Came => came += 1,
            Fetched::Refused => {}
            Fetched::Absent => absent.push(section),
        }
    }
    // One word of each pass, always the same while nothing changes, so that the audit trail isn't filled.
    if let Some(first) = absent.into_iter().min_by(|a, b| a.digest.cmp(&b.digest)) {
        node.membership.section_absent(&first.origin, &first.digest);
    }
    if came == 0 {
        sleep(RETRY_GAP).await;
    }
}

impl Pass {
    fn givers(&self, origin: &Origin) -> &'static [Giver] {
        match origin {
            Origin::Peer(_) => &[Giver::Offerer, Giver::AnyPeer, Giver::Service],
            Origin::Service if self.few && !self.service_failed => &[Giver::Service, Giver::AnyPeer],
            Origin::Service => &[Giver::AnyPeer, Giver::Service],
        }
    }
}

/// Asks each giver in turn until the section comes.
async fn fetch_one(node: &Rc<Node>, opts: &WatchOptions, section: &MissingSection, pass: &mut Pass) -> Fetched {
    let mut fetched = Fetched::Absent;
    for giver in pass.givers(&section.origin) {
        let given = ask(node, opts, section, *giver).await;
        if *giver == Giver::Service {
            pass.service_failed = given.is_none();
            if !pass.few {
                pause(2 * spread(node)).await;
            }
        }
        let Some((origin, text)) = given else { continue };
        let applied = node.membership.offer_section(&origin, &section.digest, &text);
        if applied != SectionApplied::OtherDigest {
            return Fetched::Came;
        }
        fetched = Fetched::Refused;
    }
    fetched
}

/// Time in which every process may read one section.
fn spread(node: &Node) -> Duration {
    match node.membership.view().instances.len() {
        0 => SPREAD_UNKNOWN,
        count => {
            let processes = PROCESSES.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX));
            Duration::from_secs(processes.into()) / READS_PER_SECOND
        }
    }
}

async fn ask(node: &Rc<Node>, opts: &WatchOptions, section: &MissingSection, giver: Giver) -> Option<(Origin, String)> {
    if !node.membership.lacks_section(&section.digest) {
        return None;
    }
    match giver {
        Giver::Service => {
            let addr = *opts.config_service.choose(&mut rand::rng())?;
            let read = read_section(&node.client, opts, addr, &section.digest, &node.abort).await;
            Some((Origin::Service, read.ok().flatten()?))
        }
        Giver::Offerer => ask_peer(node, &peer_of(node, &section.origin)?, &section.digest).await,
        Giver::AnyPeer => ask_peer(node, &any_peer(node)?, &section.digest).await,
    }
}

/// A peer to ask.
struct Peer {
    origin: Origin,
    addr: SocketAddr,
}

fn peer_of(node: &Node, origin: &Origin) -> Option<Peer> {
    let Origin::Peer(id) = origin else { return None };
    let view = node.membership.view();
    let addr = peer_address(node.role, view.instance(id)?);
    Some(Peer {
        origin: origin.clone(),
        addr,
    })
}

/// A live peer of the list; one of the settings' while there is no list.
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

async fn ask_peer(node: &Rc<Node>, peer: &Peer, digest: &str) -> Option<(Origin, String)> {
    let ask = SectionRequest {
        digest: digest.to_owned(),
    };
    let asked = timeout(EXCHANGE_TIME, node.links.call(peer.addr, Method::Section, &ask)).await;
    let answer: SectionText = asked.ok()?.ok()?;
    Some((peer.origin.clone(), answer.text?))
}

/// Sleeps for a random part of `span`.
async fn pause(span: Duration) {
    let part = rand::rng().random_range(0.0..1.0);
    sleep(span.mul_f64(part)).await;
}

/// Serves a peer's question for a section.
pub(super) async fn serve(node: &Rc<Node>, mut ex: Exchange) -> Result<(), Error> {
    let ask: SectionRequest = ex.recv_required().await?;
    let text = node.membership.section_text(&ask.digest);
    let answer = SectionText {
        text: text.map(|text| text.to_string()),
    };
    ex.send_last(&answer).await
}
