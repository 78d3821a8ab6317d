//! An answer, read as it arrives.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use celerytide_types::{BootTime, now_boot};
use http::{HeaderMap, HeaderName, StatusCode};
use monoio::time::timeout;

use super::conn::Conn;
use super::error::{SendError, Stage, failed};
use super::pool::Pool;
use super::{Call, Cause};
use crate::validate::{Framing, answer_framing, wants_close};
use crate::wire::{AnswerHead, Body, Piece};

/// Header in which an endpoint states for how long it keeps an idle connection.
const KEEP_ALIVE: &str = "keep-alive";
const KEEP_ALIVE_TIMEOUT: &str = "timeout=";

/// Bytes of a body after which other tasks have their turn.
const TURN: usize = 256 * 1024;

/// An answer whose head has been read. Dropped before its end it closes the connection.
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    body: Body,
    conn: Option<Conn>,
    keep: bool,
    idle: Option<Duration>,
    started: bool,
    addr: SocketAddr,
    first_byte: Duration,
    between_bytes: Duration,
    /// When it has to have ended.
    until: BootTime,
    /// Bytes since other tasks had their turn.
    turn: usize,
    pool: Rc<Pool>,
}

impl Response {
    /// An answer whose body follows on `conn` and has to end by `until`; `written` tells whether the whole request was.
    pub(super) fn new(
        head: AnswerHead,
        conn: Conn,
        call: &Call,
        written: bool,
        until: BootTime,
        pool: Rc<Pool>,
    ) -> Result<Self, SendError> {
        if crossed(call, &head.headers, &pool.options().id_header) {
            return Err(failed(Stage::Written, Cause::Crossed));
        }
        let framing = answer_framing(
            &call.method,
            head.status,
            head.version,
            &head.headers,
            pool.options().until_close,
        );
        let framing = framing.map_err(|fault| failed(Stage::Body, fault.into()))?;
        let mut answer = Response {
            keep: written && framing != Framing::UntilClose && !wants_close(head.version, &head.headers),
            idle: stated_idle(&head.headers),
            status: head.status,
            headers: head.headers,
            body: Body::new(framing),
            conn: Some(conn),
            started: false,
            addr: call.addr,
            first_byte: call.bounds.first_byte,
            between_bytes: call.bounds.between_bytes,
            until,
            turn: 0,
            pool,
        };
        if answer.body.ended() {
            answer.release();
        }
        Ok(answer)
    }

    /// The next data of the body; `None` only after its proper end. After an error the connection is closed and
    /// every further call gives [`Cause::Closed`].
    pub async fn next(&mut self) -> Option<Result<Bytes, SendError>> {
        if self.body.ended() {
            return None;
        }
        let Some(mut conn) = self.conn.take() else {
            return Some(Err(failed(Stage::Body, Cause::Closed)));
        };
        match self.read(&mut conn).await {
            Ok(data) => {
                self.conn = Some(conn);
                if self.body.ended() {
                    self.release();
                }
                data.map(Ok)
            }
            Err(cause) => Some(Err(failed(Stage::Body, cause))),
        }
    }

    async fn read(&mut self, conn: &mut Conn) -> Result<Option<Bytes>, Cause> {
        loop {
            match self.body.take(&mut conn.reader)? {
                Piece::End => return Ok(None),
                Piece::Data(data) => {
                    self.started = true;
                    self.rest_from(data.len()).await;
                    return Ok(Some(data));
                }
                Piece::More => self.fill(conn).await?,
            }
        }
    }

    async fn fill(&mut self, conn: &mut Conn) -> Result<(), Cause> {
        let (bound, late) = if self.started {
            (self.between_bytes, Cause::BetweenBytesTimeout)
        } else {
            (self.first_byte, Cause::FirstByteTimeout)
        };
        let left = self.until.since(now_boot());
        // A peer whose bytes never let a read wait gives a timer no turn.
        if left.is_zero() {
            return Err(Cause::WholeTimeout);
        }
        match timeout(bound.min(left), conn.reader.fill()).await {
            Err(_) if left <= bound => Err(Cause::WholeTimeout),
            Err(_) => Err(late),
            Ok(Ok(0)) if self.body.close() => Ok(()),
            Ok(Ok(0)) => Err(Cause::Closed),
            Ok(Ok(_)) => Ok(()),
            Ok(Err(source)) => Err(Cause::Read { source }),
        }
    }

    /// Lets other tasks run after each [`TURN`]: the bytes of a fast peer are always there.
    async fn rest_from(&mut self, bytes: usize) {
        self.turn += bytes;
        if self.turn < TURN {
            return;
        }
        self.turn = 0;
        let mut rested = false;
        poll_fn(|cx| {
            if std::mem::replace(&mut rested, true) {
                return Poll::Ready(());
            }
            cx.waker().wake_by_ref();
            Poll::Pending
        })
        .await;
    }

    pub(super) fn pool(&self) -> Rc<Pool> {
        Rc::clone(&self.pool)
    }

    fn release(&mut self) {
        if let Some(conn) = self.conn.take()
            && self.keep
        {
            self.pool.put(self.addr, conn, self.idle);
        }
    }
}

fn crossed(call: &Call, headers: &HeaderMap, id_header: &HeaderName) -> bool {
    let Some(own) = call.headers.get(id_header) else {
        return false;
    };
    headers.get_all(id_header).iter().any(|id| id != own)
}

fn stated_idle(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parts = text.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix(KEEP_ALIVE_TIMEOUT))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
