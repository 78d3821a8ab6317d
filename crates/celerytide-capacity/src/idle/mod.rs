//! A fleet without traffic: what gossip, watches and clockwork cost.

use std::{
    thread,
    time::{Duration, Instant},
};

use argh::FromArgs;
use celerytide_load::fleet::{Deployment, Fleet};
use celerytide_standin::probe;
use serde::Deserialize;

use crate::{
    Error, cut,
    report::{Report, Row, sizes},
    sample::{self, STOP_TIMEOUT, calls, core, mean, most, private, resident},
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

/// Measures each size in turn.
pub fn run(options: &Options) -> Result<Report, Error> {
    let rows = sizes(&options.sizes)?.into_iter().map(|size| row(options, size));
    let rows = rows.collect::<Result<Vec<_>, _>>()?;
    Ok(Report::new("Fleet without traffic", "instances", rows))
}

fn row(options: &Options, size: usize) -> Result<Row, Error> {
    eprintln!("idle: {size} instances ...");
    let begun = Instant::now();
    // The folder has to outlive the processes that write into it.
    let (_dir, mut fleet) = match options.ping {
        Some(ping) => {
            let (fleet, dir) = cut::start(size, cut::Differs::Ping(Duration::from_secs(ping)))?;
            (Some(dir), fleet)
        }
        None => (None, sample::start(&Deployment::demo(size)?)?),
    };
    let ready = begun.elapsed();
    thread::sleep(Duration::from_secs(options.settle));
    let peak = calls(&fleet)?.peak_second;
    let sample = sample::measure(&fleet, Duration::from_secs(options.seconds))?;
    let links = links(&fleet)?;
    fleet.stop(STOP_TIMEOUT);
    let per_second = |count: u64| count as f64 / sample.seconds;
    Ok(Row::new(size)
        .with("entry % of a core, mean", mean(&sample.entries, core))
        .with("dispatch % of a core, mean", mean(&sample.dispatches, core))
        .with("dispatch % of a core, most", most(&sample.dispatches, core))
        .with("entry resident MiB", mean(&sample.entries, resident))
        .with("entry private MiB", mean(&sample.entries, private))
        .with("dispatch resident MiB", mean(&sample.dispatches, resident))
        .with("dispatch private MiB", mean(&sample.dispatches, private))
        .with(
            "loopback bytes/s an instance",
            per_second(sample.loopback_bytes) / size.max(1) as f64,
        )
        .with("links an instance opened", links as f64 / size.max(1) as f64)
        .with("reads/s", per_second(sample.reads))
        .with("reads in the busiest second of the start", peak as f64)
        .with("start to all ready s", ready.as_secs_f64()))
}

/// Connections to peers that all daemons opened and keep.
fn links(fleet: &Fleet) -> Result<usize, Error> {
    let addrs = fleet.instances.iter().map(|i| &i.addresses);
    let addrs = addrs.flat_map(|at| [at.entry_operator, at.dispatch_operator]);
    let mut links = 0;
    for addr in addrs {
        let status: Status = probe::get_json(addr, "/status")?;
        links += status.connections;
    }
    Ok(links)
}
