//! What the modes of a runner have in common.

use super::runner::RunnerMode;

impl RunnerMode {
    /// Whether a whole response head of the runner itself is sent, with the request's id.
    pub fn has_own_head(self) -> bool {
        !matches!(
            self,
            RunnerMode::Misdirected
                | RunnerMode::Unproven(_)
                | RunnerMode::Stated(_)
                | RunnerMode::Unsealed
                | RunnerMode::Endless(_)
                | RunnerMode::Crossed
                | RunnerMode::Garbage
                | RunnerMode::Lost
                | RunnerMode::NoResponse
                | RunnerMode::HeadCut { .. }
                | RunnerMode::Resumed { .. }
        )
    }
}
