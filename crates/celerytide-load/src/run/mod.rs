//! Runs a scenario open loop and keeps what happened.

mod bound;
mod results;
mod returns;
mod send;
mod series;
mod shares;
mod watch;
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
    signals::Stop,
};

pub use bound::{Bound, bound};
pub use results::{ClassResult, Observed, PhaseEnd, Results, Second, attains, summarise};
pub use returns::{Refusals, Wave, wave};
pub use send::{Progress, Record, Refused};
pub use series::run;
pub use shares::least as least_shares;
pub use watch::{ClassSample, Sample};
pub use zones::{ZoneMove, moves};

/// How long the daemons may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// How long the daemons may take to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two samples of queues and work.
const SAMPLE_EVERY: Duration = Duration::from_millis(500);
/// Time between two lines of progress.
const PROGRESS_EVERY: Duration = Duration::from_secs(1);
/// Time beyond the lag of load reports after which they tell of the last token.
const REPORT_MARGIN: Duration = Duration::from_millis(500);
/// Times that an engine is told of a fault at most.
const FAULT_TRIES: u32 = 10;
/// Pause between two looks at what is due.
const LOOK: Duration = Duration::from_millis(10);

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
    #[argh(option, from_str_fn(policy))]
    pub policy: Vec<PolicyName>,
    /// length of every phase as a multiple of the scenario's
    #[argh(option, default = "1.0")]
    pub scale_time: f64,
    /// callers come back after a refusal when they were told to
    #[argh(switch)]
    pub obey_retry: bool,
}

fn policy(name: &str) -> Result<PolicyName, String> {
    serde_json::from_value(serde_json::Value::from(name)).map_err(|e| e.to_string())
}

/// Why a run failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The scenario cannot be used.
    #[snafu(display("{source}"), context(false))]
    Scenario {
        /// What is wrong.
        source: scenario::Error,
    },
    /// The deployment did not start or could not be changed.
    #[snafu(display("{source}"), context(false))]
    Fleet {
        /// What went wrong.
        source: fleet::Error,
    },
    /// A stand-in could not be told something.
    #[snafu(display("{source}"), context(false))]
    Probe {
        /// What the probe said.
        source: probe::Error,
    },
    /// The runtime or a file failed.
    #[snafu(display("{source}"), context(false))]
    System {
        /// What the system said.
        source: io::Error,
    },
    /// The report could not be written.
    #[snafu(display("{source}"), context(false))]
    Report {
        /// What went wrong.
        source: report::Error,
    },
    /// A signal asked the tool to end.
    #[snafu(display("ended by a signal"))]
    Interrupted,
    /// The sending thread ended early.
    #[snafu(display("the sending thread ended early"))]
    Thread,
}

struct Due {
    at: Duration,
    phase: String,
    action: Action,
}

/// Runs the scenario.
pub fn measure(scenario: &Scenario, stop: &Stop) -> Result<Results, Error> {
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
    let generated_before = watch::generated(&fleet);
    let progress = Arc::new(Progress::default());
    let start = Instant::now();
    let plan = send::Plan::new(scenario, &fleet, start, progress.clone());
    let sending = thread::spawn(move || send::all(&plan));
    let samples = accompany(scenario, &mut fleet, start, &progress, stop)?;
    while !sending.is_finished() {
        if stop.is_set() {
            return InterruptedSnafu.fail();
        }
        thread::sleep(LOOK);
    }
    let records = sending.join().map_err(|_| Error::Thread)??;
    thread::sleep(Duration::from_millis(scenario.deployment.engines.report_lag_ms) + REPORT_MARGIN);
    let observed = Observed {
        machine,
        samples,
        generated_tokens: watch::generated(&fleet).saturating_sub(generated_before),
        falls: watch::falls(&fleet),
        config_calls: probe::get_json(fleet.config.addr(), celerytide_standin::config::CALLS_PATH)?,
        stopped: fleet.stop(STOP_TIMEOUT),
    };
    Ok(summarise(scenario, &records, observed))
}

/// Brings about the events, samples, and shows progress until all phases are over.
fn accompany(
    scenario: &Scenario,
    fleet: &mut Fleet,
    start: Instant,
    progress: &Progress,
    stop: &Stop,
) -> Result<Vec<Sample>, Error> {
    let mut events = schedule(scenario).into_iter().peekable();
    let mut samples = Vec::new();
    let mut next_sample = Duration::ZERO;
    let mut next_progress = Duration::ZERO;
    while start.elapsed() < scenario.span() {
        if stop.is_set() {
            return InterruptedSnafu.fail();
        }
        let now = start.elapsed();
        while let Some(due) = events.next_if(|due| due.at <= now) {
            eprintln!("{:6.1} s  {}: {:?}", now.as_secs_f64(), due.phase, due.action);
            apply(fleet, &due.action)?;
        }
        if now >= next_sample {
            samples.push(watch::sample(fleet, now));
            next_sample += SAMPLE_EVERY;
        }
        if now >= next_progress {
            eprintln!("{:6.1} s  {progress}", now.as_secs_f64());
            next_progress += PROGRESS_EVERY;
        }
        thread::sleep(LOOK);
    }
    for due in events {
        apply(fleet, &due.action)?;
    }
    Ok(samples)
}

fn schedule(scenario: &Scenario) -> Vec<Due> {
    let mut all = Vec::new();
    let mut start = Duration::ZERO;
    for phase in &scenario.phases {
        for event in &phase.events {
            all.push(Due {
                at: start + phase.offset(event),
                phase: phase.name.clone(),
                action: event.action.clone(),
            });
        }
        start += phase.span();
    }
    all.sort_by_key(|due| due.at);
    all
}

fn apply(fleet: &mut Fleet, action: &Action) -> Result<(), Error> {
    match action {
        Action::EnginesSlow { count, ms } => engines(fleet, *count, &format!(r#"{{"kind":"slow","ms":{ms}}}"#)),
        Action::EnginesCold { count, signal } => {
            engines(fleet, *count, &format!(r#"{{"kind":"cold","signal":{signal}}}"#))
        }
        Action::EnginesClear => engines(fleet, usize::MAX, r#"{"kind":"none"}"#),
        Action::ZoneOut { zone } => Ok(fleet.set_zone(zone, ZoneState::Out)?),
        Action::ZoneIn { zone } => Ok(fleet.set_zone(zone, ZoneState::In)?),
        Action::ConfigDown => config(fleet, "down"),
        Action::ConfigStale => config(fleet, "stale"),
        Action::ConfigUp => config(fleet, "up"),
    }
}

fn engines(fleet: &Fleet, count: usize, fault: &str) -> Result<(), Error> {
    for engine in fleet.engines.iter().take(count) {
        set_fault(engine.info.addr, fault)?;
    }
    Ok(())
}

/// An engine that falls over closes its connections, this one too.
fn set_fault(addr: SocketAddr, fault: &str) -> Result<(), Error> {
    for _ in 1..FAULT_TRIES {
        if probe::set_fault(addr, fault).is_ok() {
            return Ok(());
        }
        thread::sleep(LOOK);
    }
    Ok(probe::set_fault(addr, fault)?)
}

fn config(fleet: &Fleet, kind: &str) -> Result<(), Error> {
    Ok(probe::set_fault(
        fleet.config.addr(),
        &format!(r#"{{"kind":"{kind}"}}"#),
    )?)
}
