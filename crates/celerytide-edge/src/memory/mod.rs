//! Memory account of the callers' connections, and the requests that are refused for lack of descriptors.

use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;

use celerytide_catalog::KeyLookup;
use celerytide_http::memory::NoRoom;
use celerytide_http::memory::{Account, Limit, Refusal};
use celerytide_http::server::{HandedBody, Handler, Request, Responder};
use http::HeaderMap;
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::edge::Edge;
use crate::forward::{CallerHandler, Origin};
use crate::protocol::Protocol;
use crate::settings::Settings;

/// Descriptors of a connection to an endpoint: the socket, and a second one by which it is inspected.
const ENDPOINT_DESCRIPTORS: usize = 2;
/// Descriptors reserved for files, peers and the store.
const RESERVED_DESCRIPTORS: usize = 200;

/// Creates the account with the limit of the settings, the cgroup or the machine.
pub fn open_account(settings: &Settings) -> Account {
    let limit = Limit::find(settings.memory_mb);
    info!(bytes = limit.bytes, source = %limit.source, "memory: limit");
    Account::new(limit)
}

/// Handler for callers whose connections are in the account.
pub struct AccountedHandler<P: Protocol> {
    inner: CallerHandler<P>,
    account: Account,
    hasher: RandomState,
}

impl<P: Protocol> AccountedHandler<P> {
    /// Serves callers by `edge`.
    pub fn new(edge: Rc<Edge<P>>, account: Account) -> AccountedHandler<P> {
        AccountedHandler {
            inner: CallerHandler(edge),
            account,
            hasher: RandomState::new(),
        }
    }

    /// State of the process.
    pub fn edge(&self) -> &Rc<Edge<P>> {
        &self.inner.0
    }

    /// Opens a place in the account for a request that a peer hands over.
    pub fn open_handed(&self, req: &Request) -> Result<HandedBody, NoRoom> {
        HandedBody::open(&self.account, req.peer.ip(), self.customer(&req.headers))
    }

    /// Handles a request that a peer handed over, with the attempts that may have run before.
    pub async fn handle_handed(&self, req: Request, attempts: u32, out: Responder, cx: CancellationToken) {
        if self.has_descriptors() {
            return self.inner.handle_from(Origin::Peer { attempts }, req, out, cx).await;
        }
        self.refuse_for_descriptors(out).await;
    }

    async fn refuse_for_descriptors(&self, out: Responder) {
        self.account.note_refusal(Refusal::Descriptors);
        // The caller may have disconnected.
        let _ = out.refuse_for_descriptors().await;
    }

    /// Whether one more connection to an endpoint stays within the descriptors of the settings.
    fn has_descriptors(&self) -> bool {
        let edge = &self.inner.0;
        let Some(limit) = edge.settings.descriptors else {
            return true;
        };
        let requests = edge.active_requests.get() + 1;
        let callers = self.account.connections();
        // Idle connections are counted only if they may matter.
        let used = |endpoints: usize| callers + ENDPOINT_DESCRIPTORS * endpoints + RESERVED_DESCRIPTORS;
        used(requests + edge.client.max_idle()) <= limit || used(requests + edge.client.idle_count()) <= limit
    }
}

impl<P: Protocol> Handler for AccountedHandler<P> {
    async fn handle(&self, req: Request, out: Responder, cx: CancellationToken) {
        if self.has_descriptors() {
            return self.inner.handle(req, out, cx).await;
        }
        self.refuse_for_descriptors(out).await;
    }

    fn customer(&self, headers: &HeaderMap) -> Option<u64> {
        let edge = &self.inner.0;
        let name = &edge.protocol.header_names().key;
        let key = headers.get(name).and_then(|key| key.to_str().ok());
        let view = edge.view.borrow();
        let customer = match view.catalog().customer(key) {
            KeyLookup::NoCustomers => return None,
            KeyLookup::Customer(customer) => Some(customer.id.clone()),
            // All unknown keys together.
            KeyLookup::UnknownKey => None,
        };
        Some(self.hasher.hash_one(customer))
    }
}
