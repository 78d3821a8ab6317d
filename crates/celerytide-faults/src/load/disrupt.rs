//! What is done to daemons and links, and undone again.

use std::time::Duration;

use celerytide_manifest::ZoneState;
use celerytide_standin::relay::Mode;
use celerytide_types::now_unix_ms;
use monoio::time::sleep;

use crate::cluster::{Cluster, Daemon, ENGINES, INSTANCES, Link, PLAIN_ENDPOINTS};
use crate::history::{ActiveConfig, ZoneEvacuation};

/// Time for which a killed daemon is away.
const DOWNTIME: Duration = Duration::from_millis(1000);
/// Longer than each bound that a request meets, than a permit's age and than an owner goes on without a view.
const BEYOND_TIMEOUTS: Duration = Duration::from_millis(4500);
/// Longer than the term of an owner as well.
const BEYOND_OWNER_TERM: Duration = Duration::from_millis(9000);
/// Answers of each endpoint that are spoilt, and the time between them.
const FAULTY_RESPONSES: usize = 12;
const FAULT_INTERVAL: Duration = Duration::from_millis(250);
/// Index of the zone that a change concerns.
const EVACUATED_ZONE: usize = 1;
/// Looks at the versions in force after a publication, and the time between them.
const POLLS: usize = 15;
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Service whose owner is meant by a target.
const SERVICE: &str = "assist/";

/// A daemon by its part in the ownership of the model service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// The entry of the owner's instance.
    OwnersEntry,
    /// The entry of the other instance.
    OtherEntry,
    /// The dispatch that owns.
    Owner,
    /// The dispatch that doesn't.
    OtherDispatch,
}

/// Links that are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkSet {
    /// Between our processes, all.
    Peers,
    /// To the owner's instance from all others; it reaches them.
    ToOwner,
    /// From all instances to the configuration service.
    Config,
    /// From the owner's instance to the configuration service.
    OwnersConfig,
    /// To all endpoints.
    Endpoints,
    /// To the endpoints of one availability zone.
    ZoneEndpoints,
}

/// What becomes of endpoints' answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseFault {
    /// Two carry each other's request id and body.
    Crossed,
    /// They end before their end.
    CutMidAnswer,
    /// The request runs, and the connection is closed before the answer.
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

/// What happens under load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disruption {
    /// A daemon is killed and started again.
    Kill(Target),
    /// A daemon is paused past the bounds and woken.
    Pause(Target),
    /// Links are cut past the bounds and healed.
    Cut {
        /// Which.
        links: LinkSet,
        /// Nothing passes towards their far ends.
        up: bool,
        /// Nothing passes from their far ends.
        down: bool,
    },
    /// Some answers of every endpoint are spoilt.
    FaultyResponses(ResponseFault),
    /// An availability zone is taken out of service.
    ZoneEvacuation,
    /// Once a new manifest is in force everywhere, the earlier one is published again.
    RepublishOlder,
}

/// What a disruption adds to the record.
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

/// A disruption that passes and leaves the configuration as it was.
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

/// Publishes the manifest with its version moved and the zone's state set.
fn publish(cluster: &mut Cluster, by: i64, state: ZoneState) -> Result<(), String> {
    cluster.manifest.version = cluster.manifest.version.saturating_add_signed(by);
    if let Some(zone) = cluster.manifest.zones.get_mut(EVACUATED_ZONE) {
        zone.state = state;
    }
    cluster.publish_manifest().map_err(|e| e.to_string())
}

/// Notes the version in force at each daemon for longer than a round of reads and of gossip.
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

/// Tells every endpoint a fault.
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

/// The instance whose dispatch owns the model service.
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
