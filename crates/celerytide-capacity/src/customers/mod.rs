//! Many customers in the manifest: size of its text, memory, and processor time to put it in force.

use std::{
    collections::BTreeSet,
    thread,
    time::{Duration, Instant},
};

use argh::FromArgs;
use celerytide_load::fleet::{Deployment, Fleet, yaml};
use celerytide_manifest::{Customer, KeyHash, split};
use celerytide_standin::{
    config::{TEST_MANIFEST_PATH, TEST_SECTION_PATH},
    probe,
};
use celerytide_types::Digest;
use serde_json::Value;

use crate::{
    Error, proc,
    report::{Report, Row, sizes},
    sample::{self, STOP_TIMEOUT, private, resident},
};

const INSTANCES: usize = 1;
const LOOK: Duration = Duration::from_millis(10);
/// A manifest that is not in force by then counts as refused.
const APPLY_TIMEOUT: Duration = Duration::from_secs(16);
/// Time after the change before memory is read.
const SETTLE: Duration = Duration::from_secs(1);
const MILLIS: f64 = 1e3;
const KIB: f64 = 1024.0;
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
    /// publish whole manifests, without sections
    #[argh(switch)]
    pub whole: bool,
}

/// What was published.
struct Published {
    /// Bytes of the manifest's text.
    head: usize,
    /// Bytes of its new sections.
    sections: usize,
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
    let mut held = BTreeSet::new();
    let before = used(&fleet);
    let begun = Instant::now();
    fleet.manifest.customers.extend((0..size).map(customer));
    let published = publish(options, &mut fleet, &mut held)?;
    let applied = in_force(&fleet, begun);
    thread::sleep(SETTLE);
    let after = used(&fleet);
    let sample = sample::measure(&fleet, Duration::from_secs(options.seconds))?;
    let memory = proc_memory(&fleet);
    let change = change(options, &mut fleet, &mut held)?;
    fleet.stop(STOP_TIMEOUT);
    let [entry, dispatch] = [0, 1].map(|daemon| after[daemon].saturating_sub(before[daemon]).as_secs_f64() * MILLIS);
    let first = |of: &[sample::Used]| of.first().copied().unwrap_or_default();
    let (entry_end, dispatch_end) = (first(&sample.entries), first(&sample.dispatches));
    let if_applied = |value: f64| if applied.is_some() { value } else { f64::NAN };
    let millis = |time: Option<Duration>| time.map_or(f64::NAN, |t| t.as_secs_f64() * MILLIS);
    Ok(Row::new(size)
        .with("manifest KiB", published.head as f64 / KIB)
        .with("sections KiB", published.sections as f64 / KIB)
        .with("in force at both daemons ms (NaN: refused)", millis(applied))
        .with("entry processor ms", if_applied(entry))
        .with("dispatch processor ms", if_applied(dispatch))
        .with("entry resident MiB", if_applied(resident(&entry_end)))
        .with("entry private MiB", if_applied(private(&entry_end)))
        .with("dispatch resident MiB", if_applied(resident(&dispatch_end)))
        .with("dispatch private MiB", if_applied(private(&dispatch_end)))
        .with("most resident MiB of a daemon", if_applied(memory))
        .with(
            "loopback bytes/s without changes",
            if_applied(sample.loopback_bytes as f64 / sample.seconds),
        )
        .with("one customer changed: new KiB", if_applied(change.kib))
        .with("in force ms", if_applied(millis(change.in_force)))
        .with("loopback KiB of the change", if_applied(change.loopback_kib)))
}

/// What a change of one customer took.
struct Change {
    kib: f64,
    in_force: Option<Duration>,
    loopback_kib: f64,
}

fn change(options: &Options, fleet: &mut Fleet, held: &mut BTreeSet<Digest>) -> Result<Change, Error> {
    if let Some(customer) = fleet.manifest.customers.last_mut() {
        customer.burst += 1;
    }
    let (begun, bytes) = (Instant::now(), proc::loopback_now());
    let published = publish(options, fleet, held)?;
    // What the test side itself sends is no part of the daemons' traffic.
    let sent = u64::try_from(published.head + published.sections).unwrap_or(u64::MAX);
    let in_force = in_force(fleet, begun);
    let loopback = proc::loopback_now().saturating_sub(bytes).saturating_sub(sent);
    Ok(Change {
        kib: sent as f64 / KIB,
        in_force,
        loopback_kib: loopback as f64 / KIB,
    })
}

/// Publishes the fleet's manifest as its next version: new sections first, then the manifest that names them.
fn publish(options: &Options, fleet: &mut Fleet, held: &mut BTreeSet<Digest>) -> Result<Published, Error> {
    fleet.manifest.version += 1;
    let config = fleet.config.addr();
    let text = yaml::to_yaml(&fleet.manifest)?;
    if options.whole {
        probe::put(config, TEST_MANIFEST_PATH, text.as_bytes())?;
        return Ok(Published {
            head: text.len(),
            sections: 0,
        });
    }
    let parts = split("manifest.yaml", &text)?;
    let mut sections = 0;
    for part in &parts.sections {
        if held.insert(part.digest.clone()) {
            let path = format!("{TEST_SECTION_PATH}{}", part.digest);
            probe::put(config, &path, part.text.as_bytes())?;
            sections += part.text.len();
        }
    }
    probe::put(config, TEST_MANIFEST_PATH, parts.manifest.as_bytes())?;
    Ok(Published {
        head: parts.manifest.len(),
        sections,
    })
}

/// The most memory that a daemon had at any time, in MiB.
fn proc_memory(fleet: &Fleet) -> f64 {
    let pids = fleet.instances.iter().flat_map(|i| [i.entry.pid(), i.dispatch.pid()]);
    let most = pids.map(proc::peak_of).max().unwrap_or_default();
    most as f64 / (KIB * KIB)
}

fn customer(index: usize) -> Customer {
    let id = format!("customer-{index}");
    Customer {
        key_sha256: KeyHash::of(&id),
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
