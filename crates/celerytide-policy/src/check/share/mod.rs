//! Model of guaranteed shares of slot time.
//!
//! The model tracks which classes have queued requests and which permits hold a slot, and bounds the lag of each class:
//! the lower bound assumes that the class was charged for every grant, the upper bound that it was charged for none. No
//! class that can't be due may be granted before one that must be, and no lag may exceed what the longest holds
//! explain.

use std::collections::HashMap;

use celerytide_types::{BootTime, ClassName, PermitId};

use super::queue;
use super::{Entry, Event, Rule};
use crate::options::Options;
use crate::pool::share::{DEBT_SECONDS_MAX, DUE_SECONDS, LAG_SECONDS_MAX, lacks_slot, may_catch_up};

/// Tolerance for rounding of summed times, in seconds.
const ROUNDING: f64 = 1e-6;

#[derive(Debug)]
struct Holder {
    class: ClassName,
    since: BootTime,
    /// Whether its connection isn't lost, so that it holds a slot.
    connected: bool,
}

#[derive(Debug, Default, Clone, Copy)]
struct Lag {
    lower: f64,
    upper: f64,
}

/// Replays slot time.
#[derive(Debug)]
pub(super) struct Model {
    at: BootTime,
    holders: HashMap<PermitId, Holder>,
    /// Number of holders whose connection isn't lost, in total and by class.
    connected: u64,
    connected_by: HashMap<ClassName, u64>,
    lags: HashMap<ClassName, Lag>,
    longest_hold: f64,
    has_tiers: bool,
}

impl Model {
    pub fn new(opts: &Options) -> Model {
        Model {
            at: BootTime::default(),
            holders: HashMap::new(),
            connected: 0,
            connected_by: HashMap::new(),
            lags: HashMap::new(),
            longest_hold: 0.0,
            has_tiers: opts.baseline.is_none(),
        }
    }

    /// Processes an event before the queue model does.
    pub fn step(&mut self, entry: &Entry, queue: &queue::Model, report: &mut impl FnMut(Rule, String)) {
        if !self.has_tiers {
            return;
        }
        self.advance(entry.at, queue);
        match &entry.event {
            Event::Granted(grant) => {
                let class = queue.waiting(grant.req).map(|req| req.class.clone());
                let class = class.unwrap_or_default();
                self.on_granted(&class, queue, report);
                self.hold(entry.at, grant.permit, class);
            }
            Event::Adopted(permit, _, class) => self.hold(entry.at, *permit, class.clone()),
            Event::Orphaned(permit) => {
                self.on_orphaned(*permit);
            }
            Event::Settled(permit, _) => self.on_settled(entry.at, *permit, queue),
            _ => {}
        }
    }

    fn held(&self) -> f64 {
        self.connected as f64
    }

    fn held_by(&self, class: &str) -> u64 {
        self.connected_by.get(class).copied().unwrap_or(0)
    }

    fn count(&mut self, class: &str) {
        self.connected += 1;
        *self.connected_by.entry(class.to_owned()).or_default() += 1;
    }

    fn uncount(&mut self, class: &str) {
        self.connected -= 1;
        if let Some(held) = self.connected_by.get_mut(class) {
            *held -= 1;
        }
    }

    /// Whether a class with this lag is due.
    fn is_due(&self, class: &str, share: f64, lag: f64) -> bool {
        let (own, entitled) = (self.held_by(class), share * (self.held() + 1.0));
        lacks_slot(own, entitled) || (lag >= DUE_SECONDS && may_catch_up(own, entitled))
    }

    /// Advances the time: a class with queued requests gains lag for its share and loses it for the slots that it
    /// holds.
    fn advance(&mut self, now: BootTime, queue: &queue::Model) {
        let seconds = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let held = self.held();
        for (name, share, waits) in queue.shares() {
            let own = self.held_by(name) as f64;
            let lag = self.lags.entry(name.clone()).or_default();
            let entitled = share * held;
            let each = |lag: f64| match waits && entitled > 0.0 {
                true => (lag + seconds * (1.0 - own / entitled)).clamp(lag.min(0.0), LAG_SECONDS_MAX),
                false if waits => lag,
                // A class without queued requests earns nothing, but its debt decreases.
                false => (lag + seconds).min(0.0),
            };
            (lag.lower, lag.upper) = (each(lag.lower), each(lag.upper));
        }
    }

    fn on_granted(&self, class: &str, queue: &queue::Model, report: &mut impl FnMut(Rule, String)) {
        let own = self.lags.get(class).copied().unwrap_or_default();
        let own_share = queue.class(class).map_or(0.0, |(_, share)| share);
        let may_be_due = self.is_due(class, own_share, own.upper + ROUNDING);
        let slack = (self.lags.len() as f64 + 1.0) * self.longest_hold + DUE_SECONDS;
        for (name, share, waits) in queue.shares() {
            let lag = self.lags.get(name).copied().unwrap_or_default();
            // Some requests may not fit an endpoint that has a free slot.
            if !waits || queue.has_restricted_requests(name) || name == class {
                continue;
            }
            if self.is_due(name, share, lag.lower - ROUNDING) && !may_be_due {
                report(
                    Rule::GuaranteedShare,
                    format!(
                        "{class} was granted while {name} lacked its share for {:.2} s",
                        lag.lower
                    ),
                );
            }
            let slots = lag.lower * share * self.held();
            if lag.lower < LAG_SECONDS_MAX && slots > slack {
                report(
                    Rule::GuaranteedShare,
                    format!("{name} lacks {slots:.2} s of slot time, more than {slack:.2} s"),
                );
            }
        }
    }

    fn hold(&mut self, now: BootTime, permit: PermitId, class: ClassName) {
        self.count(&class);
        let holder = Holder {
            class,
            since: now,
            connected: true,
        };
        self.holders.insert(permit, holder);
    }

    fn on_orphaned(&mut self, permit: PermitId) {
        let holder = self.holders.get_mut(&permit).filter(|holder| holder.connected);
        let Some(holder) = holder else { return };
        holder.connected = false;
        let class = holder.class.clone();
        self.uncount(&class);
    }

    fn on_settled(&mut self, now: BootTime, permit: PermitId, queue: &queue::Model) {
        let held = self.held();
        let Some(holder) = self.holders.remove(&permit).filter(|holder| holder.connected) else {
            return;
        };
        self.uncount(&holder.class);
        let seconds = now.since(holder.since).as_secs_f64();
        self.longest_hold = self.longest_hold.max(seconds);
        let entitled = queue.class(&holder.class).map_or(0.0, |(_, share)| share) * held;
        if entitled > 0.0 && entitled < 1.0 {
            let lag = self.lags.entry(holder.class).or_default();
            let paid = (lag.lower.max(0.0) - seconds * (1.0 / entitled - 1.0)).max(-DEBT_SECONDS_MAX);
            lag.lower = lag.lower.min(paid);
        }
    }
}
