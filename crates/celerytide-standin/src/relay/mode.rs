//! Modes of a route, and how many bytes each lets through.

celerytide_types::data! {
    /// How a route treats bytes and connections.
    #[derive(Copy, Eq, Default)]
    #[serde(tag = "kind", rename_all = "kebab-case")]
    pub enum Mode {
        /// All bytes pass, those held back first.
        #[default]
        Pass,
        /// Each connection passes this many more bytes. Connections that read load reports or send orders pass all.
        Hold {
            /// Bytes to the target; all if absent.
            up: Option<u64>,
            /// Bytes from the target; all if absent.
            down: Option<u64>,
            /// Number of the latest bytes from the target that are held back in any case.
            #[serde(default)]
            keep: u64,
        },
        /// No new connection is established; open ones continue.
        Stall,
        /// New connections are refused; open ones continue.
        Refuse,
        /// No bytes pass in the given directions, on open and new connections.
        Cut {
            /// Nothing reaches the target.
            up: bool,
            /// Nothing from the target passes.
            down: bool,
        },
        /// Open connections never pass bytes again; new ones pass all.
        Silent,
        /// Open connections are reset; new ones pass all.
        Reset,
    }
}

/// Direction of bytes: `Up` is to the target, `Down` from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Direction {
    Up,
    Down,
}

impl Mode {
    /// How many of `held` bytes may pass after `passed` bytes have passed in this mode.
    pub(super) fn sendable(self, direction: Direction, is_hold_exempt: bool, passed: u64, held: usize) -> usize {
        match (self, direction) {
            (Mode::Hold { .. }, _) if is_hold_exempt => held,
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
