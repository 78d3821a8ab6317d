//! Counts the open exchanges of a connection, and how many of them are in the background.
//!
//! With many peers, pings cost more than all other control traffic, so a connection is pinged at every
//! [`Options::ping`](crate::Options) only while it is busy: while it has an exchange that expects data. Background
//! exchanges, which may stay open for hours without a message, keep the connection open but don't make it busy. A
//! connection without any exchange is closed by the side that opened it.

use std::cell::Cell;
use std::rc::Rc;

/// Shared counts of one connection.
#[derive(Debug, Clone, Default)]
pub(crate) struct Activity(Rc<ExchangeCounts>);

#[derive(Debug, Default)]
struct ExchangeCounts {
    open: Cell<usize>,
    background: Cell<usize>,
}

/// Counts one open exchange until it is dropped.
#[derive(Debug)]
pub(crate) struct ExchangeGuard {
    activity: Activity,
    background: bool,
}

impl Activity {
    pub(crate) fn open_exchange(&self) -> ExchangeGuard {
        self.0.open.set(self.0.open.get() + 1);
        ExchangeGuard {
            activity: self.clone(),
            background: false,
        }
    }

    /// Whether an exchange is open that is not in the background.
    pub(crate) fn is_busy(&self) -> bool {
        self.0.open.get() > self.0.background.get()
    }

    /// Whether no exchange is open.
    pub(crate) fn is_unused(&self) -> bool {
        self.0.open.get() == 0
    }
}

impl ExchangeGuard {
    /// Marks the exchange as a background one.
    pub(crate) fn set_background(&mut self) {
        if !self.background {
            self.background = true;
            let background = &self.activity.0.background;
            background.set(background.get() + 1);
        }
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        let ExchangeCounts { open, background } = &*self.activity.0;
        open.set(open.get().saturating_sub(1));
        if self.background {
            background.set(background.get().saturating_sub(1));
        }
    }
}
