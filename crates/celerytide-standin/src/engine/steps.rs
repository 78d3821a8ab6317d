//! The decode loop: runs the steps of the batch in real time.

use std::{
    future::poll_fn,
    rc::Rc,
    task::Poll,
    time::{Duration, Instant},
};

use futures::channel::oneshot;
use monoio::time;

use super::Engine;

/// A step that is later than this restarts the schedule instead of catching up.
const MAX_LAG: Duration = Duration::from_millis(50);

/// Runs the batch until the process ends.
pub async fn run(engine: Rc<Engine>) {
    let mut due = Instant::now();
    loop {
        let step = engine.batch.borrow_mut().begin_step();
        let Some(step) = step else {
            wait_for_work(&engine).await;
            due = Instant::now();
            continue;
        };
        due += step + engine.faults.added_delay();
        sleep_until(&mut due).await;
        if let Some(left) = engine.faults.remaining_freeze() {
            time::sleep(left).await;
        }
        let tokens = engine.batch.borrow_mut().end_step();
        engine.load.borrow_mut().add_tokens(tokens);
    }
}

async fn wait_for_work(engine: &Engine) {
    let (tx, rx) = oneshot::channel();
    *engine.wake.borrow_mut() = Some(tx);
    // Fails only if another task replaces the sender; there is one decode loop.
    let _ = rx.await;
}

/// Sleeps until `due`, or yields once if it has passed.
async fn sleep_until(due: &mut Instant) {
    let now = Instant::now();
    if *due > now {
        return time::sleep(*due - now).await;
    }
    if now.duration_since(*due) > MAX_LAG {
        *due = now;
    }
    yield_now().await;
}

/// Lets other tasks run once; a sleep of zero length would wait for the next tick of the timer.
async fn yield_now() {
    let mut was_polled = false;
    poll_fn(|cx| {
        if was_polled {
            return Poll::Ready(());
        }
        was_polled = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
