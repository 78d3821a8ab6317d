//! Open-loop arrivals: send times that don't depend on the responses to earlier requests.

use std::{
    future::poll_fn,
    task::Poll,
    time::{Duration, Instant},
};

use monoio::time;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Resolution of the runtime's timer; the rest of a wait is spent yielding to other tasks.
const TIMER_RESOLUTION: Duration = Duration::from_millis(2);

/// Arrivals of a Poisson process with `rate` per second over `duration`, as times from its start.
pub fn poisson_arrivals(rate: f64, duration: Duration, seed: u64) -> Vec<Duration> {
    let mut times = Vec::new();
    if rate <= 0.0 || !rate.is_finite() {
        return times;
    }
    let mut rng = StdRng::seed_from_u64(seed);
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= duration.as_secs_f64() {
            return times;
        }
        times.push(Duration::from_secs_f64(at));
    }
}

/// Waits until `deadline` with a better resolution than the timer's, while other tasks run.
pub async fn sleep_until(deadline: Instant) {
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining > TIMER_RESOLUTION {
        time::sleep(remaining - TIMER_RESOLUTION).await;
    }
    while Instant::now() < deadline {
        yield_now().await;
    }
}

/// Yields to the other tasks once.
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
