//! Description of the machine, and processor time and memory of processes.

use std::{fs, thread, time::Duration};

/// Unit of processor time in `/proc/PID/stat`, in ticks per second.
const TICKS_PER_SECOND: f64 = 100.0;
/// Indices of user and system time in `/proc/PID/stat`, counted after the process name.
const UTIME_FIELD: usize = 11;
const STIME_FIELD: usize = 12;
const KIB: u64 = 1024;

celerytide_types::data! {
    /// Machine and build, as reports state them.
    pub struct Machine {
        /// Model name of the processor.
        pub processor: String,
        /// Number of processors that this process may use.
        pub cores: usize,
        /// Physical memory, in bytes.
        pub memory_bytes: u64,
        /// Load averages at the start of the run.
        pub load: String,
        /// `release` or `debug`.
        pub build: String,
    }

    /// Resources used by a process since its start.
    #[derive(Copy, Default)]
    pub struct Usage {
        /// User and system time.
        pub processor: Duration,
        /// Resident memory, in bytes.
        pub resident_bytes: u64,
    }
}

impl Machine {
    /// Reads the values of this machine; a value that can't be read is empty or zero.
    pub fn read() -> Self {
        let processors = fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
        let processor = processors.lines().find(|line| line.starts_with("model name"));
        let processor = processor
            .and_then(|line| line.split_once(':'))
            .map(|(_, name)| name.trim().to_owned());
        let memory = fs::read_to_string("/proc/meminfo").unwrap_or_default();
        Self {
            processor: processor.unwrap_or_default(),
            cores: thread::available_parallelism().map_or(0, usize::from),
            memory_bytes: kib_field_bytes(&memory, "MemTotal:"),
            load: load_averages(),
            build: if cfg!(debug_assertions) { "debug" } else { "release" }.to_owned(),
        }
    }
}

/// Reads the current load averages; empty if they can't be read.
pub fn load_averages() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.trim().to_owned()
}

impl Usage {
    /// Reads the resources used by a process; zero if it doesn't exist.
    pub fn read(pid: u32) -> Self {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let ticks = total_ticks(&stat).unwrap_or_default();
        let processor = Duration::from_secs_f64(ticks as f64 / TICKS_PER_SECOND);
        Self {
            processor,
            resident_bytes: kib_field_bytes(&status, "VmRSS:"),
        }
    }

    /// Processor time since `before`.
    pub fn since(&self, before: &Self) -> Duration {
        self.processor.saturating_sub(before.processor)
    }
}

fn total_ticks(stat: &str) -> Option<u64> {
    // The process name is in parentheses and may contain any character.
    let (_, rest) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = rest.split(' ').collect();
    let field = |at: usize| fields.get(at)?.parse::<u64>().ok();
    Some(field(UTIME_FIELD)? + field(STIME_FIELD)?)
}

fn kib_field_bytes(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let kib = line
        .and_then(|line| line.split_whitespace().next())
        .and_then(|kib| kib.parse::<u64>().ok());
    kib.unwrap_or(0) * KIB
}
