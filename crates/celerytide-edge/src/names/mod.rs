//! What an adapter tells of the language that callers and endpoints speak.

use celerytide_catalog::Kind;
use http::{HeaderMap, HeaderName, StatusCode};

use crate::notice::Notice;

/// Headers by their meaning.
#[derive(Debug, Clone)]
pub struct Names {
    /// Id of one request of a caller; echoed by endpoints.
    pub request_id: HeaderName,
    /// Proof of an endpoint that an answer is its own.
    pub seal: HeaderName,
    /// Stands in an answer of an endpoint that did not run the request.
    pub not_run: HeaderName,
    /// Milliseconds for which the answer is waited for.
    pub deadline_ms: HeaderName,
    /// Key of a caller.
    pub key: HeaderName,
    /// Customer of a request, towards endpoints.
    pub customer: HeaderName,
    /// Id of the endpoint that a request is meant for.
    pub endpoint: HeaderName,
    /// Urgency towards engines; 0 is first.
    pub urgency: HeaderName,
    /// Id of the last event that the caller has.
    pub last_event: HeaderName,
    /// Headers that only celerytide sets towards endpoints; what callers send under these names is dropped.
    pub own: Vec<HeaderName>,
}

/// One part of a prompt, in its order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Requests with the same part share it.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What a request tells of its prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its parts; the last one is the request's own or its session's.
    pub parts: Vec<Part>,
    /// Tokens of the whole prompt.
    pub tokens: u32,
    /// Most tokens of the answer.
    pub most_output: u32,
}

/// The language that callers and endpoints speak.
pub trait Wire: 'static {
    /// Headers by their meaning.
    fn names(&self) -> &Names;

    /// The prompt that a request's headers describe; empty where they describe none.
    fn prompt(&self, headers: &HeaderMap) -> Prompt;

    /// Highest number of the urgency header.
    fn last_urgency(&self) -> usize;

    /// Whether an answer of that status says that the request was meant for another endpoint.
    fn is_elsewhere(&self, status: StatusCode) -> bool;

    /// What an answer says of its endpoint.
    fn notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice;
}

/// A word for logs.
pub fn kind_word(kind: Kind) -> &'static str {
    match kind {
        Kind::Safe => "safe",
        Kind::Unsafe => "unsafe",
        Kind::Stream => "stream",
        Kind::ResumableStream => "resumable-stream",
    }
}
