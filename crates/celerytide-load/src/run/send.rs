//! Sends every request at its scheduled time, regardless of earlier responses, and records what the caller saw.

use std::{
    cell::RefCell,
    fmt, io,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use celerytide_http::client::{self, Client};
use celerytide_manifest::ServiceKind;
use http::Method;
use monoio::{LegacyDriver, RuntimeBuilder};
use tokio_util::sync::CancellationToken;

use crate::{
    caller::{self, CallOutcome, CallerRequest},
    fleet::Fleet,
    open_loop,
    scenario::{Arrival, Retry, Scenario, arrivals},
};

/// Largest number of retries of one request.
const MAX_RETRIES: usize = 3;
const NOT_RUN: &str = "not-run";

celerytide_types::data! {
    /// Result of one request as its caller saw it. Times count from the scheduled send time.
    pub struct RequestRecord {
        /// Index of the phase.
        pub phase: usize,
        /// Index of the class.
        pub class: usize,
        /// Index of the customer.
        pub customer: usize,
        /// Scheduled send time, from the start of the run.
        pub at: Duration,
        /// HTTP status; 0 without a response.
        pub status: u16,
        /// Execution status; empty if the response had none.
        pub word: String,
        /// Cause of the execution status, or why the response broke off.
        pub cause: String,
        /// Whether the complete response arrived with status 200.
        pub done: bool,
        /// Time to the first token, or to the end of a plain response.
        pub first: Option<Duration>,
        /// 95th percentile of the time between tokens.
        pub gap_p95: Duration,
        /// Time to the end of the response.
        pub total: Duration,
        /// Number of tokens received.
        pub tokens: usize,
        /// Refusals; the caller retried after each but the last, or after all if the request was served in the end.
        pub refusals: Vec<Refusal>,
    }

    /// A refusal as its caller saw it.
    pub struct Refusal {
        /// Cause of the refusal.
        pub cause: String,
        /// Time from sending the request to the end of the response.
        pub after: Duration,
        /// Time of the retry, from the start of the run; `None` without a retry.
        pub returned: Option<Duration>,
    }
}

/// Counters of a run in progress, shared between the sending thread and the progress display.
#[derive(Debug, Default)]
pub struct Progress {
    sent: AtomicU64,
    done: AtomicU64,
    not_run: AtomicU64,
    other: AtomicU64,
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let (sent, done, not_run, other) = (get(&self.sent), get(&self.done), get(&self.not_run), get(&self.other));
        let open = sent.saturating_sub(done + not_run + other);
        write!(
            f,
            "sent {sent}, done {done}, not run {not_run}, other {other}, open {open}"
        )
    }
}

impl Progress {
    fn record_end(&self, outcome: &CallOutcome) {
        let count = match outcome.word.as_str() {
            _ if outcome.is_done() => &self.done,
            NOT_RUN => &self.not_run,
            _ => &self.other,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }
}

/// Requests and targets for the sending thread.
pub struct LoadPlan {
    start: Instant,
    arrivals: Vec<Arrival>,
    entries: Vec<SocketAddr>,
    keys: Vec<String>,
    scenario: Scenario,
    progress: Arc<Progress>,
}

impl LoadPlan {
    /// Plans a run that begins at `start`.
    pub fn new(scenario: &Scenario, fleet: &Fleet, start: Instant, progress: Arc<Progress>) -> Self {
        Self {
            start,
            arrivals: arrivals(scenario),
            entries: fleet
                .instances
                .iter()
                .map(|instance| instance.addresses.caller)
                .collect(),
            keys: scenario
                .deployment
                .customers
                .iter()
                .map(|customer| customer.key())
                .collect(),
            scenario: scenario.clone(),
            progress,
        }
    }

    /// End of the scenario; no request is retried later.
    fn end(&self) -> Instant {
        self.start + self.scenario.duration()
    }

    fn build_request(&self, number: usize, arrival: &Arrival) -> Option<CallerRequest> {
        let deployment = &self.scenario.deployment;
        let addr = *self.entries.get(arrival.instance % self.entries.len().max(1))?;
        let key = self.keys.get(arrival.customer)?;
        let class = deployment.classes.get(arrival.class)?;
        let traffic = self
            .scenario
            .traffic
            .iter()
            .find(|traffic| traffic.class == class.name)?;
        let id = request_id(&self.scenario, number);
        let req = match arrival.kind {
            ServiceKind::Model => CallerRequest::chat(
                addr,
                key,
                &id,
                &deployment.engines.model,
                &arrival.prompt,
                traffic.max_tokens,
            ),
            ServiceKind::Plain => {
                let path = format!("/services/{}{}", deployment.plain.service, traffic.path);
                CallerRequest {
                    body: Bytes::from_static(b"{}"),
                    ..CallerRequest::plain(addr, key, &id, Method::POST, &path)
                }
            }
        };
        Some(CallerRequest {
            class: Some(class.name.clone()),
            ..req
        })
    }
}

/// Sends all requests and waits until each has ended.
pub fn run(plan: &LoadPlan) -> io::Result<Vec<RequestRecord>> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    Ok(runtime.block_on(send_all(plan)))
}

async fn send_all(plan: &LoadPlan) -> Vec<RequestRecord> {
    let client = Client::new(client::Options::default());
    let records = Rc::new(RefCell::new(Vec::with_capacity(plan.arrivals.len())));
    let mut tasks = Vec::with_capacity(plan.arrivals.len());
    for (number, arrival) in plan.arrivals.iter().enumerate() {
        let Some(req) = plan.build_request(number, arrival) else {
            continue;
        };
        let scheduled_at = plan.start + arrival.at;
        open_loop::sleep_until(scheduled_at).await;
        plan.progress.sent.fetch_add(1, Ordering::Relaxed);
        let (client, records, progress) = (client.clone(), records.clone(), plan.progress.clone());
        let arrival = Arrival {
            prompt: String::new(),
            ..arrival.clone()
        };
        let retry_plan = RetryPlan {
            retry: plan.scenario.retry,
            start: plan.start,
            end: plan.end(),
        };
        tasks.push(monoio::spawn(async move {
            let (outcome, refusals) = send_with_retries(&client, &req, retry_plan).await;
            progress.record_end(&outcome);
            records
                .borrow_mut()
                .push(request_record(&arrival, scheduled_at, &outcome, refusals));
        }));
    }
    for task in tasks {
        task.await;
    }
    records.take()
}

/// Request id of the arrival with this index.
pub fn request_id(scenario: &Scenario, number: usize) -> String {
    format!("{}-{number}", scenario.name)
}

/// Whether and until when a refused request is retried.
#[derive(Clone, Copy)]
struct RetryPlan {
    retry: Retry,
    start: Instant,
    end: Instant,
}

impl RetryPlan {
    /// Time of the next attempt after a refusal; `None` to give up.
    fn next_attempt(&self, outcome: &CallOutcome, refusals: usize) -> Option<Instant> {
        let wait = outcome.retry_after?;
        let at = Instant::now() + wait;
        let is_allowed = self.retry == Retry::Obey && refusals < MAX_RETRIES && at < self.end;
        is_allowed.then_some(at)
    }
}

/// Sends a request and retries it after refusals. Returns the last outcome and all refusals.
async fn send_with_retries(client: &Client, req: &CallerRequest, retry_plan: RetryPlan) -> (CallOutcome, Vec<Refusal>) {
    let mut refusals = Vec::new();
    loop {
        let sent = Instant::now();
        let outcome = caller::send(client, req, &CancellationToken::new(), |_| {}).await;
        if outcome.is_done() || outcome.word != NOT_RUN {
            return (outcome, refusals);
        }
        let mut refusal = Refusal {
            cause: outcome.cause.clone(),
            after: sent.elapsed(),
            returned: None,
        };
        let Some(at) = retry_plan.next_attempt(&outcome, refusals.len()) else {
            refusals.push(refusal);
            return (outcome, refusals);
        };
        monoio::time::sleep(at.saturating_duration_since(Instant::now())).await;
        refusal.returned = Some(retry_plan.start.elapsed());
        refusals.push(refusal);
    }
}

fn request_record(
    arrival: &Arrival,
    scheduled_at: Instant,
    outcome: &CallOutcome,
    refusals: Vec<Refusal>,
) -> RequestRecord {
    let since = |at: Instant| at.saturating_duration_since(scheduled_at);
    let total = outcome.ended_at.map(since).unwrap_or_default();
    let first = match arrival.kind {
        ServiceKind::Model => outcome.first_token_at.map(since),
        ServiceKind::Plain => outcome.is_done().then_some(total),
    };
    RequestRecord {
        phase: arrival.phase,
        class: arrival.class,
        customer: arrival.customer,
        at: arrival.at,
        status: outcome.status,
        word: outcome.word.clone(),
        cause: outcome.cause.clone(),
        done: outcome.is_done(),
        first,
        gap_p95: outcome.gap_p95(),
        total,
        tokens: outcome.tokens,
        refusals,
    }
}
