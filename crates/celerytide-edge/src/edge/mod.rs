//! The state of the process and the decisions that need more than one part of it.

mod flight;
mod pick;
mod sure;

use std::cell::{Cell, RefCell};
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

pub use flight::InFlight;
pub use pick::{NoPick, Pick};
pub use sure::Sure;

use crate::admit::Held;
use crate::budget::Budget;
use crate::cold::ColdShares;
use crate::health::Sign;
use crate::metrics::Counters;
use crate::names::Wire;
use crate::notice::{Heard, Notice, Notices};
use crate::peers::digest::Digests;
use crate::peers::readers::Readers;
use crate::peers::{self, Members};
use crate::place::Loads;
use crate::place::heat::Heat;
use crate::settings::Settings;
use crate::split::Split;

/// Silence after which an idle connection is probed; one that answers nothing is found within three times that.
const PROBE: Duration = Duration::from_secs(1);
/// Time for which an endpoint may acknowledge nothing before its connection ends.
const SILENCE: Duration = Duration::from_secs(2);
/// Idle connections kept to one endpoint.
const IDLE_PER_ENDPOINT: usize = 16;
/// Share of the descriptors for callers' connections; the rest is for endpoints, peers and the store.
const CALLERS_SHARE: f64 = 0.55;
/// Share of the descriptors for idle connections to endpoints.
const IDLE_SHARE: f64 = 0.2;
/// Descriptors where the settings name no bound.
const DESCRIPTORS: usize = 1024;
/// Heartbeats after which the entry of a dead endpoint has lapsed for sure.
const PROOF_BEATS: u32 = 4;
/// Descriptors kept for files.
const FILES: usize = 200;

/// Whether an instance reads the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reading {
    /// It reads, and the store answers.
    Reads,
    /// It follows an instance that reads.
    Follows,
    /// It reads, and the store doesn't answer.
    Lost,
}

/// The process.
pub struct Edge<W: Wire> {
    /// Its settings at the start.
    pub settings: Settings,
    /// The language of callers and endpoints.
    pub wire: W,
    /// What is known.
    pub view: RefCell<View>,
    /// Whether the configuration is known to be the newest.
    pub sure: RefCell<Sure>,
    /// What is in flight.
    pub loads: RefCell<Loads>,
    /// How often shared parts are asked for.
    pub heat: RefCell<Heat>,
    /// What other instances have in flight.
    pub digests: RefCell<Digests>,
    /// Tokens in flight at engines.
    pub held: RefCell<Held>,
    /// Repeats.
    pub budget: RefCell<Budget>,
    /// Which engines read long prompts.
    pub split: RefCell<Split>,
    /// What endpoints say of themselves.
    pub notices: RefCell<Notices>,
    /// Shares of cold endpoints.
    pub cold: RefCell<ColdShares>,
    /// Other instances.
    pub members: RefCell<Members>,
    /// Connections to them.
    pub links: ConnectionPool,
    /// Connections to endpoints.
    pub client: Client,
    /// Bounds on callers, as the configuration in force says.
    pub limits: Rc<Cell<Limits>>,
    /// Counters and histograms.
    pub counters: Counters,
    /// When the store last answered, this instance or the one that it follows.
    pub store_at: Cell<Option<BootTime>>,
    /// Until when endpoints whose entries are gone are still kept, after an outage of the store.
    pub hold_until: Cell<Option<BootTime>>,
    /// Whether this instance reads the store.
    pub reading: Cell<Reading>,
    /// Those that read it for others.
    pub readers: RefCell<Readers>,
    /// Wakes those that follow this instance: the view changed, or the store was lost.
    pub changed: Notify,
    /// Cancelled when the process shall stop.
    pub stopping: CancellationToken,
    /// When it was asked to stop.
    pub stopping_since: Cell<Option<BootTime>>,
    /// Requests being served.
    pub busy: Cell<usize>,
    /// When it started.
    pub started: BootTime,
}

impl<W: Wire> Edge<W> {
    /// A process that knows nothing yet.
    pub fn new(settings: Settings, wire: W) -> Edge<W> {
        let now = now_boot();
        let stopping = CancellationToken::new();
        let own = settings.peers.unwrap_or(settings.callers);
        let descriptors = settings.descriptors.unwrap_or(DESCRIPTORS).saturating_sub(FILES).max(1);
        let limits = Limits {
            connections: (descriptors as f64 * CALLERS_SHARE) as usize,
            ..Limits::default()
        };
        let client = Client::new(Options {
            id_header: wire.names().request_id.clone(),
            until_close: true,
            probe: Some(PROBE),
            silence: SILENCE,
            idle_per_addr: IDLE_PER_ENDPOINT,
            idle_total: (descriptors as f64 * IDLE_SHARE) as usize,
            ..Options::default()
        });
        Edge {
            budget: RefCell::new(Budget::new(settings.bounds.repeats())),
            cold: RefCell::new(ColdShares::new(own, now)),
            members: RefCell::new(Members::new(own, &settings.seeds, now)),
            view: RefCell::new(View::new(settings.bounds.heartbeat() * PROOF_BEATS)),
            sure: RefCell::default(),
            loads: RefCell::default(),
            heat: RefCell::default(),
            digests: RefCell::default(),
            held: RefCell::default(),
            split: RefCell::default(),
            notices: RefCell::default(),
            limits: Rc::new(Cell::new(limits)),
            counters: Counters::default(),
            store_at: Cell::new(None),
            hold_until: Cell::new(None),
            reading: Cell::new(Reading::Lost),
            readers: RefCell::default(),
            changed: Notify::new(),
            links: ConnectionPool::new(peers::options(), stopping.clone()),
            stopping,
            stopping_since: Cell::new(None),
            busy: Cell::new(0),
            started: now,
            client,
            settings,
            wire,
        }
    }

    /// Whether new connections may come.
    pub fn is_ready(&self) -> bool {
        let view = self.view.borrow();
        view.has_config() && view.endpoint_count() > 0 && self.stopping_since.get().is_none()
    }

    /// For how long endpoints whose entries are gone are still kept.
    pub fn hold(&self, now: BootTime) -> Duration {
        self.hold_until.get().map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Draws the service of a request by the weights of its route.
    pub fn draw_service(&self, route: &Route) -> Option<Rc<Service>> {
        let total: u32 = route.backends.iter().map(|b| b.weight).sum();
        let mut draw = rand::rng().random_range(0..total.max(1));
        let mut chosen: Option<&ServiceId> = None;
        for backend in &route.backends {
            chosen = Some(&backend.service);
            if draw < backend.weight {
                break;
            }
            draw -= backend.weight;
        }
        self.view.borrow().catalog().service(chosen?).cloned()
    }

    /// Takes in how a request at an endpoint ended.
    pub fn record(&self, service: &str, endpoint: &str, sign: Sign) {
        let now = now_boot();
        let view = self.view.borrow();
        let mut loads = self.loads.borrow_mut();
        let ids = view.usable(service, now).map(|k| k.endpoint.id.as_str());
        let others = loads.others_failures(ids, endpoint, now);
        let changed = loads.entry(endpoint).health.record(sign, others, now);
        if changed {
            info!(endpoint, ?sign, others, "health: standing changed");
        }
    }

    /// Takes in what an endpoint says of itself in an answer.
    pub fn hear(&self, endpoint: &Endpoint, notice: Notice) {
        let id = &endpoint.id;
        let Heard {
            leaves,
            pauses,
            senseless,
        } = self.notices.borrow_mut().note(endpoint, notice, now_boot());
        if senseless {
            warn!(endpoint = id, asked = ?notice.pause, kept = ?pauses, "notice: a pause of no sense");
        }
        if leaves {
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

    /// Takes one repeat of a request to `service`, if there is one left.
    pub fn take_repeat(&self, service: &str) -> bool {
        let now = now_boot();
        let instances = self.members.borrow().known(now).len();
        self.budget.borrow_mut().take(service, instances, now)
    }

    /// Follows what an update of the view did.
    pub fn follow_update(&self, update: &Update, from: &'static str) {
        let now = now_boot();
        let mut loads = self.loads.borrow_mut();
        for id in &update.appeared {
            loads.restart(id);
        }
        for id in &update.gone {
            loads.forget(id);
        }
        drop(loads);
        self.cold.borrow_mut().sweep(now);
        self.notices.borrow_mut().sweep(now);
        if *update == Update::default() {
            return;
        }
        self.changed.notify_waiters();
        let view = self.view.borrow();
        if update.config.is_some() {
            self.follow_limits(&view);
            self.sure.borrow_mut().learned(now);
        }
        if let Some(restored) = &update.restored {
            self.follow_restore(restored, now);
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

    fn follow_restore(&self, restored: &Restored, now: BootTime) {
        self.counters.restores.inc();
        self.sure.borrow_mut().restored(now);
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

    fn follow_limits(&self, view: &View) {
        let Some(new) = view.catalog().limits() else {
            return;
        };
        let mut limits = self.limits.get();
        limits.max_head = new.head_bytes;
        limits.max_body = new.body_bytes;
        limits.head = new.head_time;
        // A caller may use a kept connection up to the last moment of this time.
        limits.idle = new.idle_time + new.idle_time / 4;
        self.limits.set(limits);
    }
}
