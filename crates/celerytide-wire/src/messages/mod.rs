//! Every message between our processes. A change here changes the protocol: raise [`PROTOCOL`].

use std::net::SocketAddr;

use celerytide_types::{
    ClassName, CustomerId, Digest, EndpointId, InstanceId, Millis, PermitId, PoolId, RequestId, RequestOutcome,
    ServiceId, Term, TicketId, Version, data,
};

/// Version of this protocol; part of every method's path.
pub const PROTOCOL: u32 = 1;

/// What an exchange is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Method {
    /// Entry to dispatch: a permit for one request.
    Permit,
    /// Entry to dispatch: a permit of a former owner goes on under the new one.
    Adopt,
    /// Dispatch to entry: report permits in flight for a pool and follow its new owner.
    Muster,
    /// Dispatch to dispatch: a pool was handed over.
    Handover,
    /// Any to any: versions held.
    Gossip,
    /// Router to router: who lives, and a view for one that can't read the store.
    Peers,
    /// Router to router: changes of the store, for one that follows a reader.
    Follow,
    /// Any to any: the manifest's text.
    Manifest,
    /// Any to any: a section of a manifest.
    Section,
    /// Any to any: the lists, for a process that can't read the service.
    Lists,
    /// Entry to entry: a ticketed call goes to its home.
    Relay,
    /// Entry to entry: what a ticket's home knows of it.
    Look,
    /// Entry to entry: outcomes of an entry that stops.
    Outcomes,
}

struct Named {
    method: Method,
    path: &'static str,
}

const METHODS: [Named; 13] = [
    Named {
        method: Method::Permit,
        path: "/1/permit",
    },
    Named {
        method: Method::Adopt,
        path: "/1/adopt",
    },
    Named {
        method: Method::Muster,
        path: "/1/muster",
    },
    Named {
        method: Method::Handover,
        path: "/1/handover",
    },
    Named {
        method: Method::Gossip,
        path: "/1/gossip",
    },
    Named {
        method: Method::Peers,
        path: "/1/peers",
    },
    Named {
        method: Method::Follow,
        path: "/1/follow",
    },
    Named {
        method: Method::Manifest,
        path: "/1/manifest",
    },
    Named {
        method: Method::Section,
        path: "/1/section",
    },
    Named {
        method: Method::Lists,
        path: "/1/lists",
    },
    Named {
        method: Method::Relay,
        path: "/1/relay",
    },
    Named {
        method: Method::Look,
        path: "/1/look",
    },
    Named {
        method: Method::Outcomes,
        path: "/1/outcomes",
    },
];

impl Method {
    /// Path of the h2 request.
    pub fn path(self) -> &'static str {
        METHODS.iter().find(|m| m.method == self).map_or("/", |m| m.path)
    }

    /// The method of a path.
    pub fn from_path(path: &str) -> Option<Method> {
        METHODS.iter().find(|m| m.path == path).map(|m| m.method)
    }
}

data! {
    /// First message of a permit exchange.
    pub struct PermitRequest {
        /// The entry's instance.
        pub from: InstanceId,
        /// The pool asked.
        pub pool: PoolId,
        /// The request.
        pub request: RequestId,
        /// Its class.
        pub class: ClassName,
        /// Its customer.
        pub customer: CustomerId,
        /// It must begin within this time from now.
        pub begin_within_ms: Millis,
        /// Time it has waited so far.
        pub waited_ms: Millis,
        /// Length of its prompt.
        pub prompt_tokens: u32,
        /// Bound on its answer's length, if it names one.
        pub max_tokens: Option<u32>,
        /// Hashes of the prompt's leading blocks.
        pub prefix: Vec<u64>,
        /// Endpoints that failed it already.
        pub avoid: Vec<EndpointId>,
    }

    /// The owner's answer to [`PermitRequest`].
    pub enum PermitReply {
        /// The request may run.
        Granted(Granted),
        /// It may not, and did not.
        Refused(RequestOutcome),
        /// The process asked doesn't own the pool.
        NotOwner(Term),
        /// The request that runs under this permit must stop and ask again; sent after `Granted` only.
        Preempt,
    }

    /// A permit.
    pub struct Granted {
        /// Number of the permit.
        pub permit: PermitId,
        /// The pool.
        pub pool: PoolId,
        /// The endpoint.
        pub endpoint: EndpointId,
        /// Its address.
        pub address: SocketAddr,
        /// Permits that the endpoint bears at once, if it is warm.
        pub warm_limit: Option<u32>,
        /// The owner's term.
        pub term: Term,
        /// The permit ends by itself after this time.
        pub lasts_ms: Millis,
    }

    /// What the entry says of a running request.
    pub enum PermitUpdate {
        /// Tokens received so far.
        Progress(u32),
        /// The request ended; the last note.
        Settle(Ended),
    }

    /// How a request under a permit ended.
    #[derive(Copy, Eq)]
    pub enum Ended {
        /// Whole answer.
        Whole {
            /// Tokens of it.
            tokens: u32,
        },
        /// Reset, truncated or died.
        Failed,
        /// A bound on time was passed.
        Slow,
        /// The caller left or the request was preempted.
        Cancelled,
        /// No connection came up.
        NotStarted,
        /// It goes on under another owner.
        Moved,
    }

    /// A permit in flight that a former owner granted.
    pub struct Adopt {
        /// The pool.
        pub pool: PoolId,
        /// The request.
        pub request: RequestId,
        /// The endpoint it runs on.
        pub endpoint: EndpointId,
        /// What the former owner knew the endpoint to bear, if it was warm; the request has run there since.
        pub warm_limit: Option<u32>,
        /// Its class.
        pub class: ClassName,
        /// Its customer.
        pub customer: CustomerId,
    }

    /// A new owner calls for permits in flight.
    pub struct Muster {
        /// The pool.
        pub pool: PoolId,
        /// The new owner's term.
        pub term: Term,
        /// Version of the latest instance list that the new owner has seen.
        pub seen_list: Version,
        /// The new owner's instance; the list says where it listens.
        pub owner: InstanceId,
    }

    /// The entry's answer, sent once each of its permits in flight was adopted. The exchange then stays open for as long as the
    /// entry follows; its end tells the owner that the entry may have restarted.
    pub struct MusterReply {
        /// Whether the entry follows this term.
        pub followed: bool,
        /// Whether every permit in flight was adopted.
        pub complete: bool,
        /// The term that it followed before, or the higher one that it follows instead.
        pub other: Option<Term>,
        /// Permits in flight that were adopted.
        pub adopted: u32,
    }

    /// The former owner has stopped granting.
    pub struct Handover {
        /// The pool.
        pub pool: PoolId,
        /// Who hands over.
        pub from: InstanceId,
        /// Term that ends.
        pub term: Term,
        /// Whether every permit that it granted has ended or moved.
        pub drained: bool,
        /// Whether the process stops, whatever the list shows.
        pub stopping: bool,
        /// What warm endpoints bear.
        pub warm: Vec<WarmEndpoint>,
    }

    /// What a warm endpoint bears.
    pub struct WarmEndpoint {
        /// The endpoint.
        pub endpoint: EndpointId,
        /// Permits that it bears at once.
        pub limit: u32,
        /// When its process started, if a report said so.
        pub started_unix_ms: Option<u64>,
    }

    /// A plain acknowledgement.
    pub struct Ack {
        /// Whether the message was taken.
        pub taken: bool,
    }

    /// Asks for the lists; answered by `PeerLists`.
    pub struct ListsRequest {
        /// The asker.
        pub from: InstanceId,
    }

    /// Versions that a process holds; each side sends one. `digest` is the membership crate's own message.
    pub struct Gossip<D> {
        /// The sender's instance.
        pub from: InstanceId,
        /// What it holds.
        pub digest: D,
    }

    /// Asks for the manifest's text.
    pub struct ManifestRequest {
        /// Version wanted, at least.
        pub version: Version,
    }

    /// The manifest's text.
    pub struct ManifestText {
        /// Its version; zero if there is none.
        pub version: Version,
        /// The text.
        pub text: String,
    }

    /// Asks for a section of a manifest.
    pub struct SectionRequest {
        /// Hex SHA-256 of its text.
        pub digest: Digest,
    }

    /// A section of a manifest.
    pub struct SectionText {
        /// Its text, if it is held.
        pub text: Option<String>,
    }

    /// A header of a relayed call.
    pub struct Header {
        /// Name, lower case.
        pub name: String,
        /// Value as bytes.
        pub value: Vec<u8>,
    }

    /// A ticketed call on its way to the ticket's home.
    pub struct RelayRequest {
        /// The ticket.
        pub ticket: TicketId,
        /// The request.
        pub request: RequestId,
        /// The customer, already known to the entry that took the call.
        pub customer: CustomerId,
        /// The service.
        pub service: ServiceId,
        /// HTTP method.
        pub method: String,
        /// Path and query below the service's prefix.
        pub path: String,
        /// Headers as the caller sent them.
        pub headers: Vec<Header>,
        /// Body.
        pub body: Vec<u8>,
    }

    /// The home's whole answer to a relayed call.
    pub struct RelayResponse {
        /// HTTP status.
        pub status: u16,
        /// Headers.
        pub headers: Vec<Header>,
        /// Body.
        pub body: Vec<u8>,
    }

    /// Asks a ticket's home what became of it.
    pub struct TicketQuery {
        /// The ticket.
        pub ticket: TicketId,
    }

    /// What became of a ticket.
    pub enum TicketStatus {
        /// Issued, not used yet.
        Unused,
        /// Its action runs now.
        Running,
        /// It has its final word.
        Finished(RequestOutcome),
        /// Not known here.
        Unknown,
    }
}
