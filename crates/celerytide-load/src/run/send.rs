//! Sends every request at its time, whatever became of those before, and records what its caller saw.

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
    pace,
    scenario::{Arrival, Retry, Scenario, arrivals},
};

/// Times that a caller comes back at most.
const MAX_RETURNS: usize = 3;
const NOT_RUN: &str = "not-run";

celerytide_types::data! {
    /// One request as its caller saw it. Times count from when it was to be sent.
    pub struct Record {
        /// Index of the phase.
        pub phase: usize,
        /// Index of the class.
        pub class: usize,
        /// Index of the customer.
        pub customer: usize,
        /// When it was to be sent, from the start of the run.
        pub at: Duration,
        /// HTTP status; 0 if no answer came.
        pub status: u16,
        /// Final word; empty if none was said.
        pub word: String,
        /// Cause of the final word, or of a broken answer.
        pub cause: String,
        /// Whether the whole answer came.
        pub done: bool,
        /// Time to the first token, or to the end of a plain answer.
        pub first: Option<Duration>,
        /// Time between tokens below which 95 of 100 lie.
        pub gap_p95: Duration,
        /// Time to the end.
        pub total: Duration,
        /// Tokens that came.
        pub tokens: usize,
        /// Its refusals; the caller came back after each but the last, or after all if it was served in the end.
        pub refusals: Vec<Refused>,
    }

    /// A refusal as its caller saw it.
    pub struct Refused {
        /// The cause.
        pub cause: String,
        /// Time from sending the request to the end of the final answer.
        pub after: Duration,
        /// When the caller came back, from the start of the run.
        pub returned: Option<Duration>,
    }
}

/// Counts that change while the run goes on.
#[derive(Debug, Default)]
pub struct Progress {
    sent: AtomicU64,
    done: AtomicU64,
    not_run: AtomicU64,
    other: AtomicU64,
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let (sent, done, not_run, other) = (
            read(&self.sent),
            read(&self.done),
            read(&self.not_run),
            read(&self.other),
        );
        let open = sent.saturating_sub(done + not_run + other);
        write!(
            f,
            "sent {sent}, done {done}, not run {not_run}, other {other}, open {open}"
        )
    }
}

impl Progress {
    fn ended(&self, outcome: &CallOutcome) {
        let count = match outcome.word.as_str() {
            _ if outcome.is_done() => &self.done,
            NOT_RUN => &self.not_run,
            _ => &self.other,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }
}

/// All that the sending thread needs.
pub struct Plan {
    start: Instant,
    arrivals: Vec<Arrival>,
    entries: Vec<SocketAddr>,
    keys: Vec<String>,
    scenario: Scenario,
    progress: Arc<Progress>,
}

impl Plan {
    /// The plan of a run that begins at `start`.
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

    /// When the last arrival may come.
    fn end(&self) -> Instant {
        self.start + self.scenario.span()
    }

    fn ask(&self, number: usize, arrival: &Arrival) -> Option<CallerRequest> {
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
        let ask = match arrival.kind {
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
            ..ask
        })
    }
}

/// Sends all requests and waits for their ends.
pub fn all(plan: &Plan) -> io::Result<Vec<Record>> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    Ok(runtime.block_on(send_all(plan)))
}

async fn send_all(plan: &Plan) -> Vec<Record> {
    let client = Client::new(client::Options::default());
    let records = Rc::new(RefCell::new(Vec::with_capacity(plan.arrivals.len())));
    let mut tasks = Vec::with_capacity(plan.arrivals.len());
    for (number, arrival) in plan.arrivals.iter().enumerate() {
        let Some(ask) = plan.ask(number, arrival) else {
            continue;
        };
        let due = plan.start + arrival.at;
        pace::until(due).await;
        plan.progress.sent.fetch_add(1, Ordering::Relaxed);
        let (client, records, progress) = (client.clone(), records.clone(), plan.progress.clone());
        let arrival = Arrival {
            prompt: String::new(),
            ..arrival.clone()
        };
        let returns = Returns {
            retry: plan.scenario.retry,
            start: plan.start,
            end: plan.end(),
        };
        tasks.push(monoio::spawn(async move {
            let (outcome, refusals) = persist(&client, &ask, returns).await;
            progress.ended(&outcome);
            records.borrow_mut().push(record(&arrival, due, &outcome, refusals));
        }));
    }
    for task in tasks {
        task.await;
    }
    records.take()
}

/// The id of the request with this number.
pub fn request_id(scenario: &Scenario, number: usize) -> String {
    format!("{}-{number}", scenario.name)
}

/// Whether and until when a caller comes back.
#[derive(Clone, Copy)]
struct Returns {
    retry: Retry,
    start: Instant,
    end: Instant,
}

impl Returns {
    /// When to come back after a refusal; `None` to give up.
    fn next(&self, outcome: &CallOutcome, refusals: usize) -> Option<Instant> {
        let wait = outcome.retry_after?;
        let at = Instant::now() + wait;
        let may = self.retry == Retry::Obey && refusals < MAX_RETURNS && at < self.end;
        may.then_some(at)
    }
}

/// Sends a request, and again as often as the caller comes back.
async fn persist(client: &Client, ask: &CallerRequest, returns: Returns) -> (CallOutcome, Vec<Refused>) {
    let mut refusals = Vec::new();
    loop {
        let sent = Instant::now();
        let outcome = caller::send(client, ask, &CancellationToken::new(), |_| {}).await;
        if outcome.is_done() || outcome.word != NOT_RUN {
            return (outcome, refusals);
        }
        let mut refused = Refused {
            cause: outcome.cause.clone(),
            after: sent.elapsed(),
            returned: None,
        };
        let Some(at) = returns.next(&outcome, refusals.len()) else {
            refusals.push(refused);
            return (outcome, refusals);
        };
        monoio::time::sleep(at.saturating_duration_since(Instant::now())).await;
        refused.returned = Some(returns.start.elapsed());
        refusals.push(refused);
    }
}

fn record(arrival: &Arrival, due: Instant, outcome: &CallOutcome, refusals: Vec<Refused>) -> Record {
    let since = |at: Instant| at.saturating_duration_since(due);
    let total = outcome.ended.map(since).unwrap_or_default();
    let first = match arrival.kind {
        ServiceKind::Model => outcome.first_token.map(since),
        ServiceKind::Plain => outcome.is_done().then_some(total),
    };
    Record {
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
