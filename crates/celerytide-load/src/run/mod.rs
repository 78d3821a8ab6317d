//! Runs a scenario open loop and keeps what happened.

mod results;
mod send;
mod watch;

use std::{
    fs, io,
    path::{Path, PathBuf},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use argh::FromArgs;
use celerytide_manifest::ZoneState;
use celerytide_standin::probe;
use snafu::Snafu;

use crate::{
    fleet::{self, Fleet},
    machine::Machine,
    report,
    scenario::{self, Action, Scenario},
    signals::Stop,
};

pub use results::{ClassResult, PhaseEnd, Results, Second, attains, summarise};
pub use send::{Progress, Record};
pub use watch::Sample;

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

/// Runs the scenario with each seed and writes the results.
pub fn run(options: &Options) -> Result<(), Error> {
    let stop = Stop::watch()?;
    let scenario = Scenario::load(&options.scenario)?;
    let own = [scenario.seed];
    let seeds = if options.seed.is_empty() {
        own.as_slice()
    } else {
        &options.seed
    };
    let mut all = Vec::new();
    for seed in seeds {
        let scenario = Scenario {
            seed: *seed,
            ..scenario.clone()
        };
        let results = measure(&scenario, &stop)?;
        println!("{}", report::markdown(&results));
        if let Some(folder) = &options.out {
            let folder = if seeds.len() > 1 {
                folder.join(format!("seed-{seed}"))
            } else {
                folder.clone()
            };
            write(&results, &folder)?;
        }
        all.push(results);
    }
    if all.len() > 1 {
        let table = report::seeds(&all);
        println!("{table}");
        if let Some(folder) = &options.out {
            fs::write(folder.join("seeds.md"), table)?;
        }
    }
    Ok(())
}

fn write(results: &Results, folder: &Path) -> Result<(), Error> {
    fs::create_dir_all(folder)?;
    report::write(results, folder)?;
    println!("written to {}", folder.display());
    Ok(())
}

/// Runs the scenario.
pub fn measure(scenario: &Scenario, stop: &Stop) -> Result<Results, Error> {
    let machine = Machine::read();
    eprintln!(
        "{}: starting {} instances ...",
        scenario.name, scenario.deployment.instances
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
    let generated = watch::generated(&fleet).saturating_sub(generated_before);
    let calls = probe::get_json(fleet.config.addr(), celerytide_standin::config::CALLS_PATH)?;
    let stopped = fleet.stop(STOP_TIMEOUT);
    Ok(summarise(
        scenario, machine, &records, samples, generated, calls, stopped,
    ))
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
            let offset = Duration::try_from_secs_f64(event.at)
                .unwrap_or_default()
                .min(phase.span());
            all.push(Due {
                at: start + offset,
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
        probe::fault(engine.running.addr, fault)?;
    }
    Ok(())
}

fn config(fleet: &Fleet, kind: &str) -> Result<(), Error> {
    Ok(probe::fault(fleet.config.addr(), &format!(r#"{{"kind":"{kind}"}}"#))?)
}
