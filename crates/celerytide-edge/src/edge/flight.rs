//! A request at its endpoint: counted there until it ends, and learned from.

use std::rc::Rc;
use std::time::Duration;

use celerytide_types::{BootTime, ServiceId, now_boot};

use super::Edge;
use crate::names::Wire;
use crate::place::Ticket;

/// Counts a request at its endpoint until it is dropped.
pub struct InFlight<W: Wire> {
    pub(super) edge: Rc<Edge<W>>,
    pub(super) ticket: Ticket,
    pub(super) service: ServiceId,
    /// Tokens of its prompt and answer.
    pub(super) tokens: f64,
    /// Most tokens of its answer.
    pub(super) output: u32,
    /// Requests that the engine runs at once; none of a plain endpoint.
    pub(super) slots: u32,
    /// When its answer began.
    pub(super) begun: Option<BootTime>,
    /// The tightest pause between two events that a route of the service allows.
    pub(super) pause: Option<Duration>,
    /// The longest one that was seen.
    pub(super) gap: Duration,
}

impl<W: Wire> InFlight<W> {
    /// The first byte of the answer came after `took`.
    pub fn first_byte(&mut self, took: Duration) {
        self.edge.counters.first_byte.observe(took.as_secs_f64());
        self.edge.loads.borrow_mut().first_byte(&mut self.ticket, took);
        self.begun = Some(now_boot());
    }

    /// The next event of its answer came after `gap`.
    pub fn event_gap(&mut self, gap: Duration) {
        self.gap = self.gap.max(gap);
    }

    /// Learns whether its events came in time.
    fn learn_gap(&self) {
        let (Some(pause), true) = (self.pause, self.begun.is_some()) else {
            return;
        };
        let mut split = self.edge.split.borrow_mut();
        split.saw(&self.service, self.gap > pause, now_boot());
    }

    /// Learns from the time for which it held one of the engine's places.
    fn learn_place(&self) {
        let Some(begun) = self.begun.filter(|_| self.slots > 0) else {
            return;
        };
        let held = now_boot().since(begun);
        let mut split = self.edge.split.borrow_mut();
        split.learn(&self.service, self.output, held, self.slots);
    }
}

impl<W: Wire> Drop for InFlight<W> {
    fn drop(&mut self) {
        self.learn_place();
        self.learn_gap();
        self.edge.held.borrow_mut().end(&self.service, self.tokens);
        let mut loads = self.edge.loads.borrow_mut();
        loads.end(&mut self.ticket);
        loads.entry(&self.ticket.endpoint).health.end_trial();
    }
}
