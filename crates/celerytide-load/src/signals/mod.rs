//! Handles SIGINT and SIGTERM, so that the tool can stop its child processes before it exits.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use signal_hook::consts::{SIGINT, SIGTERM};

/// Flag that is set by the first SIGINT or SIGTERM.
#[derive(Debug, Clone)]
pub struct Shutdown(Arc<AtomicBool>);

impl Shutdown {
    /// Replaces the default action of both signals; fails if a handler can't be registered.
    pub fn register() -> io::Result<Self> {
        let flag = Arc::new(AtomicBool::new(false));
        for signal in [SIGINT, SIGTERM] {
            signal_hook::flag::register(signal, flag.clone())?;
        }
        Ok(Self(flag))
    }

    /// Whether a signal was received.
    pub fn is_requested(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
