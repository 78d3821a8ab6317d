//! Notes the configuration in force at every daemon while faults strike.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use tokio_util::sync::CancellationToken;

use crate::{
    history::InForce,
    world::{Daemon, Http, INSTANCES, World},
};

/// Time between looks.
const LOOK: Duration = Duration::from_millis(150);

pub(super) struct Watch {
    seen: Rc<RefCell<Vec<InForce>>>,
    cx: CancellationToken,
}

impl Watch {
    pub(super) fn start(world: &World) -> Watch {
        let watch = Watch {
            seen: Rc::default(),
            cx: CancellationToken::new(),
        };
        for at in 0..INSTANCES {
            for daemon in [Daemon::Entry(at), Daemon::Dispatch(at)] {
                let addr = world.operator(daemon);
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

    pub(super) fn stop(self) -> Vec<InForce> {
        self.cx.cancel();
        self.seen.take()
    }
}

async fn follow(addr: SocketAddr, process: String, seen: Rc<RefCell<Vec<InForce>>>, cx: CancellationToken) {
    let http = Http::default();
    while !cx.is_cancelled() {
        if let Some(status) = http.get(addr, "/status").await {
            let incarnation = status["incarnation"].as_str().unwrap_or_default().to_owned();
            let version = status["manifest"]["version"].as_u64().unwrap_or(0);
            seen.borrow_mut().push(InForce {
                process: process.clone(),
                incarnation,
                version,
            });
        }
        monoio::time::sleep(LOOK).await;
    }
}
