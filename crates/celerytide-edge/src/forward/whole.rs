//! Passes an answer on that is no stream of events.
//!
//! A short body is held until its end, so that a caller gets a whole answer or a final word of our own. A longer one is
//! passed on as it comes: no endpoint decides how much is held, and an answer without an end costs no memory.

use bytes::{Bytes, BytesMut};
use celerytide_http::client::SendError;
use celerytide_http::server::{ChunkWriter, Responder};
use monoio::time::timeout;
use tracing::info;

use super::send::Reached;
use super::{DEADLINE, End, LEAST, Run, headers};
use crate::health::Sign;
use crate::names::Wire;

/// Bytes of a body that is held until its end.
const MAX_HELD: usize = 64 * 1024;
/// Cause of an answer that broke off.
const BROKEN: &str = "answer-broken";

/// The start of a body.
enum Start {
    /// All of it.
    Whole(Bytes),
    /// More follows.
    Part(Bytes),
}

/// Passes the answer on.
pub async fn pass<W: Wire>(run: &mut Run<'_, W>, out: Responder, mut reached: Box<Reached<W>>) -> End {
    let status = reached.answer.status;
    let headers = headers::to_caller(&reached.answer.headers);
    let cause = match timeout(run.left(), gather(&mut reached)).await {
        Ok(Ok(Start::Whole(body))) => {
            reached.end(sign(status));
            // A caller that is gone needs no answer.
            let _ = out.whole(status, headers, body).await;
            return End::of("answered", status.as_u16());
        }
        Ok(Ok(Start::Part(start))) => {
            run.ran += 1;
            return match out.stream(status, headers).await {
                Ok(writer) => pass_long(run, writer, reached, start).await,
                Err(_) => End::of("caller-left", status.as_u16()),
            };
        }
        Ok(Err(error)) => {
            info!(request = run.intake.id, endpoint = run.endpoint, %error, "forward: answer broke off");
            BROKEN
        }
        Err(_) => DEADLINE,
    };
    reached.end(Sign::Bad);
    run.ran += 1;
    let cause = if run.left() < LEAST { DEADLINE } else { cause };
    run.give_up(out, cause).await
}

/// Passes a long body on; one that doesn't end properly is cut, so that it doesn't look whole.
async fn pass_long<W: Wire>(
    run: &mut Run<'_, W>,
    mut out: ChunkWriter,
    mut reached: Box<Reached<W>>,
    start: Bytes,
) -> End {
    let status = reached.answer.status;
    let mut data = start;
    loop {
        if run.left().is_zero() {
            return cut(reached, DEADLINE);
        }
        match timeout(run.left(), out.send(data)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return End::of("caller-left", status.as_u16()),
            Err(_) => return cut(reached, DEADLINE),
        }
        data = match timeout(run.left(), reached.next()).await {
            Ok(Some(Ok(data))) => data,
            Ok(None) => {
                reached.end(sign(status));
                // A caller that is gone needs no end.
                let _ = out.finish().await;
                return End::of("answered", status.as_u16());
            }
            Ok(Some(Err(error))) => {
                info!(request = run.intake.id, endpoint = run.endpoint, %error, "forward: long answer broke off");
                return cut(reached, BROKEN);
            }
            Err(_) => return cut(reached, DEADLINE),
        };
    }
}

fn cut<W: Wire>(reached: Box<Reached<W>>, cause: &'static str) -> End {
    let status = reached.answer.status.as_u16();
    reached.end(Sign::Bad);
    End::of(cause, status)
}

fn sign(status: http::StatusCode) -> Sign {
    if status.is_server_error() {
        Sign::Bad
    } else {
        Sign::Good
    }
}

/// Gathers a body, or its start if it is long.
async fn gather<W: Wire>(reached: &mut Reached<W>) -> Result<Start, SendError> {
    let mut body = BytesMut::new();
    while let Some(data) = reached.next().await {
        body.extend_from_slice(&data?);
        if body.len() > MAX_HELD {
            return Ok(Start::Part(body.freeze()));
        }
    }
    Ok(Start::Whole(body.freeze()))
}
