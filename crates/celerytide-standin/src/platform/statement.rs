//! Responses that state as much about their request as a test asks for.

use super::runner::SEAL;

/// An event stream of one event.
pub const ONE_EVENT: &str = "id: 1\ndata: piece 1\n\n";

/// What a response states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statement {
    /// Status code and reason.
    pub status: &'static str,
    /// The request that it names.
    pub names: NamedRequest,
    /// Whether it carries a seal.
    pub is_sealed: bool,
    /// Whether it states that the request did not run.
    pub is_not_run: bool,
    /// Its body.
    pub body: StatedBody,
}

/// The request that a response names by its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NamedRequest {
    /// The one that it follows.
    Own,
    /// Another one.
    Other,
    /// The one that it follows, and another one.
    Both,
    /// None.
    Nobody,
}

/// Body of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatedBody {
    /// The same text as in a good response.
    Text,
    /// [`ONE_EVENT`].
    Event,
    /// No bytes.
    Empty,
}

impl Statement {
    pub(super) fn headers(self, id: &str) -> String {
        let own = format!("x-attempt-id: {id}\r\n");
        let other = "x-attempt-id: another\r\n";
        let mut headers = match self.names {
            NamedRequest::Own => own,
            NamedRequest::Other => other.to_owned(),
            NamedRequest::Both => own + other,
            NamedRequest::Nobody => String::new(),
        };
        if self.is_sealed {
            headers.push_str(&format!("x-response-seal: {SEAL}\r\n"));
        }
        if self.is_not_run {
            headers.push_str("x-not-executed: 1\r\n");
        }
        if self.body == StatedBody::Event {
            headers.push_str("content-type: text/event-stream\r\n");
        }
        headers
    }

    pub(super) fn body(self, text: &str) -> String {
        match self.body {
            StatedBody::Text => text.to_owned(),
            StatedBody::Event => ONE_EVENT.to_owned(),
            StatedBody::Empty => String::new(),
        }
    }
}
