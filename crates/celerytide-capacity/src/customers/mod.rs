//! Measures manifests with many customers: their size, and the memory and processor time to put them in force.

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
    report::{Report, Row, parse_sizes},
    sample::{self, STOP_TIMEOUT, private_mib, resident_mib},
};

const INSTANCES: usize = 1;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A manifest that isn't in force after this time counts as refused.
const APPLY_TIMEOUT: Duration = Duration::from_secs(16);
/// Time between the change and reading the memory.
const SETTLE_TIME: Duration = Duration::from_secs(1);
const MILLIS_PER_SECOND: f64 = 1e3;
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

/// Sizes of the published documents.
struct Published {
    /// Size of the manifest, in bytes.
    manifest: usize,
    /// Total size of the new sections, in bytes.
    sections: usize,
}

/// Measures each size in turn, with a new fleet.
pub fn run(options: &Options) -> Result<Report, Error> {
    let rows = parse_sizes(&options.sizes)?
        .into_iter()
        .map(|size| measure(options, size));
    let rows = rows.collect::<Result<Vec<_>, _>>()?;
    Ok(Report::new("Customers in the manifest", "customers", rows))
}

fn measure(options: &Options, size: usize) -> Result<Row, Error> {
    eprintln!("customers: {size} ...");
    let mut fleet = sample::start(&Deployment::demo(INSTANCES)?)?;
    let mut published_sections = BTreeSet::new();
    let before = processor_times(&fleet);
    let start = Instant::now();
    fleet.manifest.customers.extend((0..size).map(customer));
    let published = publish(options, &mut fleet, &mut published_sections)?;
    let applied = wait_in_force(&fleet, start);
    thread::sleep(SETTLE_TIME);
    let after = processor_times(&fleet);
    let sample = sample::measure(&fleet, Duration::from_secs(options.seconds))?;
    let peak_mib = peak_memory_mib(&fleet);
    let change = measure_change(options, &mut fleet, &mut published_sections)?;
    fleet.stop(STOP_TIMEOUT);
    let [entry_ms, dispatch_ms] =
        [0, 1].map(|daemon| after[daemon].saturating_sub(before[daemon]).as_secs_f64() * MILLIS_PER_SECOND);
    let first = |usage: &[sample::DaemonUsage]| usage.first().copied().unwrap_or_default();
    let (entry_end, dispatch_end) = (first(&sample.entries), first(&sample.dispatches));
    let if_applied = |value: f64| if applied.is_some() { value } else { f64::NAN };
    let millis = |time: Option<Duration>| time.map_or(f64::NAN, |t| t.as_secs_f64() * MILLIS_PER_SECOND);
    Ok(Row::new(size)
        .with("manifest KiB", published.manifest as f64 / KIB)
        .with("sections KiB", published.sections as f64 / KIB)
        .with("in force at both daemons ms (NaN: refused)", millis(applied))
        .with("entry processor ms", if_applied(entry_ms))
        .with("dispatch processor ms", if_applied(dispatch_ms))
        .with("entry resident MiB", if_applied(resident_mib(&entry_end)))
        .with("entry private MiB", if_applied(private_mib(&entry_end)))
        .with("dispatch resident MiB", if_applied(resident_mib(&dispatch_end)))
        .with("dispatch private MiB", if_applied(private_mib(&dispatch_end)))
        .with("most resident MiB of a daemon", if_applied(peak_mib))
        .with(
            "loopback bytes/s without changes",
            if_applied(sample.loopback_bytes as f64 / sample.seconds),
        )
        .with("one customer changed: new KiB", if_applied(change.kib))
        .with("in force ms", if_applied(millis(change.in_force)))
        .with("loopback KiB of the change", if_applied(change.loopback_kib)))
}

/// Cost of a change of one customer.
struct Change {
    kib: f64,
    in_force: Option<Duration>,
    loopback_kib: f64,
}

fn measure_change(
    options: &Options,
    fleet: &mut Fleet,
    published_sections: &mut BTreeSet<Digest>,
) -> Result<Change, Error> {
    if let Some(customer) = fleet.manifest.customers.last_mut() {
        customer.burst += 1;
    }
    let (start, bytes) = (Instant::now(), proc::loopback_sent());
    let published = publish(options, fleet, published_sections)?;
    // The bytes sent by this tool are not part of the daemons' traffic.
    let sent = u64::try_from(published.manifest + published.sections).unwrap_or(u64::MAX);
    let in_force = wait_in_force(fleet, start);
    let loopback = proc::loopback_sent().saturating_sub(bytes).saturating_sub(sent);
    Ok(Change {
        kib: sent as f64 / KIB,
        in_force,
        loopback_kib: loopback as f64 / KIB,
    })
}

/// Publishes the next version of the fleet's manifest: first the new sections, then the manifest that refers to them.
fn publish(
    options: &Options,
    fleet: &mut Fleet,
    published_sections: &mut BTreeSet<Digest>,
) -> Result<Published, Error> {
    fleet.manifest.version += 1;
    let config = fleet.config.addr();
    let text = yaml::to_yaml(&fleet.manifest)?;
    if options.whole {
        probe::put(config, TEST_MANIFEST_PATH, text.as_bytes())?;
        return Ok(Published {
            manifest: text.len(),
            sections: 0,
        });
    }
    let split = split("manifest.yaml", &text)?;
    let mut sections = 0;
    for section in &split.sections {
        if published_sections.insert(section.digest.clone()) {
            let path = format!("{TEST_SECTION_PATH}{}", section.digest);
            probe::put(config, &path, section.text.as_bytes())?;
            sections += section.text.len();
        }
    }
    probe::put(config, TEST_MANIFEST_PATH, split.manifest.as_bytes())?;
    Ok(Published {
        manifest: split.manifest.len(),
        sections,
    })
}

/// Peak memory of any daemon, in MiB.
fn peak_memory_mib(fleet: &Fleet) -> f64 {
    let pids = fleet.instances.iter().flat_map(|i| [i.entry.pid(), i.dispatch.pid()]);
    let peak = pids.map(proc::peak_memory).max().unwrap_or_default();
    peak as f64 / (KIB * KIB)
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

fn processor_times(fleet: &Fleet) -> [Duration; 2] {
    let sum = |pids: Vec<u32>| pids.into_iter().map(proc::processor_time).sum();
    [
        sum(fleet.instances.iter().map(|i| i.entry.pid()).collect()),
        sum(fleet.instances.iter().map(|i| i.dispatch.pid()).collect()),
    ]
}

/// Waits until both daemons report that the version is in force. Returns the time since `start`; `None` on timeout.
fn wait_in_force(fleet: &Fleet, start: Instant) -> Option<Duration> {
    let version = fleet.manifest.version;
    let all_applied = || {
        let addresses = fleet.instances.iter().map(|i| &i.addresses);
        let mut addrs = addresses.flat_map(|addresses| [addresses.entry_operator, addresses.dispatch_operator]);
        addrs.all(|addr| {
            let status: Option<Value> = probe::get_json(addr, "/status").ok();
            status.and_then(|status| status["manifest"]["version"].as_u64()) == Some(version)
        })
    };
    while start.elapsed() < APPLY_TIMEOUT {
        if all_applied() {
            return Some(start.elapsed());
        }
        thread::sleep(POLL_INTERVAL);
    }
    None
}
