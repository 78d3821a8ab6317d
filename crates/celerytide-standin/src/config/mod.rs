//! The configuration service and the published lists, by the HTTP shape of Consul.
//!
//! The system only reads and watches (`/v1/...`); the test side publishes at `/__test/...`. A read with an index waits
//! until the document's index is past it or the wait is over. Lists are answered from a view that lags.

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

pub use calls::{Calls, Counter};
pub use store::{EMPTY_INDEX, Edition, Store};

use crate::{
    daemon,
    fault::{Fault, Faults},
    reply::{self, Closed},
    sockets,
};

/// Path that gives the count of calls.
pub const CALLS_PATH: &str = "/__calls";
/// Path at which the test side publishes the manifest.
pub const TEST_MANIFEST_PATH: &str = "/__test/manifest";
/// Path, before the digest, at which the test side publishes a section of the manifest.
pub const TEST_SECTION_PATH: &str = "/__test/customers/";
/// Path, before the list's name, at which the test side publishes a list.
pub const TEST_LIST_PATH: &str = "/__test/list/";

const MANIFEST_PATH: &str = "/v1/kv/celerytide/manifest";
const SECTION_PATH: &str = "/v1/kv/celerytide/customers/";
const LIST_PATH: &str = "/v1/health/service/";
const MANIFEST: &str = "manifest";
/// Before a section's digest, the name of its document.
const SECTION: &str = "customers/";
const INDEX: HeaderName = HeaderName::from_static("x-consul-index");
/// Wait of a watch that names none.
const DEFAULT_WAIT: Duration = Duration::from_secs(20);
/// Longest wait of a watch.
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

/// The state of the configuration service.
pub struct Config {
    store: Store,
    lag: Duration,
    health: Cell<Health>,
    counter: RefCell<Counter>,
    faults: Faults,
}

struct Watch {
    name: String,
    lag: Duration,
    index: u64,
    until: Instant,
}

impl Config {
    /// A service with the manifest that the options name.
    pub fn open(options: &Options) -> Result<Rc<Self>, daemon::Error> {
        let config = Self {
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
            config.store.publish(MANIFEST, Bytes::from(text));
        }
        Ok(Rc::new(config))
    }

    async fn control(&self, req: Request, out: Responder) {
        let path = req.uri.path().to_owned();
        match (&req.method, path.as_str()) {
            (&Method::GET, CALLS_PATH) => {
                let calls = self.counter.borrow_mut().read(Instant::now());
                reply::json(out, StatusCode::OK, "", &calls).await;
            }
            (&Method::PUT, crate::probe::FAULT_PATH) => self.set_fault(&req.body, out).await,
            (&Method::PUT, TEST_MANIFEST_PATH) => {
                let index = self.store.publish(MANIFEST, req.body);
                reply::json(out, StatusCode::OK, "", &index).await;
            }
            (&Method::PUT, section) if section.starts_with(TEST_SECTION_PATH) => {
                let name = format!("{SECTION}{}", &section[TEST_SECTION_PATH.len()..]);
                let index = self.store.publish(&name, req.body);
                reply::json(out, StatusCode::OK, "", &index).await;
            }
            (&Method::PUT, list) if list.starts_with(TEST_LIST_PATH) => {
                self.publish_list(&list[TEST_LIST_PATH.len()..], req.body, out).await;
            }
            _ => reply::error(out, StatusCode::NOT_FOUND, "", "no such control path").await,
        }
    }

    async fn publish_list(&self, name: &str, body: Bytes, out: Responder) {
        if serde_json::from_slice::<Vec<serde_json::Value>>(&body).is_err() {
            return reply::error(out, StatusCode::BAD_REQUEST, "", "a list is a JSON array").await;
        }
        let index = self.store.publish(name, body);
        reply::json(out, StatusCode::OK, "", &index).await;
    }

    async fn set_fault(&self, body: &Bytes, out: Responder) {
        let Ok(fault) = serde_json::from_slice::<Fault>(body) else {
            return reply::error(out, StatusCode::BAD_REQUEST, "", "not a fault").await;
        };
        match &fault {
            Fault::Crash => {
                reply::json(out, StatusCode::OK, "", &fault).await;
                reply::crash()
            }
            Fault::Down => self.health.set(Health::Down),
            Fault::NotFound => self.health.set(Health::NotFound),
            Fault::Stale => self.store.set_stale(true),
            Fault::Up => self.heal(),
            Fault::None => {
                self.heal();
                self.faults.set(fault.clone());
            }
            other if self.faults.set(other.clone()) => {}
            _ => return reply::error(out, StatusCode::BAD_REQUEST, "", "not a fault of this stand-in").await,
        }
        self.store.wake();
        reply::json(out, StatusCode::OK, "", &fault).await;
    }

    fn heal(&self) {
        self.health.set(Health::Up);
        self.store.set_stale(false);
    }

    async fn read(&self, req: Request, out: Responder, cx: &CancellationToken) -> Result<(), Closed> {
        self.counter.borrow_mut().add(Instant::now());
        self.faults.meet(req.peer);
        self.faults.pass(req.peer, cx).await?;
        match self.faults.take_next() {
            Some(Fault::Status { code }) => {
                let status = StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
                reply::error(out, status, "", "told to").await;
                return Ok(());
            }
            Some(Fault::Reset) => return Err(Closed),
            Some(Fault::Late { ms }) => time::sleep(Duration::from_millis(ms)).await,
            _ => {}
        }
        time::sleep(self.faults.slow()).await;
        let Some(watch) = self.watch(&req) else {
            reply::error(out, StatusCode::NOT_FOUND, "", "no such path").await;
            return Ok(());
        };
        let edition = self.wait(&watch, cx).await?;
        self.faults.pass(req.peer, cx).await?;
        self.answer(&watch, edition, out).await
    }

    fn watch(&self, req: &Request) -> Option<Watch> {
        let path = req.uri.path();
        let (name, lag) = match path.strip_prefix(LIST_PATH) {
            Some(name) => (name.to_owned(), self.lag),
            None if path == MANIFEST_PATH => (MANIFEST.to_owned(), Duration::ZERO),
            None => (format!("{SECTION}{}", path.strip_prefix(SECTION_PATH)?), Duration::ZERO),
        };
        let index = reply::query(req, "index")
            .and_then(|index| index.parse().ok())
            .unwrap_or(0);
        let wait = reply::query(req, "wait")
            .and_then(parse_wait)
            .unwrap_or(DEFAULT_WAIT)
            .min(MAX_WAIT);
        Some(Watch {
            name,
            lag,
            index,
            until: Instant::now() + wait,
        })
    }

    async fn wait(&self, watch: &Watch, cx: &CancellationToken) -> Result<Option<Edition>, Closed> {
        loop {
            let changed = self.store.changed();
            match self.health.get() {
                Health::Down => return Err(Closed),
                Health::NotFound => return Ok(None),
                Health::Up => {}
            }
            let edition = self.store.read(&watch.name, watch.lag);
            let index = edition.as_ref().map_or(EMPTY_INDEX, |edition| edition.index);
            let now = Instant::now();
            if watch.index == 0 || index > watch.index || now >= watch.until {
                return Ok(edition);
            }
            let visible = self.store.next_visible(&watch.name, watch.lag).unwrap_or(watch.until);
            let pause = visible.min(watch.until).saturating_duration_since(now) + Duration::from_millis(1);
            monoio::select! {
                _ = changed => {}
                () = time::sleep(pause) => {}
                () = cx.cancelled() => return Err(Closed),
            }
        }
    }

    async fn answer(&self, watch: &Watch, edition: Option<Edition>, out: Responder) -> Result<(), Closed> {
        let is_list = watch.name != MANIFEST && !watch.name.starts_with(SECTION);
        let mut headers = reply::headers(
            if is_list {
                "application/json"
            } else {
                "application/yaml"
            },
            "",
        );
        let index = edition.as_ref().map_or(EMPTY_INDEX, |edition| edition.index);
        reply::add(&mut headers, INDEX, &index.to_string());
        let (status, body) = match edition {
            Some(edition) => (StatusCode::OK, edition.body),
            None if is_list && self.health.get() == Health::Up => (StatusCode::OK, Bytes::from_static(b"[]")),
            None => (StatusCode::NOT_FOUND, Bytes::new()),
        };
        Ok(out.whole(status, headers, body).await?)
    }
}

/// Consul's way to write a time span: a number and `ms`, `s` or `m`.
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

impl Handler for Config {
    async fn handle(&self, req: Request, out: Responder, cx: CancellationToken) {
        if req.uri.path().starts_with(crate::probe::CONTROL_PREFIX) {
            return self.control(req, out).await;
        }
        if req.method != Method::GET {
            return reply::error(out, StatusCode::METHOD_NOT_ALLOWED, "", "this service is only read").await;
        }
        let peer = req.peer;
        if self.read(req, out, &cx).await.is_err() {
            sockets::close(peer);
        }
    }
}
