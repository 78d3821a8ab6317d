//! Relays a response that isn't an event stream.
//!
//! A short body is buffered to its end, so that a caller gets a complete response or a final error from the router. A
//! longer body is passed on as it arrives, so that its length, which the endpoint determines, doesn't decide how much
//! memory is used, even if the body never ends.

use bytes::{Bytes, BytesMut};
use celerytide_http::client::SendError;
use celerytide_http::server::{ChunkWriter, Responder};
use monoio::time::timeout;
use tracing::info;

use super::send::Upstream;
use super::{DEADLINE, End, Forwarding, MIN_TIME_LEFT, headers};
use crate::health::Outcome;
use crate::protocol::Protocol;
use crate::quarantine::{Reached, is_crash};

/// Largest body that is buffered to its end, in bytes.
const MAX_BUFFERED: usize = 64 * 1024;
/// Cause of a response that broke off.
const BROKEN: &str = "answer-broken";

/// What came of a response that was to be relayed.
pub enum Relayed {
    /// The request has ended.
    Ended(End),
    /// The response broke off before anything of it was sent to the caller.
    Broken {
        /// Responds to the caller.
        out: Responder,
        /// Machine-readable cause, a stable text.
        cause: &'static str,
        /// Whether the request may be sent to another endpoint as far as its content goes.
        may_repeat: bool,
    },
}

/// The buffered start of a body.
enum Buffered {
    /// The whole body.
    Complete(Bytes),
    /// More follows.
    Partial(Bytes),
}

/// Relays the response.
pub async fn relay<P: Protocol>(
    fwd: &mut Forwarding<'_, P>,
    out: Responder,
    mut upstream: Box<Upstream<P>>,
) -> Relayed {
    let status = upstream.response.status;
    let headers = headers::to_caller(&upstream.response.headers);
    let may_repeat = match timeout(fwd.time_left(), buffer(&mut upstream)).await {
        Ok(Ok(Buffered::Complete(body))) => {
            end_whole(fwd, upstream);
            // The caller may have disconnected.
            let _ = out.whole(status, headers, body).await;
            return Relayed::Ended(End::new("answered", status.as_u16()));
        }
        Ok(Ok(Buffered::Partial(prefix))) => {
            fwd.may_have_run_count += 1;
            return Relayed::Ended(match out.stream(status, headers).await {
                Ok(writer) => relay_long(fwd, writer, upstream, prefix).await,
                Err(_) => End::new("caller-left", status.as_u16()),
            });
        }
        Ok(Err(error)) => note_break_off(fwd, &upstream, &error),
        Err(_) => false,
    };
    upstream.end(Outcome::Bad);
    let cause = if fwd.time_left() < MIN_TIME_LEFT {
        DEADLINE
    } else {
        BROKEN
    };
    Relayed::Broken { out, cause, may_repeat }
}

/// Relays a long body. If the endpoint's response breaks off, the caller's is ended without its regular end, so that it
/// doesn't look complete.
async fn relay_long<P: Protocol>(
    fwd: &mut Forwarding<'_, P>,
    mut out: ChunkWriter,
    mut upstream: Box<Upstream<P>>,
    prefix: Bytes,
) -> End {
    let status = upstream.response.status;
    let mut data = prefix;
    loop {
        if fwd.time_left().is_zero() {
            return cut(upstream, DEADLINE);
        }
        match timeout(fwd.time_left(), out.send(data)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return End::new("caller-left", status.as_u16()),
            Err(_) => return cut(upstream, DEADLINE),
        }
        data = match timeout(fwd.time_left(), upstream.next()).await {
            Ok(Some(Ok(data))) => data,
            Ok(None) => {
                end_whole(fwd, upstream);
                // The caller may have disconnected.
                let _ = out.finish().await;
                return End::new("answered", status.as_u16());
            }
            Ok(Some(Err(error))) => {
                note_break_off(fwd, &upstream, &error);
                return cut(upstream, BROKEN);
            }
            Err(_) => return cut(upstream, DEADLINE),
        };
    }
}

fn cut<P: Protocol>(upstream: Box<Upstream<P>>, cause: &'static str) -> End {
    let status = upstream.response.status.as_u16();
    upstream.end(Outcome::Bad);
    End::new(cause, status)
}

/// Ends a response that came whole.
fn end_whole<P: Protocol>(fwd: &Forwarding<'_, P>, upstream: Box<Upstream<P>>) {
    if upstream.is_success {
        fwd.edge
            .record_good_response(&upstream.service, fwd.request, Reached::End);
    }
    let outcome = outcome_of(upstream.response.status);
    upstream.end(outcome);
}

/// Notes how far a response had come that broke off; returns whether the request may be sent again.
fn note_break_off<P: Protocol>(fwd: &Forwarding<'_, P>, upstream: &Upstream<P>, error: &SendError) -> bool {
    let at = upstream.break_off(false);
    info!(
        request = fwd.request.id,
        content = format!("{:x}", fwd.request.content),
        endpoint = fwd.endpoint,
        start = upstream.start,
        %error,
        head_ms = at.head_age.map(|age| age.as_millis() as u64),
        "forward: the response broke off"
    );
    !is_crash(&error.source) || fwd.edge.record_break_off(&upstream.service, fwd.request, at)
}

fn outcome_of(status: http::StatusCode) -> Outcome {
    if status.is_server_error() {
        Outcome::Bad
    } else {
        Outcome::Good
    }
}

/// Buffers a body, or its start if it is long.
async fn buffer<P: Protocol>(upstream: &mut Upstream<P>) -> Result<Buffered, SendError> {
    let mut body = BytesMut::new();
    while let Some(data) = upstream.next().await {
        body.extend_from_slice(&data?);
        if body.len() > MAX_BUFFERED {
            return Ok(Buffered::Partial(body.freeze()));
        }
    }
    Ok(Buffered::Complete(body.freeze()))
}
