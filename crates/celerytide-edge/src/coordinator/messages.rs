//! Messages between an instance and the coordinator of a group of engines, several in one datagram.

use celerytide_types::{Millis, data};

use super::groups::GroupIndex;

/// Largest datagram, in bytes; a report of many requests exceeds a frame.
pub const MAX_DATAGRAM: usize = 16 * 1024;

/// Number that the sender gives to one request at one endpoint.
pub type PlacementId = u32;
/// Hash that stands for an id of an endpoint, a service or a customer.
pub type IdHash = u32;

data! {
    /// One block of a prompt.
    #[derive(Copy, Eq)]
    pub struct Block {
        /// Content hash.
        pub id: u64,
        /// Its length in tokens.
        pub tokens: u32,
    }

    /// Group of engines that a message is about.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct GroupKey {
        /// Hash of the service's id.
        pub service: IdHash,
        /// Number of the group.
        pub group: GroupIndex,
    }

    /// What a request needs of an engine.
    #[derive(Eq)]
    pub struct Demand {
        /// Blocks of the prompt from the front.
        pub blocks: Vec<Block>,
        /// Tokens of the whole prompt.
        pub tokens: u32,
        /// Most tokens of the response.
        pub max_output_tokens: u32,
        /// Longest gap between two events that is on time; 0 without a limit.
        pub max_gap_ms: u32,
        /// Time until the caller stops waiting.
        pub left_ms: u32,
    }

    /// Asks for an endpoint.
    #[derive(Eq)]
    pub struct PlaceRequest {
        /// The sender's number of the request.
        pub id: PlacementId,
        /// Group that should serve it.
        pub key: GroupKey,
        /// What it needs.
        pub demand: Demand,
        /// Position in the order of urgency; 0 is the most urgent.
        pub urgency: u16,
        /// Hash of the customer's id; 0 without one.
        pub customer: IdHash,
        /// Time to the first event that is on time; 0 without a target.
        pub target_ms: u32,
        /// Whether it may run more than once.
        pub is_idempotent: bool,
        /// Endpoints that it was sent to before.
        pub tried: Vec<IdHash>,
    }

    /// A request in flight at an engine.
    #[derive(Copy, Eq)]
    pub struct FlightEntry {
        /// The sender's number of the request.
        pub id: PlacementId,
        /// The endpoint.
        pub endpoint: IdHash,
        /// Uncached prompt tokens until the first byte of the response; 0 afterwards.
        pub queued_tokens: u32,
        /// Position in the order of urgency; 0 is the most urgent.
        pub urgency: u16,
        /// Tokens of the prompt and the longest response.
        pub tokens: u32,
        /// Longest gap between two events that is on time; 0 without a limit.
        pub max_gap_ms: u32,
        /// Time until the caller stops waiting.
        pub left_ms: u32,
    }

    /// What a request at an endpoint says about the endpoint's health.
    #[derive(Copy, Eq)]
    pub enum Sign {
        /// A complete response without a server error.
        Good,
        /// A server error, or a broken or missing response.
        Bad,
        /// No connection, or another process at this address.
        Unreached,
        /// A rejection by an endpoint with a rejection limit; it says nothing about its health.
        Rejected,
    }

    /// All requests of the sender in flight in a group whose numbers are in a range.
    #[derive(Eq)]
    pub struct Report {
        /// The group.
        pub key: GroupKey,
        /// First and last number of the range.
        pub ids: (PlacementId, PlacementId),
        /// The requests.
        pub flights: Vec<FlightEntry>,
    }

    /// Event that an instance tells a coordinator.
    #[derive(Eq)]
    pub enum Event {
        /// It asks for an endpoint.
        Place(PlaceRequest),
        /// It sent a request to an endpoint of its own choice.
        Sent {
            /// Group of the endpoint.
            key: GroupKey,
            /// The request.
            flight: FlightEntry,
            /// Blocks of its prompt.
            blocks: Vec<Block>,
        },
        /// The first byte of a response arrived.
        Started {
            /// The request.
            id: PlacementId,
            /// Time since it was sent.
            took_ms: u32,
        },
        /// The request is no longer in flight, or needs no endpoint any more.
        Ended {
            /// The request.
            id: PlacementId,
        },
        /// A request ended with this sign about its endpoint.
        Outcome {
            /// Group of the endpoint.
            key: GroupKey,
            /// The endpoint.
            endpoint: IdHash,
            /// The sign.
            sign: Sign,
        },
        /// Requests of the sender that are in flight in a group.
        Report(Report),
    }

    /// Where a coordinator places a request.
    #[derive(Copy, Eq)]
    pub struct Advice {
        /// The endpoint.
        pub endpoint: IdHash,
        /// Prompt tokens that the engine has to prefill.
        pub uncached: u32,
        /// Uncached tokens of other requests that wait there.
        pub ahead: u32,
        /// Requests in flight there.
        pub running: u16,
    }

    /// Reply to a [`PlaceRequest`].
    #[derive(Copy, Eq)]
    pub enum Verdict {
        /// The request is counted at this endpoint.
        Placed(Advice),
        /// No engine can begin it in time; it waits.
        Queued {
            /// Expected wait.
            wait_ms: u32,
        },
        /// It can't begin before its caller stops waiting, or the queue or its customer's share of the queue is full; nothing is
        /// counted.
        Refused {
            /// Time until the work ahead of it is done.
            wait_ms: u32,
        },
        /// No engine of the group may serve it.
        Unable,
        /// The instance is stopping; another one coordinates the group.
        Stopping,
    }

    /// One reply.
    #[derive(Copy, Eq)]
    pub struct Reply {
        /// The asking instance's number of the request.
        pub id: PlacementId,
        /// What was decided.
        pub verdict: Verdict,
    }

    /// Content of a datagram.
    #[derive(Eq)]
    pub enum Packet {
        /// Events for a coordinator.
        Events(Vec<Event>),
        /// Replies of a coordinator.
        Replies(Vec<Reply>),
    }
}

/// Milliseconds of a duration as they are sent, saturating.
pub fn wire_ms(duration: std::time::Duration) -> u32 {
    let ms: Millis = celerytide_types::millis(duration);
    ms.try_into().unwrap_or(u32::MAX)
}

/// Encodes a packet as datagrams of at most [`MAX_DATAGRAM`] bytes, of which each can be applied without the others.
pub fn datagrams(packet: Packet) -> Vec<Vec<u8>> {
    let Ok(buf) = bincode::serde::encode_to_vec(&packet, bincode::config::standard()) else {
        return Vec::new();
    };
    if buf.len() <= MAX_DATAGRAM {
        return vec![buf];
    }
    let halves = match packet {
        Packet::Events(mut events) if events.len() > 1 => {
            let rest = events.split_off(events.len() / 2);
            [Packet::Events(events), Packet::Events(rest)]
        }
        Packet::Replies(mut replies) if replies.len() > 1 => {
            let rest = replies.split_off(replies.len() / 2);
            [Packet::Replies(replies), Packet::Replies(rest)]
        }
        Packet::Events(_) | Packet::Replies(_) => return Vec::new(),
    };
    halves.into_iter().flat_map(datagrams).collect()
}
