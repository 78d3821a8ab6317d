//! A lease: a granted permit with its exchange. Reports to the permit's owner, and moves to a new owner when the old
//! one is lost.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::EndpointId;
use celerytide_wire::messages::{Ack, Adopt, Ended, Granted, Method, PermitReply, PermitUpdate};
use celerytide_wire::{ConnectionPool, Error, Exchange};
use futures::StreamExt;
use futures::channel::mpsc;
use monoio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::registry::{LeaseRegistration, LeaseRegistry, MoveRequest};
use crate::pool_owners::PoolOwners;

/// Time for the previous owner to confirm that its permit has moved.
const PREVIOUS_OWNER_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval of attempts to reach a lost owner's successor.
const REBIND_INTERVAL: Duration = Duration::from_millis(100);

/// A granted permit of one request. Dropping it without [`Lease::release`] tells the owner that the request was cancelled.
pub struct Lease {
    granted: Granted,
    updates: Option<mpsc::UnboundedSender<PermitUpdate>>,
    preempted: CancellationToken,
}

/// What a permit's task needs to re-register the permit with another owner.
pub(super) struct RebindContext {
    pub(super) pool_owners: Rc<PoolOwners>,
    pub(super) connections: ConnectionPool,
    pub(super) adopt: Adopt,
}

impl Lease {
    pub(super) fn start(
        granted: Granted,
        ex: Exchange,
        owner: SocketAddr,
        rebind_context: RebindContext,
        leases: &LeaseRegistry,
    ) -> Lease {
        let (updates, updates_rx) = mpsc::unbounded();
        let (moves, moves_rx) = mpsc::unbounded();
        let registration = leases.register(&rebind_context.adopt.pool, moves);
        let preempted = CancellationToken::new();
        let task = LeaseTask {
            ex: Some(ex),
            owner,
            rebind_context,
            updates: updates_rx,
            moves: moves_rx,
            preempted: preempted.clone(),
        };
        monoio::spawn(task.run(registration));
        Lease {
            granted,
            updates: Some(updates),
            preempted,
        }
    }

    /// Id of the endpoint that the permit is for.
    pub fn endpoint(&self) -> &EndpointId {
        &self.granted.endpoint
    }

    /// Address of the endpoint.
    pub fn address(&self) -> SocketAddr {
        self.granted.address
    }

    /// Time after the grant when the owner stops counting the permit.
    pub fn lifetime(&self) -> Duration {
        Duration::from_millis(self.granted.permit_age_ms)
    }

    /// Cancelled when the owner takes the endpoint back for a higher tier.
    pub fn preempted(&self) -> &CancellationToken {
        &self.preempted
    }

    /// Reports to the owner how many tokens have been received so far.
    pub fn report_progress(&self, tokens: u32) {
        self.send(PermitUpdate::Progress(tokens));
    }

    /// Returns the permit to the owner with the way the request ended.
    pub fn release(mut self, ended: Ended) {
        self.send(PermitUpdate::Settle(ended));
        self.updates = None;
    }

    fn send(&self, update: PermitUpdate) {
        if let Some(updates) = &self.updates {
            // The task ends only after the release, so a failed send means that nothing is left to report.
            let _ = updates.unbounded_send(update);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.send(PermitUpdate::Settle(Ended::Cancelled));
    }
}

struct LeaseTask {
    ex: Option<Exchange>,
    owner: SocketAddr,
    rebind_context: RebindContext,
    updates: mpsc::UnboundedReceiver<PermitUpdate>,
    moves: mpsc::UnboundedReceiver<MoveRequest>,
    preempted: CancellationToken,
}

enum Event {
    Update(Option<PermitUpdate>),
    Move(Option<MoveRequest>),
    Owner(Result<Option<PermitReply>, Error>),
    Retry,
}

impl LeaseTask {
    async fn run(mut self, _registration: LeaseRegistration) {
        loop {
            let event = self.next_event().await;
            match event {
                Event::Update(Some(PermitUpdate::Settle(ended))) => return self.release(ended).await,
                Event::Update(Some(update)) => self.send_update(&update).await,
                Event::Update(None) => return,
                Event::Move(Some(move_request)) => self.move_to(move_request).await,
                Event::Move(None) => return,
                Event::Owner(Ok(Some(PermitReply::Preempt))) => self.preempted.cancel(),
                Event::Owner(_) => self.ex = None,
                Event::Retry => self.rebind().await,
            }
        }
    }

    async fn next_event(&mut self) -> Event {
        match &mut self.ex {
            Some(ex) => monoio::select! {
                update = self.updates.next() => Event::Update(update),
                move_request = self.moves.next() => Event::Move(move_request),
                reply = ex.recv::<PermitReply>() => Event::Owner(reply),
            },
            None => monoio::select! {
                update = self.updates.next() => Event::Update(update),
                move_request = self.moves.next() => Event::Move(move_request),
                () = sleep(REBIND_INTERVAL) => Event::Retry,
            },
        }
    }

    async fn send_update(&mut self, update: &PermitUpdate) {
        let Some(ex) = &mut self.ex else {
            return;
        };
        if ex.send(update).await.is_err() {
            self.ex = None;
        }
    }

    async fn release(&mut self, ended: Ended) {
        let Some(ex) = &mut self.ex else {
            return;
        };
        if ex.send_last(&PermitUpdate::Settle(ended)).await.is_ok() {
            // The owner ends its side once it has read the release; dropping the exchange earlier would reset it.
            let _ = ex.recv::<PermitReply>().await;
        }
    }

    async fn move_to(&mut self, move_request: MoveRequest) {
        let adopted = self.adopt_at(move_request.owner).await;
        // The takeover may have stopped waiting.
        let _ = move_request.adopted_tx.send(adopted);
    }

    async fn rebind(&mut self) {
        if let Some(owner) = self
            .rebind_context
            .pool_owners
            .owner_address(&self.rebind_context.adopt.pool)
        {
            self.adopt_at(owner).await;
        }
    }

    async fn adopt_at(&mut self, owner: SocketAddr) -> bool {
        let opened = self
            .rebind_context
            .connections
            .open(owner, Method::Adopt, &self.rebind_context.adopt)
            .await;
        let Ok(mut ex) = opened else {
            return false;
        };
        let adopted = matches!(ex.recv::<Ack>().await, Ok(Some(Ack { accepted: true })));
        if adopted {
            let previous = self.ex.replace(ex);
            let moved = std::mem::replace(&mut self.owner, owner) != owner;
            if let Some(previous) = previous {
                end_previous(previous, moved).await;
            }
        }
        adopted
    }
}

/// Ends the previous exchange, with another owner or the same one. A failure is ignored: an owner that is gone counts
/// nothing.
async fn end_previous(mut previous: Exchange, moved: bool) {
    let ended = if moved { Ended::Moved } else { Ended::Cancelled };
    if previous.send_last(&PermitUpdate::Settle(ended)).await.is_ok() {
        let _ = timeout(PREVIOUS_OWNER_TIMEOUT, previous.recv::<PermitReply>()).await;
    }
}
