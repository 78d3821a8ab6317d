//! The end of a process: SIGTERM to exit.
//!
//! New connections come until the platform has noticed that the instance isn't ready, and later where no other instance
//! is left; so requests are read to the end. Those that come too late are refused as not run; those that were sent on and
//! have no answer shortly before the end of the grace time are told so.

use std::rc::Rc;
use std::time::Duration;

use celerytide_http::server::Shutdown;
use celerytide_types::{BootTime, now_boot};
use monoio::time::sleep;
use tracing::info;

use crate::edge::Edge;
use crate::names::Wire;

/// Time for which requests are still taken: two of the platform's looks at the readiness, and some.
const TAKES: Duration = Duration::from_millis(2600);
/// Part of the grace time after which the process ends.
const WAIT_SHARE: f64 = 0.93;
/// Time before that by which each request has its final answer.
const LAST_ANSWERS: Duration = Duration::from_millis(100);
/// Time in which requests that crossed the end are read and refused.
const LAST_REQUESTS: Duration = Duration::from_millis(250);
/// Time between looks at what still runs.
const POLL: Duration = Duration::from_millis(50);
/// Time without any request before the process ends.
const QUIET: Duration = Duration::from_millis(300);

/// Whether a process that was asked to stop `since` ago still takes requests.
pub fn takes(since: Option<Duration>) -> bool {
    since.is_none_or(|since| since < TAKES)
}

/// When requests of a process that was asked to stop at `since` have to end.
pub fn last_answers(since: BootTime, grace: Duration) -> BootTime {
    since.after(grace.mul_f64(WAIT_SHARE).saturating_sub(LAST_ANSWERS))
}

/// Waits for the signal, then ends the process's work in good order.
pub async fn run<W: Wire>(edge: &Rc<Edge<W>>, stop: &Shutdown) {
    edge.stopping.cancelled().await;
    let began = now_boot();
    edge.stopping_since.set(Some(began));
    info!(busy = edge.busy.get(), "stop: asked to; requests in flight go on");
    stop.drain.cancel();
    let last = edge.settings.bounds.grace().mul_f64(WAIT_SHARE);
    let mut quiet_since = None;
    loop {
        sleep(POLL).await;
        let now = now_boot();
        let passed = now.since(began);
        if edge.busy.get() > 0 {
            quiet_since = None;
        }
        let quiet = now.since(*quiet_since.get_or_insert(now));
        if passed >= last || passed >= TAKES && edge.busy.get() == 0 && quiet >= QUIET {
            break;
        }
    }
    stop.end.cancel();
    sleep(LAST_REQUESTS).await;
    info!(cut = edge.busy.get(), "stop: ended");
}
