//! Readers for files under `/proc`: processor time and memory of processes, and traffic of the loopback interface.

use std::{fs, time::Duration};

/// Unit of processor time, in ticks per second.
const TICKS_PER_SECOND: f64 = 100.0;
/// Indices of user and system time in the `stat` file of a process, counted after the process name.
const UTIME_FIELD: usize = 11;
const STIME_FIELD: usize = 12;
/// Index of the sent bytes in a line of `/proc/net/dev`, counted after the interface name.
const SENT_BYTES_FIELD: usize = 8;
const KIB: u64 = 1024;

celerytide_types::data! {
    /// Memory of a process, in bytes.
    #[derive(Copy, Default, PartialOrd)]
    pub struct Memory {
        /// Resident memory.
        pub resident: u64,
        /// Resident memory that is not shared with other processes.
        pub private: u64,
    }
}

/// Parses user plus system time from the `stat` file of a process; `None` if it is malformed.
pub fn parse_processor_time(stat: &str) -> Option<Duration> {
    // The process name is in parentheses and may contain any character.
    let (_, rest) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at)?.parse::<u64>().ok();
    let ticks = ticks(UTIME_FIELD)?.checked_add(ticks(STIME_FIELD)?)?;
    Some(Duration::from_secs_f64(ticks as f64 / TICKS_PER_SECOND))
}

/// Parses the memory from the `smaps_rollup` file of a process; `None` if a field is missing.
pub fn parse_memory(rollup: &str) -> Option<Memory> {
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

/// Parses the bytes sent over loopback, including headers, from `/proc/net/dev`; `None` without that interface.
pub fn parse_loopback_sent(dev: &str) -> Option<u64> {
    let line = dev.lines().find_map(|line| line.trim_start().strip_prefix("lo:"))?;
    line.split_whitespace().nth(SENT_BYTES_FIELD)?.parse().ok()
}

/// Processor time used by a process; zero if it doesn't exist.
pub fn processor_time(pid: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    parse_processor_time(&stat).unwrap_or_default()
}

/// Memory of a process; zero if it doesn't exist.
pub fn memory(pid: u32) -> Memory {
    let rollup = fs::read_to_string(format!("/proc/{pid}/smaps_rollup")).unwrap_or_default();
    parse_memory(&rollup).unwrap_or_default()
}

/// Bytes sent over loopback in this network namespace so far.
pub fn loopback_sent() -> u64 {
    let dev = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    parse_loopback_sent(&dev).unwrap_or_default()
}

/// Current load averages; empty if they can't be read.
pub fn load_averages() -> String {
    fs::read_to_string("/proc/loadavg")
        .unwrap_or_default()
        .trim()
        .to_owned()
}

/// Parses the peak resident memory, in bytes, from the `status` file of a process; `None` if the field is missing.
pub fn parse_peak_memory(status: &str) -> Option<u64> {
    let rest = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kib: u64 = rest.split_whitespace().next()?.parse().ok()?;
    Some(kib * KIB)
}

/// Peak resident memory of a process, in bytes; zero if it doesn't exist.
pub fn peak_memory(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    parse_peak_memory(&status).unwrap_or_default()
}
