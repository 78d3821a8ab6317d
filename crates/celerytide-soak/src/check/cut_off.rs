//! Routers that are cut off from all runners: how their callers are served, compared with those of the other routers.

use std::time::Duration;

use super::{Call, Checker, Guarantee, Span, Violation};

/// Time from the start of a cut from which first tries are compared.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Share of the others' served first tries that is enough.
const LEAST_SHARE: f64 = 2.0 / 3.0;
/// Failed first tries that are allowed, and the share of all first tries that is allowed beside them.
const FAILED: f64 = 10.0;
const FAILED_SHARE: f64 = 0.02;

/// Routers that were cut off from all runners.
#[derive(Debug, Clone)]
pub struct CutOff {
    /// Indices of the routers in the fleet.
    pub routers: Vec<usize>,
    /// The period.
    pub span: Span,
}

/// A request that wasn't sent, since its router refused the connection or had closed it.
#[derive(Debug, Clone, Copy)]
pub struct RefusedTry {
    /// Index of the router in the fleet.
    pub router: usize,
    /// Time since the start of the run.
    pub at: Duration,
}

/// First tries, and those of them that were served.
#[derive(Debug, Clone, Copy, Default)]
struct Tries {
    all: usize,
    served: usize,
}

impl Tries {
    fn share(self) -> f64 {
        self.served as f64 / self.all as f64
    }
}

/// Whether a first try was served.
fn is_served(call: &Call) -> bool {
    let response = &call.response;
    response.status == 200 && response.is_sealed && response.is_complete && call.refused.is_empty()
}

impl Checker<'_> {
    pub(super) fn check_cut_offs(&self) -> Vec<Violation> {
        let cut_offs = self.history.cut_offs.iter();
        cut_offs.filter_map(|cut_off| self.check_cut_off(cut_off)).collect()
    }

    fn check_cut_off(&self, cut_off: &CutOff) -> Option<Violation> {
        let CutOff { routers, span } = cut_off;
        let here = self.count_tries(*span, |router| routers.contains(&router));
        let others = self.count_tries(*span, |router| !routers.contains(&router));
        if here.all == 0 || others.all == 0 {
            return None;
        }
        let failed = (here.all - here.served) as f64;
        let allowed = FAILED + FAILED_SHARE * (here.all + others.all) as f64;
        let is_worse = here.share() < others.share() * LEAST_SHARE;
        (is_worse && failed > allowed).then(|| Violation {
            guarantee: Guarantee::CutOff,
            details: format!(
                "{} routers {routers:?}, cut off from {:?} to {:?}: {} of {} first tries served, at the others {} of {}",
                self.first_failed(cut_off),
                span.from,
                span.to,
                here.served,
                here.all,
                others.served,
                others.all
            ),
        })
    }

    /// First tries at some routers, of callers that stayed, at routers without another fault.
    fn count_tries(&self, span: Span, is_counted: impl Fn(usize) -> bool) -> Tries {
        let calls = self.first_tries(span).filter(|call| is_counted(call.router));
        let mut tries = Tries::default();
        for call in calls {
            tries.all += 1;
            tries.served += usize::from(is_served(call));
        }
        let refused = self.history.refused_tries.iter();
        let refused = refused.filter(|tried| is_counted(tried.router) && is_compared(span, tried.at));
        tries.all += refused.filter(|tried| self.is_in_touch(tried.router, tried.at)).count();
        tries
    }

    fn first_tries(&self, span: Span) -> impl Iterator<Item = &Call> {
        let calls = self.history.calls.iter();
        let compared = calls.filter(move |call| is_compared(span, call.sent_at(0)) && !call.has_left);
        compared.filter(|call| self.is_in_touch(call.router, call.ended))
    }

    pub(super) fn is_in_touch(&self, router: usize, at: Duration) -> bool {
        let since = at.saturating_sub(CONTACT_TIME);
        let restarts = &self.history.restarts;
        let is_restarted = restarts
            .iter()
            .any(|s| s.router == router && s.span.overlaps(since, at));
        !is_restarted && !self.had_outage(router, at, at)
    }

    /// Id of the first request that wasn't served at a router that was cut off.
    fn first_failed(&self, cut_off: &CutOff) -> &str {
        let mut failed = self.first_tries(cut_off.span).filter(|call| !is_served(call));
        let first = failed.find(|call| cut_off.routers.contains(&call.router));
        first.map_or("none", |call| call.id.as_str())
    }
}

fn is_compared(span: Span, at: Duration) -> bool {
    span.from + CONTACT_TIME <= at && at <= span.to
}
