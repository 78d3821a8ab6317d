//! Versions between peers: a newer manifest or list reaches every process even if the service reaches only one.

mod sections;

pub(crate) use sections::fetch as fetch_sections;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_membership::{Origin, PeerLists, PeerOptions, ViewDigest, Wanted, pick_peers};
use celerytide_types::{InstanceId, now_boot};
use celerytide_wire::messages::{Gossip, ListsRequest, ManifestRequest, ManifestText, Method};
use celerytide_wire::{Error, Exchange};
use monoio::time::{sleep, timeout};
use rand::Rng;

use crate::Node;
use crate::peer_address;

/// Time for one exchange with a peer, and for one fetch.
const EXCHANGE_TIME: Duration = Duration::from_secs(2);

/// Exchanges digests with a few peers in each round, drawn within a quarter around the interval, until the process stops.
pub(crate) async fn run(node: Rc<Node>) {
    let mut round = 0;
    while !node.abort.is_cancelled() {
        one_round(&node, round);
        round += 1;
        sleep(node.gossip_interval.mul_f64(rand::rng().random_range(0.75..1.25))).await;
    }
}

/// Exchanges with each peer in a task of its own, so that a silent one holds up nobody else.
fn one_round(node: &Rc<Node>, round: u64) {
    for addr in targets(node, round) {
        monoio::spawn(exchange_within(node.clone(), addr));
    }
}

async fn exchange_within(node: Rc<Node>, addr: SocketAddr) {
    match timeout(EXCHANGE_TIME, exchange(&node, addr)).await {
        Ok(Ok((from, wanted))) => fetch_within(&node, addr, &from, wanted).await,
        Ok(Err(error)) => tracing::debug!(%addr, %error, "gossip: exchange failed"),
        Err(_) => tracing::debug!(%addr, "gossip: exchange timed out"),
    }
}

/// Peers of the list; the settings' peers while there is none.
fn targets(node: &Node, round: u64) -> Vec<SocketAddr> {
    let view = node.membership.view();
    if view.instances.is_empty() {
        return node.seed_peers.clone();
    }
    let chosen = pick_peers(&node.instance, &view.instances, round, PeerOptions::default());
    let instances = chosen.iter().filter_map(|id| view.instance(id));
    instances.map(|i| peer_address(node.role, i)).collect()
}

async fn exchange(node: &Rc<Node>, addr: SocketAddr) -> Result<(InstanceId, Wanted), Error> {
    let own = own_digest(node);
    let theirs: Gossip<ViewDigest> = node.links.call(addr, Method::Gossip, &own).await?;
    let wanted = node.membership.heard(now_boot(), &theirs.from, &theirs.digest);
    Ok((theirs.from, wanted))
}

/// Fetches within the bound; what failed may be fetched from the next peer at once.
async fn fetch_within(node: &Rc<Node>, addr: SocketAddr, from: &InstanceId, wanted: Wanted) {
    let cause = match timeout(EXCHANGE_TIME, fetch(node, addr, from, wanted)).await {
        Ok(Ok(true)) => return,
        Ok(Ok(false)) => "nothing newer".to_owned(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "timed out".to_owned(),
    };
    tracing::debug!(%addr, cause, "gossip: fetch failed");
    node.membership.fetch_failed(from);
}

/// Whether the peer had what was wanted.
async fn fetch(node: &Rc<Node>, addr: SocketAddr, from: &InstanceId, wanted: Wanted) -> Result<bool, Error> {
    if wanted.lists {
        let ask = ListsRequest {
            from: node.instance.clone(),
        };
        let lists: PeerLists = node.links.call(addr, Method::Lists, &ask).await?;
        node.membership.offer_peer_lists(now_boot(), from, lists);
    }
    if wanted.manifest {
        let ask = ManifestRequest {
            version: node.membership.view().manifest_version + 1,
        };
        let answer: ManifestText = node.links.call(addr, Method::Manifest, &ask).await?;
        if answer.version == 0 {
            return Ok(false);
        }
        node.membership
            .offer_manifest(&Origin::Peer(from.clone()), &answer.text);
    }
    Ok(true)
}

fn own_digest(node: &Node) -> Gossip<ViewDigest> {
    Gossip {
        from: node.instance.clone(),
        digest: node.membership.digest(now_boot()),
    }
}

/// Serves a peer's exchange about views.
pub(crate) async fn serve(node: &Rc<Node>, method: Method, ex: Exchange) {
    let served = match method {
        Method::Gossip => serve_gossip(node, ex).await,
        Method::Manifest => serve_manifest(node, ex).await,
        Method::Section => sections::serve(node, ex).await,
        Method::Lists => serve_lists(node, ex).await,
        _ => Ok(()),
    };
    if let Err(error) = served {
        tracing::debug!(?method, %error, "gossip: a peer's exchange failed");
    }
}

async fn serve_gossip(node: &Rc<Node>, mut ex: Exchange) -> Result<(), Error> {
    let theirs: Gossip<ViewDigest> = ex.recv_required().await?;
    ex.send_last(&own_digest(node)).await?;
    let wanted = node.membership.heard(now_boot(), &theirs.from, &theirs.digest);
    let view = node.membership.view();
    if let Some(peer) = view.instance(&theirs.from) {
        let addr = peer_address(node.role, peer);
        fetch_within(node, addr, &theirs.from, wanted).await;
    }
    Ok(())
}

async fn serve_manifest(node: &Rc<Node>, mut ex: Exchange) -> Result<(), Error> {
    let ask: ManifestRequest = ex.recv_required().await?;
    let version = node.membership.view().manifest_version;
    let text = node.membership.manifest_text().filter(|_| version >= ask.version);
    let answer = match text {
        Some(text) => ManifestText {
            version,
            text: text.to_string(),
        },
        None => ManifestText {
            version: 0,
            text: String::new(),
        },
    };
    ex.send_last(&answer).await
}

async fn serve_lists(node: &Rc<Node>, mut ex: Exchange) -> Result<(), Error> {
    let _: ListsRequest = ex.recv_required().await?;
    ex.send_last(&node.membership.peer_lists()).await
}
