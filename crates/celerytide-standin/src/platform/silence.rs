//! A sound runner that falls silent for some time and goes on: it reads and writes nothing meanwhile.

use std::sync::{Condvar, Mutex, PoisonError};

use super::runner::lock;

/// Whether a runner is silent.
#[derive(Debug, Default)]
pub(super) struct Silence {
    is_silent: Mutex<bool>,
    ended: Condvar,
}

impl Silence {
    pub(super) fn set(&self, is_silent: bool) {
        *lock(&self.is_silent) = is_silent;
        self.ended.notify_all();
    }

    /// Waits until the runner goes on.
    pub(super) fn wait(&self) {
        let is_silent = lock(&self.is_silent);
        let waited = self.ended.wait_while(is_silent, |is_silent| *is_silent);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }
}
