//! Processor time and memory of a fleet's daemons over a span.

use std::{
    thread,
    time::{Duration, Instant},
};

use celerytide_load::fleet::{self, Deployment, Fleet};
use celerytide_standin::{
    config::{CALLS_PATH, Calls},
    probe,
};

use crate::{
    error::{Error, TooManySnafu},
    proc,
};

/// How long the daemons may take to be ready.
pub const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// How long the daemons may take to stop.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Most processes of one fleet.
pub const PROCESSES_MAX: usize = 64;
/// Processes of an instance.
const PROCESSES_PER_INSTANCE: usize = 2;

celerytide_types::data! {
    /// What one daemon used.
    #[derive(Copy, Default)]
    pub struct Used {
        /// Part of a core, in percent.
        pub core_percent: f64,
        /// Memory at the end.
        pub memory: proc::Memory,
    }

    /// What a fleet used over a span.
    #[derive(Default)]
    pub struct Sample {
        /// Length in seconds.
        pub seconds: f64,
        /// By entry.
        pub entries: Vec<Used>,
        /// By dispatch.
        pub dispatches: Vec<Used>,
        /// Bytes over loopback in this network namespace.
        pub loopback_bytes: u64,
        /// Calls at the configuration service.
        pub reads: u64,
    }
}

/// Starts a fleet and waits until it is ready.
pub fn start(plan: &Deployment) -> Result<Fleet, Error> {
    let processes = plan.instances * PROCESSES_PER_INSTANCE + plan.engines.count + plan.plain.count + 1;
    if processes > PROCESSES_MAX {
        return TooManySnafu {
            processes,
            bound: PROCESSES_MAX,
        }
        .fail();
    }
    let mut fleet = Fleet::start(plan, fleet::Options::default())?;
    fleet.wait_ready(READY_TIMEOUT)?;
    Ok(fleet)
}

/// Calls at the configuration service so far.
pub fn calls(fleet: &Fleet) -> Result<Calls, Error> {
    Ok(probe::get_json(fleet.config.addr(), CALLS_PATH)?)
}

/// Measures for a span.
pub fn measure(fleet: &Fleet, span: Duration) -> Result<Sample, Error> {
    let entries: Vec<u32> = fleet.instances.iter().map(|i| i.entry.pid()).collect();
    let dispatches: Vec<u32> = fleet.instances.iter().map(|i| i.dispatch.pid()).collect();
    let read = |pids: &[u32]| -> Vec<Duration> { pids.iter().map(|pid| proc::processor_of(*pid)).collect() };
    let reads = calls(fleet)?.total;
    let (begun, bytes) = (Instant::now(), proc::loopback_now());
    let before = [read(&entries), read(&dispatches)];
    thread::sleep(span);
    let after = [read(&entries), read(&dispatches)];
    let (seconds, bytes) = (
        begun.elapsed().as_secs_f64(),
        proc::loopback_now().saturating_sub(bytes),
    );
    let [entries_before, dispatches_before] = &before;
    let [entries_after, dispatches_after] = &after;
    Ok(Sample {
        seconds,
        entries: used(&entries, entries_before, entries_after, seconds),
        dispatches: used(&dispatches, dispatches_before, dispatches_after, seconds),
        loopback_bytes: bytes,
        reads: calls(fleet)?.total.saturating_sub(reads),
    })
}

fn used(pids: &[u32], before: &[Duration], after: &[Duration], seconds: f64) -> Vec<Used> {
    const PERCENT: f64 = 100.0;
    let each = pids.iter().zip(before).zip(after);
    let used = each.map(|((pid, before), after)| Used {
        core_percent: PERCENT * after.saturating_sub(*before).as_secs_f64() / seconds,
        memory: proc::memory_of(*pid),
    });
    used.collect()
}

/// The mean over daemons.
pub fn mean(daemons: &[Used], of: impl Fn(&Used) -> f64) -> f64 {
    daemons.iter().map(of).sum::<f64>() / daemons.len().max(1) as f64
}

/// The most over daemons.
pub fn most(daemons: &[Used], of: impl Fn(&Used) -> f64) -> f64 {
    daemons.iter().map(of).fold(0.0, f64::max)
}

/// Part of a core, in percent.
pub fn core(used: &Used) -> f64 {
    used.core_percent
}

/// Resident memory in MiB.
pub fn resident(used: &Used) -> f64 {
    mib(used.memory.resident)
}

/// Private memory in MiB.
pub fn private(used: &Used) -> f64 {
    mib(used.memory.private)
}

fn mib(bytes: u64) -> f64 {
    const MIB: f64 = 1024.0 * 1024.0;
    bytes as f64 / MIB
}
