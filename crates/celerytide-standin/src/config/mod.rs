//! Stand-in for the configuration service and the service lists, with the HTTP interface of Consul.
//!
//! The system only reads (`/v1/...`); tests publish at `/__test/...`. A read with an index is a blocking query: it
//! waits until the document has a higher index or its wait time is over. Lists are served from a view that lags behind.

mod calls;
mod store;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use argh::FromArgs;
use bytes::Bytes;
use celerytide_http::server::{Handler, Request, Responder};
use celerytide_types::Millis;
use http::{HeaderName, Method, StatusCode};
use monoio::time;
use tokio_util::sync::CancellationToken;

pub use calls::{CallCounter, Calls};
pub use store::{Store, UNPUBLISHED_INDEX, Version};

use crate::{
    daemon,
    fault::{Fault, Faults},
    respond::{self, Abort},
    sockets,
};

/// Path of the request counts ([`Calls`]).
pub const CALLS_PATH: &str = "/__calls";
/// Path at which tests publish the manifest.
pub const TEST_MANIFEST_PATH: &str = "/__test/manifest";
/// Path prefix at which tests publish a section of the manifest; its digest follows.
pub const TEST_SECTION_PATH: &str = "/__test/customers/";
/// Path prefix at which tests publish a list; its name follows.
pub const TEST_LIST_PATH: &str = "/__test/list/";

const MANIFEST_PATH: &str = "/v1/kv/celerytide/manifest";
const SECTION_PATH: &str = "/v1/kv/celerytide/customers/";
const LIST_PATH: &str = "/v1/health/service/";
const MANIFEST_NAME: &str = "manifest";
/// Prefix of the document names of sections; the digest follows.
const SECTION_PREFIX: &str = "customers/";
const INDEX_HEADER: HeaderName = HeaderName::from_static("x-consul-index");
/// Wait time of a blocking query that states none.
const DEFAULT_WAIT: Duration = Duration::from_secs(20);
/// Longest wait time of a blocking query.
const MAX_WAIT: Duration = Duration::from_secs(600);

/// The configuration service and the published lists.
#[derive(FromArgs, Debug, Clone)]
#[argh(subcommand, name = "config")]
pub struct Options {
    /// address to listen on; port 0 takes a free one
    #[argh(option)]
    pub listen: SocketAddr,
    /// file with the first manifest
    #[argh(option)]
    pub manifest: Option<String>,
    /// age of the view from which lists are answered
    #[argh(option, default = "0")]
    pub lag_ms: Millis,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Health {
    Up,
    Down,
    NotFound,
}

/// Stand-in for the configuration service.
pub struct ConfigService {
    store: Store,
    lag: Duration,
    health: Cell<Health>,
    counter: RefCell<CallCounter>,
    faults: Faults,
}

struct BlockingQuery {
    name: String,
    lag: Duration,
    index: u64,
    deadline: Instant,
}

impl ConfigService {
    /// A service that starts with the manifest file of the options, if there is one.
    pub fn open(options: &Options) -> Result<Rc<Self>, daemon::Error> {
        let service = Self {
            store: Store::default(),
            lag: Duration::from_millis(options.lag_ms),
            health: Cell::new(Health::Up),
            counter: RefCell::default(),
            faults: Faults::default(),
        };
        if let Some(path) = &options.manifest {
            let text = std::fs::read(path).map_err(|source| daemon::Error::Read {
                path: path.clone(),
                source,
            })?;
            service.store.publish(MANIFEST_NAME, Bytes::from(text));
        }
        Ok(Rc::new(service))
    }

    async fn serve_control(&self, req: Request, out: Responder) {
        let path = req.uri.path().to_owned();
        match (&req.method, path.as_str()) {
            (&Method::GET, CALLS_PATH) => {
                let calls = self.counter.borrow_mut().read(Instant::now());
                respond::json(out, StatusCode::OK, "", &calls).await;
            }
            (&Method::PUT, crate::probe::FAULT_PATH) => self.set_fault(&req.body.to_bytes(), out).await,
            (&Method::PUT, TEST_MANIFEST_PATH) => {
                let index = self.store.publish(MANIFEST_NAME, req.body.to_bytes());
                respond::json(out, StatusCode::OK, "", &index).await;
            }
            (&Method::PUT, section) if section.starts_with(TEST_SECTION_PATH) => {
                let name = format!("{SECTION_PREFIX}{}", &section[TEST_SECTION_PATH.len()..]);
                let index = self.store.publish(&name, req.body.to_bytes());
                respond::json(out, StatusCode::OK, "", &index).await;
            }
            (&Method::PUT, list) if list.starts_with(TEST_LIST_PATH) => {
                self.publish_list(&list[TEST_LIST_PATH.len()..], req.body.to_bytes(), out)
                    .await;
            }
            _ => respond::error(out, StatusCode::NOT_FOUND, "", "no such control path").await,
        }
    }

    async fn publish_list(&self, name: &str, body: Bytes, out: Responder) {
        if serde_json::from_slice::<Vec<serde_json::Value>>(&body).is_err() {
            return respond::error(out, StatusCode::BAD_REQUEST, "", "a list is a JSON array").await;
        }
        let index = self.store.publish(name, body);
        respond::json(out, StatusCode::OK, "", &index).await;
    }

    async fn set_fault(&self, body: &Bytes, out: Responder) {
        let Ok(fault) = serde_json::from_slice::<Fault>(body) else {
            return respond::error(out, StatusCode::BAD_REQUEST, "", "not a fault").await;
        };
        match &fault {
            Fault::Crash => {
                respond::json(out, StatusCode::OK, "", &fault).await;
                respond::exit_crashed()
            }
            Fault::Down => self.health.set(Health::Down),
            Fault::NotFound => self.health.set(Health::NotFound),
            Fault::Stale => self.store.set_stale(true),
            Fault::Up => self.clear_health_faults(),
            Fault::None => {
                self.clear_health_faults();
                self.faults.set(fault.clone());
            }
            other if self.faults.set(other.clone()) => {}
            _ => return respond::error(out, StatusCode::BAD_REQUEST, "", "not a fault of this stand-in").await,
        }
        self.store.wake_waiters();
        respond::json(out, StatusCode::OK, "", &fault).await;
    }

    fn clear_health_faults(&self) {
        self.health.set(Health::Up);
        self.store.set_stale(false);
    }

    async fn serve_read(&self, req: Request, out: Responder, cx: &CancellationToken) -> Result<(), Abort> {
        self.counter.borrow_mut().add(Instant::now());
        self.faults.record_peer(req.peer);
        self.faults.wait_to_send(req.peer, cx).await?;
        match self.faults.take_next() {
            Some(Fault::Status { code, .. }) => {
                let status = StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
                respond::error(out, status, "", "told to").await;
                return Ok(());
            }
            Some(Fault::Reset) => return Err(Abort),
            Some(Fault::Late { ms }) => time::sleep(Duration::from_millis(ms)).await,
            _ => {}
        }
        time::sleep(self.faults.added_delay()).await;
        let Some(query) = self.query(&req) else {
            respond::error(out, StatusCode::NOT_FOUND, "", "no such path").await;
            return Ok(());
        };
        let version = self.wait_for_change(&query, cx).await?;
        self.faults.wait_to_send(req.peer, cx).await?;
        self.respond_with(&query, version, out).await
    }

    fn query(&self, req: &Request) -> Option<BlockingQuery> {
        let path = req.uri.path();
        let (name, lag) = match path.strip_prefix(LIST_PATH) {
            Some(name) => (name.to_owned(), self.lag),
            None if path == MANIFEST_PATH => (MANIFEST_NAME.to_owned(), Duration::ZERO),
            None => (
                format!("{SECTION_PREFIX}{}", path.strip_prefix(SECTION_PATH)?),
                Duration::ZERO,
            ),
        };
        let index = respond::query_param(req, "index")
            .and_then(|index| index.parse().ok())
            .unwrap_or(0);
        let wait = respond::query_param(req, "wait")
            .and_then(parse_wait)
            .unwrap_or(DEFAULT_WAIT)
            .min(MAX_WAIT);
        Some(BlockingQuery {
            name,
            lag,
            index,
            deadline: Instant::now() + wait,
        })
    }

    async fn wait_for_change(&self, query: &BlockingQuery, cx: &CancellationToken) -> Result<Option<Version>, Abort> {
        loop {
            let changed = self.store.next_change();
            match self.health.get() {
                Health::Down => return Err(Abort),
                Health::NotFound => return Ok(None),
                Health::Up => {}
            }
            let version = self.store.read(&query.name, query.lag);
            let index = version.as_ref().map_or(UNPUBLISHED_INDEX, |version| version.index);
            let now = Instant::now();
            if query.index == 0 || index > query.index || now >= query.deadline {
                return Ok(version);
            }
            let visible = self
                .store
                .next_visible(&query.name, query.lag)
                .unwrap_or(query.deadline);
            let pause = visible.min(query.deadline).saturating_duration_since(now) + Duration::from_millis(1);
            monoio::select! {
                _ = changed => {}
                () = time::sleep(pause) => {}
                () = cx.cancelled() => return Err(Abort),
            }
        }
    }

    async fn respond_with(&self, query: &BlockingQuery, version: Option<Version>, out: Responder) -> Result<(), Abort> {
        let is_list = query.name != MANIFEST_NAME && !query.name.starts_with(SECTION_PREFIX);
        let mut headers = respond::headers(
            if is_list {
                "application/json"
            } else {
                "application/yaml"
            },
            "",
        );
        let index = version.as_ref().map_or(UNPUBLISHED_INDEX, |version| version.index);
        respond::insert_header(&mut headers, INDEX_HEADER, &index.to_string());
        let (status, body) = match version {
            Some(version) => (StatusCode::OK, version.body),
            None if is_list && self.health.get() == Health::Up => (StatusCode::OK, Bytes::from_static(b"[]")),
            None => (StatusCode::NOT_FOUND, Bytes::new()),
        };
        Ok(out.whole(status, headers, body).await?)
    }
}

/// Parses a duration as Consul writes it: a number and `ms`, `s` or `m`.
fn parse_wait(text: &str) -> Option<Duration> {
    let unit = text.find(|c: char| !c.is_ascii_digit())?;
    let number: u64 = text[..unit].parse().ok()?;
    match &text[unit..] {
        "ms" => Some(Duration::from_millis(number)),
        "s" => Some(Duration::from_secs(number)),
        "m" => Some(Duration::from_secs(number.checked_mul(60)?)),
        _ => None,
    }
}

impl Handler for ConfigService {
    async fn handle(&self, req: Request, out: Responder, cx: CancellationToken) {
        if req.uri.path().starts_with(crate::probe::CONTROL_PREFIX) {
            return self.serve_control(req, out).await;
        }
        if req.method != Method::GET {
            return respond::error(out, StatusCode::METHOD_NOT_ALLOWED, "", "this service is only read").await;
        }
        let peer = req.peer;
        if self.serve_read(req, out, &cx).await.is_err() {
            sockets::close(peer);
        }
    }
}
