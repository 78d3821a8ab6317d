//! What is done to daemons and links, and undone again.

use std::time::Duration;

use celerytide_manifest::ZoneState;
use celerytide_standin::relay::Mode;
use celerytide_types::now_unix_ms;
use monoio::time::sleep;

use crate::cluster::{Cluster, Daemon, ENGINES, INSTANCES, Link, PLAIN_ENDPOINTS};
use crate::history::{ActiveConfig, ZoneEvacuation};

/// Time for which a killed daemon is away.
const AWAY: Duration = Duration::from_millis(1000);
/// Longer than each bound that a request meets, than a permit's age and than an owner goes on without a view.
const BEYOND_TIMEOUTS: Duration = Duration::from_millis(4500);
/// Longer than the term of an owner as well.
const BEYOND_OWNER_TERM: Duration = Duration::from_millis(9000);
/// Answers of each endpoint that are spoilt, and the time between them.
const SPOILT: usize = 12;
const SPOIL_EVERY: Duration = Duration::from_millis(250);
/// Index of the zone that a change concerns.
const ZONE: usize = 1;
/// Looks at the versions in force after a publication, and the time between them.
const LOOKS: usize = 15;
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
pub enum Place {
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
pub enum Answers {
    /// Two carry each other's request id and body.
    Crossed,
    /// They end before their end.
    CutMidAnswer,
    /// The request runs, and the connection is closed before the answer.
    Reset,
}

impl Answers {
    fn fault(self) -> &'static str {
        match self {
            Answers::Crossed => r#"{"kind":"crossed"}"#,
            Answers::CutMidAnswer => r#"{"kind":"cut-mid-answer","after":5}"#,
            Answers::Reset => r#"{"kind":"reset"}"#,
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
        place: Place,
        /// Nothing passes towards their far ends.
        up: bool,
        /// Nothing passes from their far ends.
        down: bool,
    },
    /// Some answers of every endpoint are spoilt.
    Spoil(Answers),
    /// An availability zone is taken out of service.
    ZoneEvacuation,
    /// Once a new manifest is in force everywhere, the earlier one is published again.
    OlderAgain,
}

/// What a disruption adds to the record.
#[derive(Default)]
pub(super) struct DisruptionRecord {
    pub(super) zone_evacuation: Option<ZoneEvacuation>,
    pub(super) active_configs: Vec<ActiveConfig>,
}

pub(super) async fn disrupt(cluster: &mut Cluster, disruption: Disruption) -> Result<DisruptionRecord, String> {
    let owner = owner(cluster).await.ok_or("the model service has no owner")?;
    let mut recorded = DisruptionRecord::default();
    match disruption {
        Disruption::ZoneEvacuation => recorded.zone_evacuation = Some(zone_evacuation(cluster).await?),
        Disruption::OlderAgain => recorded.active_configs = older_again(cluster).await?,
        other => pass(cluster, other, owner).await?,
    }
    Ok(recorded)
}

/// A disruption that passes and leaves the configuration as it was.
async fn pass(cluster: &mut Cluster, disruption: Disruption, owner: usize) -> Result<(), String> {
    match disruption {
        Disruption::ZoneEvacuation | Disruption::OlderAgain => Ok(()),
        Disruption::Kill(target) => kill(cluster, daemon(target, owner)).await,
        Disruption::Pause(target) => pause(cluster, daemon(target, owner), past(target)).await,
        Disruption::Cut { place, up, down } => {
            cluster.set_link_mode(&links(place, owner), Mode::Cut { up, down });
            sleep(BEYOND_TIMEOUTS).await;
            cluster.restore_links();
            Ok(())
        }
        Disruption::Spoil(answers) => {
            for _ in 0..SPOILT {
                endpoints(cluster, answers.fault()).await;
                sleep(SPOIL_EVERY).await;
            }
            endpoints(cluster, r#"{"kind":"none"}"#).await;
            Ok(())
        }
    }
}

async fn zone_evacuation(cluster: &mut Cluster) -> Result<ZoneEvacuation, String> {
    publish(cluster, 1, ZoneState::Out)?;
    let out = ZoneEvacuation {
        plain: ZONE,
        reachable_unix_ms: now_unix_ms(),
    };
    sleep(BEYOND_TIMEOUTS).await;
    Ok(out)
}

async fn older_again(cluster: &mut Cluster) -> Result<Vec<ActiveConfig>, String> {
    let mut seen = Vec::new();
    publish(cluster, 1, ZoneState::In)?;
    follow(cluster, &mut seen).await;
    let newest = cluster.manifest.clone();
    publish(cluster, -1, ZoneState::In)?;
    follow(cluster, &mut seen).await;
    cluster.manifest = newest;
    cluster.publish_manifest().map_err(|e| e.to_string())?;
    Ok(seen)
}

/// Publishes the manifest with its version moved and the zone's state set.
fn publish(cluster: &mut Cluster, by: i64, state: ZoneState) -> Result<(), String> {
    cluster.manifest.version = cluster.manifest.version.saturating_add_signed(by);
    if let Some(zone) = cluster.manifest.zones.get_mut(ZONE) {
        zone.state = state;
    }
    cluster.publish_manifest().map_err(|e| e.to_string())
}

/// Notes the version in force at each daemon for longer than a round of reads and of gossip.
async fn follow(cluster: &Cluster, seen: &mut Vec<ActiveConfig>) {
    for _ in 0..LOOKS {
        for at in 0..INSTANCES {
            for daemon in [Daemon::Entry(at), Daemon::Dispatch(at)] {
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
    sleep(AWAY).await;
    cluster.restart(daemon).map_err(|e| e.to_string())
}

async fn pause(cluster: &Cluster, daemon: Daemon, time: Duration) -> Result<(), String> {
    let process = cluster.process(daemon);
    process.pause().map_err(|e| e.to_string())?;
    sleep(time).await;
    process.resume().map_err(|e| e.to_string())
}

/// Tells every endpoint a fault.
async fn endpoints(cluster: &Cluster, json: &str) {
    let engines = (0..ENGINES).map(Daemon::Engine);
    for daemon in engines.chain((0..PLAIN_ENDPOINTS).map(Daemon::Plain)) {
        cluster.control.set_fault(cluster.operator_addr(daemon), json).await;
    }
}

fn past(target: Target) -> Duration {
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

fn links(place: Place, owner: usize) -> Vec<Link> {
    match place {
        Place::Peers => [
            Link::all_of_kind(Link::EntryPeer),
            Link::all_of_kind(Link::DispatchPeer),
        ]
        .concat(),
        Place::ToOwner => vec![Link::EntryPeer(owner), Link::DispatchPeer(owner)],
        Place::Config => Link::all_of_kind(Link::Config),
        Place::OwnersConfig => vec![Link::Config(owner)],
        Place::Endpoints => Link::endpoints(),
        Place::ZoneEndpoints => vec![Link::Engine(0), Link::Plain(0)],
    }
}

/// The instance whose dispatch owns the model service.
async fn owner(cluster: &Cluster) -> Option<usize> {
    for at in 0..INSTANCES {
        let pools = cluster.pools(at).await;
        let owned = pools.iter().filter_map(|pool| pool["pool"].as_str());
        if owned.into_iter().any(|id| id.starts_with(SERVICE)) {
            return Some(at);
        }
    }
    None
}
