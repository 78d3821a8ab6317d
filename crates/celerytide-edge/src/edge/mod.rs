//! State of the process, and the decisions that need several parts of it.

mod coordination;
mod freshness;
mod idle;
mod in_flight;
mod limited;
mod pick;
mod placed;
mod quarantined;
mod reached;
mod rejected;
mod returned;
mod taken_up;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use celerytide_catalog::{Endpoint, Restored, Route, Service, Update, View};
use celerytide_http::Limits;
use celerytide_http::client::{Client, Options};
use celerytide_types::{BootTime, ServiceId, now_boot};
use celerytide_wire::ConnectionPool;
use rand::Rng;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

pub use coordination::Coordination;
pub use freshness::ConfigFreshness;
pub use in_flight::InFlight;
pub use pick::{Pick, PickError};
pub use placed::{
    BY_COORDINATOR, BY_SELF, BY_SELF_LIMITED, BY_SELF_TRIAL, BY_SELF_UNUSABLE, Flight, Placement, Source, TooLate,
};
pub use returned::ask_returned;

use crate::admission::TokensInFlight;
use crate::budget::RetryBudget;
use crate::coordinator;
use crate::health::Outcome;
use crate::metrics::Counters;
use crate::notice::{Notice, NoticeEffect, Notices};
use crate::peers::digest::Digests;
use crate::peers::readers::Readers;
use crate::peers::{self, Members, ToldConfigs};
use crate::placement::EndpointLoads;
use crate::placement::popularity::Popularity;
use crate::protocol::Protocol;
use crate::quarantine::{Quarantine, Releases};
use crate::rate_limit::{NamedLimits, RateLimiter};
use crate::reach::Reach;
use crate::rejections::Rejections;
use crate::settings::Settings;
use crate::software::{History, Streams};
use crate::split::EngineSplit;

/// Silence after which a connection with nothing in flight is probed; one with two unanswered probes is closed when the third
/// is due.
const PROBE_IDLE: Duration = Duration::from_secs(1);
/// Time for which an endpoint may acknowledge nothing before its connection is closed. It decides when probes give up,
/// whatever their count: at two intervals one lost probe would end a connection.
const MAX_SILENCE: Duration = Duration::from_millis(2500);
/// Idle connections kept per endpoint.
const IDLE_PER_ENDPOINT: usize = 16;
/// Share of the descriptors for connections of callers; the rest is for endpoints, peers and the store.
const CALLERS_SHARE: f64 = 0.55;
/// Share of the descriptors for idle connections to endpoints.
const IDLE_SHARE: f64 = 0.2;
/// Descriptors if the settings give no limit.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// Heartbeats after which the record of a dead endpoint has certainly expired.
const MAX_EXPIRY_BEATS: u32 = 4;
/// Descriptors reserved for files.
const RESERVED_DESCRIPTORS: usize = 200;

/// How this instance gets changes of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreAccess {
    /// It reads the store, and the store responds.
    Direct,
    /// It follows an instance that reads the store.
    Following,
    /// It reads the store, and the store doesn't respond.
    Lost,
}

/// State of the router process.
pub struct Edge<P: Protocol> {
    /// Settings at startup.
    pub settings: Settings,
    /// Protocol of callers and endpoints.
    pub protocol: P,
    /// Configuration, endpoints and zones.
    pub view: RefCell<View>,
    /// Whether the configuration is known to be the newest.
    pub config_freshness: RefCell<ConfigFreshness>,
    /// Versions of the configuration that other instances told.
    pub told_configs: RefCell<ToldConfigs>,
    /// Wakes the exchange with other instances: a newer configuration is wanted at once.
    pub config_wanted: Notify,
    /// Requests in flight at each endpoint.
    pub loads: RefCell<EndpointLoads>,
    /// Traffic of shared prompt blocks.
    pub popularity: RefCell<Popularity>,
    /// Requests in flight from other instances.
    pub digests: RefCell<Digests>,
    /// Tokens in flight at the engines of each service.
    pub tokens_in_flight: RefCell<TokensInFlight>,
    /// Retries still allowed.
    pub retry_budget: RefCell<RetryBudget>,
    /// Division of engines by prompt size.
    pub split: RefCell<EngineSplit>,
    /// Pauses and departures of endpoints.
    pub notices: RefCell<Notices>,
    /// Rate limits that endpoints name.
    pub named_limits: RefCell<NamedLimits>,
    /// This instance's part of the rates of limited endpoints.
    pub rate_limiter: RefCell<RateLimiter>,
    /// Rejections per second that endpoints state they bear.
    pub rejection_limits: RefCell<NamedLimits>,
    /// How endpoints with a rejection limit rejected this instance.
    pub rejections: RefCell<Rejections>,
    /// Prompt blocks under which engines crashed.
    pub quarantine: RefCell<Quarantine>,
    /// Subjects of the settings that were released.
    pub releases: RefCell<Releases>,
    /// Whether endpoints are reached, by service.
    pub reach: RefCell<HashMap<ServiceId, Reach>>,
    /// Requests that coordinators place or count.
    pub placements: RefCell<coordinator::Client>,
    /// Groups of engines that this instance coordinates.
    pub coordination: RefCell<Coordination>,
    /// Wakes the sender of placement messages: a question or a reply is due.
    pub placement_urgent: Notify,
    /// Wakes the sender of placement messages: other events are due.
    pub placement_events: Notify,
    /// Wakes the coordinator: a request waits.
    pub placement_queued: Notify,
    /// Which software was published until when.
    pub history: RefCell<History>,
    /// Which software began the streams of late.
    pub streams: RefCell<Streams>,
    /// Wakes the sender of digests: a stream is to be told.
    pub stream_news: Notify,
    /// When a response of the store was last asked for at once.
    pub store_wanted_at: Cell<Option<BootTime>>,
    /// Wakes the reader of the store: a response is wanted at once.
    pub store_wanted: Notify,
    /// Other instances.
    pub members: RefCell<Members>,
    /// Connections to other instances.
    pub connections: ConnectionPool,
    /// Connections to endpoints.
    pub client: Client,
    /// Limits on callers, from the current configuration.
    pub limits: Rc<Cell<Limits>>,
    /// Counters and histograms.
    pub counters: Counters,
    /// When the store last responded to this instance or to the one that it follows.
    pub store_responded_at: Cell<Option<BootTime>>,
    /// Until when endpoints without a record are kept after an outage of the store.
    pub removal_delay_until: Cell<Option<BootTime>>,
    /// How this instance gets changes of the store.
    pub store_access: Cell<StoreAccess>,
    /// Which instances read the store for others.
    pub readers: RefCell<Readers>,
    /// Wakes waiting followers: the view changed, or the store was lost.
    pub changed: Notify,
    /// Wakes the questions to endpoints: one waits for a proof that it lives.
    pub returned: Notify,
    /// Cancelled when the process is asked to stop.
    pub stopping: CancellationToken,
    /// When it was asked to stop.
    pub stopping_since: Cell<Option<BootTime>>,
    /// Requests being served.
    pub active_requests: Cell<usize>,
    /// When the process started.
    pub started: BootTime,
}

impl<P: Protocol> Edge<P> {
    /// Creates the state of a process that knows nothing yet.
    pub fn new(settings: Settings, protocol: P) -> Edge<P> {
        let now = now_boot();
        let stopping = CancellationToken::new();
        let own = settings.peer_address();
        let descriptors = settings
            .descriptors
            .unwrap_or(DEFAULT_DESCRIPTORS)
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(1);
        let limits = Limits {
            max_connections: (descriptors as f64 * CALLERS_SHARE) as usize,
            ..Limits::default()
        };
        let client = Client::new(Options {
            id_header: protocol.header_names().request_id.clone(),
            until_close: true,
            tcp_keepalive: Some(PROBE_IDLE),
            user_timeout: MAX_SILENCE,
            idle_per_addr: IDLE_PER_ENDPOINT,
            idle_total: (descriptors as f64 * IDLE_SHARE) as usize,
            ..Options::default()
        });
        Edge {
            retry_budget: RefCell::new(RetryBudget::new(settings.bounds.retry_limits(), now)),
            rate_limiter: RefCell::new(RateLimiter::new(own, now)),
            members: RefCell::new(Members::new(own, &settings.seeds, now)),
            view: RefCell::new(View::new(settings.bounds.heartbeat() * MAX_EXPIRY_BEATS)),
            config_freshness: RefCell::default(),
            told_configs: RefCell::default(),
            config_wanted: Notify::new(),
            loads: RefCell::default(),
            popularity: RefCell::default(),
            digests: RefCell::default(),
            tokens_in_flight: RefCell::default(),
            split: RefCell::default(),
            notices: RefCell::default(),
            named_limits: RefCell::default(),
            rejection_limits: RefCell::default(),
            rejections: RefCell::default(),
            quarantine: RefCell::default(),
            releases: RefCell::new(Releases::at_start(settings.released_subjects())),
            reach: RefCell::default(),
            placements: RefCell::new(coordinator::Client::new(rand::random())),
            coordination: RefCell::default(),
            placement_urgent: Notify::new(),
            placement_events: Notify::new(),
            placement_queued: Notify::new(),
            history: RefCell::default(),
            streams: RefCell::default(),
            stream_news: Notify::new(),
            store_wanted_at: Cell::new(None),
            store_wanted: Notify::new(),
            limits: Rc::new(Cell::new(limits)),
            counters: Counters::default(),
            store_responded_at: Cell::new(None),
            removal_delay_until: Cell::new(None),
            store_access: Cell::new(StoreAccess::Lost),
            readers: RefCell::default(),
            changed: Notify::new(),
            returned: Notify::new(),
            connections: ConnectionPool::new(peers::options(), stopping.clone()),
            stopping,
            stopping_since: Cell::new(None),
            active_requests: Cell::new(0),
            started: now,
            client,
            settings,
            protocol,
        }
    }

    /// Whether the instance is ready for new connections.
    pub fn is_ready(&self) -> bool {
        let view = self.view.borrow();
        view.has_config() && view.endpoint_count() > 0 && self.stopping_since.get().is_none()
    }

    /// How long endpoints without a record are still kept.
    pub fn removal_delay(&self, now: BootTime) -> Duration {
        self.removal_delay_until
            .get()
            .map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Chooses the service of a request at random by the weights of its route.
    pub fn choose_service(&self, route: &Route) -> Option<Rc<Service>> {
        let total: u64 = route.backends.iter().map(|b| u64::from(b.weight)).sum();
        let mut draw = rand::rng().random_range(0..total.max(1));
        let mut chosen: Option<&ServiceId> = None;
        for backend in &route.backends {
            chosen = Some(&backend.service);
            let weight = u64::from(backend.weight);
            if draw < weight {
                break;
            }
            draw -= weight;
        }
        self.view.borrow().catalog().service(chosen?).cloned()
    }

    /// Records how a request at an endpoint ended.
    pub fn record(&self, service: &str, endpoint: &str, outcome: Outcome) {
        self.tell_outcome(service, endpoint, outcome);
        let now = now_boot();
        let view = self.view.borrow();
        let mut loads = self.loads.borrow_mut();
        let ids = view.usable(service, now).map(|k| k.endpoint.id.as_str());
        let others = loads.failure_share_without(ids, endpoint, now);
        let changed = loads.get_or_insert(endpoint).health.record(outcome, others, now);
        if changed {
            info!(endpoint, sign = ?outcome, others, "health: standing changed");
        }
    }

    /// Applies what an endpoint announced in a response.
    pub fn apply_notice(&self, endpoint: &Endpoint, notice: Notice) {
        let id = &endpoint.id;
        let NoticeEffect {
            is_leaving,
            pauses,
            is_invalid,
        } = self.notices.borrow_mut().record(endpoint, notice, now_boot());
        if is_invalid {
            warn!(endpoint = id, asked = ?notice.pause, kept = ?pauses, "notice: a pause of no sense");
        }
        if is_leaving {
            self.counters.leaving.inc();
            info!(endpoint = id, start = endpoint.start, "notice: the endpoint leaves");
        }
        if let Some(pause) = pauses {
            self.counters.pauses.inc();
            info!(
                endpoint = id,
                ms = pause.as_millis() as u64,
                "notice: the endpoint pauses"
            );
        }
    }

    /// Takes one retry of a request to `service` from the budget, if any is left.
    pub fn take_retry(&self, service: &str) -> bool {
        let now = now_boot();
        let instances = self.members.borrow().allowance_divisor(now);
        let is_taken = self.retry_budget.borrow_mut().take(service, instances, now);
        if !is_taken {
            info!(service, instances, "budget: no retry left");
        }
        is_taken
    }

    /// Applies the effects of an update of the view.
    pub fn apply_update(&self, update: &Update, from: &'static str) {
        let now = now_boot();
        let mut loads = self.loads.borrow_mut();
        let mut coordination = self.coordination.borrow_mut();
        for id in &update.appeared {
            loads.reset(id);
            coordination.reset(id);
        }
        for id in &update.gone {
            loads.remove_idle(id);
            coordination.reset(id);
        }
        drop((loads, coordination));
        self.sweep_rates(now);
        self.limit_idle(now);
        self.notices.borrow_mut().sweep(now);
        self.sweep_named_limits(now);
        self.sweep_rejections(now);
        self.sweep_quarantine(now);
        self.update_history(now);
        if *update == Update::default() {
            return;
        }
        self.changed.notify_waiters();
        self.returned.notify_one();
        let view = self.view.borrow();
        if update.config.is_some() {
            self.apply_limits(&view);
            self.config_freshness.borrow_mut().note_learned(now);
        }
        if let Some(restored) = &update.restored {
            self.note_restore(restored, now);
        }
        info!(
            from,
            era = view.position().era,
            revision = view.position().revision,
            config = view.catalog().version(),
            endpoints = view.endpoint_count(),
            update = ?update,
            "view: changed"
        );
    }

    fn note_restore(&self, restored: &Restored, now: BootTime) {
        self.counters.restores.inc();
        self.config_freshness.borrow_mut().note_restored(now);
        warn!(
            from_era = restored.from.era,
            from_revision = restored.from.revision,
            to_era = restored.to.era,
            to_revision = restored.to.revision,
            listed_config = restored.older_config,
            still_leaving = ?restored.still_leaving,
            still_out = ?restored.still_out,
            missing = ?restored.missing,
            unproven = ?restored.unproven,
            "store: came back older; what it lacks stays in force until it is written again"
        );
    }

    fn apply_limits(&self, view: &View) {
        let Some(new) = view.catalog().limits() else {
            return;
        };
        let reduced = view.catalog().reduced_times();
        if reduced > 0 {
            warn!(
                config = view.catalog().version(),
                reduced, "view: times of the configuration are too long and were reduced"
            );
        }
        let mut limits = self.limits.get();
        limits.max_head_bytes = new.head_bytes;
        limits.max_body_bytes = new.body_bytes;
        limits.head_timeout = new.head_time;
        // A caller may use an idle connection up to the end of `idle_time`, so it is closed only some time later.
        limits.idle_timeout = new.idle_time + new.idle_time / 4;
        self.limits.set(limits);
    }
}
