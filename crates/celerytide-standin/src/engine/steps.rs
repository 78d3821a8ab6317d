//! The engine's clock: one step of the batch after the other.

use std::{
    future::poll_fn,
    rc::Rc,
    task::Poll,
    time::{Duration, Instant},
};

use futures::channel::oneshot;
use monoio::time;

use super::Engine;

/// A step that is later than this starts the schedule anew.
const MAX_LAG: Duration = Duration::from_millis(50);

/// Runs the batch for as long as the process lives.
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
    // An error says that a newer sleeper took over, which a single driver never sees.
    let _ = rx.await;
}

/// Sleeps to `due`, or lets other tasks run once if it has passed.
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

/// Lets other tasks run once; a sleep of no length would wait for the timer's next step.
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
