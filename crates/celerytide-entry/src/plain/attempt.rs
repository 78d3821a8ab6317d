//! One attempt at one endpoint.

use std::rc::Rc;

use celerytide_http::client::{Bounds, BufferedResponse, Call, SendError, Stage};
use celerytide_once::Attempt;
use celerytide_wire::messages::Ended;
use tokio_util::sync::CancellationToken;

use super::{MAX_ANSWER_BYTES, PlainCall, Repeat};
use crate::entry::Entry;
use crate::facts::Facts;
use crate::headers;
use crate::permit::Lease;

/// Told of the two steps that a final word depends on.
pub trait Sent {
    /// A byte may have left.
    fn leaving(&mut self);
    /// The endpoint's contract says that its status means not run.
    fn endpoint_refused(&mut self);
}

/// Nobody keeps count: calls without a ticket.
impl Sent for () {
    fn leaving(&mut self) {}
    fn endpoint_refused(&mut self) {}
}

impl Sent for Attempt {
    fn leaving(&mut self) {
        Attempt::leaving(self);
    }

    fn endpoint_refused(&mut self) {
        Attempt::endpoint_refused(self);
    }
}

/// Why an attempt gave no answer.
pub(super) struct Broke {
    pub(super) ended: Ended,
    pub(super) may_have_run: bool,
    pub(super) detail: String,
}

pub(super) async fn once<S: Sent>(
    entry: &Rc<Entry>,
    facts: &Facts,
    call: &PlainCall,
    lease: &Lease,
    repeat: Repeat,
    sent: &mut S,
    cx: &CancellationToken,
) -> Result<BufferedResponse, Broke> {
    let out = Call {
        addr: lease.address(),
        method: call.method.clone(),
        path: call.path.clone(),
        headers: headers::to_endpoint(&call.headers, facts),
        body: call.body.clone(),
        host: None,
        fresh: repeat == Repeat::Never,
        max_idle: None,
        bounds: bounds(entry, lease),
    };
    let mut leaving = Leaving { sent, armed: true };
    let answer = entry.client.send_buffered(out, MAX_ANSWER_BYTES, cx).await;
    if answer.as_ref().is_err_and(|e| !e.may_have_run()) {
        leaving.armed = false;
    }
    answer.map_err(broke)
}

/// Notes that a byte may have left, unless it is proven that none did; also when the call is dropped half-way.
struct Leaving<'a, S: Sent> {
    sent: &'a mut S,
    armed: bool,
}

impl<S: Sent> Drop for Leaving<'_, S> {
    fn drop(&mut self) {
        if self.armed {
            self.sent.leaving();
        }
    }
}

pub(crate) fn bounds(entry: &Entry, lease: &Lease) -> Bounds {
    let timeouts = &entry.settings.timeouts;
    Bounds {
        connect: timeouts.connect,
        first_byte: timeouts.first_byte.min(lease.lasts()),
        between_bytes: timeouts.between_bytes,
        head: timeouts.first_byte.min(lease.lasts()) + timeouts.between_bytes,
        whole: lease.lasts(),
        max_head: entry.settings.limits.max_head_bytes,
    }
}

fn broke(error: SendError) -> Broke {
    let ended = match error.stage {
        Stage::Connect => Ended::NotStarted,
        Stage::Written | Stage::Body => Ended::Failed,
    };
    Broke {
        ended,
        may_have_run: error.may_have_run(),
        detail: error.to_string(),
    }
}
