//! What the machine is, and what processes use of it.

use std::{fs, thread, time::Duration};

/// Ticks a second in which `/proc/PID/stat` counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of `/proc/PID/stat` after the name: user and system time.
const UTIME_FIELD: usize = 11;
const STIME_FIELD: usize = 12;
const KIB: u64 = 1024;

celerytide_types::data! {
    /// The machine and the build, as a report states them.
    pub struct Machine {
        /// Processor's model name.
        pub processor: String,
        /// Processors that this process may use.
        pub cores: usize,
        /// Memory, in bytes.
        pub memory_bytes: u64,
        /// Load averages when the run began.
        pub load: String,
        /// `release` or `debug`.
        pub build: String,
    }

    /// What a process has used so far.
    #[derive(Copy, Default)]
    pub struct Usage {
        /// Processor time.
        pub processor: Duration,
        /// Resident memory.
        pub resident_bytes: u64,
    }
}

impl Machine {
    /// Reads the machine's figures; what cannot be read is empty or zero.
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
            memory_bytes: kib_line(&memory, "MemTotal:"),
            load: load_averages(),
            build: if cfg!(debug_assertions) { "debug" } else { "release" }.to_owned(),
        }
    }
}

/// Load averages now; empty if they cannot be read.
pub fn load_averages() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.trim().to_owned()
}

impl Usage {
    /// Reads what the process has used; zero if it is gone.
    pub fn read(pid: u32) -> Self {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let ticks = ticks(&stat).unwrap_or_default();
        let processor = Duration::from_secs_f64(ticks as f64 / TICKS_PER_SECOND);
        Self {
            processor,
            resident_bytes: kib_line(&status, "VmRSS:"),
        }
    }

    /// Processor time since `before`.
    pub fn since(&self, before: &Self) -> Duration {
        self.processor.saturating_sub(before.processor)
    }
}

fn ticks(stat: &str) -> Option<u64> {
    // The name stands in parentheses and may hold any character.
    let (_, rest) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = rest.split(' ').collect();
    let number = |at: usize| fields.get(at)?.parse::<u64>().ok();
    Some(number(UTIME_FIELD)? + number(STIME_FIELD)?)
}

fn kib_line(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let kib = line
        .and_then(|line| line.split_whitespace().next())
        .and_then(|kib| kib.parse::<u64>().ok());
    kib.unwrap_or(0) * KIB
}
