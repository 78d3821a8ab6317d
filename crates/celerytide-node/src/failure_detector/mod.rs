//! Detects owners that can't be reached although the instance list still shows them as live.
//!
//! The list lags: a dispatch process that crashed stays listed for a while, during which its pools would have no owner.
//! A process that fails to reach an owner probes it for [`SUSPECT_AFTER`], or for [`REFUSED_AFTER`] if every connection
//! is refused. If all probes fail, it suspects the owner, which counts as leaving in its own view only, until a probe
//! succeeds or the list drops the owner. Views then differ between processes, as they also do while lists lag, so a
//! pool may have two owners for a while. These don't overload an endpoint: entries follow only the higher term, the new
//! owner first takes over the permits in flight, and a cold endpoint gets nothing while work of another owner is
//! suspected.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use celerytide_kernel::audit::{Audit, Kind};
use celerytide_membership::{Instance, Membership};
use celerytide_types::{InstanceId, now_boot};
use celerytide_wire::{Options, PeerConnection};
use monoio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time for which every probe must fail before the owner is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1500);
/// The same if the machine refused every connection, which means that no process listens there.
pub const REFUSED_AFTER: Duration = Duration::from_millis(300);
/// Interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Probes owners that were reported unreachable, at most one probe at a time for each.
pub struct FailureDetector {
    /// Set in a dispatch process, which never suspects itself; an entry process may suspect the dispatch process of its
    /// own instance.
    own_dispatch: Option<InstanceId>,
    membership: Rc<Membership>,
    audit: Rc<Audit>,
    wire_options: Options,
    cx: CancellationToken,
    probing: RefCell<HashSet<InstanceId>>,
}

impl FailureDetector {
    /// Creates a detector without suspects; `cx` stops its probes. `own_dispatch` is the own instance in a dispatch
    /// process, `None` in an entry process.
    pub fn new(
        own_dispatch: Option<InstanceId>,
        membership: Rc<Membership>,
        audit: Rc<Audit>,
        wire_options: Options,
        cx: CancellationToken,
    ) -> FailureDetector {
        FailureDetector {
            own_dispatch,
            membership,
            audit,
            wire_options,
            cx,
            probing: RefCell::default(),
        }
    }

    /// Starts to probe the dispatch process of `instance`, which couldn't be reached.
    pub fn report_unreachable(self: &Rc<Self>, instance: &Instance) {
        if self.own_dispatch.as_ref() == Some(&instance.id) || !self.probing.borrow_mut().insert(instance.id.clone()) {
            return;
        }
        monoio::spawn(probe(self.clone(), instance.clone()));
    }

    fn set_suspected(&self, id: &str, suspected: bool) {
        if !self.membership.set_suspected(id, suspected) {
            return;
        }
        let cause = if suspected {
            "unreachable"
        } else {
            "reachable or delisted"
        };
        let version = self.membership.view().list_version;
        self.audit.record(Kind::InstancesChanged, id, cause, version);
    }
}

/// Probes an owner until it can be reached again or need not be probed any more. Each attempt is bounded by
/// [`Options::connect`].
async fn probe(detector: Rc<FailureDetector>, instance: Instance) {
    let since = now_boot();
    let mut all_refused = true;
    while should_probe(&detector, &instance) {
        match PeerConnection::connect(instance.dispatch_peer, detector.wire_options, &detector.cx).await {
            Ok(_) => break,
            Err(error) => all_refused &= error.is_refused(),
        }
        let threshold = if all_refused { REFUSED_AFTER } else { SUSPECT_AFTER };
        if now_boot().since(since) >= threshold {
            detector.set_suspected(&instance.id, true);
        }
        sleep(PROBE_INTERVAL).await;
    }
    detector.set_suspected(&instance.id, false);
    detector.probing.borrow_mut().remove(&instance.id);
}

/// Whether the owner is still listed with the same address, and the process isn't stopping.
fn should_probe(detector: &FailureDetector, instance: &Instance) -> bool {
    let view = detector.membership.view();
    let listed = view.instance(&instance.id);
    listed.is_some_and(|i| i.dispatch_peer == instance.dispatch_peer) && !detector.cx.is_cancelled()
}
