//! How a route treats bytes.

celerytide_types::data! {
    /// How a route treats bytes.
    #[derive(Copy, Eq, Default)]
    #[serde(tag = "kind", rename_all = "kebab-case")]
    pub enum Mode {
        /// All pass, the ones held back first.
        #[default]
        Pass,
        /// Each connection passes so many bytes from now on. Connections that read load reports pass all.
        Hold {
            /// Bytes towards the target; all if absent.
            up: Option<u64>,
            /// Bytes from the target; all if absent.
            down: Option<u64>,
            /// The last bytes from the target so far that are held back in any case.
            #[serde(default)]
            keep: u64,
        },
        /// No new connection comes about; open ones go on.
        Stall,
        /// No bytes pass in the ways named, on open connections and new ones.
        Cut {
            /// Nothing reaches the target.
            up: bool,
            /// Nothing comes from the target.
            down: bool,
        },
        /// Open connections pass nothing for good; new ones pass all.
        Silent,
        /// Open connections are reset; new ones pass all.
        Reset,
    }
}

/// Direction of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Direction {
    Up,
    Down,
}

impl Mode {
    /// How many of `held` bytes may pass when `passed` did since this mode came into force.
    pub(super) fn sendable(self, direction: Direction, is_report_reader: bool, passed: u64, held: usize) -> usize {
        match (self, direction) {
            (Mode::Hold { .. }, _) if is_report_reader => held,
            (Mode::Hold { up, .. }, Direction::Up) => limit(up, passed, held),
            (Mode::Hold { down, keep, .. }, Direction::Down) => {
                let keep = usize::try_from(keep).unwrap_or(usize::MAX);
                limit(down, passed, held.saturating_sub(keep))
            }
            (Mode::Cut { up: true, .. }, Direction::Up) | (Mode::Cut { down: true, .. }, Direction::Down) => 0,
            _ => held,
        }
    }
}

fn limit(bound: Option<u64>, passed: u64, held: usize) -> usize {
    let left = bound.map_or(u64::MAX, |bound| bound.saturating_sub(passed));
    held.min(usize::try_from(left).unwrap_or(usize::MAX))
}
