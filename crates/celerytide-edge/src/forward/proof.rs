//! What a response proves: whose it is, and what became of the request.
//!
//! Designed for these faults: bytes behind a response read as the response to the next request; an endpoint writes an
//! earlier response once more, or fails without stating whether the request ran. A response counts only if it is certainly
//! this request's: it names the request, or no other one was sent on its connection. Only then is it looked at for what
//! it says of the request. The connection of any other response has to be closed, since what follows on it may be another
//! request's as well. The id doesn't tell two sends of one request apart: the client never uses a connection for a request
//! that was answered with a failure on it.

use celerytide_catalog::RouteKind;
use celerytide_http::client::{Cause, Response, SendError};

use crate::protocol::Protocol;

/// Whose response came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// This request's.
    Own(Claim),
    /// Another request's; the client has closed the connection.
    Another,
    /// Nobody's: none came, or one that names no request on a connection on which others were sent before.
    Nobody,
}

/// What a response proves of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claim {
    /// It ran, and this is its result.
    Success,
    /// It failed, and may have run.
    Failure,
    /// It did not run: the endpoint states that.
    NotRun,
    /// It did not run: another process listens at the endpoint's address.
    WrongEndpoint,
    /// Nothing: it may have run, and the response can't be passed on. Holds the cause, a stable text.
    Nothing(&'static str),
}

impl Proof {
    /// Judges what came back for a request of this kind.
    pub fn of<P: Protocol>(sent: &Result<Response, SendError>, protocol: &P, kind: RouteKind) -> Proof {
        match sent {
            Ok(response) if response.names_request || response.is_first => {
                Proof::Own(Claim::of(response, protocol, kind))
            }
            Err(error) if matches!(error.source, Cause::RequestIdMismatch) => Proof::Another,
            Ok(_) | Err(_) => Proof::Nobody,
        }
    }
}

impl Claim {
    /// A success is believed only with the seal header. A response that has the seal and also states that the request did
    /// not run proves nothing. If the request must not run twice, a status that callers read as "did not run" is believed
    /// only together with the header that states it.
    fn of<P: Protocol>(response: &Response, protocol: &P, kind: RouteKind) -> Claim {
        let names = protocol.header_names();
        let status = response.status;
        let is_sealed_success = status.is_success() && response.headers.contains_key(&names.seal);
        let states_not_run = response.headers.contains_key(&names.not_run);
        let must_not_repeat = !kind.is_idempotent();
        match () {
            () if protocol.is_wrong_endpoint(status) => Claim::WrongEndpoint,
            () if states_not_run && is_sealed_success => Claim::Nothing("answer-contradictory"),
            () if states_not_run => Claim::NotRun,
            () if is_sealed_success => Claim::Success,
            () if status.is_success() => Claim::Nothing("answer-unsealed"),
            () if must_not_repeat && protocol.promises_not_run(status) => Claim::Nothing("refusal-unproven"),
            () => Claim::Failure,
        }
    }
}
