//! A request in flight, counted at its endpoint until it ends.

use std::rc::Rc;
use std::time::Duration;

use celerytide_types::{BootTime, ServiceId, now_boot};

use super::{Edge, Flight};
use crate::placement::Reservation;
use crate::protocol::Protocol;

/// Counts a request at its endpoint until it is dropped.
pub struct InFlight<P: Protocol> {
    pub(super) edge: Rc<Edge<P>>,
    pub(super) reservation: Reservation,
    pub(super) service: ServiceId,
    /// The request as its coordinator knows it.
    pub(super) flight: Option<Flight<P>>,
    /// Tokens of its prompt and longest response.
    pub(super) tokens: f64,
    /// Most tokens of its response.
    pub(super) max_output_tokens: u32,
    /// Requests that the engine runs at once; 0 at a plain endpoint.
    pub(super) slots: u32,
    /// When its response began.
    pub(super) began_at: Option<BootTime>,
    /// The tightest gap between two events that a route of the service allows.
    pub(super) max_gap: Option<Duration>,
    /// The longest gap between two events of its response.
    pub(super) gap: Duration,
}

impl<P: Protocol> InFlight<P> {
    /// Records the time to the first byte of the response.
    pub fn record_first_byte(&mut self, took: Duration) {
        self.edge.counters.first_byte.observe(took.as_secs_f64());
        self.edge
            .loads
            .borrow_mut()
            .record_first_byte(&mut self.reservation, took);
        if let Some(flight) = &self.flight {
            flight.start(took);
        }
        self.began_at = Some(now_boot());
    }

    /// Records an event that came `gap` after the one before it.
    pub fn record_event_gap(&mut self, gap: Duration) {
        self.gap = self.gap.max(gap);
    }

    /// Records whether its events came in time.
    fn record_gap(&self) {
        let (Some(max_gap), true) = (self.max_gap, self.began_at.is_some()) else {
            return;
        };
        let mut split = self.edge.split.borrow_mut();
        split.record_stream(&self.service, self.gap > max_gap, now_boot());
    }

    /// Records how long it occupied one of the engine's slots.
    fn record_slot_time(&self) {
        let Some(began_at) = self.began_at.filter(|_| self.slots > 0) else {
            return;
        };
        let slot_time = now_boot().since(began_at);
        let mut split = self.edge.split.borrow_mut();
        split.record_response(&self.service, self.max_output_tokens, slot_time, self.slots);
    }
}

impl<P: Protocol> Drop for InFlight<P> {
    fn drop(&mut self) {
        self.record_slot_time();
        self.record_gap();
        self.edge.tokens_in_flight.borrow_mut().end(&self.service, self.tokens);
        let mut loads = self.edge.loads.borrow_mut();
        loads.release(&mut self.reservation);
        loads.get_or_insert(&self.reservation.endpoint).health.end_trial();
    }
}
