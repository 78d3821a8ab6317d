//! Many customers in the manifest: size of its text, memory, and processor time to put it in force.

use std::{
    thread,
    time::{Duration, Instant},
};

use argh::FromArgs;
use celerytide_load::fleet::{Deployment, Fleet, yaml};
use celerytide_manifest::{Customer, hash_key};
use celerytide_standin::probe;
use serde_json::Value;

use crate::{
    Error, proc,
    report::{Report, Row, sizes},
    sample::{self, STOP_TIMEOUT, private, resident},
};

const INSTANCES: usize = 1;
const LOOK: Duration = Duration::from_millis(10);
/// A manifest that is not in force by then counts as refused.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after the change before memory is read.
const SETTLE: Duration = Duration::from_secs(1);
const LIMIT_PER_SECOND: f64 = 10.0;
const LIMIT_BURST: u32 = 20;

/// Measure manifests with many customers.
#[derive(FromArgs, Debug, Clone)]
#[argh(subcommand, name = "customers")]
pub struct Options {
    /// numbers of customers
    #[argh(option, default = "String::from(\"100,1000,3000,6000,10000,42000\")")]
    pub sizes: String,
    /// seconds without changes after each manifest; a whole number of waits of a watch (20) counts each watch once
    #[argh(option, default = "20")]
    pub seconds: u64,
}

/// Measures each size in turn.
pub fn run(options: &Options) -> Result<Report, Error> {
    let rows = sizes(&options.sizes)?.into_iter().map(|size| row(options, size));
    let rows = rows.collect::<Result<Vec<_>, _>>()?;
    Ok(Report::new("Customers in the manifest", "customers", rows))
}

fn row(options: &Options, size: usize) -> Result<Row, Error> {
    eprintln!("customers: {size} ...");
    let mut fleet = sample::start(&Deployment::demo(INSTANCES)?)?;
    let before = used(&fleet);
    let begun = Instant::now();
    fleet.publish(|manifest| manifest.customers.extend((0..size).map(customer)))?;
    let text = yaml::to_yaml(&fleet.manifest)?.len();
    let in_force = in_force(&fleet, begun);
    thread::sleep(SETTLE);
    let after = used(&fleet);
    let sample = sample::measure(&fleet, Duration::from_secs(options.seconds))?;
    fleet.stop(STOP_TIMEOUT);
    const MILLIS: f64 = 1e3;
    let [entry, dispatch] = [0, 1].map(|daemon| after[daemon].saturating_sub(before[daemon]).as_secs_f64() * MILLIS);
    let first = |of: &[sample::Used]| of.first().copied().unwrap_or_default();
    let (entry_end, dispatch_end) = (first(&sample.entries), first(&sample.dispatches));
    let applied = |value: f64| if in_force.is_some() { value } else { f64::NAN };
    Ok(Row::new(size)
        .with("text KiB", text as f64 / 1024.0)
        .with(
            "in force at both daemons ms (NaN: refused)",
            in_force.map_or(f64::NAN, |t| t.as_secs_f64() * MILLIS),
        )
        .with("entry processor ms", applied(entry))
        .with("dispatch processor ms", applied(dispatch))
        .with("entry resident MiB", applied(resident(&entry_end)))
        .with("entry private MiB", applied(private(&entry_end)))
        .with("dispatch resident MiB", applied(resident(&dispatch_end)))
        .with("dispatch private MiB", applied(private(&dispatch_end)))
        .with(
            "loopback bytes/s without changes",
            applied(sample.loopback_bytes as f64 / sample.seconds),
        ))
}

fn customer(index: usize) -> Customer {
    let id = format!("customer-{index}");
    Customer {
        key_sha256: hash_key(&id),
        id,
        requests_per_second: LIMIT_PER_SECOND,
        burst: LIMIT_BURST,
        weight: 1,
    }
}

fn used(fleet: &Fleet) -> [Duration; 2] {
    let of = |pids: Vec<u32>| pids.into_iter().map(proc::processor_of).sum();
    [
        of(fleet.instances.iter().map(|i| i.entry.pid()).collect()),
        of(fleet.instances.iter().map(|i| i.dispatch.pid()).collect()),
    ]
}

/// Time until both daemons say that the version is in force; `None` if they don't in time.
fn in_force(fleet: &Fleet, begun: Instant) -> Option<Duration> {
    let version = fleet.manifest.version;
    let all = || {
        let addrs = fleet.instances.iter().map(|i| &i.addresses);
        let mut addrs = addrs.flat_map(|at| [at.entry_operator, at.dispatch_operator]);
        addrs.all(|addr| {
            let status: Option<Value> = probe::get_json(addr, "/status").ok();
            status.and_then(|status| status["manifest"]["version"].as_u64()) == Some(version)
        })
    };
    while begun.elapsed() < APPLY_TIMEOUT {
        if all() {
            return Some(begun.elapsed());
        }
        thread::sleep(LOOK);
    }
    None
}
