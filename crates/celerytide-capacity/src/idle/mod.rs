//! Measures a fleet without traffic: the cost of gossip, watches and periodic tasks.

use std::{
    thread,
    time::{Duration, Instant},
};

use argh::FromArgs;
use celerytide_load::fleet::{Deployment, Fleet};
use celerytide_standin::probe;
use serde::Deserialize;

use crate::{
    Error,
    mixed_fleet::{self, Override},
    report::{Report, Row, parse_sizes},
    sample::{self, STOP_TIMEOUT, config_calls, core_percent, max, mean, private_mib, resident_mib},
};

/// Measure fleets without traffic.
#[derive(FromArgs, Debug, Clone)]
#[argh(subcommand, name = "idle")]
pub struct Options {
    /// numbers of instances
    #[argh(option, default = "String::from(\"2,4,8,16,24\")")]
    pub sizes: String,
    /// seconds before the measurement, in which peers connect to each other
    #[argh(option, default = "30")]
    pub settle: u64,
    /// seconds of the measurement; a whole number of waits of a watch (20) counts each watch once
    #[argh(option, default = "20")]
    pub seconds: u64,
    /// seconds between pings of peers at all instances but the first; as by default if absent
    #[argh(option)]
    pub ping: Option<u64>,
}

#[derive(Deserialize)]
struct Status {
    connections: usize,
}

/// Measures each size in turn, with a new fleet.
pub fn run(options: &Options) -> Result<Report, Error> {
    let rows = parse_sizes(&options.sizes)?
        .into_iter()
        .map(|size| measure(options, size));
    let rows = rows.collect::<Result<Vec<_>, _>>()?;
    Ok(Report::new("Fleet without traffic", "instances", rows))
}

fn measure(options: &Options, size: usize) -> Result<Row, Error> {
    eprintln!("idle: {size} instances ...");
    let start = Instant::now();
    // The directory must outlive the processes that write to it.
    let (_dir, mut fleet) = match options.ping {
        Some(ping) => {
            let (fleet, dir) = mixed_fleet::start(size, Override::PingInterval(Duration::from_secs(ping)))?;
            (Some(dir), fleet)
        }
        None => (None, sample::start(&Deployment::demo(size)?)?),
    };
    let ready = start.elapsed();
    thread::sleep(Duration::from_secs(options.settle));
    let peak = config_calls(&fleet)?.peak_second;
    let sample = sample::measure(&fleet, Duration::from_secs(options.seconds))?;
    let connections = open_connections(&fleet)?;
    fleet.stop(STOP_TIMEOUT);
    let per_second = |count: u64| count as f64 / sample.seconds;
    Ok(Row::new(size)
        .with("entry % of a core, mean", mean(&sample.entries, core_percent))
        .with("dispatch % of a core, mean", mean(&sample.dispatches, core_percent))
        .with("dispatch % of a core, most", max(&sample.dispatches, core_percent))
        .with("entry resident MiB", mean(&sample.entries, resident_mib))
        .with("entry private MiB", mean(&sample.entries, private_mib))
        .with("dispatch resident MiB", mean(&sample.dispatches, resident_mib))
        .with("dispatch private MiB", mean(&sample.dispatches, private_mib))
        .with(
            "loopback bytes/s an instance",
            per_second(sample.loopback_bytes) / size.max(1) as f64,
        )
        .with("links an instance opened", connections as f64 / size.max(1) as f64)
        .with("reads/s", per_second(sample.reads))
        .with("reads in the busiest second of the start", peak as f64)
        .with("start to all ready s", ready.as_secs_f64()))
}

/// Number of open connections to peers that the daemons established.
fn open_connections(fleet: &Fleet) -> Result<usize, Error> {
    let addresses = fleet.instances.iter().map(|i| &i.addresses);
    let addrs = addresses.flat_map(|addresses| [addresses.entry_operator, addresses.dispatch_operator]);
    let mut total = 0;
    for addr in addrs {
        let status: Status = probe::get_json(addr, "/status")?;
        total += status.connections;
    }
    Ok(total)
}
