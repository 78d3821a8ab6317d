//! What the system's files say of a process and of the loopback interface.

use std::{fs, time::Duration};

/// Ticks a second in which processor time is counted.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of a process's `stat` after the name: user and system time.
const UTIME_FIELD: usize = 11;
const STIME_FIELD: usize = 12;
/// Field of the bytes sent in a line of the interfaces' counters, after the name.
const SENT_FIELD: usize = 8;
const KIB: u64 = 1024;

celerytide_types::data! {
    /// Memory of a process, in bytes.
    #[derive(Copy, Default, PartialOrd)]
    pub struct Memory {
        /// Resident.
        pub resident: u64,
        /// Resident and shared with nobody.
        pub private: u64,
    }
}

/// Processor time by a process's `stat`, user and system; `None` if it is not one.
pub fn processor(stat: &str) -> Option<Duration> {
    // The name stands in parentheses and may hold any character.
    let (_, rest) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at)?.parse::<u64>().ok();
    let ticks = ticks(UTIME_FIELD)?.checked_add(ticks(STIME_FIELD)?)?;
    Some(Duration::from_secs_f64(ticks as f64 / TICKS_PER_SECOND))
}

/// Memory by a process's `smaps_rollup`; `None` without a resident size.
pub fn memory(rollup: &str) -> Option<Memory> {
    let kib = |name: &str| -> Option<u64> {
        let rest = rollup.lines().find_map(|line| line.strip_prefix(name))?;
        rest.split_whitespace().next()?.parse().ok()
    };
    let private = kib("Private_Clean:")? + kib("Private_Dirty:")?;
    Some(Memory {
        resident: kib("Rss:")? * KIB,
        private: private * KIB,
    })
}

/// Bytes sent over loopback by `/proc/net/dev`, headers included; `None` without that interface.
pub fn loopback(dev: &str) -> Option<u64> {
    let line = dev.lines().find_map(|line| line.trim_start().strip_prefix("lo:"))?;
    line.split_whitespace().nth(SENT_FIELD)?.parse().ok()
}

/// Processor time that a process has used; zero if it is gone.
pub fn processor_of(pid: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    processor(&stat).unwrap_or_default()
}

/// Memory of a process; zero if it is gone.
pub fn memory_of(pid: u32) -> Memory {
    let rollup = fs::read_to_string(format!("/proc/{pid}/smaps_rollup")).unwrap_or_default();
    memory(&rollup).unwrap_or_default()
}

/// Bytes that this network namespace has sent over loopback.
pub fn loopback_now() -> u64 {
    let dev = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    loopback(&dev).unwrap_or_default()
}

/// Load averages now.
pub fn load() -> String {
    fs::read_to_string("/proc/loadavg")
        .unwrap_or_default()
        .trim()
        .to_owned()
}

/// The most resident memory by a process's `status`, in bytes; `None` if it has none.
pub fn peak(status: &str) -> Option<u64> {
    let rest = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kib: u64 = rest.split_whitespace().next()?.parse().ok()?;
    Some(kib * KIB)
}

/// The most resident memory of a process so far; zero if it is gone.
pub fn peak_of(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    peak(&status).unwrap_or_default()
}
