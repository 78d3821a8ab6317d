//! Disruptions of daemons, links, endpoints and the configuration, and their recovery.

use std::time::Duration;

use celerytide_manifest::ZoneState;
use celerytide_standin::relay::Mode;
use celerytide_types::now_unix_ms;
use monoio::time::sleep;

use crate::cluster::{Cluster, Daemon, ENGINES, INSTANCES, Link, PLAIN_ENDPOINTS};
use crate::history::{ActiveConfig, ZoneEvacuation};

/// Time before a killed daemon is restarted.
const DOWNTIME: Duration = Duration::from_millis(1000);
/// Longer than every timeout of a request, than a permit's maximum age and than an owner continues without a view.
const BEYOND_TIMEOUTS: Duration = Duration::from_millis(4500);
/// Also longer than the term of an owner.
const BEYOND_OWNER_TERM: Duration = Duration::from_millis(9000);
/// Number of faulty responses of each endpoint, and the time between them.
const FAULTY_RESPONSES: usize = 12;
const FAULT_INTERVAL: Duration = Duration::from_millis(250);
/// Index of the zone whose state is changed.
const EVACUATED_ZONE: usize = 1;
/// Number of polls of the active versions after a publication, and the time between them.
const POLLS: usize = 15;
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Pool prefix of the service whose owner a target refers to.
const SERVICE: &str = "assist/";

/// A daemon, identified by its role in the ownership of the model service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// The entry of the owner's instance.
    OwnersEntry,
    /// The entry of the other instance.
    OtherEntry,
    /// The dispatch that owns the pool.
    Owner,
    /// The dispatch that doesn't own the pool.
    OtherDispatch,
}

/// A set of links to cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkSet {
    /// All links between daemons.
    Peers,
    /// Links from the other daemons to the owner's instance; the owner still reaches them.
    ToOwner,
    /// Links from all instances to the configuration service.
    Config,
    /// Link from the owner's instance to the configuration service.
    OwnersConfig,
    /// Links to all endpoints.
    Endpoints,
    /// Links to the endpoints of one availability zone.
    ZoneEndpoints,
}

/// A fault in the responses of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseFault {
    /// Two responses carry each other's request id and body.
    Crossed,
    /// Responses end early.
    CutMidAnswer,
    /// The request runs, and the connection is closed before the response.
    Reset,
}

impl ResponseFault {
    fn fault(self) -> &'static str {
        match self {
            ResponseFault::Crossed => r#"{"kind":"crossed"}"#,
            ResponseFault::CutMidAnswer => r#"{"kind":"cut-mid-answer","after":5}"#,
            ResponseFault::Reset => r#"{"kind":"reset"}"#,
        }
    }
}

/// What is disrupted under load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disruption {
    /// Kills a daemon and restarts it.
    Kill(Target),
    /// Pauses a daemon for longer than every timeout and resumes it.
    Pause(Target),
    /// Cuts links for longer than every timeout and restores them.
    Cut {
        /// Links to cut.
        links: LinkSet,
        /// Blocks traffic from callers to targets of the links.
        up: bool,
        /// Blocks traffic from targets back to callers of the links.
        down: bool,
    },
    /// Makes some responses of every endpoint faulty.
    FaultyResponses(ResponseFault),
    /// Takes an availability zone out of service.
    ZoneEvacuation,
    /// Publishes the previous manifest version again after a newer one became active everywhere.
    RepublishOlder,
}

/// Records that a disruption adds to the history.
#[derive(Default)]
pub(super) struct DisruptionRecord {
    pub(super) zone_evacuation: Option<ZoneEvacuation>,
    pub(super) active_configs: Vec<ActiveConfig>,
}

pub(super) async fn disrupt(cluster: &mut Cluster, disruption: Disruption) -> Result<DisruptionRecord, String> {
    let owner = find_owner(cluster).await.ok_or("the model service has no owner")?;
    let mut recorded = DisruptionRecord::default();
    match disruption {
        Disruption::ZoneEvacuation => recorded.zone_evacuation = Some(evacuate_zone(cluster).await?),
        Disruption::RepublishOlder => recorded.active_configs = republish_older(cluster).await?,
        other => disrupt_and_restore(cluster, other, owner).await?,
    }
    Ok(recorded)
}

/// Runs a disruption that leaves the configuration unchanged, and reverts it.
async fn disrupt_and_restore(cluster: &mut Cluster, disruption: Disruption, owner: usize) -> Result<(), String> {
    match disruption {
        Disruption::ZoneEvacuation | Disruption::RepublishOlder => Ok(()),
        Disruption::Kill(target) => kill(cluster, daemon(target, owner)).await,
        Disruption::Pause(target) => pause(cluster, daemon(target, owner), pause_length(target)).await,
        Disruption::Cut { links, up, down } => {
            cluster.set_link_mode(&resolve_links(links, owner), Mode::Cut { up, down });
            sleep(BEYOND_TIMEOUTS).await;
            cluster.restore_links();
            Ok(())
        }
        Disruption::FaultyResponses(fault) => {
            for _ in 0..FAULTY_RESPONSES {
                set_endpoint_fault(cluster, fault.fault()).await;
                sleep(FAULT_INTERVAL).await;
            }
            set_endpoint_fault(cluster, r#"{"kind":"none"}"#).await;
            Ok(())
        }
    }
}

async fn evacuate_zone(cluster: &mut Cluster) -> Result<ZoneEvacuation, String> {
    publish(cluster, 1, ZoneState::Out)?;
    let evacuation = ZoneEvacuation {
        plain: EVACUATED_ZONE,
        reachable_unix_ms: now_unix_ms(),
    };
    sleep(BEYOND_TIMEOUTS).await;
    Ok(evacuation)
}

async fn republish_older(cluster: &mut Cluster) -> Result<Vec<ActiveConfig>, String> {
    let mut seen = Vec::new();
    publish(cluster, 1, ZoneState::In)?;
    record_versions(cluster, &mut seen).await;
    let newest = cluster.manifest.clone();
    publish(cluster, -1, ZoneState::In)?;
    record_versions(cluster, &mut seen).await;
    cluster.manifest = newest;
    cluster.publish_manifest().map_err(|e| e.to_string())?;
    Ok(seen)
}

/// Publishes the manifest with its version changed by `by` and the zone set to `state`.
fn publish(cluster: &mut Cluster, by: i64, state: ZoneState) -> Result<(), String> {
    cluster.manifest.version = cluster.manifest.version.saturating_add_signed(by);
    if let Some(zone) = cluster.manifest.zones.get_mut(EVACUATED_ZONE) {
        zone.state = state;
    }
    cluster.publish_manifest().map_err(|e| e.to_string())
}

/// Records the active version of each daemon for longer than a round of reads and of gossip.
async fn record_versions(cluster: &Cluster, seen: &mut Vec<ActiveConfig>) {
    for _ in 0..POLLS {
        for index in 0..INSTANCES {
            for daemon in [Daemon::Entry(index), Daemon::Dispatch(index)] {
                let status = cluster.status(daemon).await;
                let Some(version) = status["manifest"]["version"].as_u64() else {
                    continue;
                };
                seen.push(ActiveConfig {
                    process: format!("{daemon:?}"),
                    incarnation: status["incarnation"].as_str().unwrap_or_default().to_owned(),
                    version,
                });
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn kill(cluster: &mut Cluster, daemon: Daemon) -> Result<(), String> {
    cluster.process_mut(daemon).kill();
    sleep(DOWNTIME).await;
    cluster.restart(daemon).map_err(|e| e.to_string())
}

async fn pause(cluster: &Cluster, daemon: Daemon, time: Duration) -> Result<(), String> {
    let process = cluster.process(daemon);
    process.pause().map_err(|e| e.to_string())?;
    sleep(time).await;
    process.resume().map_err(|e| e.to_string())
}

/// Sets a fault on every endpoint.
async fn set_endpoint_fault(cluster: &Cluster, json: &str) {
    let engines = (0..ENGINES).map(Daemon::Engine);
    for daemon in engines.chain((0..PLAIN_ENDPOINTS).map(Daemon::Plain)) {
        cluster.control.set_fault(cluster.operator_addr(daemon), json).await;
    }
}

fn pause_length(target: Target) -> Duration {
    match target {
        Target::Owner => BEYOND_OWNER_TERM,
        _ => BEYOND_TIMEOUTS,
    }
}

fn daemon(target: Target, owner: usize) -> Daemon {
    let other = (owner + 1) % INSTANCES;
    match target {
        Target::OwnersEntry => Daemon::Entry(owner),
        Target::OtherEntry => Daemon::Entry(other),
        Target::Owner => Daemon::Dispatch(owner),
        Target::OtherDispatch => Daemon::Dispatch(other),
    }
}

fn resolve_links(links: LinkSet, owner: usize) -> Vec<Link> {
    match links {
        LinkSet::Peers => [
            Link::all_of_kind(Link::EntryPeer),
            Link::all_of_kind(Link::DispatchPeer),
        ]
        .concat(),
        LinkSet::ToOwner => vec![Link::EntryPeer(owner), Link::DispatchPeer(owner)],
        LinkSet::Config => Link::all_of_kind(Link::Config),
        LinkSet::OwnersConfig => vec![Link::Config(owner)],
        LinkSet::Endpoints => Link::endpoints(),
        LinkSet::ZoneEndpoints => vec![Link::Engine(0), Link::Plain(0)],
    }
}

/// Index of the instance whose dispatch owns the model service.
async fn find_owner(cluster: &Cluster) -> Option<usize> {
    for index in 0..INSTANCES {
        let pools = cluster.pools(index).await;
        let owned = pools.iter().filter_map(|pool| pool["pool"].as_str());
        if owned.into_iter().any(|id| id.starts_with(SERVICE)) {
            return Some(index);
        }
    }
    None
}
