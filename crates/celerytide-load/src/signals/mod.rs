//! Signals that ask the tool to end, so that it can end its children first.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use signal_hook::consts::{SIGINT, SIGTERM};

/// Set by the first SIGINT or SIGTERM.
#[derive(Debug, Clone)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    /// Takes both signals over from their default effect.
    pub fn watch() -> io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        for signal in [SIGINT, SIGTERM] {
            signal_hook::flag::register(signal, stop.clone())?;
        }
        Ok(Self(stop))
    }

    /// Whether the tool was asked to end.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
