//! Graceful stop, from SIGTERM to exit.
//!
//! The grace time is the time from SIGTERM to SIGKILL. New connections arrive until the platform notices that the
//! instance isn't ready, and longer if it is the last instance, so requests are read until the exit. Those that arrive
//! after `ACCEPT_TIME` are refused as not run. Forwarded requests without a response shortly before the exit get a
//! final error response.

use std::rc::Rc;
use std::time::Duration;

use celerytide_http::server::Shutdown;
use celerytide_types::{BootTime, now_boot};
use monoio::time::sleep;
use tracing::info;

use crate::edge::Edge;
use crate::protocol::Protocol;

/// Time for which requests are still accepted: a little longer than two readiness checks of the platform take.
const ACCEPT_TIME: Duration = Duration::from_millis(2600);
/// Share of the grace time after which the process exits.
const GRACE_SHARE: f64 = 0.93;
/// Time before the exit by which each request must have its final response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);
/// Time for reading and refusing requests that arrive just before the exit.
const LATE_REQUEST_TIME: Duration = Duration::from_millis(250);
/// Interval for checking whether requests are still running.
const POLL: Duration = Duration::from_millis(50);
/// Time without any request before the process exits.
const IDLE_TIME: Duration = Duration::from_millis(300);

/// Whether a process that was asked to stop `since` ago still accepts requests.
pub fn accepts_requests(since: Option<Duration>) -> bool {
    since.is_none_or(|since| since < ACCEPT_TIME)
}

/// Deadline for the requests of a process that was asked to stop at `since`.
pub fn response_deadline(since: BootTime, grace: Duration) -> BootTime {
    since.after(grace.mul_f64(GRACE_SHARE).saturating_sub(RESPONSE_MARGIN))
}

/// Waits for the stop signal, then drains the process.
pub async fn run<P: Protocol>(edge: &Rc<Edge<P>>, shutdown: &Shutdown) {
    edge.stopping.cancelled().await;
    let began = now_boot();
    edge.stopping_since.set(Some(began));
    info!(
        busy = edge.active_requests.get(),
        "stop: asked to; requests in flight go on"
    );
    shutdown.drain.cancel();
    let limit = edge.settings.bounds.grace().mul_f64(GRACE_SHARE);
    let mut idle_since = None;
    loop {
        sleep(POLL).await;
        let now = now_boot();
        let elapsed = now.since(began);
        if edge.active_requests.get() > 0 {
            idle_since = None;
        }
        let idle = now.since(*idle_since.get_or_insert(now));
        if elapsed >= limit || elapsed >= ACCEPT_TIME && edge.active_requests.get() == 0 && idle >= IDLE_TIME {
            break;
        }
    }
    shutdown.end.cancel();
    sleep(LATE_REQUEST_TIME).await;
    info!(cut = edge.active_requests.get(), "stop: ended");
}
