//! Memory limit of the process and where it comes from, and its resident memory.

use std::fmt::{self, Display, Formatter};
use std::path::Path;

const MB: usize = 1_000_000;
const KIB: usize = 1024;
/// Mount point of the cgroup v2 hierarchy.
const CGROUP_ROOT: &str = "/sys/fs/cgroup";
/// Name of the cgroup's limit.
const CGROUP_LIMIT: &str = "memory.max";
/// Start of the line in `/proc/self/cgroup` for the v2 hierarchy.
const CGROUP_LINE: &str = "0::/";
/// Field of `/proc/meminfo` with the memory of the machine.
const TOTAL_FIELD: &str = "MemTotal:";
/// Field of `/proc/self/status` with the resident memory.
const RESIDENT_FIELD: &str = "VmRSS:";
/// Limit if none can be read.
const FALLBACK_BYTES: usize = 88 * MB;

/// Where a memory limit comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitSource {
    /// The setting.
    Setting,
    /// `memory.max` of the cgroup or of one above it.
    Cgroup,
    /// The memory of the machine.
    Machine,
    /// None could be read.
    Fallback,
}

impl Display for LimitSource {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LimitSource::Setting => "setting",
            LimitSource::Cgroup => "cgroup",
            LimitSource::Machine => "machine",
            LimitSource::Fallback => "fallback",
        })
    }
}

/// Memory that the process may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Bytes.
    pub bytes: usize,
    /// Where it comes from.
    pub source: LimitSource,
}

impl Limit {
    /// The limit of the setting `memory_mb`, else that of the cgroup or of the machine, whichever is less.
    pub fn find(memory_mb: Option<usize>) -> Limit {
        let setting = memory_mb.map(|mb| mb.saturating_mul(MB));
        let setting = setting.map(|bytes| Limit {
            bytes,
            source: LimitSource::Setting,
        });
        let least = || {
            let cgroup = Limit::of_cgroup(Path::new(CGROUP_ROOT), &read("/proc/self/cgroup"));
            let found = cgroup.into_iter().chain(Limit::of_machine());
            found.min_by_key(|limit| limit.bytes)
        };
        setting.or_else(least).unwrap_or(Limit {
            bytes: FALLBACK_BYTES,
            source: LimitSource::Fallback,
        })
    }

    /// The least limit of the cgroup named in `membership`, the text of `/proc/self/cgroup`, and of those above it.
    pub fn of_cgroup(root: &Path, membership: &str) -> Option<Limit> {
        let group = membership.lines().find_map(|line| line.strip_prefix(CGROUP_LINE))?;
        let folder = root.join(group);
        let folders = folder.ancestors().take_while(|folder| folder.starts_with(root));
        let limits = folders.filter_map(|folder| read(folder.join(CGROUP_LIMIT)).trim().parse().ok());
        limits.min().map(|bytes| Limit {
            bytes,
            source: LimitSource::Cgroup,
        })
    }

    fn of_machine() -> Option<Limit> {
        field_bytes(&read("/proc/meminfo"), TOTAL_FIELD).map(|bytes| Limit {
            bytes,
            source: LimitSource::Machine,
        })
    }
}

/// Resident memory of the process in bytes; `None` if it can't be read.
pub(super) fn resident_bytes() -> Option<usize> {
    field_bytes(&read("/proc/self/status"), RESIDENT_FIELD)
}

/// The value of a field in kB, in bytes.
fn field_bytes(text: &str, field: &str) -> Option<usize> {
    let value = text.lines().find_map(|line| line.strip_prefix(field))?;
    let kib: usize = value.trim().strip_suffix(" kB")?.trim().parse().ok()?;
    Some(kib * KIB)
}

/// The text of a file; empty if it can't be read.
fn read(path: impl AsRef<Path>) -> String {
    std::fs::read_to_string(path).unwrap_or_default()
}
