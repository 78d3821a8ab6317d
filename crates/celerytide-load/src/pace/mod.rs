//! Open-loop arrivals: when requests are to be sent, whatever became of those before.

use std::{
    future::poll_fn,
    task::Poll,
    time::{Duration, Instant},
};

use monoio::time;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// The timer's own steps are this coarse; the rest of a wait is spent giving way to other tasks.
const TIMER_STEP: Duration = Duration::from_millis(2);

/// Arrivals of a Poisson process with `rate` a second over `span`, as times from its start.
pub fn arrivals(rate: f64, span: Duration, seed: u64) -> Vec<Duration> {
    let mut times = Vec::new();
    if rate <= 0.0 || !rate.is_finite() {
        return times;
    }
    let mut rng = StdRng::seed_from_u64(seed);
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= span.as_secs_f64() {
            return times;
        }
        times.push(Duration::from_secs_f64(at));
    }
}

/// Waits until `due`, more exactly than the timer does, while other tasks run.
pub async fn until(due: Instant) {
    let left = due.saturating_duration_since(Instant::now());
    if left > TIMER_STEP {
        time::sleep(left - TIMER_STEP).await;
    }
    while Instant::now() < due {
        give_way().await;
    }
}

/// Lets other tasks run once.
async fn give_way() {
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
