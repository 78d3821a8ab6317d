//! Measures the overhead of the system: calls through an entry compared to direct calls to the stand-ins.
//!
//! The time to the first token and the time between tokens are measured open loop on warm engines, with direct calls
//! and calls through an entry interleaved at the same rate. Throughput is measured closed loop, first direct and then
//! through one instance, along with the processor time and the memory of that instance's daemons.

mod deployment;
mod latency;
mod table;
mod throughput;
mod warm_up;

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

/// Time for the daemons to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for the daemons to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Decode step of the engines while the first token is measured, in milliseconds: none, so that the engine responds
/// at once.
const INSTANT_DECODE_MS: f64 = 0.0;
/// Decode step of the engines while the time between tokens is measured, in milliseconds.
const STEADY_DECODE_MS: f64 = 10.0;
/// Decode step of the engines while throughput is measured, in milliseconds.
const FAST_DECODE_MS: f64 = 2.0;
/// Tokens per response while the first token is measured.
const SHORT_TOKENS: usize = 4;
/// Tokens per response while the time between tokens is measured.
const LONG_TOKENS: usize = 40;
/// Tokens per response while throughput is measured.
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

/// Reason why the comparison failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A deployment did not start.
    #[snafu(display("{source}"), context(false))]
    Fleet {
        /// Underlying error.
        source: fleet::Error,
    },
    /// The embedded deployment is invalid.
    #[snafu(display("{source}"), context(false))]
    Deployment {
        /// Underlying error.
        source: serde_saphyr::Error,
    },
    /// Starting the runtime or accessing a file failed.
    #[snafu(display("{source}"), context(false))]
    System {
        /// Underlying error.
        source: io::Error,
    },
    /// The tool received a signal.
    #[snafu(display("ended by a signal"))]
    Interrupted,
    /// An engine stayed cold for too long.
    #[snafu(display("not every engine was warm in time"))]
    NotWarm,
    /// A sending thread panicked.
    #[snafu(display("a sending thread ended early"))]
    Thread,
}

celerytide_types::data! {
    /// Results of one comparison.
    pub struct Results {
        /// Machine and build.
        pub machine: Machine,
        /// Requests per second each way while latencies were measured.
        pub rate: f64,
        /// Length of each measurement, in seconds.
        pub seconds: f64,
        /// Seed of the arrivals.
        pub seed: u64,
        /// Time to the first token.
        pub first_token: Latency,
        /// Time between tokens.
        pub between_tokens: Latency,
        /// Throughput of plain calls.
        pub plain: Throughput,
        /// Throughput of streams.
        pub streamed: Throughput,
    }
}

/// Runs all measurements, and prints and writes the results.
pub fn run(options: &Options) -> Result<(), Error> {
    let results = measure(options, &Shutdown::register()?)?;
    let table = table::markdown(&results);
    println!("{table}");
    if let Some(dir) = &options.out {
        fs::create_dir_all(dir)?;
        fs::write(dir.join("compare.md"), &table)?;
        fs::write(
            dir.join("compare.json"),
            serde_json::to_vec_pretty(&results).unwrap_or_default(),
        )?;
    }
    Ok(())
}

/// Runs all measurements. A signal stops them after the current one.
pub fn measure(options: &Options, shutdown: &Shutdown) -> Result<Results, Error> {
    let machine = Machine::read();
    eprintln!("time to the first token ...");
    let first = with_fleet(shutdown, INSTANT_DECODE_MS, |fleet| {
        measure_warm(fleet, options, SHORT_TOKENS)
    })?;
    eprintln!("time between tokens ...");
    let steady = with_fleet(shutdown, STEADY_DECODE_MS, |fleet| {
        measure_warm(fleet, options, LONG_TOKENS)
    })?;
    eprintln!("plain calls ...");
    let plain = with_fleet(shutdown, FAST_DECODE_MS, |fleet| throughput::plain(fleet, options))?;
    eprintln!("streamed tokens ...");
    let streamed = with_fleet(shutdown, FAST_DECODE_MS, |fleet| {
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

fn measure_warm(fleet: &Fleet, options: &Options, tokens: usize) -> Result<latency::LatencyPair, Error> {
    warm_up::warm_engines(fleet)?;
    latency::measure(fleet, options, tokens)
}

fn with_fleet<T>(shutdown: &Shutdown, decode_ms: f64, f: impl FnOnce(&Fleet) -> Result<T, Error>) -> Result<T, Error> {
    let mut fleet = Fleet::start(&deployment::build(decode_ms)?, fleet::Options { own_group: true })?;
    fleet.wait_ready(READY_TIMEOUT)?;
    let result = f(&fleet)?;
    fleet.stop(STOP_TIMEOUT);
    if shutdown.is_requested() {
        InterruptedSnafu.fail()
    } else {
        Ok(result)
    }
}
