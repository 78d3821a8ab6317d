//! Runs a scenario open loop and collects its results.

mod goodput_bound;
mod results;
mod retries;
mod sampling;
mod send;
mod shares;
mod sweep;
mod zones;

use std::{
    io,
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use argh::FromArgs;
use celerytide_manifest::{PolicyName, ZoneState};
use celerytide_standin::probe;
use snafu::Snafu;

use crate::{
    fleet::{self, Fleet},
    machine::Machine,
    report,
    scenario::{self, Action, Scenario},
    signals::Shutdown,
};

pub use goodput_bound::{GoodputBound, goodput_bound};
pub use results::{ClassResult, Observations, PhaseEnd, Results, Second, meets_targets, summarize};
pub use retries::{RefusalStats, RetryPeak, retry_peak};
pub use sampling::{ClassSample, Sample};
pub use send::{Progress, Refusal, RequestRecord};
pub use shares::min_guaranteed_shares;
pub use sweep::run;
pub use zones::{ZoneTransition, zone_transitions};

/// Time for the daemons to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for the daemons to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval for sampling queues and requests in flight.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval for printing the progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Time beyond the lag of load reports until they include the last token.
const LOAD_REPORT_MARGIN: Duration = Duration::from_millis(500);
/// Largest number of attempts to set a fault at an engine.
const MAX_FAULT_ATTEMPTS: u32 = 10;
/// Interval for checking which events are due.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Run a scenario open loop.
#[derive(FromArgs, Debug, Clone)]
#[argh(subcommand, name = "run")]
pub struct Options {
    /// the scenario's file
    #[argh(positional)]
    pub scenario: PathBuf,
    /// folder for the results
    #[argh(option)]
    pub out: Option<PathBuf>,
    /// seed in place of the scenario's; more than one: a run each, and a table of all
    #[argh(option)]
    pub seed: Vec<u64>,
    /// policy in place of the scenario's: celerytide, random, round-robin, least-in-flight, first-come; more than one: a run
    /// each with each seed, and a comparison
    #[argh(option, from_str_fn(parse_policy))]
    pub policy: Vec<PolicyName>,
    /// length of every phase as a multiple of the scenario's
    #[argh(option, default = "1.0")]
    pub scale_time: f64,
    /// callers come back after a refusal when they were told to
    #[argh(switch)]
    pub obey_retry: bool,
}

fn parse_policy(name: &str) -> Result<PolicyName, String> {
    serde_json::from_value(serde_json::Value::from(name)).map_err(|e| e.to_string())
}

/// Reason why a run failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The scenario is invalid.
    #[snafu(display("{source}"), context(false))]
    Scenario {
        /// Underlying error.
        source: scenario::Error,
    },
    /// The deployment did not start or could not be changed.
    #[snafu(display("{source}"), context(false))]
    Fleet {
        /// Underlying error.
        source: fleet::Error,
    },
    /// A request to a stand-in failed.
    #[snafu(display("{source}"), context(false))]
    Probe {
        /// Underlying error.
        source: probe::Error,
    },
    /// Starting the runtime or accessing a file failed.
    #[snafu(display("{source}"), context(false))]
    System {
        /// Underlying error.
        source: io::Error,
    },
    /// The report could not be written.
    #[snafu(display("{source}"), context(false))]
    Report {
        /// Underlying error.
        source: report::Error,
    },
    /// The tool received a signal.
    #[snafu(display("ended by a signal"))]
    Interrupted,
    /// The sending thread panicked.
    #[snafu(display("the sending thread ended early"))]
    Thread,
}

/// Event of a phase with its time from the start of the run.
struct ScheduledEvent {
    at: Duration,
    phase: String,
    action: Action,
}

/// Runs the scenario once on a new deployment.
pub fn run_scenario(scenario: &Scenario, shutdown: &Shutdown) -> Result<Results, Error> {
    let machine = Machine::read();
    eprintln!(
        "{}, {}, seed {}: starting {} instances ...",
        scenario.name,
        report::policy_name(scenario.deployment.policy),
        scenario.seed,
        scenario.deployment.instances
    );
    let mut fleet = Fleet::start(&scenario.deployment, fleet::Options { own_group: true })?;
    fleet.wait_ready(READY_TIMEOUT)?;
    let tokens_before = sampling::generated_tokens(&fleet);
    let progress = Arc::new(Progress::default());
    let start = Instant::now();
    let plan = send::LoadPlan::new(scenario, &fleet, start, progress.clone());
    let sender = thread::spawn(move || send::run(&plan));
    let samples = drive_events(scenario, &mut fleet, start, &progress, shutdown)?;
    while !sender.is_finished() {
        if shutdown.is_requested() {
            return InterruptedSnafu.fail();
        }
        thread::sleep(POLL_INTERVAL);
    }
    let records = sender.join().map_err(|_| Error::Thread)??;
    thread::sleep(Duration::from_millis(scenario.deployment.engines.report_lag_ms) + LOAD_REPORT_MARGIN);
    let observed = Observations {
        machine,
        samples,
        generated_tokens: sampling::generated_tokens(&fleet).saturating_sub(tokens_before),
        falls: sampling::overloads(&fleet),
        config_calls: probe::get_json(fleet.config.addr(), celerytide_standin::config::CALLS_PATH)?,
        stopped: fleet.stop(STOP_TIMEOUT),
    };
    Ok(summarize(scenario, &records, observed))
}

/// Applies the events, takes samples and prints the progress until all phases are over.
fn drive_events(
    scenario: &Scenario,
    fleet: &mut Fleet,
    start: Instant,
    progress: &Progress,
    shutdown: &Shutdown,
) -> Result<Vec<Sample>, Error> {
    let mut events = scheduled_events(scenario).into_iter().peekable();
    let mut samples = Vec::new();
    let mut next_sample = Duration::ZERO;
    let mut next_progress = Duration::ZERO;
    while start.elapsed() < scenario.duration() {
        if shutdown.is_requested() {
            return InterruptedSnafu.fail();
        }
        let now = start.elapsed();
        while let Some(event) = events.next_if(|event| event.at <= now) {
            eprintln!("{:6.1} s  {}: {:?}", now.as_secs_f64(), event.phase, event.action);
            apply_action(fleet, &event.action)?;
        }
        if now >= next_sample {
            samples.push(sampling::sample(fleet, now));
            next_sample += SAMPLE_INTERVAL;
        }
        if now >= next_progress {
            eprintln!("{:6.1} s  {progress}", now.as_secs_f64());
            next_progress += PROGRESS_INTERVAL;
        }
        thread::sleep(POLL_INTERVAL);
    }
    for event in events {
        apply_action(fleet, &event.action)?;
    }
    Ok(samples)
}

fn scheduled_events(scenario: &Scenario) -> Vec<ScheduledEvent> {
    let mut all = Vec::new();
    let mut start = Duration::ZERO;
    for phase in &scenario.phases {
        for event in &phase.events {
            all.push(ScheduledEvent {
                at: start + phase.offset(event),
                phase: phase.name.clone(),
                action: event.action.clone(),
            });
        }
        start += phase.duration();
    }
    all.sort_by_key(|event| event.at);
    all
}

fn apply_action(fleet: &mut Fleet, action: &Action) -> Result<(), Error> {
    match action {
        Action::EnginesSlow { count, ms } => {
            set_engine_faults(fleet, *count, &format!(r#"{{"kind":"slow","ms":{ms}}}"#))
        }
        Action::EnginesCold { count, signal } => {
            set_engine_faults(fleet, *count, &format!(r#"{{"kind":"cold","signal":{signal}}}"#))
        }
        Action::EnginesClear => set_engine_faults(fleet, usize::MAX, r#"{"kind":"none"}"#),
        Action::ZoneOut { zone } => Ok(fleet.set_zone(zone, ZoneState::Out)?),
        Action::ZoneIn { zone } => Ok(fleet.set_zone(zone, ZoneState::In)?),
        Action::ConfigDown => set_config_fault(fleet, "down"),
        Action::ConfigStale => set_config_fault(fleet, "stale"),
        Action::ConfigUp => set_config_fault(fleet, "up"),
    }
}

fn set_engine_faults(fleet: &Fleet, count: usize, fault: &str) -> Result<(), Error> {
    for engine in fleet.engines.iter().take(count) {
        set_fault(engine.info.addr, fault)?;
    }
    Ok(())
}

/// Sets a fault with retries: an engine that crashes closes all its connections, including this one.
fn set_fault(addr: SocketAddr, fault: &str) -> Result<(), Error> {
    for _ in 1..MAX_FAULT_ATTEMPTS {
        if probe::set_fault(addr, fault).is_ok() {
            return Ok(());
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(probe::set_fault(addr, fault)?)
}

fn set_config_fault(fleet: &Fleet, kind: &str) -> Result<(), Error> {
    Ok(probe::set_fault(
        fleet.config.addr(),
        &format!(r#"{{"kind":"{kind}"}}"#),
    )?)
}
