//! Requests that another instance received and handed over: they arrive in parts and are responded to in parts.
//!
//! Such a request holds memory of the account like one on a connection of its caller.

use std::future::poll_fn;
use std::net::IpAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures::channel::mpsc::{Receiver, Sender, channel};
use futures::future::{Either, select};
use http::{HeaderMap, StatusCode};

use super::responder::{Disconnected, Responder};
use crate::memory::{Account, Collector, Holder, NoRoom, Payload, with_holder};

/// Parts of a response that wait to be sent on, besides one.
const QUEUED_PARTS: usize = 4;

/// A part of a response.
#[derive(Debug, Clone, PartialEq)]
pub enum ResponsePart {
    /// A complete response.
    Whole {
        /// HTTP status.
        status: StatusCode,
        /// Headers.
        headers: HeaderMap,
        /// The body.
        body: Bytes,
    },
    /// The head of a response whose body follows in chunks.
    Head {
        /// HTTP status.
        status: StatusCode,
        /// Headers.
        headers: HeaderMap,
    },
    /// Bytes of the body.
    Chunk(Bytes),
    /// The regular end of the body.
    End,
}

/// The parts of a response; they end without [`ResponsePart::Whole`] or [`ResponsePart::End`] if the handler gave up.
pub type ResponseParts = Receiver<ResponsePart>;

/// A responder whose response goes into parts, and the parts.
pub fn responder_in_parts() -> (Responder, ResponseParts) {
    let (parts, received) = channel(QUEUED_PARTS);
    (Responder::in_parts(PartSender { parts }), received)
}

/// Sends the parts of one response.
pub(super) struct PartSender {
    parts: Sender<ResponsePart>,
}

impl PartSender {
    /// Sends a part once there is room for it.
    pub(super) async fn send(&mut self, part: ResponsePart) -> Result<(), Disconnected> {
        let ready = poll_fn(|cx| self.parts.poll_ready(cx)).await;
        ready.map_err(|_| Disconnected)?;
        self.parts.start_send(part).map_err(|_| Disconnected)
    }
}

/// Memory of a request that was handed over, and its body as far as it has arrived.
pub struct HandedBody {
    holder: Rc<Holder>,
    collector: Collector,
}

impl HandedBody {
    /// Opens a place in the account for a caller at `address` of this customer.
    pub fn open(account: &Account, address: IpAddr, customer: Option<u64>) -> Result<HandedBody, NoRoom> {
        let holder = Holder::open(account, address)?;
        holder.set_customer(customer);
        holder.wait();
        Ok(HandedBody {
            collector: Collector::new(Rc::clone(&holder)),
            holder,
        })
    }

    /// Appends a part of the body, unless others need the memory.
    pub async fn push(&mut self, part: &[u8]) -> Result<(), NoRoom> {
        let pushing = std::pin::pin!(self.collector.push(part));
        let evicted = std::pin::pin!(self.holder.evicted());
        match select(pushing, evicted).await {
            Either::Left((pushed, _)) => pushed,
            Either::Right(_) => Err(NoRoom),
        }
    }

    /// Ends the body.
    pub fn finish(self) -> (Payload, HandedPlace) {
        self.holder.run();
        (self.collector.finish(), HandedPlace(self.holder))
    }
}

/// The place in the account of a request that is being handled.
pub struct HandedPlace(Rc<Holder>);

impl HandedPlace {
    /// Handles the request in this place.
    pub async fn run<T>(self, work: impl Future<Output = T>) -> T {
        with_holder(self.0, work).await
    }
}
