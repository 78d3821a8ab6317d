//! How many exchanges of a connection are open, and how many of them somebody waits on.
//!
//! Pings cost more than all other control at many peers, so a connection is pinged each [`Options::ping`](crate::Options) only while it is
//! busy. Quiet exchanges, which may stay open for hours without a word, keep the connection open but don't make it busy. A
//! connection without any exchange is closed by the side that opened it.

use std::cell::Cell;
use std::rc::Rc;

/// The counts of one connection.
#[derive(Debug, Clone, Default)]
pub(crate) struct Busy(Rc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    open: Cell<usize>,
    quiet: Cell<usize>,
}

/// One open exchange, until it is dropped.
#[derive(Debug)]
pub(crate) struct Counted {
    busy: Busy,
    quiet: bool,
}

impl Busy {
    pub(crate) fn enter(&self) -> Counted {
        self.0.open.set(self.0.open.get() + 1);
        Counted {
            busy: self.clone(),
            quiet: false,
        }
    }

    /// Whether somebody waits on an exchange.
    pub(crate) fn is_busy(&self) -> bool {
        self.0.open.get() > self.0.quiet.get()
    }

    /// Whether no exchange is open.
    pub(crate) fn is_unused(&self) -> bool {
        self.0.open.get() == 0
    }
}

impl Counted {
    /// From now on nobody waits on it.
    pub(crate) fn quiet(&mut self) {
        if !self.quiet {
            self.quiet = true;
            let quiet = &self.busy.0.quiet;
            quiet.set(quiet.get() + 1);
        }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let Counts { open, quiet } = &*self.busy.0;
        open.set(open.get().saturating_sub(1));
        if self.quiet {
            quiet.set(quiet.get().saturating_sub(1));
        }
    }
}
