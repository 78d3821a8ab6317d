//! Time until a new manifest is in force at every daemon.

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
    Error, cut,
    error::NotInForceSnafu,
    report::{Report, Row, sizes},
    sample::{self, STOP_TIMEOUT, calls},
};

/// Longest wait for a change, in seconds: what is promised.
const IN_FORCE_SECONDS: u64 = 16;
const LOOK: Duration = Duration::from_millis(5);
const MEDIAN: f64 = 0.5;
const P99: f64 = 0.99;
const MILLIS: f64 = 1e3;
/// Time between changes, so that watches wait again.
const BETWEEN: Duration = Duration::from_millis(700);

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

/// Measures each size in turn.
pub fn run(options: &Options) -> Result<Report, Error> {
    let rows = sizes(&options.sizes)?.into_iter().map(|size| row(options, size));
    let rows = rows.collect::<Result<Vec<_>, _>>()?;
    let title = if options.one_reader {
        "Change in force at every daemon, one instance reads"
    } else {
        "Change in force at every daemon"
    };
    Ok(Report::new(title, "instances", rows))
}

fn row(options: &Options, size: usize) -> Result<Row, Error> {
    eprintln!("change: {size} instances ...");
    // The folder has to outlive the processes that write into it.
    let (_dir, mut fleet) = if options.one_reader {
        let (fleet, dir) = cut::start(size, cut::Differs::CutOff)?;
        (Some(dir), fleet)
    } else {
        (None, sample::start(&Deployment::demo(size)?)?)
    };
    let before = calls(&fleet)?.total;
    let mut times = Vec::new();
    for _ in 0..options.changes {
        thread::sleep(BETWEEN);
        times.push(one(&mut fleet)?.as_secs_f64());
    }
    let reads = calls(&fleet)?.total.saturating_sub(before);
    fleet.stop(STOP_TIMEOUT);
    times.sort_by(f64::total_cmp);
    let row = Row::new(size)
        .with("in force everywhere ms, median", quantile(&times, MEDIAN) * MILLIS)
        .with("in force everywhere ms, p99", quantile(&times, P99) * MILLIS)
        .with("in force everywhere ms, most", quantile(&times, 1.0) * MILLIS)
        .with("reads for each change", reads as f64 / options.changes.max(1) as f64);
    eprintln!("change: {row:?}");
    Ok(row)
}

/// The least of the sorted values that `part` of them don't exceed.
fn quantile(sorted: &[f64], part: f64) -> f64 {
    let rank = (part * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(f64::NAN)
}

fn one(fleet: &mut Fleet) -> Result<Duration, Error> {
    let begun = Instant::now();
    fleet.publish(|_| {})?;
    let version = fleet.manifest.version;
    let daemons = fleet.instances.iter().map(|i| &i.addresses);
    let addrs = daemons.flat_map(|at| [at.entry_operator, at.dispatch_operator]);
    for addr in addrs {
        until(addr, version, begun)?;
    }
    Ok(begun.elapsed())
}

fn until(addr: SocketAddr, version: u64, begun: Instant) -> Result<(), Error> {
    while begun.elapsed() < Duration::from_secs(IN_FORCE_SECONDS) {
        let status: Status = probe::get_json(addr, "/status")?;
        if status.manifest.version >= version {
            return Ok(());
        }
        thread::sleep(LOOK);
    }
    NotInForceSnafu {
        version,
        addr,
        seconds: IN_FORCE_SECONDS,
    }
    .fail()
}
