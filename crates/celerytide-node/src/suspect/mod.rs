//! Owners that can't be reached although the list shows them as live.
//!
//! The list lags: a dispatch that died stays listed for a while, and its pools would have no owner until then. A process that
//! fails to reach an owner tries it again for [`SUSPECT_AFTER`] ([`REFUSED_AFTER`] where connections are refused); if every attempt fails it takes the owner as leaving, in its own view
//! only, until an attempt succeeds or the list drops it. Views then differ between processes, as they do while lists lag;
//! terms, musters and the gates of cold endpoints are what keeps two owners harmless.

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

/// Every attempt must have failed for this long.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1500);
/// The same where the machine itself refused each attempt: no process listens there.
pub const REFUSED_AFTER: Duration = Duration::from_millis(300);
/// Time between attempts.
const PROBE: Duration = Duration::from_millis(100);

/// Probes of owners, at most one at a time for each.
pub struct Suspects {
    /// The instance whose dispatch is this process: it never suspects itself. An entry does suspect the dispatch beside it.
    own_dispatch: Option<InstanceId>,
    membership: Rc<Membership>,
    audit: Rc<Audit>,
    wire: Options,
    cx: CancellationToken,
    probed: RefCell<HashSet<InstanceId>>,
}

impl Suspects {
    /// Suspects nobody; `cx` ends probes. `own_dispatch` is the own instance in a dispatch, absent in an entry.
    pub fn new(
        own_dispatch: Option<InstanceId>,
        membership: Rc<Membership>,
        audit: Rc<Audit>,
        wire: Options,
        cx: CancellationToken,
    ) -> Suspects {
        Suspects {
            own_dispatch,
            membership,
            audit,
            wire,
            cx,
            probed: RefCell::default(),
        }
    }

    /// Notes that the dispatch of `instance` could not be reached; it is probed from now on.
    pub fn unreachable(self: &Rc<Self>, instance: &Instance) {
        if self.own_dispatch.as_ref() == Some(&instance.id) || !self.probed.borrow_mut().insert(instance.id.clone()) {
            return;
        }
        monoio::spawn(probe(self.clone(), instance.clone()));
    }

    fn set(&self, id: &str, suspected: bool) {
        if !self.membership.suspect(id, suspected) {
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

async fn probe(suspects: Rc<Suspects>, instance: Instance) {
    let since = now_boot();
    let mut only_refusals = true;
    while is_listed(&suspects, &instance) {
        match PeerConnection::connect(instance.dispatch_peer, suspects.wire, &suspects.cx).await {
            Ok(_) => break,
            Err(error) => only_refusals &= error.is_refused(),
        }
        let bound = if only_refusals { REFUSED_AFTER } else { SUSPECT_AFTER };
        if now_boot().since(since) >= bound {
            suspects.set(&instance.id, true);
        }
        sleep(PROBE).await;
    }
    suspects.set(&instance.id, false);
    suspects.probed.borrow_mut().remove(&instance.id);
}

fn is_listed(suspects: &Suspects, instance: &Instance) -> bool {
    let view = suspects.membership.view();
    let listed = view.instance(&instance.id);
    listed.is_some_and(|i| i.dispatch_peer == instance.dispatch_peer) && !suspects.cx.is_cancelled()
}
