//! The bytes between a handler and its connection.
//!
//! The handler's side appends to a [`Queue`], the connection's side takes from it. The handler waits while [`ROOM`]
//! bytes or more wait.

use std::cell::RefCell;
use std::future::{Future, poll_fn};
use std::task::{Poll, Waker};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use tokio_util::sync::CancellationToken;

use super::queue::Queue;
use super::responder::Disconnected;
use crate::wire::{Length, answer_head, chunk_end, chunk_line};

/// Bytes that may wait before a sender has to.
const ROOM: usize = 4 * 1024;

/// How far an answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// No head yet.
    Head,
    /// The head is out; chunks follow.
    Chunks,
    /// Properly ended.
    Done,
    /// Given up by the handler.
    Cut,
    /// The caller is gone.
    Disconnected,
}

/// What the request decides about its answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Style {
    /// The answer carries no body.
    pub(super) head_only: bool,
    /// The caller understands chunks.
    pub(super) chunked: bool,
    /// The connection ends with the answer.
    pub(super) close: bool,
}

impl Style {
    pub(super) fn new(method: &Method, http11: bool, close: bool) -> Self {
        Style {
            head_only: *method == Method::HEAD,
            chunked: http11,
            close,
        }
    }
}

struct State {
    phase: Phase,
    bodiless: bool,
    close: bool,
    /// The handler is being polled by the connection's task, which polls the pump right after.
    in_pass: bool,
    queue: Queue,
    writing: bool,
    sender: Option<Waker>,
    pump: Option<Waker>,
}

/// An answer on its way to the caller.
pub(super) struct Out {
    style: Style,
    stopping: CancellationToken,
    state: RefCell<State>,
}

impl Out {
    pub(super) fn new(style: Style, stopping: CancellationToken) -> Self {
        let state = State {
            phase: Phase::Head,
            bodiless: false,
            close: style.close,
            in_pass: false,
            queue: Queue::default(),
            writing: false,
            sender: None,
            pump: None,
        };
        Out {
            style,
            stopping,
            state: RefCell::new(state),
        }
    }

    pub(super) fn phase(&self) -> Phase {
        self.state.borrow().phase
    }

    pub(super) fn style(&self) -> Style {
        self.style
    }

    /// Runs a handler in the connection's task, in front of the pump: what it appends needs no further wake-up.
    pub(super) async fn in_front(&self, handled: impl Future<Output = ()>) {
        let mut handled = std::pin::pin!(handled);
        poll_fn(|cx| {
            self.state.borrow_mut().in_pass = true;
            let polled = handled.as_mut().poll(cx);
            self.state.borrow_mut().in_pass = false;
            polled
        })
        .await
    }

    /// Whether the caller was told that the connection ends with this answer.
    pub(super) fn closes(&self) -> bool {
        self.state.borrow().close
    }

    /// Appends a whole answer.
    pub(super) fn whole(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        body: Bytes,
        close: bool,
    ) -> Result<(), Disconnected> {
        let mut state = self.state.borrow_mut();
        state.check()?;
        state.close |= close || self.stopping.is_cancelled();
        let close = state.close;
        let length = if forbids_body(status) {
            Length::Absent
        } else {
            Length::Fixed(body.len())
        };
        answer_head(state.queue.tail(), status, headers, length, close);
        if !self.style.head_only && !forbids_body(status) {
            state.queue.push(body);
        }
        state.enter(Phase::Done);
        Ok(())
    }

    /// Appends the head of a chunked answer.
    pub(super) fn head(&self, status: StatusCode, headers: &HeaderMap) -> Result<(), Disconnected> {
        let mut state = self.state.borrow_mut();
        state.check()?;
        state.close |= self.stopping.is_cancelled();
        let close = state.close;
        let length = if forbids_body(status) {
            Length::Absent
        } else {
            Length::Chunked
        };
        answer_head(state.queue.tail(), status, headers, length, close);
        state.bodiless = self.style.head_only || forbids_body(status);
        state.enter(Phase::Chunks);
        Ok(())
    }

    /// Appends a chunk once there is room.
    pub(super) async fn chunk(&self, data: Bytes) -> Result<(), Disconnected> {
        if data.is_empty() {
            return self.state.borrow().check();
        }
        self.room().await?;
        let mut state = self.state.borrow_mut();
        if state.bodiless {
            return Ok(());
        }
        chunk_line(state.queue.tail(), data.len());
        state.queue.push(data);
        state.queue.tail().extend_from_slice(b"\r\n");
        state.wake_pump();
        Ok(())
    }

    /// Appends the end of a chunked answer.
    pub(super) fn end(&self) -> Result<(), Disconnected> {
        let mut state = self.state.borrow_mut();
        state.check()?;
        if !state.bodiless {
            chunk_end(state.queue.tail());
        }
        state.enter(Phase::Done);
        Ok(())
    }

    /// Gives the answer up: what waits is written, the end is not.
    pub(super) fn cut(&self) {
        let mut state = self.state.borrow_mut();
        if matches!(state.phase, Phase::Head | Phase::Chunks) {
            state.enter(Phase::Cut);
        }
    }

    /// Notes that the caller can't be written to.
    pub(super) fn lose(&self) {
        let mut state = self.state.borrow_mut();
        state.queue.clear();
        state.writing = false;
        state.phase = Phase::Disconnected;
        state.wake_sender();
    }

    /// Waits until everything appended has been written.
    pub(super) async fn drained(&self) -> Result<(), Disconnected> {
        poll_fn(|cx| {
            let mut state = self.state.borrow_mut();
            if state.phase == Phase::Disconnected {
                return Poll::Ready(Err(Disconnected));
            }
            if state.queue.len() == 0 && !state.writing {
                return Poll::Ready(Ok(()));
            }
            state.sender = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// The next bytes to write; `None` at the answer's end, proper or not.
    pub(super) async fn next(&self) -> Option<Bytes> {
        poll_fn(|cx| {
            let mut state = self.state.borrow_mut();
            state.writing = false;
            if let Some(part) = state.queue.take() {
                state.writing = true;
                state.wake_sender();
                return Poll::Ready(Some(part));
            }
            state.wake_sender();
            if !matches!(state.phase, Phase::Head | Phase::Chunks) {
                return Poll::Ready(None);
            }
            state.pump = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }

    async fn room(&self) -> Result<(), Disconnected> {
        poll_fn(|cx| {
            let mut state = self.state.borrow_mut();
            if state.phase != Phase::Chunks {
                return Poll::Ready(Err(Disconnected));
            }
            if state.queue.len() < ROOM {
                return Poll::Ready(Ok(()));
            }
            state.sender = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }
}

impl State {
    fn check(&self) -> Result<(), Disconnected> {
        match self.phase {
            Phase::Head | Phase::Chunks => Ok(()),
            Phase::Done | Phase::Cut | Phase::Disconnected => Err(Disconnected),
        }
    }

    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.wake_pump();
    }

    fn wake_pump(&mut self) {
        if self.in_pass {
            return;
        }
        if let Some(waker) = self.pump.take() {
            waker.wake();
        }
    }

    fn wake_sender(&mut self) {
        if let Some(waker) = self.sender.take() {
            waker.wake();
        }
    }
}

fn forbids_body(status: StatusCode) -> bool {
    status.is_informational() || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
}
