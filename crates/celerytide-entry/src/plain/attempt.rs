//! One attempt of a plain request at one endpoint.

use std::rc::Rc;

use celerytide_http::client::{Bounds, BufferedResponse, Call, SendError, Stage};
use celerytide_once::Attempt;
use celerytide_wire::messages::Ended;
use tokio_util::sync::CancellationToken;

use super::{MAX_RESPONSE_BYTES, PlainRequest, RetryPolicy};
use crate::attempts::{AttemptEnd, Proof};
use crate::entry::Entry;
use crate::headers;
use crate::permit::Lease;
use crate::request_info::RequestInfo;

/// Notified of the two events that decide an at-most-once request's outcome.
pub trait AttemptObserver {
    /// Bytes of the request may have reached the endpoint.
    fn on_send(&mut self);
    /// The endpoint responded with an HTTP status that, by its manifest entry, means that the request did not run.
    fn on_endpoint_refused(&mut self);
}

/// Ignores the events, for requests without a ticket.
impl AttemptObserver for () {
    fn on_send(&mut self) {}
    fn on_endpoint_refused(&mut self) {}
}

impl AttemptObserver for Attempt {
    fn on_send(&mut self) {
        Attempt::mark_sending(self);
    }

    fn on_endpoint_refused(&mut self) {
        Attempt::mark_endpoint_refused(self);
    }
}

pub(super) async fn send_once<S: AttemptObserver>(
    entry: &Rc<Entry>,
    info: &RequestInfo,
    req: &PlainRequest,
    lease: &Lease,
    retry_policy: RetryPolicy,
    observer: &mut S,
    cx: &CancellationToken,
) -> Result<BufferedResponse, SendError> {
    let endpoint_call = Call {
        addr: lease.address(),
        method: req.method.clone(),
        path: req.path.clone(),
        headers: headers::endpoint_headers(&req.headers, info),
        body: req.body.clone().into(),
        host: None,
        fresh: retry_policy == RetryPolicy::OnlyIfUnsent,
        max_idle: None,
        bounds: bounds(entry, lease),
    };
    let mut guard = SendGuard { observer, armed: true };
    let result = entry.client.send_buffered(endpoint_call, MAX_RESPONSE_BYTES, cx).await;
    if let Err(error) = &result {
        guard.armed = Proof::of(&AttemptEnd::Failed(error)) != Proof::DidNotRun;
    }
    result
}

/// Reports that bytes may have been sent, unless it is proven that none were; also when the attempt's future is
/// dropped.
struct SendGuard<'a, S: AttemptObserver> {
    observer: &'a mut S,
    armed: bool,
}

impl<S: AttemptObserver> Drop for SendGuard<'_, S> {
    fn drop(&mut self) {
        if self.armed {
            self.observer.on_send();
        }
    }
}

pub(crate) fn bounds(entry: &Entry, lease: &Lease) -> Bounds {
    let timeouts = &entry.settings.timeouts;
    Bounds {
        connect_timeout: timeouts.connect,
        first_byte_timeout: timeouts.first_byte.min(lease.lifetime()),
        between_bytes_timeout: timeouts.between_bytes,
        head_timeout: timeouts.first_byte.min(lease.lifetime()) + timeouts.between_bytes,
        total_timeout: lease.lifetime(),
        max_head_bytes: entry.settings.limits.max_head_bytes,
    }
}

/// What the pool's owner is told about a call that failed after `tokens` tokens of the response.
pub(crate) fn end_for_error(error: &SendError, tokens: u32) -> Ended {
    match error.stage {
        Stage::Connect => Ended::NotStarted,
        Stage::Written | Stage::Body if tokens == 0 && error.is_broken_off() => Ended::BrokeOff,
        Stage::Written | Stage::Body => Ended::Failed,
    }
}
