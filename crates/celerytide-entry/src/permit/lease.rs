//! One permit for the life of one request.

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

use super::leases::{Leases, Listed, Move};
use crate::owner::Owners;

/// Time for a former owner to take the word that its permit has moved.
const FORMER_TIME: Duration = Duration::from_millis(200);
/// Wait between attempts to find a lost owner's successor.
const REBIND_WAIT: Duration = Duration::from_millis(100);

/// A permit. Dropping it without [`Lease::settle`] tells the owner that the request was cancelled.
pub struct Lease {
    granted: Granted,
    notes: Option<mpsc::UnboundedSender<PermitUpdate>>,
    preempted: CancellationToken,
}

/// What a permit's task needs.
pub(super) struct Holder {
    pub(super) owners: Rc<Owners>,
    pub(super) links: ConnectionPool,
    pub(super) adopt: Adopt,
}

impl Lease {
    pub(super) fn start(granted: Granted, ex: Exchange, owner: SocketAddr, holder: Holder, leases: &Leases) -> Lease {
        let (notes, notes_rx) = mpsc::unbounded();
        let (moves, moves_rx) = mpsc::unbounded();
        let listed = leases.list(&holder.adopt.pool, moves);
        let preempted = CancellationToken::new();
        let task = Task {
            ex: Some(ex),
            owner,
            holder,
            notes: notes_rx,
            moves: moves_rx,
            preempted: preempted.clone(),
        };
        monoio::spawn(task.run(listed));
        Lease {
            granted,
            notes: Some(notes),
            preempted,
        }
    }

    /// The endpoint that the permit is for.
    pub fn endpoint(&self) -> &EndpointId {
        &self.granted.endpoint
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.granted.address
    }

    /// Time after which the owner stops counting the permit.
    pub fn lasts(&self) -> Duration {
        Duration::from_millis(self.granted.lasts_ms)
    }

    /// Cancelled when the owner wants the endpoint for a higher tier.
    pub fn preempted(&self) -> &CancellationToken {
        &self.preempted
    }

    /// Tells the owner how many tokens have been received so far.
    pub fn progress(&self, tokens: u32) {
        self.note(PermitUpdate::Progress(tokens));
    }

    /// Gives the permit back.
    pub fn settle(mut self, ended: Ended) {
        self.note(PermitUpdate::Settle(ended));
        self.notes = None;
    }

    fn note(&self, note: PermitUpdate) {
        if let Some(notes) = &self.notes {
            // The task ends only after a settle, so that a failure means nothing is left to tell.
            let _ = notes.unbounded_send(note);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.note(PermitUpdate::Settle(Ended::Cancelled));
    }
}

struct Task {
    ex: Option<Exchange>,
    owner: SocketAddr,
    holder: Holder,
    notes: mpsc::UnboundedReceiver<PermitUpdate>,
    moves: mpsc::UnboundedReceiver<Move>,
    preempted: CancellationToken,
}

enum Event {
    PermitUpdate(Option<PermitUpdate>),
    Move(Option<Move>),
    Owner(Result<Option<PermitReply>, Error>),
    Retry,
}

impl Task {
    async fn run(mut self, _listed: Listed) {
        loop {
            let event = self.next_event().await;
            match event {
                Event::PermitUpdate(Some(PermitUpdate::Settle(ended))) => return self.settle(ended).await,
                Event::PermitUpdate(Some(note)) => self.tell(&note).await,
                Event::PermitUpdate(None) => return,
                Event::Move(Some(to)) => self.follow(to).await,
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
                note = self.notes.next() => Event::PermitUpdate(note),
                to = self.moves.next() => Event::Move(to),
                reply = ex.recv::<PermitReply>() => Event::Owner(reply),
            },
            None => monoio::select! {
                note = self.notes.next() => Event::PermitUpdate(note),
                to = self.moves.next() => Event::Move(to),
                () = sleep(REBIND_WAIT) => Event::Retry,
            },
        }
    }

    async fn tell(&mut self, note: &PermitUpdate) {
        let Some(ex) = &mut self.ex else {
            return;
        };
        if ex.send(note).await.is_err() {
            self.ex = None;
        }
    }

    async fn settle(&mut self, ended: Ended) {
        let Some(ex) = &mut self.ex else {
            return;
        };
        if ex.send_last(&PermitUpdate::Settle(ended)).await.is_ok() {
            // The owner ends its side once it has taken the note; dropping earlier would reset the exchange.
            let _ = ex.recv::<PermitReply>().await;
        }
    }

    async fn follow(&mut self, to: Move) {
        let adopted = self.adopt_at(to.owner).await;
        // The muster may have given up waiting.
        let _ = to.done.send(adopted);
    }

    async fn rebind(&mut self) {
        if let Some(owner) = self.holder.owners.address(&self.holder.adopt.pool) {
            self.adopt_at(owner).await;
        }
    }

    async fn adopt_at(&mut self, owner: SocketAddr) -> bool {
        let opened = self.holder.links.open(owner, Method::Adopt, &self.holder.adopt).await;
        let Ok(mut ex) = opened else {
            return false;
        };
        let adopted = matches!(ex.recv::<Ack>().await, Ok(Some(Ack { taken: true })));
        if adopted {
            let former = self.ex.replace(ex);
            let moved = std::mem::replace(&mut self.owner, owner) != owner;
            if let Some(former) = former {
                leave(former, moved).await;
            }
        }
        adopted
    }
}

/// Ends the exchange with the former owner, or an earlier one with the same owner. Best effort: one that is gone counts nothing.
async fn leave(mut former: Exchange, moved: bool) {
    let ended = if moved { Ended::Moved } else { Ended::Cancelled };
    if former.send_last(&PermitUpdate::Settle(ended)).await.is_ok() {
        let _ = timeout(FORMER_TIME, former.recv::<PermitReply>()).await;
    }
}
