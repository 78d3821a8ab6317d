//! Requests permits from pool owners, with retries until the owner grants or refuses or the start deadline passes.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_membership::Membership;
use celerytide_membership::ownership::{Admission, TermGuard};
use celerytide_node::failure_detector::FailureDetector;
use celerytide_types::{
    BootTime, ClassName, CustomerId, EndpointId, InstanceId, PoolId, RequestId, RequestOutcome, ServiceId, Term,
    millis, now_boot,
};
use celerytide_wire::messages::{Adopt, Granted, Method, PermitReply, PermitRequest, TakeoverRequest};
use celerytide_wire::{ConnectionPool, Exchange};
use http::StatusCode;
use monoio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::lease::{Lease, RebindContext};
use super::registry::LeaseRegistry;
use crate::attempts::Attempts;
use crate::pool_owners::PoolOwners;
use crate::response::ErrorResponse;

/// First wait before a retry, when an owner wasn't found or couldn't be reached.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
/// Longest wait before a retry; the wait doubles up to this.
const MAX_BACKOFF: Duration = Duration::from_millis(200);
/// Time after the start deadline for the owner's own refusal to arrive.
const REPLY_GRACE: Duration = Duration::from_millis(500);
/// Retry time told to the caller when no owner granted or refused before the deadline.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The request that a permit is needed for; each attempt sends it to a pool's owner as a [`PermitRequest`].
#[derive(Debug, Clone)]
pub struct PermitSpec {
    /// Service whose endpoints may serve it.
    pub service: ServiceId,
    /// Id of the request.
    pub request: RequestId,
    /// Class of the request.
    pub class: ClassName,
    /// Customer of the request.
    pub customer: CustomerId,
    /// When the entry received the request.
    pub arrived_at: BootTime,
    /// Time by which the request's work has to start, so the permit must be granted before it.
    pub start_deadline: BootTime,
    /// Estimated length of the prompt; 0 for a plain request.
    pub prompt_tokens: u32,
    /// Largest number of tokens to generate, if the caller set one.
    pub max_tokens: Option<u32>,
    /// Hashes of the prompt's leading blocks.
    pub prefix: Vec<u64>,
    /// Endpoints that failed this request before.
    pub avoid: Vec<EndpointId>,
    /// Hash of the customer, path and body of a model request.
    pub content: Option<u64>,
}

/// Why no permit was granted.
#[derive(Debug)]
pub enum PermitError {
    /// The caller closed its connection.
    CallerLeft,
    /// The owner refused, or the start deadline passed; the response to the caller, which takes earlier attempts into
    /// account.
    Rejected(ErrorResponse),
}

/// Requests permits and keeps the registry of leases.
pub struct PermitClient {
    own_instance: InstanceId,
    membership: Rc<Membership>,
    pool_owners: Rc<PoolOwners>,
    failure_detector: Rc<FailureDetector>,
    connections: ConnectionPool,
    leases: LeaseRegistry,
    term_guard: RefCell<TermGuard>,
}

/// A granted permit, its exchange with the owner, and the owner's address.
struct GrantedPermit {
    granted: Granted,
    ex: Exchange,
    owner: SocketAddr,
}

enum RequestResult {
    Granted(Box<GrantedPermit>),
    Refused(RequestOutcome),
    Retry,
}

impl PermitClient {
    /// A client of the owners that `membership` names, reached over `connections`.
    pub fn new(
        own_instance: InstanceId,
        membership: Rc<Membership>,
        pool_owners: Rc<PoolOwners>,
        failure_detector: Rc<FailureDetector>,
        connections: ConnectionPool,
        leases: LeaseRegistry,
    ) -> PermitClient {
        PermitClient {
            own_instance,
            membership,
            pool_owners,
            failure_detector,
            connections,
            leases,
            term_guard: RefCell::default(),
        }
    }

    /// Sends further requests for `pool` to `owner`, whatever the view says.
    pub fn set_owner(&self, pool: &str, owner: SocketAddr) {
        self.pool_owners.set_override(pool, owner);
    }

    /// Registry of all leases of this entry.
    pub fn leases(&self) -> &LeaseRegistry {
        &self.leases
    }

    /// Accepts `term` for `pool` unless a higher term was seen.
    pub fn admit_term(&self, pool: &str, term: Term) -> Admission {
        let view = self.membership.view();
        self.term_guard.borrow_mut().admit(&view, pool, term)
    }

    /// Accepts a pool's new owner unless a higher term was seen or the owner's instance list is older than the first one
    /// that this process saw.
    pub fn admit_takeover(&self, takeover: &TakeoverRequest) -> Admission {
        let view = self.membership.view();
        let mut term_guard = self.term_guard.borrow_mut();
        term_guard.admit_takeover(&view, &takeover.pool, takeover.term, takeover.latest_list_version)
    }

    /// The highest term accepted for `pool`.
    pub fn highest_term(&self, pool: &str) -> Option<Term> {
        self.term_guard.borrow().highest(pool)
    }

    /// Waits for a permit until it is granted or refused, the start deadline passes, or `cx` is cancelled. A grant begins
    /// an attempt of `attempts`; the response to a refusal depends on what earlier attempts prove.
    pub async fn acquire(
        &self,
        spec: &PermitSpec,
        attempts: &mut Attempts,
        cx: &CancellationToken,
    ) -> Result<Lease, PermitError> {
        let rejected = |attempts: &Attempts, err| Err(PermitError::Rejected(attempts.refused(err)));
        let mut backoff = INITIAL_BACKOFF;
        loop {
            if now_boot() >= spec.start_deadline {
                return rejected(attempts, no_permit_in_time());
            }
            let result = monoio::select! {
                result = self.request_once(spec) => result,
                () = cx.cancelled() => return Err(PermitError::CallerLeft),
            };
            match result {
                RequestResult::Granted(permit) => {
                    attempts.begin();
                    return Ok(self.start_lease(*permit, spec));
                }
                RequestResult::Refused(outcome) => return rejected(attempts, ErrorResponse::refused(outcome)),
                RequestResult::Retry => {}
            }
            monoio::select! {
                () = sleep(backoff) => {}
                () = cx.cancelled() => return Err(PermitError::CallerLeft),
            }
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    async fn request_once(&self, spec: &PermitSpec) -> RequestResult {
        let Some(pool) = self.pool_owners.pick_pool(&spec.service) else {
            return RequestResult::Retry;
        };
        let Some(owner) = self.pool_owners.owner_address(&pool) else {
            return RequestResult::Retry;
        };
        let now = now_boot();
        let remaining = spec.start_deadline.since(now);
        let permit_request = self.request_for(spec, pool, now, remaining);
        let Ok(mut ex) = self.connections.open(owner, Method::Permit, &permit_request).await else {
            self.handle_unreachable(&permit_request.pool, owner);
            return RequestResult::Retry;
        };
        match timeout(remaining + REPLY_GRACE, ex.recv_required::<PermitReply>()).await {
            // This process may have been suspended while the reply waited in the socket's receive buffer, so the permit
            // may have expired.
            Ok(Ok(PermitReply::Granted(_))) if now_boot().since(now) > remaining + REPLY_GRACE => RequestResult::Retry,
            Ok(Ok(PermitReply::Granted(granted))) => self.check_term(GrantedPermit { granted, ex, owner }),
            Ok(Ok(PermitReply::Refused(outcome))) => RequestResult::Refused(outcome),
            // A first reply `Preempt` grants nothing and is handled like `NotOwner`.
            Ok(Ok(PermitReply::NotOwner(_) | PermitReply::Preempt)) => {
                self.pool_owners.clear_override(&permit_request.pool, owner);
                RequestResult::Retry
            }
            Ok(Err(_)) | Err(_) => {
                self.handle_unreachable(&permit_request.pool, owner);
                RequestResult::Retry
            }
        }
    }

    /// Handles an owner that can't be reached, doesn't reply in time or whose connection broke: drops its override, and
    /// asks the failure detector to probe the owner named by the view.
    fn handle_unreachable(&self, pool: &str, asked: SocketAddr) {
        self.pool_owners.clear_override(pool, asked);
        if let Some(owner) = self.pool_owners.owner_in_view(pool) {
            self.failure_detector.report_unreachable(&owner);
        }
    }

    /// Drops a permit whose term is older than one accepted or of another epoch; closing its exchange tells the owner.
    fn check_term(&self, permit: GrantedPermit) -> RequestResult {
        let Granted {
            pool, endpoint, term, ..
        } = &permit.granted;
        if self.admit_term(pool, *term) == Admission::Accepted {
            return RequestResult::Granted(Box::new(permit));
        }
        tracing::warn!(pool, endpoint, "permit: dropped, its term is not accepted");
        RequestResult::Retry
    }

    fn request_for(&self, spec: &PermitSpec, pool: PoolId, now: BootTime, remaining: Duration) -> PermitRequest {
        PermitRequest {
            from: self.own_instance.clone(),
            pool,
            request: spec.request.clone(),
            class: spec.class.clone(),
            customer: spec.customer.clone(),
            start_within_ms: millis(remaining),
            waited_ms: millis(now.since(spec.arrived_at)),
            prompt_tokens: spec.prompt_tokens,
            max_tokens: spec.max_tokens,
            prefix: spec.prefix.clone(),
            avoid: spec.avoid.clone(),
            content: spec.content,
        }
    }

    fn start_lease(&self, permit: GrantedPermit, spec: &PermitSpec) -> Lease {
        let GrantedPermit { granted, ex, owner } = permit;
        let adopt = Adopt {
            pool: granted.pool.clone(),
            request: spec.request.clone(),
            endpoint: granted.endpoint.clone(),
            warm_limit: granted.warm_limit,
            class: spec.class.clone(),
            customer: spec.customer.clone(),
        };
        let rebind_context = RebindContext {
            pool_owners: self.pool_owners.clone(),
            connections: self.connections.clone(),
            adopt,
        };
        Lease::start(granted, ex, owner, rebind_context, &self.leases)
    }
}

fn no_permit_in_time() -> ErrorResponse {
    let message = "no owner of the service's endpoints could grant it in time";
    ErrorResponse::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-permit-in-time", message)
        .retry_after(NO_OWNER_RETRY_AFTER)
}
