//! Polls the active configuration version of every daemon while faults are injected.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use tokio_util::sync::CancellationToken;

use crate::{
    cluster::{Cluster, ControlClient, Daemon, INSTANCES},
    history::ActiveConfig,
};

/// Time between two polls of a daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

pub(super) struct ConfigWatcher {
    seen: Rc<RefCell<Vec<ActiveConfig>>>,
    cx: CancellationToken,
}

impl ConfigWatcher {
    pub(super) fn start(cluster: &Cluster) -> ConfigWatcher {
        let watch = ConfigWatcher {
            seen: Rc::default(),
            cx: CancellationToken::new(),
        };
        for index in 0..INSTANCES {
            for daemon in [Daemon::Entry(index), Daemon::Dispatch(index)] {
                let addr = cluster.operator_addr(daemon);
                monoio::spawn(follow(
                    addr,
                    format!("{daemon:?}"),
                    watch.seen.clone(),
                    watch.cx.clone(),
                ));
            }
        }
        watch
    }

    pub(super) fn stop(self) -> Vec<ActiveConfig> {
        self.cx.cancel();
        self.seen.take()
    }
}

async fn follow(addr: SocketAddr, process: String, seen: Rc<RefCell<Vec<ActiveConfig>>>, cx: CancellationToken) {
    let control = ControlClient::default();
    while !cx.is_cancelled() {
        if let Some(status) = control.get(addr, "/status").await {
            let incarnation = status["incarnation"].as_str().unwrap_or_default().to_owned();
            let version = status["manifest"]["version"].as_u64().unwrap_or(0);
            seen.borrow_mut().push(ActiveConfig {
                process: process.clone(),
                incarnation,
                version,
            });
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}
