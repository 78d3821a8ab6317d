//! Measures the time until a new manifest is in force at every daemon.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use argh::FromArgs;
use celerytide_load::fleet::{Deployment, Fleet};
use celerytide_standin::probe;
use serde::Deserialize;

use crate::{
    Error,
    error::NotInForceSnafu,
    mixed_fleet::{self, Override},
    report::{Report, Row, parse_sizes},
    sample::{self, STOP_TIMEOUT, config_calls},
};

/// Longest wait for a change, in seconds: the guaranteed time.
const IN_FORCE_TIMEOUT_SECONDS: u64 = 16;
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const MEDIAN: f64 = 0.5;
const P99: f64 = 0.99;
const MILLIS_PER_SECOND: f64 = 1e3;
/// Time between changes, so that the daemons' watches are waiting again.
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);

/// Measure the time until a new manifest is in force everywhere.
#[derive(FromArgs, Debug, Clone)]
#[argh(subcommand, name = "change")]
pub struct Options {
    /// numbers of instances
    #[argh(option, default = "String::from(\"2,4,8,16,24\")")]
    pub sizes: String,
    /// changes at each size
    #[argh(option, default = "20")]
    pub changes: usize,
    /// only the first instance reaches the configuration service
    #[argh(switch)]
    pub one_reader: bool,
}

#[derive(Deserialize)]
struct Status {
    manifest: Manifest,
}

#[derive(Deserialize)]
struct Manifest {
    version: u64,
}

/// Measures each size in turn, with a new fleet.
pub fn run(options: &Options) -> Result<Report, Error> {
    let rows = parse_sizes(&options.sizes)?
        .into_iter()
        .map(|size| measure(options, size));
    let rows = rows.collect::<Result<Vec<_>, _>>()?;
    let title = if options.one_reader {
        "Change in force at every daemon, one instance reads"
    } else {
        "Change in force at every daemon"
    };
    Ok(Report::new(title, "instances", rows))
}

fn measure(options: &Options, size: usize) -> Result<Row, Error> {
    eprintln!("change: {size} instances ...");
    // The directory must outlive the processes that write to it.
    let (_dir, mut fleet) = if options.one_reader {
        let (fleet, dir) = mixed_fleet::start(size, Override::NoConfigService)?;
        (Some(dir), fleet)
    } else {
        (None, sample::start(&Deployment::demo(size)?)?)
    };
    let before = config_calls(&fleet)?.total;
    let mut times = Vec::new();
    for _ in 0..options.changes {
        thread::sleep(CHANGE_INTERVAL);
        times.push(measure_change(&mut fleet)?.as_secs_f64());
    }
    let reads = config_calls(&fleet)?.total.saturating_sub(before);
    fleet.stop(STOP_TIMEOUT);
    times.sort_by(f64::total_cmp);
    let row = Row::new(size)
        .with(
            "in force everywhere ms, median",
            quantile(&times, MEDIAN) * MILLIS_PER_SECOND,
        )
        .with("in force everywhere ms, p99", quantile(&times, P99) * MILLIS_PER_SECOND)
        .with(
            "in force everywhere ms, most",
            quantile(&times, 1.0) * MILLIS_PER_SECOND,
        )
        .with("reads for each change", reads as f64 / options.changes.max(1) as f64);
    eprintln!("change: {row:?}");
    Ok(row)
}

/// Smallest of the sorted values that at least `fraction` of them don't exceed; NaN without values.
fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    let rank = (fraction * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(f64::NAN)
}

fn measure_change(fleet: &mut Fleet) -> Result<Duration, Error> {
    let start = Instant::now();
    fleet.publish(|_| {})?;
    let version = fleet.manifest.version;
    let addresses = fleet.instances.iter().map(|i| &i.addresses);
    let addrs = addresses.flat_map(|addresses| [addresses.entry_operator, addresses.dispatch_operator]);
    for addr in addrs {
        wait_in_force(addr, version, start)?;
    }
    Ok(start.elapsed())
}

fn wait_in_force(addr: SocketAddr, version: u64, start: Instant) -> Result<(), Error> {
    while start.elapsed() < Duration::from_secs(IN_FORCE_TIMEOUT_SECONDS) {
        let status: Status = probe::get_json(addr, "/status")?;
        if status.manifest.version >= version {
            return Ok(());
        }
        thread::sleep(POLL_INTERVAL);
    }
    NotInForceSnafu {
        version,
        addr,
        seconds: IN_FORCE_TIMEOUT_SECONDS,
    }
    .fail()
}
