//! Buffer between a handler and the task that writes its response to the connection.
//!
//! The handler appends to a [`WriteQueue`], the connection's task takes from it. The handler waits while
//! [`HIGH_WATER_BYTES`] or more are queued, so that a slow caller can't make it fill memory.

use std::cell::RefCell;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::{Poll, Waker};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use tokio_util::sync::CancellationToken;

use super::queue::WriteQueue;
use super::responder::Disconnected;
use crate::h1::{BodyLength, put_chunk_line, put_last_chunk, put_response_head};

/// Number of queued bytes from which the handler must wait.
const HIGH_WATER_BYTES: usize = 4 * 1024;

/// Progress of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The head has not been written.
    Head,
    /// The head is queued; chunks follow.
    Chunks,
    /// The response is complete.
    Done,
    /// The handler dropped the response before its end.
    Aborted,
    /// The caller has disconnected.
    Disconnected,
}

/// Properties of a response that follow from its request.
#[derive(Debug, Clone, Copy)]
pub(super) struct ResponseStyle {
    /// The response has no body (`HEAD`).
    pub(super) head_only: bool,
    /// The caller supports chunked coding (HTTP/1.1).
    pub(super) chunked: bool,
    /// The connection closes after the response.
    pub(super) close: bool,
}

impl ResponseStyle {
    pub(super) fn new(method: &Method, http11: bool, close: bool) -> Self {
        ResponseStyle {
            head_only: *method == Method::HEAD,
            chunked: http11,
            close,
        }
    }
}

struct State {
    phase: Phase,
    is_bodiless: bool,
    close: bool,
    /// The connection's task is polling the handler and polls the writer right after it.
    is_handler_polled: bool,
    queue: WriteQueue,
    writing: bool,
    handler_waker: Option<Waker>,
    writer_waker: Option<Waker>,
}

/// State of one response, shared by its handler and its connection.
pub(super) struct Outbound {
    style: ResponseStyle,
    draining: CancellationToken,
    state: RefCell<State>,
}

impl Outbound {
    pub(super) fn new(style: ResponseStyle, draining: CancellationToken) -> Self {
        let state = State {
            phase: Phase::Head,
            is_bodiless: false,
            close: style.close,
            is_handler_polled: false,
            queue: WriteQueue::default(),
            writing: false,
            handler_waker: None,
            writer_waker: None,
        };
        Outbound {
            style,
            draining,
            state: RefCell::new(state),
        }
    }

    pub(super) fn phase(&self) -> Phase {
        self.state.borrow().phase
    }

    pub(super) fn style(&self) -> ResponseStyle {
        self.style
    }

    /// Polls a handler in the connection's task right before the writer, so that what it appends in one poll is sent in
    /// one write and needs no wake-up of the writer.
    pub(super) async fn poll_before_writer(&self, mut handled: Pin<&mut impl Future<Output = ()>>) {
        poll_fn(|cx| {
            self.state.borrow_mut().is_handler_polled = true;
            let polled = handled.as_mut().poll(cx);
            self.state.borrow_mut().is_handler_polled = false;
            polled
        })
        .await
    }

    /// Whether the response announces that the connection closes.
    pub(super) fn closes_connection(&self) -> bool {
        self.state.borrow().close
    }

    /// Appends a complete response.
    pub(super) fn complete(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        body: Bytes,
        close: bool,
    ) -> Result<(), Disconnected> {
        let mut state = self.state.borrow_mut();
        state.ensure_open()?;
        state.close |= close || self.draining.is_cancelled();
        let close = state.close;
        let length = if is_bodiless_status(status) {
            BodyLength::Absent
        } else {
            BodyLength::Fixed(body.len())
        };
        put_response_head(state.queue.tail(), status, headers, length, close);
        if !self.style.head_only && !is_bodiless_status(status) {
            state.queue.push(body);
        }
        state.set_phase(Phase::Done);
        Ok(())
    }

    /// Appends the head of a chunked response.
    pub(super) fn start(&self, status: StatusCode, headers: &HeaderMap) -> Result<(), Disconnected> {
        let mut state = self.state.borrow_mut();
        state.ensure_open()?;
        state.close |= self.draining.is_cancelled();
        let close = state.close;
        let length = if is_bodiless_status(status) {
            BodyLength::Absent
        } else {
            BodyLength::Chunked
        };
        put_response_head(state.queue.tail(), status, headers, length, close);
        state.is_bodiless = self.style.head_only || is_bodiless_status(status);
        state.set_phase(Phase::Chunks);
        Ok(())
    }

    /// Appends a chunk once the queue has capacity.
    pub(super) async fn push_chunk(&self, data: Bytes) -> Result<(), Disconnected> {
        if data.is_empty() {
            return self.state.borrow().ensure_open();
        }
        self.wait_capacity().await?;
        let mut state = self.state.borrow_mut();
        if state.is_bodiless {
            return Ok(());
        }
        put_chunk_line(state.queue.tail(), data.len());
        state.queue.push(data);
        state.queue.tail().extend_from_slice(b"\r\n");
        state.wake_writer();
        Ok(())
    }

    /// Appends the end of a chunked response.
    pub(super) fn finish(&self) -> Result<(), Disconnected> {
        let mut state = self.state.borrow_mut();
        state.ensure_open()?;
        if !state.is_bodiless {
            put_last_chunk(state.queue.tail());
        }
        state.set_phase(Phase::Done);
        Ok(())
    }

    /// Aborts the response: queued bytes are still written, its end is not.
    pub(super) fn abort(&self) {
        let mut state = self.state.borrow_mut();
        if matches!(state.phase, Phase::Head | Phase::Chunks) {
            state.set_phase(Phase::Aborted);
        }
    }

    /// Drops queued bytes and wakes the handler after a write to the caller failed.
    pub(super) fn disconnect(&self) {
        let mut state = self.state.borrow_mut();
        state.queue.clear();
        state.writing = false;
        state.phase = Phase::Disconnected;
        state.wake_handler();
    }

    /// Waits until all appended bytes have been written.
    pub(super) async fn flushed(&self) -> Result<(), Disconnected> {
        poll_fn(|cx| {
            let mut state = self.state.borrow_mut();
            if state.phase == Phase::Disconnected {
                return Poll::Ready(Err(Disconnected));
            }
            if state.queue.len() == 0 && !state.writing {
                return Poll::Ready(Ok(()));
            }
            state.handler_waker = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// Waits for the next bytes to write; `None` once the response is complete or aborted.
    pub(super) async fn next_write(&self) -> Option<Bytes> {
        poll_fn(|cx| {
            let mut state = self.state.borrow_mut();
            state.writing = false;
            if let Some(part) = state.queue.take() {
                state.writing = true;
                state.wake_handler();
                return Poll::Ready(Some(part));
            }
            state.wake_handler();
            if !matches!(state.phase, Phase::Head | Phase::Chunks) {
                return Poll::Ready(None);
            }
            state.writer_waker = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }

    async fn wait_capacity(&self) -> Result<(), Disconnected> {
        poll_fn(|cx| {
            let mut state = self.state.borrow_mut();
            if state.phase != Phase::Chunks {
                return Poll::Ready(Err(Disconnected));
            }
            if state.queue.len() < HIGH_WATER_BYTES {
                return Poll::Ready(Ok(()));
            }
            state.handler_waker = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }
}

impl State {
    fn ensure_open(&self) -> Result<(), Disconnected> {
        match self.phase {
            Phase::Head | Phase::Chunks => Ok(()),
            Phase::Done | Phase::Aborted | Phase::Disconnected => Err(Disconnected),
        }
    }

    fn set_phase(&mut self, phase: Phase) {
        self.phase = phase;
        self.wake_writer();
    }

    fn wake_writer(&mut self) {
        if self.is_handler_polled {
            return;
        }
        if let Some(waker) = self.writer_waker.take() {
            waker.wake();
        }
    }

    fn wake_handler(&mut self) {
        if let Some(waker) = self.handler_waker.take() {
            waker.wake();
        }
    }
}

fn is_bodiless_status(status: StatusCode) -> bool {
    status.is_informational() || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
}
