//! Samples processor time, memory and traffic of a fleet's daemons over a period.

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
    error::{Error, TooManyProcessesSnafu},
    proc,
};

/// Time for the daemons to become ready.
pub const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for the daemons to stop.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of processes of one fleet.
pub const MAX_PROCESSES: usize = 64;
/// Daemons of an instance: entry and dispatch.
const PROCESSES_PER_INSTANCE: usize = 2;

celerytide_types::data! {
    /// Resources used by one daemon.
    #[derive(Copy, Default)]
    pub struct DaemonUsage {
        /// Processor time, in percent of a core.
        pub core_percent: f64,
        /// Memory at the end of the period.
        pub memory: proc::Memory,
    }

    /// Resources used by a fleet over a period.
    #[derive(Default)]
    pub struct Sample {
        /// Length of the period, in seconds.
        pub seconds: f64,
        /// Usage of each entry process.
        pub entries: Vec<DaemonUsage>,
        /// Usage of each dispatch process.
        pub dispatches: Vec<DaemonUsage>,
        /// Bytes sent over loopback in this network namespace.
        pub loopback_bytes: u64,
        /// Requests to the configuration service.
        pub reads: u64,
    }
}

/// Starts a fleet and waits until it is ready; fails if it needs too many processes.
pub fn start(deployment: &Deployment) -> Result<Fleet, Error> {
    let processes =
        deployment.instances * PROCESSES_PER_INSTANCE + deployment.engines.count + deployment.plain.count + 1;
    if processes > MAX_PROCESSES {
        return TooManyProcessesSnafu {
            processes,
            bound: MAX_PROCESSES,
        }
        .fail();
    }
    let mut fleet = Fleet::start(deployment, fleet::Options::default())?;
    fleet.wait_ready(READY_TIMEOUT)?;
    Ok(fleet)
}

/// Requests to the configuration service so far.
pub fn config_calls(fleet: &Fleet) -> Result<Calls, Error> {
    Ok(probe::get_json(fleet.config.addr(), CALLS_PATH)?)
}

/// Samples a fleet for `duration`.
pub fn measure(fleet: &Fleet, duration: Duration) -> Result<Sample, Error> {
    let entries: Vec<u32> = fleet.instances.iter().map(|i| i.entry.pid()).collect();
    let dispatches: Vec<u32> = fleet.instances.iter().map(|i| i.dispatch.pid()).collect();
    let read_times = |pids: &[u32]| -> Vec<Duration> { pids.iter().map(|pid| proc::processor_time(*pid)).collect() };
    let reads = config_calls(fleet)?.total;
    let (start, bytes) = (Instant::now(), proc::loopback_sent());
    let before = [read_times(&entries), read_times(&dispatches)];
    thread::sleep(duration);
    let after = [read_times(&entries), read_times(&dispatches)];
    let (seconds, bytes) = (
        start.elapsed().as_secs_f64(),
        proc::loopback_sent().saturating_sub(bytes),
    );
    let [entries_before, dispatches_before] = &before;
    let [entries_after, dispatches_after] = &after;
    Ok(Sample {
        seconds,
        entries: daemon_usage(&entries, entries_before, entries_after, seconds),
        dispatches: daemon_usage(&dispatches, dispatches_before, dispatches_after, seconds),
        loopback_bytes: bytes,
        reads: config_calls(fleet)?.total.saturating_sub(reads),
    })
}

fn daemon_usage(pids: &[u32], before: &[Duration], after: &[Duration], seconds: f64) -> Vec<DaemonUsage> {
    const PERCENT: f64 = 100.0;
    let pairs = pids.iter().zip(before).zip(after);
    let usage = pairs.map(|((pid, before), after)| DaemonUsage {
        core_percent: PERCENT * after.saturating_sub(*before).as_secs_f64() / seconds,
        memory: proc::memory(*pid),
    });
    usage.collect()
}

/// Mean of a value over the daemons.
pub fn mean(daemons: &[DaemonUsage], value: impl Fn(&DaemonUsage) -> f64) -> f64 {
    daemons.iter().map(value).sum::<f64>() / daemons.len().max(1) as f64
}

/// Maximum of a value over the daemons.
pub fn max(daemons: &[DaemonUsage], value: impl Fn(&DaemonUsage) -> f64) -> f64 {
    daemons.iter().map(value).fold(0.0, f64::max)
}

/// Processor time, in percent of a core.
pub fn core_percent(usage: &DaemonUsage) -> f64 {
    usage.core_percent
}

/// Resident memory, in MiB.
pub fn resident_mib(usage: &DaemonUsage) -> f64 {
    to_mib(usage.memory.resident)
}

/// Private memory, in MiB.
pub fn private_mib(usage: &DaemonUsage) -> f64 {
    to_mib(usage.memory.private)
}

fn to_mib(bytes: u64) -> f64 {
    const MIB: f64 = 1024.0 * 1024.0;
    bytes as f64 / MIB
}
