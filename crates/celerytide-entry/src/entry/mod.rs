//! The entry itself: what every request handler shares.

mod busy;
mod handler;
mod peers;

pub use busy::Busy;
pub use handler::Callers;
pub use peers::Peers;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_http::client::Client;
use celerytide_http::server::Responder;
use celerytide_manifest::{Customer, EntrySettings, Manifest};
use celerytide_node::Node;
use celerytide_once::{Copies, Home, HomeId, HomeOptions, holders};
use celerytide_types::{ExecutionStatus, InstanceId, now_boot};
use http::StatusCode;

use crate::answer::Final;
use crate::limit::{Limits, Retries};
use crate::metrics::EntryMetrics;
use crate::owner::Owners;
use crate::permit::{Acquire, Leases};
use crate::plain::Reply;

/// Instances that hold copies of a stopped entry's outcomes.
const OUTCOME_HOLDERS: usize = 2;
/// Time to come back while no manifest is in force.
const NO_MANIFEST_RETRY: Duration = Duration::from_secs(1);

/// Everything that requests share. One per process.
pub struct Entry {
    /// What the process shares with its kernel and peers.
    pub node: Rc<Node>,
    /// Settings in force.
    pub settings: EntrySettings,
    /// Calls endpoints.
    pub client: Client,
    /// Asks for permits.
    pub acquire: Acquire,
    /// Tickets of this entry.
    pub home: Home,
    /// Outcomes of entries that stopped.
    pub copies: Copies,
    /// Bounds repeated attempts.
    pub retries: Retries,
    /// Customers' limits.
    pub limits: Limits,
    /// Counters.
    pub metrics: EntryMetrics,
    /// Requests that a graceful stop waits for.
    pub busy: Busy,
}

impl Entry {
    /// An entry of `node`.
    pub fn new(node: Rc<Node>, settings: EntrySettings) -> Entry {
        let owners = Rc::new(Owners::new(node.membership.clone(), settings.region.clone()));
        let acquire = Acquire::new(
            node.instance.clone(),
            node.membership.clone(),
            owners,
            node.suspects.clone(),
            node.links.clone(),
            Leases::default(),
        );
        let id = HomeId {
            instance: node.instance.clone(),
            incarnation: node.incarnation,
        };
        let metrics = EntryMetrics::default();
        node.metrics.register(|registry| metrics.register(registry));
        Entry {
            client: node.client.clone(),
            acquire,
            home: Home::new(id, home_options(&settings)),
            copies: Copies::new(settings.limits.max_outcome_bytes),
            retries: Retries::default(),
            limits: Limits::default(),
            metrics,
            busy: Busy::default(),
            settings,
            node,
        }
    }

    /// The manifest in force.
    pub fn manifest(&self) -> Result<Rc<Manifest>, Final> {
        self.node.membership.view().manifest.clone().ok_or_else(no_manifest)
    }

    /// Counts a request against its customer's limit.
    pub fn admit(&self, customer: &Customer) -> Result<(), Final> {
        let view = self.node.membership.view();
        let entries = view.instances.iter().filter(|i| i.live).count();
        self.retries.first_try();
        self.limits.admit(customer, entries, now_boot())
    }

    /// Whether the endpoint goes on behind text already sent.
    pub fn resumes(&self, endpoint: &str) -> bool {
        let Ok(manifest) = self.manifest() else {
            return false;
        };
        manifest
            .services
            .iter()
            .flat_map(|s| &s.endpoints)
            .any(|e| e.id == endpoint && e.resumes)
    }

    /// Where copies of a stopped entry's outcomes are.
    pub fn holders_of(&self, home: &str) -> Vec<SocketAddr> {
        let view = self.node.membership.view();
        let live: Vec<InstanceId> = view.instances.iter().filter(|i| i.live).map(|i| i.id.clone()).collect();
        let chosen = holders(home, &live, OUTCOME_HOLDERS);
        chosen
            .into_iter()
            .filter_map(|id| view.instance(id))
            .map(|i| i.entry_peer)
            .collect()
    }

    /// Answers with a reply and records its word.
    pub async fn reply(&self, request: &str, out: Responder, reply: Reply) {
        self.said(request, reply.word.word, &reply.word.cause);
        if out.whole(reply.status, reply.headers, reply.body).await.is_err() {
            tracing::debug!(request, "entry: the caller left before its answer");
        }
    }

    /// Answers with a final answer of our own and records its word.
    pub async fn finish(&self, request: &str, out: Responder, end: &Final) {
        self.reply(request, out, Reply::of(end, request)).await;
    }

    /// Records a final word.
    pub fn said(&self, request: &str, word: ExecutionStatus, cause: &str) {
        self.metrics.word(word);
        self.node.trail.word(request, word, cause);
        tracing::debug!(request, word = word.as_str(), cause, "entry: final word");
    }

    /// Records that the caller left before its answer.
    pub fn left(&self, request: &str) {
        self.said(request, ExecutionStatus::Unknown, "caller-left");
    }
}

fn home_options(settings: &EntrySettings) -> HomeOptions {
    HomeOptions {
        max_tickets: settings.limits.max_ticket_count,
        unused_for: settings.timeouts.ticket,
        max_answer_bytes: settings.limits.max_outcome_bytes,
        ..HomeOptions::default()
    }
}

fn no_manifest() -> Final {
    let message = "no manifest is in force here yet";
    Final::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-manifest", message).retry_after(NO_MANIFEST_RETRY)
}
