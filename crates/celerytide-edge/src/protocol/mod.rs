//! Protocol between callers, the router and endpoints, supplied by an adapter.

use celerytide_catalog::RouteKind;
use http::{HeaderMap, HeaderName, StatusCode};

use crate::notice::Notice;
use crate::rate_limit::StatedLimit;

/// Header names by their meaning.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of a caller's request; endpoints echo it.
    pub request_id: HeaderName,
    /// Proof by the endpoint that it ran the request; a successful response without it counts as broken.
    pub seal: HeaderName,
    /// Present in a response if the endpoint did not run the request.
    pub not_run: HeaderName,
    /// Milliseconds until the response is no longer awaited.
    pub deadline_ms: HeaderName,
    /// The caller's key.
    pub key: HeaderName,
    /// The customer of a request, sent to endpoints.
    pub customer: HeaderName,
    /// Id of the endpoint that a request is meant for.
    pub endpoint: HeaderName,
    /// Id of the endpoint that answers, in the answer to a health check.
    pub endpoint_id: HeaderName,
    /// Urgency, sent to engines; 0 is the most urgent.
    pub urgency: HeaderName,
    /// Id of the last event that the caller received.
    pub last_event: HeaderName,
    /// Id of the caller's request that brought the first event of a stream that it takes up.
    pub first_request: HeaderName,
    /// Headers that only the router may send to endpoints; they are removed from callers' requests.
    pub internal: Vec<HeaderName>,
}

/// One block of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptBlock {
    /// Content hash; equal in all prompts that share the block.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Prompt of a request, as its headers describe it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Blocks from the front; the last one belongs to this request or its session alone.
    pub blocks: Vec<PromptBlock>,
    /// Tokens of the whole prompt.
    pub tokens: u32,
    /// Most tokens of the response.
    pub max_output_tokens: u32,
}

/// Headers and statuses that callers and endpoints use.
pub trait Protocol: 'static {
    /// Header names by their meaning.
    fn header_names(&self) -> &HeaderNames;

    /// The prompt that a request's headers describe; empty if there are none.
    fn prompt(&self, headers: &HeaderMap) -> Prompt;

    /// Largest value of the urgency header, for the least urgent requests.
    fn least_urgent(&self) -> usize;

    /// Whether a response with this status says that the request was meant for another endpoint.
    fn is_wrong_endpoint(&self, status: StatusCode) -> bool;

    /// Whether a response with this status promises its caller that the request has not run and never will.
    fn promises_not_run(&self, status: StatusCode) -> bool;

    /// What a response announces about its endpoint.
    fn notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice;

    /// The rate limit that a response states.
    fn rate_limit(&self, headers: &HeaderMap) -> StatedLimit;

    /// The rejections per second that a response says its endpoint bears; [`StatedLimit::Absent`] if it bears any number.
    fn rejection_limit(&self, headers: &HeaderMap) -> StatedLimit;
}

/// Name of a route's kind in logs.
pub fn kind_name(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Safe => "safe",
        RouteKind::Unsafe => "unsafe",
        RouteKind::Stream => "stream",
        RouteKind::ResumableStream => "resumable-stream",
    }
}
