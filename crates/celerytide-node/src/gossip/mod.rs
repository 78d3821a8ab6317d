//! Gossip between peers: spreads a newer manifest or list to every process, even if the configuration service reaches
//! only one.

mod sections;

pub(crate) use sections::fetch as fetch_sections;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_membership::{Origin, PeerFetch, PeerLists, PeerOptions, ViewDigest, pick_peers};
use celerytide_types::{InstanceId, now_boot};
use celerytide_wire::messages::{Gossip, ListsRequest, ManifestRequest, ManifestText, Method};
use celerytide_wire::{Error, Exchange};
use monoio::time::{sleep, timeout};
use rand::Rng;

use crate::Node;
use crate::peer_address;

/// Longest time for one exchange with a peer, and for one fetch.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Exchanges digests with a few peers in each round until the process stops; the interval varies at random by up to a
/// quarter.
pub(crate) async fn run(node: Rc<Node>) {
    let mut round = 0;
    while !node.abort.is_cancelled() {
        run_round(&node, round);
        round += 1;
        sleep(node.gossip_interval.mul_f64(rand::rng().random_range(0.75..1.25))).await;
    }
}

/// Exchanges digests with each peer in a separate task, so that a silent peer doesn't delay the others.
fn run_round(node: &Rc<Node>, round: u64) {
    for addr in round_peers(node, round) {
        monoio::spawn(exchange_and_fetch(node.clone(), addr));
    }
}

async fn exchange_and_fetch(node: Rc<Node>, addr: SocketAddr) {
    match timeout(EXCHANGE_TIMEOUT, exchange(&node, addr)).await {
        Ok(Ok((from, to_fetch))) => fetch_with_timeout(&node, addr, &from, to_fetch).await,
        Ok(Err(error)) => tracing::debug!(%addr, %error, "gossip: exchange failed"),
        Err(_) => tracing::debug!(%addr, "gossip: exchange timed out"),
    }
}

/// Peers of a round: some of the instance list, or the seed peers of the settings while there is no list.
fn round_peers(node: &Node, round: u64) -> Vec<SocketAddr> {
    let view = node.membership.view();
    if view.instances.is_empty() {
        return node.seed_peers.clone();
    }
    let peer_ids = pick_peers(&node.instance, &view.instances, round, PeerOptions::default());
    let instances = peer_ids.iter().filter_map(|id| view.instance(id));
    instances.map(|i| peer_address(node.role, i)).collect()
}

async fn exchange(node: &Rc<Node>, addr: SocketAddr) -> Result<(InstanceId, PeerFetch), Error> {
    let own = own_digest(node);
    let theirs: Gossip<ViewDigest> = node.connections.call(addr, Method::Gossip, &own).await?;
    let to_fetch = node.membership.receive_digest(now_boot(), &theirs.from, &theirs.digest);
    Ok((theirs.from, to_fetch))
}

/// Fetches the documents of which a peer has newer versions; after a failure they may be fetched from another peer at
/// once.
async fn fetch_with_timeout(node: &Rc<Node>, addr: SocketAddr, from: &InstanceId, to_fetch: PeerFetch) {
    let cause = match timeout(EXCHANGE_TIMEOUT, fetch(node, addr, from, to_fetch)).await {
        Ok(Ok(true)) => return,
        Ok(Ok(false)) => "nothing newer".to_owned(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "timed out".to_owned(),
    };
    tracing::debug!(%addr, cause, "gossip: fetch failed");
    node.membership.fetch_failed(from);
}

/// Fetches from a peer; false if it has no newer manifest any more.
async fn fetch(node: &Rc<Node>, addr: SocketAddr, from: &InstanceId, to_fetch: PeerFetch) -> Result<bool, Error> {
    if to_fetch.lists {
        let req = ListsRequest {
            from: node.instance.clone(),
        };
        let lists: PeerLists = node.connections.call(addr, Method::Lists, &req).await?;
        node.membership.offer_peer_lists(now_boot(), from, lists);
    }
    if to_fetch.manifest {
        let req = ManifestRequest {
            version: node.membership.view().manifest_version + 1,
        };
        let response: ManifestText = node.connections.call(addr, Method::Manifest, &req).await?;
        if response.version == 0 {
            return Ok(false);
        }
        node.membership
            .offer_manifest(&Origin::Peer(from.clone()), &response.text);
    }
    Ok(true)
}

fn own_digest(node: &Node) -> Gossip<ViewDigest> {
    Gossip {
        from: node.instance.clone(),
        digest: node.membership.digest(now_boot()),
    }
}

/// Serves a gossip exchange that a peer opened.
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
    let to_fetch = node.membership.receive_digest(now_boot(), &theirs.from, &theirs.digest);
    let view = node.membership.view();
    if let Some(peer) = view.instance(&theirs.from) {
        let addr = peer_address(node.role, peer);
        fetch_with_timeout(node, addr, &theirs.from, to_fetch).await;
    }
    Ok(())
}

async fn serve_manifest(node: &Rc<Node>, mut ex: Exchange) -> Result<(), Error> {
    let req: ManifestRequest = ex.recv_required().await?;
    let version = node.membership.view().manifest_version;
    let text = node.membership.manifest_text().filter(|_| version >= req.version);
    let response = match text {
        Some(text) => ManifestText {
            version,
            text: text.to_string(),
        },
        None => ManifestText {
            version: 0,
            text: String::new(),
        },
    };
    ex.send_last(&response).await
}

async fn serve_lists(node: &Rc<Node>, mut ex: Exchange) -> Result<(), Error> {
    let _: ListsRequest = ex.recv_required().await?;
    ex.send_last(&node.membership.peer_lists()).await
}
