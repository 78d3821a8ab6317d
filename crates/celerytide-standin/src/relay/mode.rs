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
pub(super) enum Way {
    Up,
    Down,
}

impl Mode {
    /// How many of `waiting` bytes may pass when `passed` did since this mode came into force.
    pub(super) fn allows(self, way: Way, reports: bool, passed: u64, waiting: usize) -> usize {
        match (self, way) {
            (Mode::Hold { .. }, _) if reports => waiting,
            (Mode::Hold { up, .. }, Way::Up) => bounded(up, passed, waiting),
            (Mode::Hold { down, keep, .. }, Way::Down) => {
                let keep = usize::try_from(keep).unwrap_or(usize::MAX);
                bounded(down, passed, waiting.saturating_sub(keep))
            }
            (Mode::Cut { up: true, .. }, Way::Up) | (Mode::Cut { down: true, .. }, Way::Down) => 0,
            _ => waiting,
        }
    }
}

fn bounded(bound: Option<u64>, passed: u64, waiting: usize) -> usize {
    let left = bound.map_or(u64::MAX, |bound| bound.saturating_sub(passed));
    waiting.min(usize::try_from(left).unwrap_or(usize::MAX))
}
