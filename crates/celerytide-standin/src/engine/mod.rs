//! A model engine with continuous batching.
//!
//! It slows down under load, restarts cold, reports its load late and fails mid-response, as real engines do.
//! [`batch`] schedules prompt reading and decoding, and [`steps`] runs it in real time; [`chat`] accepts requests and
//! [`response`] sends their tokens; [`cache`] keeps prompt prefixes in limited memory; [`load`] reports with a lag;
//! [`orders`] accepts orders. Every request that enters the batch is recorded as a run.

mod batch;
mod cache;
mod chat;
mod load;
mod options;
mod orders;
mod prompt;
mod response;
mod steps;

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

pub use batch::{Batch, Job, Progress, StepCost};
pub use cache::{CacheEvent, PrefixCache};
pub use load::{Load, LoadHistory};
pub use options::Options;
pub use orders::{Order, OrderLog};
pub use prompt::{Prompt, ResponseLengths};

use crate::{
    daemon,
    fault::{Fault, Faults, ResponseSwap},
    plain::{RUNS_PATH, Run},
    respond::{self, Abort},
    sockets,
};

/// Path of the load report ([`Load`]).
pub const LOAD_PATH: &str = "/load";
/// Path of the number of times the engine was overloaded while cold.
pub const OVERLOADS_PATH: &str = "/__falls";
/// Path of the prefix cache's events ([`CacheEvent`]).
pub const CACHE_EVENTS_PATH: &str = "/cache-events";
/// Path that accepts orders by `POST` and lists the accepted ones by `GET`.
pub const ORDERS_PATH: &str = "/orders";

/// Stand-in for a model engine.
pub struct Engine {
    options: Options,
    lengths: ResponseLengths,
    batch: Rc<RefCell<Batch>>,
    wake: RefCell<Option<futures::channel::oneshot::Sender<()>>>,
    cache: RefCell<PrefixCache>,
    load: RefCell<LoadHistory>,
    orders: RefCell<OrderLog>,
    cold_until: Cell<Instant>,
    /// Whether load reports show the current cold start.
    is_cold_reported: Cell<bool>,
    started_unix_ms: Cell<u64>,
    /// Cancels all requests in the engine; replaced at each overload.
    running_cx: RefCell<CancellationToken>,
    faults: Faults,
    swap: ResponseSwap<response::ResponseSpec>,
    /// Number of overloads while cold.
    overloads: Cell<u64>,
    /// Every request that entered the batch.
    runs: RefCell<Vec<Run>>,
}

impl Engine {
    /// Starts a cold engine with its decode loop and its load reports.
    pub fn start(options: &Options) -> Result<Rc<Self>, daemon::Error> {
        let engine = Rc::new(Self {
            lengths: ResponseLengths::new(options.seed),
            batch: Rc::new(RefCell::new(Batch::new(options.step_cost(), options.slots))),
            wake: RefCell::default(),
            cache: RefCell::new(PrefixCache::new(options.cache_tokens, options.seed)),
            load: RefCell::new(LoadHistory::new(Duration::from_millis(options.report_lag_ms))),
            orders: RefCell::new(OrderLog::new(options.fenced)),
            cold_until: Cell::new(Instant::now() + options.cold_time()),
            is_cold_reported: Cell::new(true),
            started_unix_ms: Cell::new(now_unix_ms()),
            running_cx: RefCell::default(),
            faults: Faults::default(),
            swap: ResponseSwap::default(),
            overloads: Cell::default(),
            runs: RefCell::default(),
            options: options.clone(),
        });
        monoio::spawn(steps::run(engine.clone()));
        monoio::spawn(load::run_observer(engine.clone()));
        Ok(engine)
    }

    /// Whether the engine is limited to its cold slots.
    pub fn is_cold(&self) -> bool {
        Instant::now() < self.cold_until.get()
    }

    /// Fails as an overloaded engine does: closes every connection, drops all requests and the cache, and starts cold.
    fn overload(&self) {
        self.overloads.set(self.overloads.get() + 1);
        self.start_cold(true);
        let old = self.running_cx.replace(CancellationToken::new());
        old.cancel();
        self.batch.borrow_mut().clear();
        sockets::close_all();
    }

    fn start_cold(&self, is_reported: bool) {
        self.cold_until.set(Instant::now() + self.options.cold_time());
        self.is_cold_reported.set(is_reported);
        if is_reported {
            self.started_unix_ms.set(now_unix_ms());
        }
        self.cache.borrow_mut().clear();
    }

    /// The current load, without token counts.
    fn current_load(&self) -> Load {
        let batch = self.batch.borrow();
        Load {
            running: batch.running(),
            waiting: batch.waiting(),
            slots: self.options.slots,
            started_unix_ms: self.started_unix_ms.get(),
            observed_unix_ms: now_unix_ms(),
            cold: self.is_cold() && self.is_cold_reported.get(),
            tokens_per_second: 0.0,
            tokens_total: 0,
        }
    }

    async fn serve_control(&self, req: Request, out: Responder) {
        if req.method == Method::GET && req.uri.path() == OVERLOADS_PATH {
            return respond::json(out, StatusCode::OK, "", &self.overloads.get()).await;
        }
        if req.method == Method::GET && req.uri.path() == RUNS_PATH {
            let body = respond::to_json(&*self.runs.borrow());
            let _ = out
                .whole(StatusCode::OK, respond::headers("application/json", ""), body)
                .await;
            return;
        }
        if req.method != Method::PUT || req.uri.path() != crate::probe::FAULT_PATH {
            return respond::error(out, StatusCode::NOT_FOUND, "", "no such control path").await;
        }
        match serde_json::from_slice(&req.body.to_bytes()) {
            Ok(Fault::Crash) => {
                respond::json(out, StatusCode::OK, "", &true).await;
                respond::exit_crashed()
            }
            Ok(Fault::Cold { signal }) => {
                self.start_cold(signal);
                respond::json(out, StatusCode::OK, "", &true).await;
            }
            Ok(fault @ Fault::Stall { .. }) => {
                self.faults.queue(fault.clone());
                respond::json(out, StatusCode::OK, "", &fault).await;
            }
            Ok(fault) if self.faults.set(fault.clone()) => respond::json(out, StatusCode::OK, "", &fault).await,
            _ => respond::error(out, StatusCode::BAD_REQUEST, "", "not a fault of this stand-in").await,
        }
    }

    async fn serve_platform(&self, req: Request, out: Responder, cx: &CancellationToken) -> Result<(), Abort> {
        self.faults.record_peer(req.peer);
        self.faults.wait_to_send(req.peer, cx).await?;
        let id = respond::header_text(&req.headers, respond::REQUEST_ID_HEADER).to_owned();
        match (&req.method, req.uri.path()) {
            (&Method::GET, LOAD_PATH) => {
                let load = self
                    .load
                    .borrow()
                    .read(Instant::now())
                    .unwrap_or_else(|| self.current_load());
                respond::json(out, StatusCode::OK, &id, &load).await;
            }
            (&Method::GET, CACHE_EVENTS_PATH) => {
                let since = respond::query_param(&req, "since")
                    .and_then(|since| since.parse().ok())
                    .unwrap_or(0);
                let lag = Duration::from_millis(self.options.report_lag_ms);
                let events = self.cache.borrow().events(since, lag);
                respond::json(out, StatusCode::OK, &id, &events).await;
            }
            (&Method::GET, ORDERS_PATH) => {
                let body = respond::to_json(self.orders.borrow().accepted());
                out.whole(StatusCode::OK, respond::headers("application/json", &id), body)
                    .await?;
            }
            (&Method::POST, ORDERS_PATH) => self.take_order(&req.body.to_bytes(), &id, out).await,
            (&Method::GET, "/v1/models") => respond::json(out, StatusCode::OK, &id, &self.model_list()).await,
            _ => respond::error(out, StatusCode::NOT_FOUND, &id, "no such path").await,
        }
        Ok(())
    }

    async fn take_order(&self, body: &Bytes, id: &str, out: Responder) {
        let Ok(order) = serde_json::from_slice::<Order>(body) else {
            return respond::error(out, StatusCode::BAD_REQUEST, id, "not an order").await;
        };
        let accepted = self.orders.borrow_mut().accept(order.clone());
        match accepted {
            Ok(()) => respond::json(out, StatusCode::OK, id, &order).await,
            Err(e) => respond::error(out, StatusCode::CONFLICT, id, &e.to_string()).await,
        }
    }

    fn model_list(&self) -> serde_json::Value {
        let model = |name: &str| serde_json::json!({ "id": name, "object": "model", "owned_by": self.options.id });
        let mut names = vec![self.options.model.clone()];
        names.extend(self.orders.borrow().loaded_models());
        let data: Vec<_> = names.iter().map(|name| model(name)).collect();
        serde_json::json!({ "object": "list", "data": data })
    }
}

impl Handler for Engine {
    async fn handle(&self, req: Request, out: Responder, cx: CancellationToken) {
        let path = req.uri.path();
        if path.starts_with(crate::probe::CONTROL_PREFIX) {
            return self.serve_control(req, out).await;
        }
        let is_chat = path == chat::CHAT_PATH || path == chat::COMPLETION_PATH;
        let peer = req.peer;
        let done = match is_chat && req.method == Method::POST {
            true => chat::serve(self, req, out, &cx).await,
            false => self.serve_platform(req, out, &cx).await,
        };
        if done.is_err() {
            sockets::close(peer);
        }
    }
}
