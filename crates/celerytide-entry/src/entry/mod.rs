//! State that all request handlers of the process share.

mod callers;
mod in_flight;
mod peers;

pub use callers::CallerHandler;
pub use in_flight::InFlight;
pub use peers::PeerHandler;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_http::client::Client;
use celerytide_http::server::Responder;
use celerytide_manifest::{Customer, EntrySettings, Manifest};
use celerytide_node::Node;
use celerytide_once::{IssuerId, OutcomeCopies, RegistryOptions, TicketRegistry, copy_holders};
use celerytide_types::{ExecutionStatus, InstanceId, now_boot};
use http::StatusCode;

use crate::limits::{CustomerLimits, RetryLimiter};
use crate::metrics::EntryMetrics;
use crate::permit::{LeaseRegistry, PermitClient};
use crate::plain::CallerResponse;
use crate::pool_owners::PoolOwners;
use crate::response::ErrorResponse;

/// Number of instances that hold copies of a stopped entry's ticket outcomes.
const OUTCOME_HOLDER_COUNT: usize = 2;
/// Retry time told to the caller while no manifest is in force.
const NO_MANIFEST_RETRY_AFTER: Duration = Duration::from_secs(1);

/// State shared by all requests; one per process.
pub struct Entry {
    /// Kernel services, membership and connections to peers.
    pub node: Rc<Node>,
    /// Settings read at start.
    pub settings: EntrySettings,
    /// HTTP client for calls to endpoints.
    pub client: Client,
    /// Requests permits from pool owners.
    pub permits: PermitClient,
    /// Registry of the tickets that this entry issued, and the outcomes of their actions.
    pub tickets: TicketRegistry,
    /// Copies of ticket outcomes from entries that stopped.
    pub copies: OutcomeCopies,
    /// Budget of retries.
    pub retry_limiter: RetryLimiter,
    /// Request rate limits of customers.
    pub customer_limits: CustomerLimits,
    /// Prometheus metrics.
    pub metrics: EntryMetrics,
    /// Requests that a graceful stop waits for.
    pub in_flight: InFlight,
}

impl Entry {
    /// The entry that runs as `node`.
    pub fn new(node: Rc<Node>, settings: EntrySettings) -> Entry {
        let owners = Rc::new(PoolOwners::new(node.membership.clone(), settings.region.clone()));
        let permits = PermitClient::new(
            node.instance.clone(),
            node.membership.clone(),
            owners,
            node.failure_detector.clone(),
            node.connections.clone(),
            LeaseRegistry::default(),
        );
        let id = IssuerId {
            instance: node.instance.clone(),
            incarnation: node.incarnation,
        };
        let metrics = EntryMetrics::default();
        node.metrics.register(|registry| metrics.register(registry));
        Entry {
            client: node.client.clone(),
            permits,
            tickets: TicketRegistry::new(id, registry_options(&settings)),
            copies: OutcomeCopies::new(settings.limits.max_outcome_bytes),
            retry_limiter: RetryLimiter::default(),
            customer_limits: CustomerLimits::default(),
            metrics,
            in_flight: InFlight::default(),
            settings,
            node,
        }
    }

    /// The manifest in force, or a 503 response while there is none.
    pub fn manifest(&self) -> Result<Rc<Manifest>, ErrorResponse> {
        self.node.membership.view().manifest.clone().ok_or_else(no_manifest)
    }

    /// Counts a request against its customer's rate limit; a 429 response if it is used up.
    pub fn admit(&self, customer: &Customer) -> Result<(), ErrorResponse> {
        let view = self.node.membership.view();
        let entries = view.instances.iter().filter(|i| i.live).count();
        self.retry_limiter.record_first_attempt();
        self.customer_limits.admit(customer, entries, now_boot())
    }

    /// Whether the endpoint can resume a stream after text that was already sent.
    pub fn can_resume(&self, endpoint: &str) -> bool {
        let Ok(manifest) = self.manifest() else {
            return false;
        };
        manifest
            .services
            .iter()
            .flat_map(|s| &s.endpoints)
            .any(|e| e.id == endpoint && e.resumes)
    }

    /// Peer addresses of the entries that hold copies of the ticket outcomes of `issuer`.
    pub fn outcome_holders(&self, issuer: &str) -> Vec<SocketAddr> {
        let view = self.node.membership.view();
        let live: Vec<InstanceId> = view.instances.iter().filter(|i| i.live).map(|i| i.id.clone()).collect();
        let holder_ids = copy_holders(issuer, &live, OUTCOME_HOLDER_COUNT);
        holder_ids
            .into_iter()
            .filter_map(|id| view.instance(id))
            .map(|i| i.entry_peer)
            .collect()
    }

    /// Records in the request's trace that an attempt failed.
    pub fn record_failure(&self, request: &str, endpoint: &str, detail: &str) {
        let detail = format!("{endpoint}: {detail}");
        self.node.trace_log.add_step(request, "failed", &detail);
    }

    /// Sends a response and records its outcome.
    pub async fn send_response(&self, request: &str, out: Responder, response: CallerResponse) {
        self.record_outcome(request, response.outcome.status, &response.outcome.cause);
        if out
            .whole(response.status, response.headers, response.body)
            .await
            .is_err()
        {
            tracing::debug!(request, "entry: the caller left before its response");
        }
    }

    /// Sends an error response and records its outcome.
    pub async fn send_error(&self, request: &str, out: Responder, err: &ErrorResponse) {
        self.send_response(request, out, CallerResponse::of(err, request)).await;
    }

    /// Records a request's outcome in the metrics, the request's trace and the log.
    pub fn record_outcome(&self, request: &str, status: ExecutionStatus, cause: &str) {
        self.metrics.inc_outcome(status);
        self.node.trace_log.set_outcome(request, status, cause);
        tracing::debug!(request, word = status.as_str(), cause, "entry: request ended");
    }

    /// Records that the caller left before its response.
    pub fn record_caller_left(&self, request: &str) {
        self.record_outcome(request, ExecutionStatus::Unknown, "caller-left");
    }
}

fn registry_options(settings: &EntrySettings) -> RegistryOptions {
    RegistryOptions {
        max_tickets: settings.limits.max_ticket_count,
        unused_ttl: settings.timeouts.ticket,
        max_response_bytes: settings.limits.max_outcome_bytes,
        ..RegistryOptions::default()
    }
}

fn no_manifest() -> ErrorResponse {
    let message = "no manifest is in force here yet";
    ErrorResponse::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-manifest", message).retry_after(NO_MANIFEST_RETRY_AFTER)
}
