//! Messages between processes. They are encoded by position, so any change to one changes the protocol: increase
//! [`PROTOCOL`].

use std::net::SocketAddr;

use celerytide_types::{
    ClassName, CustomerId, Digest, EndpointId, InstanceId, Millis, PermitId, PoolId, RequestId, RequestOutcome,
    ServiceId, Term, TicketId, Version, data,
};

/// Version of the protocol. The paths in `METHODS` begin with it as text: change them together.
pub const PROTOCOL: u32 = 1;

/// The method of an exchange, which determines its messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Method {
    /// Entry to dispatch: requests a permit for one request.
    Permit,
    /// Entry to dispatch: transfers a permit granted by a previous owner to the new owner.
    Adopt,
    /// Dispatch to entry: takeover, in which a new owner collects the permits in flight of a pool.
    Muster,
    /// Dispatch to dispatch: the previous owner of a pool hands it over.
    Handover,
    /// Any to any: compares the versions that both hold.
    Gossip,
    /// Between routers (`celerytide-edge` processes): live peers, and the store's content for a router that can't read
    /// the store.
    Peers,
    /// Between routers: changes of the store, for a router that follows another one instead of reading the store.
    Follow,
    /// Between routers: asks what is known of a stream that a caller takes up.
    Streams,
    /// Between routers: a request that the sender received and can't send to any endpoint.
    Proxy,
    /// Any to any: fetches the manifest's text.
    Manifest,
    /// Any to any: fetches a section of a manifest.
    Section,
    /// Any to any: fetches the instance list and the endpoint list, for a process that can't read the configuration
    /// service.
    Lists,
    /// Entry to entry: forwards a call with a ticket to the entry that issued the ticket.
    Relay,
    /// Entry to entry: queries the state of a ticket at the entry that issued it, or at one that keeps a copy.
    Look,
    /// Entry to entry: ticket outcomes of an entry that is stopping.
    Outcomes,
}

struct MethodPath {
    method: Method,
    path: &'static str,
}

const METHODS: [MethodPath; 15] = [
    MethodPath {
        method: Method::Permit,
        path: "/1/permit",
    },
    MethodPath {
        method: Method::Adopt,
        path: "/1/adopt",
    },
    MethodPath {
        method: Method::Muster,
        path: "/1/muster",
    },
    MethodPath {
        method: Method::Handover,
        path: "/1/handover",
    },
    MethodPath {
        method: Method::Gossip,
        path: "/1/gossip",
    },
    MethodPath {
        method: Method::Peers,
        path: "/1/peers",
    },
    MethodPath {
        method: Method::Follow,
        path: "/1/follow",
    },
    MethodPath {
        method: Method::Streams,
        path: "/1/streams",
    },
    MethodPath {
        method: Method::Proxy,
        path: "/1/proxy",
    },
    MethodPath {
        method: Method::Manifest,
        path: "/1/manifest",
    },
    MethodPath {
        method: Method::Section,
        path: "/1/section",
    },
    MethodPath {
        method: Method::Lists,
        path: "/1/lists",
    },
    MethodPath {
        method: Method::Relay,
        path: "/1/relay",
    },
    MethodPath {
        method: Method::Look,
        path: "/1/look",
    },
    MethodPath {
        method: Method::Outcomes,
        path: "/1/outcomes",
    },
];

impl Method {
    /// Path of the HTTP/2 request. `METHODS` has every method, so the path `/` is never returned.
    pub fn path(self) -> &'static str {
        METHODS.iter().find(|m| m.method == self).map_or("/", |m| m.path)
    }

    /// Returns the method for a path; `None` if unknown.
    pub fn from_path(path: &str) -> Option<Method> {
        METHODS.iter().find(|m| m.path == path).map(|m| m.method)
    }
}

data! {
    /// Requests a permit; the first message of [`Method::Permit`].
    pub struct PermitRequest {
        /// Instance of the entry process.
        pub from: InstanceId,
        /// Pool from which the permit is requested.
        pub pool: PoolId,
        /// Id of the request.
        pub request: RequestId,
        /// Class of the request.
        pub class: ClassName,
        /// Customer of the request.
        pub customer: CustomerId,
        /// Start deadline: time from sending within which the request must start.
        pub start_within_ms: Millis,
        /// Time for which the request has waited so far.
        pub waited_ms: Millis,
        /// Length of the prompt.
        pub prompt_tokens: u32,
        /// Maximum length of the response, if the request sets one.
        pub max_tokens: Option<u32>,
        /// Hashes of the prompt's leading blocks.
        pub prefix: Vec<u64>,
        /// Endpoints on which the request already failed.
        pub avoid: Vec<EndpointId>,
        /// Hash of the customer, path and body, equal for requests that are repeated.
        pub content: Option<u64>,
    }

    /// Reply to [`PermitRequest`].
    pub enum PermitReply {
        /// The request may run.
        Granted(Granted),
        /// The request may not run, and did not.
        Refused(RequestOutcome),
        /// The sender of this reply doesn't own the pool, or the entry doesn't follow it yet. The term consists of the
        /// sender's list version and incarnation.
        NotOwner(Term),
        /// The request that runs under this permit must stop and request a new one; sent only after `Granted`.
        Preempt,
    }

    /// A granted permit.
    pub struct Granted {
        /// Id of the permit.
        pub permit: PermitId,
        /// The pool.
        pub pool: PoolId,
        /// The endpoint on which the request may run.
        pub endpoint: EndpointId,
        /// Address of the endpoint.
        pub address: SocketAddr,
        /// Maximum number of concurrent permits of the endpoint, if it is warm.
        pub warm_limit: Option<u32>,
        /// Term of the pool's owner.
        pub term: Term,
        /// Time after which the permit expires.
        pub permit_age_ms: Millis,
    }

    /// Update from the entry on a request that runs under a permit.
    pub enum PermitUpdate {
        /// Number of tokens received so far.
        Progress(u32),
        /// The request ended; the last update.
        Settle(Ended),
    }

    /// How a request under a permit ended.
    #[derive(Copy, Eq)]
    pub enum Ended {
        /// The response was complete.
        Whole {
            /// Number of tokens in the response.
            tokens: u32,
        },
        /// The response was reset or truncated, or the endpoint died.
        Failed,
        /// The endpoint was too slow: a timeout expired.
        Slow,
        /// The caller disconnected or the request was preempted.
        Cancelled,
        /// No connection to the endpoint could be established.
        NotStarted,
        /// The request continues under another owner.
        Moved,
        /// The endpoint broke the connection off before any of the response.
        BrokeOff,
    }

    /// Transfers a permit in flight, granted by a previous owner, to the new owner.
    pub struct Adopt {
        /// The pool.
        pub pool: PoolId,
        /// The running request.
        pub request: RequestId,
        /// The endpoint on which the request runs.
        pub endpoint: EndpointId,
        /// Maximum number of concurrent permits that the previous owner knew, if the endpoint was warm; it remains
        /// warm, since the request has run there ever since.
        pub warm_limit: Option<u32>,
        /// Class of the request.
        pub class: ClassName,
        /// Customer of the request.
        pub customer: CustomerId,
    }

    /// Asks an entry to follow the new owner of a pool and to transfer its permits in flight to it.
    pub struct TakeoverRequest {
        /// The pool.
        pub pool: PoolId,
        /// The new owner's term.
        pub term: Term,
        /// Latest version of the instance list that the new owner has seen.
        pub latest_list_version: Version,
        /// Instance of the new owner; its address is in the instance list.
        pub owner: InstanceId,
    }

    /// Reply to [`TakeoverRequest`]. If it is `followed` and `complete`, the exchange then stays open while the entry
    /// follows the owner; its end tells the owner that the entry may have restarted. Otherwise the exchange ends with
    /// the reply.
    pub struct TakeoverReply {
        /// Whether the entry accepted the requested term.
        pub followed: bool,
        /// Whether the new owner adopted every permit in flight of the entry. False if the entry refused, if its
        /// instance list doesn't contain the owner yet, or if the transfer failed or timed out.
        pub complete: bool,
        /// If `followed`, the term that the entry followed before; otherwise the higher one that it follows instead.
        /// `None` if there is none, or if the list epochs or versions don't match.
        pub other: Option<Term>,
        /// Number of permits in flight that were adopted.
        pub adopted: u32,
    }

    /// Tells the new owner of a pool that the previous one has stopped granting permits.
    pub struct Handover {
        /// The pool.
        pub pool: PoolId,
        /// Instance of the previous owner.
        pub from: InstanceId,
        /// Term of the previous owner, which ends.
        pub term: Term,
        /// Whether every permit of the previous owner has ended or moved.
        pub drained: bool,
        /// Whether the previous owner is stopping, even if the instance list still contains it.
        pub stopping: bool,
        /// Limits of the warm endpoints.
        pub warm_endpoints: Vec<WarmEndpoint>,
    }

    /// Limit of a warm endpoint.
    pub struct WarmEndpoint {
        /// The endpoint.
        pub endpoint: EndpointId,
        /// Maximum number of concurrent permits.
        pub limit: u32,
        /// Start of the endpoint's process in milliseconds since the Unix epoch, if reported.
        pub started_unix_ms: Option<u64>,
    }

    /// Acknowledges a message.
    pub struct Ack {
        /// Whether the message was accepted.
        pub accepted: bool,
    }

    /// Requests the instance list and the endpoint list; the reply is the membership crate's `PeerLists`.
    pub struct ListsRequest {
        /// Instance of the sender.
        pub from: InstanceId,
    }

    /// Summary of the versions that a process holds; each side sends one message.
    pub struct Gossip<D> {
        /// Instance of the sender.
        pub from: InstanceId,
        /// The membership crate's `ViewDigest`.
        pub digest: D,
    }

    /// Requests the manifest's text.
    pub struct ManifestRequest {
        /// Minimum version.
        pub version: Version,
    }

    /// The manifest's text.
    pub struct ManifestText {
        /// Version of the manifest; zero if the sender has none.
        pub version: Version,
        /// Text of the manifest.
        pub text: String,
    }

    /// Requests a section of a manifest.
    pub struct SectionRequest {
        /// Hex SHA-256 of the section's text.
        pub digest: Digest,
    }

    /// A section of a manifest.
    pub struct SectionText {
        /// Text of the section, if the sender has it.
        pub text: Option<String>,
    }

    /// An HTTP header of a relayed call.
    pub struct Header {
        /// Name in lower case.
        pub name: String,
        /// Value, not necessarily UTF-8.
        pub value: Vec<u8>,
    }

    /// Forwards a call with a ticket to the entry that issued the ticket.
    pub struct RelayRequest {
        /// The ticket.
        pub ticket: TicketId,
        /// Id of the request.
        pub request: RequestId,
        /// The customer, as authenticated by the entry that received the call.
        pub customer: CustomerId,
        /// The service to call.
        pub service: ServiceId,
        /// HTTP method.
        pub method: String,
        /// Path and query below the service's prefix.
        pub path: String,
        /// Headers as sent by the caller.
        pub headers: Vec<Header>,
        /// Complete body.
        pub body: Vec<u8>,
    }

    /// The complete response of the issuing entry to a relayed call.
    pub struct RelayResponse {
        /// HTTP status.
        pub status: u16,
        /// Response headers.
        pub headers: Vec<Header>,
        /// Complete body.
        pub body: Vec<u8>,
    }

    /// Queries the state of a ticket.
    pub struct TicketQuery {
        /// The ticket.
        pub ticket: TicketId,
    }

    /// State of a ticket.
    pub enum TicketStatus {
        /// Issued, but not used yet.
        Unused,
        /// Its action is running.
        Running,
        /// Its action has this outcome.
        Finished(RequestOutcome),
        /// The receiver of the query doesn't know the ticket.
        Unknown,
    }
}
