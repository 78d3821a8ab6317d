//! A model engine with continuous batching.
//!
//! [`batch`] decides in which step a request's prompt is read and its tokens appear, and [`drive`] gives it its clock;
//! [`chat`] takes calls and [`answer`] sends what they get; [`cache`] keeps prompt prefixes in limited memory; [`load`]
//! reports with a lag; [`orders`] takes orders.

mod answer;
mod batch;
mod cache;
mod chat;
mod drive;
mod load;
mod options;
mod orders;
mod prompt;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use celerytide_http::server::{Handler, Request, Responder};
use celerytide_types::now_unix_ms;
use http::{Method, StatusCode};
use tokio_util::sync::CancellationToken;

pub use batch::{Batch, Job, Pace, Progress};
pub use cache::{Cache, CacheEvent};
pub use load::{Load, LoadLog};
pub use options::Options;
pub use orders::{Order, Orders};
pub use prompt::{Prompt, ResponseLengths};

use crate::{
    daemon,
    fault::{Crossing, Fault, Faults},
    reply::{self, Closed},
    sockets,
};

/// Path of the load report.
pub const LOAD_PATH: &str = "/load";
/// Path that gives how often the engine was given more than it bears while cold.
pub const OVERLOADS_PATH: &str = "/__falls";
/// Path of the cache events.
pub const CACHE_EVENTS_PATH: &str = "/cache-events";
/// Path of the orders.
pub const ORDERS_PATH: &str = "/orders";

/// The state of an engine.
pub struct Engine {
    options: Options,
    lengths: ResponseLengths,
    batch: Rc<RefCell<Batch>>,
    wake: RefCell<Option<futures::channel::oneshot::Sender<()>>>,
    cache: RefCell<Cache>,
    load: RefCell<LoadLog>,
    orders: RefCell<Orders>,
    cold_until: Cell<Instant>,
    /// Whether reports tell of the present cold start.
    cold_told: Cell<bool>,
    started_unix_ms: Cell<u64>,
    /// Cancelled and replaced whenever the engine falls over.
    life: RefCell<CancellationToken>,
    faults: Faults,
    crossing: Crossing<answer::Identity>,
    /// Times it was given more than it bears while cold.
    falls: Cell<u64>,
}

impl Engine {
    /// A cold engine, with its batch and its reports running.
    pub fn start(options: &Options) -> Result<Rc<Self>, daemon::Error> {
        let engine = Rc::new(Self {
            lengths: ResponseLengths::new(options.seed),
            batch: Rc::new(RefCell::new(Batch::new(options.pace(), options.slots))),
            wake: RefCell::default(),
            cache: RefCell::new(Cache::new(options.cache_tokens, options.seed)),
            load: RefCell::new(LoadLog::new(Duration::from_millis(options.report_lag_ms))),
            orders: RefCell::new(Orders::new(options.fenced)),
            cold_until: Cell::new(Instant::now() + options.cold_time()),
            cold_told: Cell::new(true),
            started_unix_ms: Cell::new(now_unix_ms()),
            life: RefCell::default(),
            faults: Faults::default(),
            crossing: Crossing::default(),
            falls: Cell::default(),
            options: options.clone(),
        });
        monoio::spawn(drive::drive(engine.clone()));
        monoio::spawn(load::observe(engine.clone()));
        Ok(engine)
    }

    /// Whether the engine bears only its cold slots.
    pub fn is_cold(&self) -> bool {
        Instant::now() < self.cold_until.get()
    }

    /// Resets every connection that has work, forgets the cache, and starts cold.
    fn fall_over(&self) {
        self.falls.set(self.falls.get() + 1);
        self.cool(true);
        let old = self.life.replace(CancellationToken::new());
        old.cancel();
        self.batch.borrow_mut().clear();
        sockets::close_all();
    }

    fn cool(&self, told: bool) {
        self.cold_until.set(Instant::now() + self.options.cold_time());
        self.cold_told.set(told);
        if told {
            self.started_unix_ms.set(now_unix_ms());
        }
        self.cache.borrow_mut().clear();
    }

    /// The load as it is now.
    fn load_now(&self) -> Load {
        let batch = self.batch.borrow();
        Load {
            running: batch.running(),
            waiting: batch.waiting(),
            slots: self.options.slots,
            started_unix_ms: self.started_unix_ms.get(),
            observed_unix_ms: now_unix_ms(),
            cold: self.is_cold() && self.cold_told.get(),
            tokens_per_second: 0.0,
            tokens_total: 0,
        }
    }

    async fn control(&self, req: Request, out: Responder) {
        if req.method == Method::GET && req.uri.path() == OVERLOADS_PATH {
            return reply::json(out, StatusCode::OK, "", &self.falls.get()).await;
        }
        if req.method != Method::PUT || req.uri.path() != crate::probe::FAULT_PATH {
            return reply::error(out, StatusCode::NOT_FOUND, "", "no such control path").await;
        }
        match serde_json::from_slice(&req.body) {
            Ok(Fault::Crash) => {
                reply::json(out, StatusCode::OK, "", &true).await;
                reply::crash()
            }
            Ok(Fault::Cold { signal }) => {
                self.cool(signal);
                reply::json(out, StatusCode::OK, "", &true).await;
            }
            Ok(fault) if self.faults.set(fault.clone()) => reply::json(out, StatusCode::OK, "", &fault).await,
            _ => reply::error(out, StatusCode::BAD_REQUEST, "", "not a fault of this stand-in").await,
        }
    }

    async fn platform(&self, req: Request, out: Responder, cx: &CancellationToken) -> Result<(), Closed> {
        self.faults.meet(req.peer);
        self.faults.pass(req.peer, cx).await?;
        let id = reply::header_text(&req.headers, reply::REQUEST_ID).to_owned();
        match (&req.method, req.uri.path()) {
            (&Method::GET, LOAD_PATH) => {
                let load = self
                    .load
                    .borrow()
                    .read(Instant::now())
                    .unwrap_or_else(|| self.load_now());
                reply::json(out, StatusCode::OK, &id, &load).await;
            }
            (&Method::GET, CACHE_EVENTS_PATH) => {
                let since = reply::query(&req, "since")
                    .and_then(|since| since.parse().ok())
                    .unwrap_or(0);
                let lag = Duration::from_millis(self.options.report_lag_ms);
                let events = self.cache.borrow().events(since, lag);
                reply::json(out, StatusCode::OK, &id, &events).await;
            }
            (&Method::GET, ORDERS_PATH) => {
                let body = reply::to_json(self.orders.borrow().accepted());
                out.whole(StatusCode::OK, reply::headers("application/json", &id), body)
                    .await?;
            }
            (&Method::POST, ORDERS_PATH) => self.order(&req.body, &id, out).await,
            (&Method::GET, "/v1/models") => reply::json(out, StatusCode::OK, &id, &self.models()).await,
            _ => reply::error(out, StatusCode::NOT_FOUND, &id, "no such path").await,
        }
        Ok(())
    }

    async fn order(&self, body: &Bytes, id: &str, out: Responder) {
        let Ok(order) = serde_json::from_slice::<Order>(body) else {
            return reply::error(out, StatusCode::BAD_REQUEST, id, "not an order").await;
        };
        let accepted = self.orders.borrow_mut().take(order.clone());
        match accepted {
            Ok(()) => reply::json(out, StatusCode::OK, id, &order).await,
            Err(e) => reply::error(out, StatusCode::CONFLICT, id, &e.to_string()).await,
        }
    }

    fn models(&self) -> serde_json::Value {
        let model = |name: &str| serde_json::json!({ "id": name, "object": "model", "owned_by": self.options.id });
        let mut names = vec![self.options.model.clone()];
        names.extend(self.orders.borrow().loaded());
        let data: Vec<_> = names.iter().map(|name| model(name)).collect();
        serde_json::json!({ "object": "list", "data": data })
    }
}

impl Handler for Engine {
    async fn handle(&self, req: Request, out: Responder, cx: CancellationToken) {
        let path = req.uri.path();
        if path.starts_with(crate::probe::CONTROL_PREFIX) {
            return self.control(req, out).await;
        }
        let is_chat = path == chat::CHAT_PATH || path == chat::TEXT_PATH;
        let peer = req.peer;
        let done = match is_chat && req.method == Method::POST {
            true => chat::serve(self, req, out, &cx).await,
            false => self.platform(req, out, &cx).await,
        };
        if done.is_err() {
            sockets::close(peer);
        }
    }
}
