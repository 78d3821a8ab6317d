//! Turns of tasks on the one thread: reads from a fast peer never wait, and a task that goes on with them would keep all
//! others from running.

use std::future::poll_fn;
use std::task::Poll;

/// Lets all other ready tasks run.
pub(crate) async fn yield_now() {
    let mut is_done = false;
    poll_fn(|cx| {
        if std::mem::replace(&mut is_done, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await
}
