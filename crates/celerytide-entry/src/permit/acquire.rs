//! Asks a pool's owner until it grants, refuses, or the time to begin has passed.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_membership::Membership;
use celerytide_membership::ownership::{Admitted, TermGuard};
use celerytide_node::suspect::Suspects;
use celerytide_types::{
    BootTime, ClassName, CustomerId, EndpointId, InstanceId, PoolId, RequestId, RequestOutcome, ServiceId, Term,
    millis, now_boot,
};
use celerytide_wire::messages::{Adopt, Granted, Method, Muster, PermitReply, PermitRequest};
use celerytide_wire::{ConnectionPool, Exchange};
use http::StatusCode;
use monoio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::lease::{Holder, Lease};
use super::leases::Leases;
use crate::answer::Final;
use crate::owner::Owners;

/// First wait after an owner was not found or not reached.
const FIRST_WAIT: Duration = Duration::from_millis(10);
/// Longest such wait.
const LONGEST_WAIT: Duration = Duration::from_millis(200);
/// Time beyond the deadline for the owner's own refusal to arrive.
const REPLY_GRACE: Duration = Duration::from_millis(500);
/// Time to come back that is told when no owner could be asked.
const NO_OWNER_RETRY: Duration = Duration::from_secs(1);

/// What a permit is wanted for.
#[derive(Debug, Clone)]
pub struct Wanted {
    /// The service.
    pub service: ServiceId,
    /// The request.
    pub request: RequestId,
    /// Its class.
    pub class: ClassName,
    /// Its customer.
    pub customer: CustomerId,
    /// When it arrived.
    pub arrived: BootTime,
    /// When it must have begun.
    pub begin_by: BootTime,
    /// Length of its prompt.
    pub prompt_tokens: u32,
    /// Bound on its answer.
    pub max_tokens: Option<u32>,
    /// Hashes of its prompt's leading blocks.
    pub prefix: Vec<u64>,
    /// Endpoints that failed it.
    pub avoid: Vec<EndpointId>,
}

/// Why there is no permit. The request did not run.
#[derive(Debug)]
pub enum Denied {
    /// The caller left.
    Left,
    /// The final answer.
    Final(Final),
}

/// Asks for permits.
pub struct Acquire {
    own: InstanceId,
    membership: Rc<Membership>,
    owners: Rc<Owners>,
    suspects: Rc<Suspects>,
    links: ConnectionPool,
    leases: Leases,
    guard: RefCell<TermGuard>,
}

/// A permit, the exchange that holds it, and its owner's address.
struct Held {
    granted: Granted,
    ex: Exchange,
    owner: SocketAddr,
}

enum Asked {
    Granted(Box<Held>),
    Refused(RequestOutcome),
    Again,
}

impl Acquire {
    /// Asks owners that `membership` names, over `links`.
    pub fn new(
        own: InstanceId,
        membership: Rc<Membership>,
        owners: Rc<Owners>,
        suspects: Rc<Suspects>,
        links: ConnectionPool,
        leases: Leases,
    ) -> Acquire {
        Acquire {
            own,
            membership,
            owners,
            suspects,
            links,
            leases,
            guard: RefCell::default(),
        }
    }

    /// Goes to the owner at `owner` from now on.
    pub fn go_to(&self, pool: &str, owner: SocketAddr) {
        self.owners.follow(pool, owner);
    }

    /// All permits held.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// Follows `term` for `pool` unless a higher one was seen.
    pub fn follow(&self, pool: &str, term: Term) -> Admitted {
        let view = self.membership.view();
        self.guard.borrow_mut().admit(&view, pool, term)
    }

    /// Follows the mustering owner unless a higher term was seen or the owner's list is older than this process.
    pub fn mustered(&self, muster: &Muster) -> Admitted {
        let view = self.membership.view();
        let mut guard = self.guard.borrow_mut();
        guard.muster(&view, &muster.pool, muster.term, muster.seen_list)
    }

    /// The highest term followed for `pool`.
    pub fn followed(&self, pool: &str) -> Option<Term> {
        self.guard.borrow().highest(pool)
    }

    /// Gets a permit.
    pub async fn permit(&self, wanted: &Wanted, cx: &CancellationToken) -> Result<Lease, Denied> {
        let mut wait = FIRST_WAIT;
        loop {
            if now_boot() >= wanted.begin_by {
                return Err(Denied::Final(too_late()));
            }
            let asked = monoio::select! {
                asked = self.ask_once(wanted) => asked,
                () = cx.cancelled() => return Err(Denied::Left),
            };
            match asked {
                Asked::Granted(held) => return Ok(self.start(*held, wanted)),
                Asked::Refused(word) => return Err(Denied::Final(Final::refused(word))),
                Asked::Again => {}
            }
            monoio::select! {
                () = sleep(wait) => {}
                () = cx.cancelled() => return Err(Denied::Left),
            }
            wait = (wait * 2).min(LONGEST_WAIT);
        }
    }

    async fn ask_once(&self, wanted: &Wanted) -> Asked {
        let Some(pool) = self.owners.pick(&wanted.service) else {
            return Asked::Again;
        };
        let Some(owner) = self.owners.address(&pool) else {
            return Asked::Again;
        };
        let now = now_boot();
        let left = wanted.begin_by.since(now);
        let ask = self.ask_of(wanted, pool, now, left);
        let Ok(mut ex) = self.links.open(owner, Method::Permit, &ask).await else {
            self.not_reached(&ask.pool, owner);
            return Asked::Again;
        };
        match timeout(left + REPLY_GRACE, ex.recv_required::<PermitReply>()).await {
            // This process may have slept while the permit waited in its socket.
            Ok(Ok(PermitReply::Granted(_))) if now_boot().since(now) > left + REPLY_GRACE => Asked::Again,
            Ok(Ok(PermitReply::Granted(granted))) => self.check_term(Held { granted, ex, owner }),
            Ok(Ok(PermitReply::Refused(word))) => Asked::Refused(word),
            Ok(Ok(PermitReply::NotOwner(_) | PermitReply::Preempt)) => {
                self.owners.unfollow(&ask.pool, owner);
                Asked::Again
            }
            Ok(Err(_)) | Err(_) => {
                self.not_reached(&ask.pool, owner);
                Asked::Again
            }
        }
    }

    /// The owner can't be reached, or its connection broke: the view's owner is asked next, and probed.
    fn not_reached(&self, pool: &str, asked: SocketAddr) {
        self.owners.unfollow(pool, asked);
        if let Some(owner) = self.owners.by_view(pool) {
            self.suspects.unreachable(&owner);
        }
    }

    /// A permit of an older term than one followed is dropped unused; the drop tells its owner.
    fn check_term(&self, held: Held) -> Asked {
        let Granted {
            pool, endpoint, term, ..
        } = &held.granted;
        if self.follow(pool, *term) == Admitted::Yes {
            return Asked::Granted(Box::new(held));
        }
        tracing::warn!(pool, endpoint, "permit: dropped one of an older term");
        Asked::Again
    }

    fn ask_of(&self, wanted: &Wanted, pool: PoolId, now: BootTime, left: Duration) -> PermitRequest {
        PermitRequest {
            from: self.own.clone(),
            pool,
            request: wanted.request.clone(),
            class: wanted.class.clone(),
            customer: wanted.customer.clone(),
            begin_within_ms: millis(left),
            waited_ms: millis(now.since(wanted.arrived)),
            prompt_tokens: wanted.prompt_tokens,
            max_tokens: wanted.max_tokens,
            prefix: wanted.prefix.clone(),
            avoid: wanted.avoid.clone(),
        }
    }

    fn start(&self, held: Held, wanted: &Wanted) -> Lease {
        let Held { granted, ex, owner } = held;
        let adopt = Adopt {
            pool: granted.pool.clone(),
            request: wanted.request.clone(),
            endpoint: granted.endpoint.clone(),
            warm_limit: granted.warm_limit,
            class: wanted.class.clone(),
            customer: wanted.customer.clone(),
        };
        let holder = Holder {
            owners: self.owners.clone(),
            links: self.links.clone(),
            adopt,
        };
        Lease::start(granted, ex, owner, holder, &self.leases)
    }
}

fn too_late() -> Final {
    let message = "no owner of the service's endpoints could grant it in time";
    Final::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-permit-in-time", message).retry_after(NO_OWNER_RETRY)
}
