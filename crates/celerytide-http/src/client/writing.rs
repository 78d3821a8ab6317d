//! The write of a long request, which goes on while its response is read.
//!
//! An endpoint may begin its response before it has read the request, and read on later: it then waits for the rest before
//! it ends the response. The request is written by a task that ends with the response. The task has the write from its
//! start, since a timer of the runtime wakes the task that polled it first.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;

use tokio_util::sync::{CancellationToken, DropGuard, WaitForCancellationFutureOwned};

use super::Cause;
use crate::h1::Writer;

/// How far a request was written once its write has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Written {
    /// All of it.
    Whole,
    /// A part: the endpoint reads no more.
    Part,
    /// A part: the connection failed. The failed write takes the socket's error, and later reads see an orderly end.
    Failed,
}

impl Written {
    fn of(result: &Result<(), Cause>) -> Written {
        match result {
            Ok(()) => Written::Whole,
            Err(Cause::Write { .. }) => Written::Failed,
            Err(_) => Written::Part,
        }
    }
}

/// The write of a request whose response is read.
pub(super) enum RequestWrite {
    /// It has ended.
    Ended(Written),
    /// It goes on.
    Ongoing(OngoingWrite),
}

impl RequestWrite {
    /// Whether the connection failed during the write.
    pub(super) fn has_failed(&self) -> bool {
        match self {
            RequestWrite::Ended(written) => *written == Written::Failed,
            RequestWrite::Ongoing(write) => write.state.written.get() == Some(Written::Failed),
        }
    }

    /// Waits until the write has ended.
    pub(super) async fn ended(&self) -> Written {
        match self {
            RequestWrite::Ended(written) => *written,
            RequestWrite::Ongoing(write) => {
                write.ended().await;
                write.state.written.get().unwrap_or(Written::Part)
            }
        }
    }
}

/// A write in a task; dropping it ends the task.
pub(super) struct OngoingWrite {
    state: Rc<State>,
    _ends_task: DropGuard,
}

#[derive(Default)]
struct State {
    /// Set once the write has ended.
    written: Cell<Option<Written>>,
    failure: RefCell<Option<Cause>>,
    /// Kept after the write, since dropping it may close the connection in one direction.
    writer: RefCell<Option<Writer>>,
    /// Cancelled once the write has ended.
    ended: CancellationToken,
}

impl OngoingWrite {
    /// Runs `writing` in a task.
    pub(super) fn start(writing: impl Future<Output = (Writer, Result<(), Cause>)> + 'static) -> OngoingWrite {
        let cx = CancellationToken::new();
        let state = Rc::new(State::default());
        let (task_cx, task_state) = (cx.clone(), state.clone());
        monoio::spawn(async move {
            if let Some((writer, result)) = task_cx.run_until_cancelled(writing).await {
                task_state.written.set(Some(Written::of(&result)));
                task_state.failure.replace(result.err());
                task_state.writer.replace(Some(writer));
                task_state.ended.cancel();
            }
        });
        OngoingWrite {
            state,
            _ends_task: cx.drop_guard(),
        }
    }

    /// Completes once the write has ended.
    pub(super) fn ended(&self) -> WaitForCancellationFutureOwned {
        self.state.ended.clone().cancelled_owned()
    }

    /// The writer and the result of a write that has ended.
    pub(super) fn into_end(self) -> (Option<Writer>, Result<(), Cause>) {
        let result = self.state.failure.take().map_or(Ok(()), Err);
        (self.state.writer.take(), result)
    }

    /// The writer, if all of the request was written.
    pub(super) fn into_writer(self) -> Option<Writer> {
        let is_whole = self.state.written.get() == Some(Written::Whole);
        self.state.writer.take().filter(|_| is_whole)
    }
}
