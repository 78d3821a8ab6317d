//! A complete deployment on loopback for tests, with helpers that send requests and read statuses.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bytes::Bytes;
use celerytide_http::client::{Client, Options as ClientOptions};
use celerytide_load::caller::{CallOutcome, CallerRequest, send};
use celerytide_load::fleet::{Deployment, Error, Fleet, Options};
use celerytide_standin::plain::Run;
use celerytide_standin::probe;
use http::Method;
use monoio::{LegacyDriver, RuntimeBuilder};
use serde_json::Value;
use tokio_util::sync::CancellationToken;

/// Timeout for a deployment to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Minimum first-token target of each class: long enough that a burst larger than the few cold slots is still served,
/// so that a request that times out is a real failure.
const MIN_FIRST_TOKEN: Duration = Duration::from_secs(5);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Differences of a deployment under test from the demonstration deployment.
#[derive(Debug, Clone)]
pub struct HarnessOptions {
    /// Number of instances.
    pub instances: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of replicas of the plain service.
    pub plain_endpoints: usize,
    /// Slots of each engine.
    pub slots: u32,
    /// Slots of an engine during its cold start.
    pub cold_slots: u32,
    /// Duration of an engine's cold start in seconds.
    pub cold_seconds: f64,
    /// Duration of a decode step in milliseconds.
    pub decode_ms: f64,
    /// Duration of a run of the plain service in milliseconds.
    pub delay_ms: u64,
    /// Age of the lists that the configuration service returns, in milliseconds.
    pub list_lag_ms: u64,
}

impl Default for HarnessOptions {
    fn default() -> HarnessOptions {
        HarnessOptions {
            instances: 2,
            engines: 2,
            plain_endpoints: 1,
            slots: 8,
            cold_slots: 2,
            cold_seconds: 0.0,
            decode_ms: 5.0,
            delay_ms: 0,
            list_lag_ms: 0,
        }
    }
}

/// A running deployment with a client for its entries.
pub struct Harness {
    /// Processes of the deployment.
    pub fleet: Fleet,
    client: Client,
    cx: CancellationToken,
}

impl Harness {
    /// Starts a deployment and waits until it is ready.
    pub fn start(opts: &HarnessOptions) -> Result<Harness, Error> {
        Harness::start_with(opts, |_| {})
    }

    /// Like [`Harness::start`], with a changed deployment.
    pub fn start_with(opts: &HarnessOptions, change: impl FnOnce(&mut Deployment)) -> Result<Harness, Error> {
        let mut deployment = deployment(opts);
        change(&mut deployment);
        let mut fleet = Fleet::start(&deployment, Options::default())?;
        fleet.wait_ready(READY_TIMEOUT)?;
        Ok(Harness {
            fleet,
            client: Client::new(ClientOptions::default()),
            cx: CancellationToken::new(),
        })
    }

    /// Runs `test` on a new runtime.
    pub fn block_on<F: Future>(test: F) -> F::Output {
        let built = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
        let mut runtime = built.expect("the epoll runtime starts on Linux");
        runtime.block_on(test)
    }

    /// Address at which callers connect to an instance's entry.
    pub fn entry(&self, index: usize) -> SocketAddr {
        self.fleet.instances[index].addresses.caller
    }

    /// Sends a streamed chat call of at most `tokens` tokens.
    pub async fn chat(&self, entry: usize, request_id: &str, tokens: usize) -> CallOutcome {
        let req = CallerRequest::chat(
            self.entry(entry),
            &self.key(),
            request_id,
            &self.model(),
            "hello",
            Some(tokens),
        );
        self.send(&req).await
    }

    /// Sends a request and returns its outcome.
    pub async fn send(&self, req: &CallerRequest) -> CallOutcome {
        send(&self.client, req, &self.cx, |_| {}).await
    }

    /// Requests a ticket from an entry.
    pub async fn take_ticket(&self, entry: usize) -> Option<String> {
        let req = CallerRequest::plain(
            self.entry(entry),
            &self.key(),
            "take-ticket",
            Method::POST,
            "/v1/tickets",
        );
        let outcome = self.send(&req).await;
        let body: Value = serde_json::from_slice(&outcome.body).ok()?;
        body.get("ticket")?.as_str().map(str::to_owned)
    }

    /// Status of a ticket at an entry: its state and execution status.
    pub async fn ticket_status(&self, entry: usize, ticket: &str) -> Option<Value> {
        let path = format!("/v1/tickets/{ticket}");
        let req = CallerRequest::plain(self.entry(entry), &self.key(), "look-ticket", Method::GET, &path);
        let outcome = self.send(&req).await;
        serde_json::from_slice(&outcome.body)
            .ok()
            .filter(|_| outcome.status == 200)
    }

    /// Sends an at-most-once call to the plain service.
    pub async fn submit(&self, entry: usize, request_id: &str, ticket: Option<&str>) -> CallOutcome {
        let req = CallerRequest {
            ticket: ticket.map(str::to_owned),
            body: Bytes::from(format!("{{\"x-run-id\":\"{request_id}\"}}")),
            ..CallerRequest::plain(
                self.entry(entry),
                &self.key(),
                request_id,
                Method::POST,
                "/services/forms/submit",
            )
        };
        self.send(&req).await
    }

    /// Sends a call that matches no at-most-once action to the plain service.
    pub async fn plain(&self, entry: usize, request_id: &str, method: Method, path: &str) -> CallOutcome {
        self.send(&CallerRequest::plain(
            self.entry(entry),
            &self.key(),
            request_id,
            method,
            path,
        ))
        .await
    }

    /// Every run that the plain services recorded.
    pub fn runs(&self) -> Vec<Run> {
        let runs = self
            .fleet
            .plain_endpoints
            .iter()
            .map(|p| probe::runs(p.process.addr()).unwrap_or_default());
        runs.flatten().collect()
    }

    /// Number of runs with this request id or run id.
    pub fn runs_of(&self, request_id: &str) -> usize {
        self.runs()
            .iter()
            .filter(|r| r.request_id == request_id || r.run == request_id)
            .count()
    }

    /// Number of times that engines began the request with this id.
    pub fn engine_runs_of(&self, request_id: &str) -> usize {
        let engines = self.fleet.engines.iter();
        let runs = engines.flat_map(|e| probe::runs(e.process.addr()).unwrap_or_default());
        runs.filter(|r| r.request_id == request_id).count()
    }

    /// Names of the steps that an entry recorded for a request, in order.
    pub fn steps(&self, entry: usize, request_id: &str) -> Vec<String> {
        let addr = self.fleet.instances[entry].addresses.entry_operator;
        let trace: Value = probe::get_json(addr, &format!("/explain/{request_id}")).unwrap_or_default();
        let steps = trace["steps"].as_array().cloned().unwrap_or_default();
        let name = |step: &Value| step["step"].as_str().unwrap_or_default().to_owned();
        steps.iter().map(name).collect()
    }

    /// Sends a request and leaves its response unread; dropping the connection cancels the request.
    pub fn hold(&self, req: &CallerRequest) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(req.addr)?;
        let class = req.class.as_ref().map(|c| format!("celerytide-class: {c}\r\n"));
        let head = format!(
            "{} {} HTTP/1.1\r\nhost: {}\r\nauthorization: Bearer {}\r\nx-request-id: {}\r\n{}content-length: {}\r\n\r\n",
            req.method,
            req.path,
            req.addr,
            req.key,
            req.request,
            class.unwrap_or_default(),
            req.body.len()
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(&req.body)?;
        Ok(stream)
    }

    /// `/status` of an instance's dispatch.
    pub fn dispatch_status(&self, index: usize) -> Value {
        let addr = self.fleet.instances[index].addresses.dispatch_operator;
        probe::get_json(addr, "/status").unwrap_or_default()
    }

    /// `/status` of an instance's entry.
    pub fn entry_status(&self, index: usize) -> Value {
        let addr = self.fleet.instances[index].addresses.entry_operator;
        probe::get_json(addr, "/status").unwrap_or_default()
    }

    /// Index of the instance that owns the pool of `service`, if ownership is settled.
    pub fn owner_of(&self, service: &str) -> Option<usize> {
        let prefix = format!("{service}/");
        let owns = |index: &usize| {
            let status = self.dispatch_status(*index);
            let pools = status
                .get("pools")
                .and_then(Value::as_array)
                .cloned()
                .unwrap_or_default();
            pools
                .iter()
                .any(|p| p["pool"].as_str().is_some_and(|id| id.starts_with(&prefix)) && p["standing"] == "settled")
        };
        (0..self.fleet.instances.len()).find(owns)
    }

    /// Name of the model that the engines serve.
    pub fn model(&self) -> String {
        self.fleet.deployment.engines.model.clone()
    }

    /// API key of the first customer.
    pub fn key(&self) -> String {
        self.fleet
            .deployment
            .customers
            .first()
            .map(|c| c.key())
            .unwrap_or_default()
    }
}

fn deployment(opts: &HarnessOptions) -> Deployment {
    let mut deployment = Deployment::demo(opts.instances).expect("the embedded deployment is valid");
    deployment.engines.count = opts.engines;
    deployment.engines.slots = opts.slots;
    deployment.engines.cold_slots = opts.cold_slots;
    deployment.engines.cold_seconds = opts.cold_seconds;
    deployment.engines.decode_ms = opts.decode_ms;
    deployment.plain.count = opts.plain_endpoints;
    deployment.plain.delay_ms = opts.delay_ms;
    deployment.list_lag_ms = opts.list_lag_ms;
    for class in &mut deployment.classes {
        class.first_token = class.first_token.max(MIN_FIRST_TOKEN);
    }
    deployment
}

/// Waits until `condition` is true; returns false after `timeout`.
pub async fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + timeout;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    condition()
}
