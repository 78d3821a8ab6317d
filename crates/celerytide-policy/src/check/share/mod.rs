//! Model of guaranteed shares in slot time.
//!
//! It follows who waits and who holds a slot, and bounds the time for which each class lost its whole share: the least
//! bound assumes that the class paid for every grant, the most that it paid for none. No class that may not be due is
//! granted before one that must be, and no lag grows beyond what the longest holds explain.

use std::collections::HashMap;

use celerytide_types::{BootTime, ClassName, PermitId};

use super::queue;
use super::{Entry, Event, Rule};
use crate::options::Options;
use crate::pool::share::{DUE_SECONDS, LAG_SECONDS_MAX, PAID_SECONDS_MAX, lacks_slot, may_catch_up};

/// Rounding of sums of times, in seconds.
const ROUNDING: f64 = 1e-6;

#[derive(Debug)]
struct Holder {
    class: ClassName,
    since: BootTime,
    /// Whether its connection stands, so that its slot counts.
    connected: bool,
}

#[derive(Debug, Default, Clone, Copy)]
struct Lag {
    least: f64,
    most: f64,
}

/// Slot time, replayed.
#[derive(Debug)]
pub(super) struct Model {
    at: BootTime,
    holders: HashMap<PermitId, Holder>,
    /// Holders whose connection stands, and these by class.
    connected: u64,
    connected_by: HashMap<ClassName, u64>,
    lags: HashMap<ClassName, Lag>,
    longest_hold: f64,
    tiered: bool,
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
            tiered: opts.baseline.is_none(),
        }
    }

    /// Takes an event in before the queue's model does.
    pub fn step(&mut self, entry: &Entry, queue: &queue::Model, report: &mut impl FnMut(Rule, String)) {
        if !self.tiered {
            return;
        }
        self.pass(entry.at, queue);
        match &entry.event {
            Event::Granted(grant) => {
                let class = queue.waiting(grant.ask).map(|ask| ask.class.clone());
                let class = class.unwrap_or_default();
                self.granted(&class, queue, report);
                self.hold(entry.at, grant.permit, class);
            }
            Event::Adopted(permit, _, class) => self.hold(entry.at, *permit, class.clone()),
            Event::Orphaned(permit) => {
                self.orphaned(*permit);
            }
            Event::Settled(permit, _) => self.settled(entry.at, *permit, queue),
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

    /// Whether a class is due if its lag is this.
    fn is_due(&self, class: &str, share: f64, lag: f64) -> bool {
        let (own, kept) = (self.held_by(class), share * (self.held() + 1.0));
        lacks_slot(own, kept) || (lag >= DUE_SECONDS && may_catch_up(own, kept))
    }

    /// Time passes: each class that waits loses its share and gains what it holds.
    fn pass(&mut self, now: BootTime, queue: &queue::Model) {
        let seconds = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let held = self.held();
        for (name, share, waits) in queue.shares() {
            let own = self.held_by(name) as f64;
            let lag = self.lags.entry(name.clone()).or_default();
            let kept = share * held;
            let each = |lag: f64| match waits && kept > 0.0 {
                true => (lag + seconds * (1.0 - own / kept)).clamp(lag.min(0.0), LAG_SECONDS_MAX),
                false if waits => lag,
                // Nothing is earned, but what was paid wears off.
                false => (lag + seconds).min(0.0),
            };
            (lag.least, lag.most) = (each(lag.least), each(lag.most));
        }
    }

    fn granted(&self, class: &str, queue: &queue::Model, report: &mut impl FnMut(Rule, String)) {
        let own = self.lags.get(class).copied().unwrap_or_default();
        let own_share = queue.class(class).map_or(0.0, |(_, share)| share);
        let may_be_due = self.is_due(class, own_share, own.most + ROUNDING);
        let slack = (self.lags.len() as f64 + 1.0) * self.longest_hold + DUE_SECONDS;
        for (name, share, waits) in queue.shares() {
            let lag = self.lags.get(name).copied().unwrap_or_default();
            // An endpoint with room may still not fit some asks.
            if !waits || queue.is_choosy(name) || name == class {
                continue;
            }
            if self.is_due(name, share, lag.least - ROUNDING) && !may_be_due {
                report(
                    Rule::GuaranteedShare,
                    format!(
                        "{class} was granted while {name} lacked its share for {:.2} s",
                        lag.least
                    ),
                );
            }
            let slots = lag.least * share * self.held();
            if lag.least < LAG_SECONDS_MAX && slots > slack {
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

    fn orphaned(&mut self, permit: PermitId) {
        let holder = self.holders.get_mut(&permit).filter(|holder| holder.connected);
        let Some(holder) = holder else { return };
        holder.connected = false;
        let class = holder.class.clone();
        self.uncount(&class);
    }

    fn settled(&mut self, now: BootTime, permit: PermitId, queue: &queue::Model) {
        let held = self.held();
        let Some(holder) = self.holders.remove(&permit).filter(|holder| holder.connected) else {
            return;
        };
        self.uncount(&holder.class);
        let seconds = now.since(holder.since).as_secs_f64();
        self.longest_hold = self.longest_hold.max(seconds);
        let kept = queue.class(&holder.class).map_or(0.0, |(_, share)| share) * held;
        if kept > 0.0 && kept < 1.0 {
            let lag = self.lags.entry(holder.class).or_default();
            let paid = (lag.least.max(0.0) - seconds * (1.0 / kept - 1.0)).max(-PAID_SECONDS_MAX);
            lag.least = lag.least.min(paid);
        }
    }
}
