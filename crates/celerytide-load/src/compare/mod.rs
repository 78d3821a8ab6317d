//! What the system adds: direct calls to the stand-ins beside calls through an entry, in the same run.
//!
//! First tokens and gaps are measured open loop on warm engines, both ways at the same rate and in turn. Throughput is measured closed loop,
//! first direct and then through one instance, with the processor time and the memory of that instance's daemons.

mod latency;
mod plan;
mod table;
mod throughput;
mod warm;

use std::{fs, io, path::PathBuf, time::Duration};

use argh::FromArgs;
use snafu::Snafu;

use crate::{
    fleet::{self, Fleet},
    machine::Machine,
    signals::Shutdown,
};

pub use latency::Latency;
pub use throughput::{Load, Throughput};

/// How long the daemons may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// How long the daemons may take to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Decode step of the engines where the first token is measured: none, so that the engine answers at once.
const AT_ONCE_MS: f64 = 0.0;
/// Decode step of the engines where gaps are measured, in milliseconds.
const STEADY_MS: f64 = 10.0;
/// Decode step of the engines where throughput is measured, in milliseconds.
const FAST_MS: f64 = 2.0;
/// Tokens of an answer where the first token is measured.
const SHORT_TOKENS: usize = 4;
/// Tokens of an answer where gaps are measured.
const LONG_TOKENS: usize = 40;
/// Tokens of an answer where throughput is measured.
const STREAM_TOKENS: usize = 400;

/// Measure calls through an entry beside direct calls to the stand-ins.
#[derive(FromArgs, Debug, Clone)]
#[argh(subcommand, name = "compare")]
pub struct Options {
    /// requests a second each way where latencies are measured
    #[argh(option, default = "200.0")]
    pub rate: f64,
    /// length of each measurement
    #[argh(option, default = "10.0")]
    pub seconds: f64,
    /// concurrent plain calls where throughput is measured
    #[argh(option, default = "64")]
    pub callers: usize,
    /// concurrent streams where throughput is measured
    #[argh(option, default = "240")]
    pub streams: usize,
    /// threads that send
    #[argh(option, default = "3")]
    pub threads: usize,
    /// seed of the arrivals
    #[argh(option, default = "1")]
    pub seed: u64,
    /// folder for the results
    #[argh(option)]
    pub out: Option<PathBuf>,
}

impl Options {
    /// Length of each measurement.
    pub fn duration(&self) -> Duration {
        Duration::try_from_secs_f64(self.seconds).unwrap_or_default()
    }
}

/// Why the comparison failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A deployment did not start.
    #[snafu(display("{source}"), context(false))]
    Fleet {
        /// What went wrong.
        source: fleet::Error,
    },
    /// The embedded deployment is wrong.
    #[snafu(display("{source}"), context(false))]
    Plan {
        /// What the decoder said.
        source: serde_saphyr::Error,
    },
    /// The runtime or a file failed.
    #[snafu(display("{source}"), context(false))]
    System {
        /// What the system said.
        source: io::Error,
    },
    /// A signal asked the tool to end.
    #[snafu(display("ended by a signal"))]
    Interrupted,
    /// Engines stayed cold.
    #[snafu(display("not every engine was warm in time"))]
    NotWarm,
    /// A sending thread ended early.
    #[snafu(display("a sending thread ended early"))]
    Thread,
}

celerytide_types::data! {
    /// The results of one run.
    pub struct Results {
        /// The machine.
        pub machine: Machine,
        /// Requests a second each way where latencies were measured.
        pub rate: f64,
        /// Length of each measurement, in seconds.
        pub seconds: f64,
        /// Seed of the arrivals.
        pub seed: u64,
        /// Time to the first token.
        pub first_token: Latency,
        /// Time between tokens.
        pub between_tokens: Latency,
        /// Plain calls.
        pub plain: Throughput,
        /// Streamed tokens.
        pub streamed: Throughput,
    }
}

/// Runs all measurements and prints the table.
pub fn run(options: &Options) -> Result<(), Error> {
    let results = measure(options, &Shutdown::register()?)?;
    let table = table::markdown(&results);
    println!("{table}");
    if let Some(folder) = &options.out {
        fs::create_dir_all(folder)?;
        fs::write(folder.join("compare.md"), &table)?;
        fs::write(
            folder.join("compare.json"),
            serde_json::to_vec_pretty(&results).unwrap_or_default(),
        )?;
    }
    Ok(())
}

/// Runs all measurements; a signal ends them after the one that runs.
pub fn measure(options: &Options, shutdown: &Shutdown) -> Result<Results, Error> {
    let machine = Machine::read();
    eprintln!("time to the first token ...");
    let first = with_fleet(shutdown, AT_ONCE_MS, |fleet| warmed(fleet, options, SHORT_TOKENS))?;
    eprintln!("time between tokens ...");
    let steady = with_fleet(shutdown, STEADY_MS, |fleet| warmed(fleet, options, LONG_TOKENS))?;
    eprintln!("plain calls ...");
    let plain = with_fleet(shutdown, FAST_MS, |fleet| throughput::plain(fleet, options))?;
    eprintln!("streamed tokens ...");
    let streamed = with_fleet(shutdown, FAST_MS, |fleet| {
        throughput::streamed(fleet, options, STREAM_TOKENS)
    })?;
    Ok(Results {
        machine,
        rate: options.rate,
        seconds: options.seconds,
        seed: options.seed,
        first_token: first.first_token,
        between_tokens: steady.between_tokens,
        plain,
        streamed,
    })
}

fn warmed(fleet: &Fleet, options: &Options, tokens: usize) -> Result<latency::Both, Error> {
    warm::engines(fleet)?;
    latency::measure(fleet, options, tokens)
}

fn with_fleet<T>(
    shutdown: &Shutdown,
    decode_ms: f64,
    work: impl FnOnce(&Fleet) -> Result<T, Error>,
) -> Result<T, Error> {
    let mut fleet = Fleet::start(&plan::deployment(decode_ms)?, fleet::Options { own_group: true })?;
    fleet.wait_ready(READY_TIMEOUT)?;
    let done = work(&fleet)?;
    fleet.stop(STOP_TIMEOUT);
    if shutdown.is_requested() {
        InterruptedSnafu.fail()
    } else {
        Ok(done)
    }
}
