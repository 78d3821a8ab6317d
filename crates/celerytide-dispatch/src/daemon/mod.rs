//! Start and graceful stop of the dispatch daemon.

use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use celerytide_kernel::Kernel;
use celerytide_kernel::audit::Kind;
use celerytide_manifest::DispatchSettings;
use celerytide_node::{Error, Identity, Node, Role, ViewTiming, listen};
use monoio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::dispatch::{Dispatch, Peers};
use crate::status::DispatchStatus;
use crate::{orders, report, takeover};

/// Time between two checks for due grants and refusals.
const TICK: Duration = Duration::from_millis(20);
/// Ticks between two assessments of ownership while the view doesn't change.
const TICKS_PER_REFRESH: u32 = 10;
/// Exit code after a stop with permits still in flight.
const EXIT_PERMITS_LEFT: u8 = 1;
/// Time for entries to finish moving their permits to the next owners; the process stays reachable meanwhile.
const MOVE_GRACE: Duration = Duration::from_millis(200);

/// Runs the daemon until a signal stops it.
pub async fn run(kernel: Kernel, settings: DispatchSettings) -> Result<ExitCode, Error> {
    let wire_options = wire_options(&settings);
    let timing = ViewTiming {
        gossip_interval: settings.timeouts.gossip_interval,
        view_age: Some(settings.timeouts.view_age + settings.platform.watch_wait),
    };
    let node = Node::start(&kernel, identity(&settings), &settings.platform, timing, wire_options)?;
    let dispatch = Rc::new(Dispatch::new(node.clone(), settings.clone()));
    node.serve_operators(
        &kernel,
        settings.operator_address,
        Rc::new(DispatchStatus(dispatch.clone())),
    )?;
    let listener = listen(settings.peer_address)?;
    let service = Rc::new(Peers(dispatch.clone()));
    let accept = CancellationToken::new();
    monoio::spawn(celerytide_wire::serve(listener, wire_options, service, accept.clone()));
    monoio::spawn(refresh(dispatch.clone()));
    monoio::spawn(takeover::run(node.clone(), dispatch.pools.clone()));
    monoio::spawn(report::run(dispatch.clone()));
    monoio::spawn(orders::run(dispatch.clone()));
    tracing::info!(instance = node.instance, address = %settings.peer_address, "dispatch: serving entries");
    node.stop.cancelled().await;
    Ok(stop(&dispatch, &accept).await)
}

/// Reassesses ownership when the view changes and at regular intervals, and delivers due grants and refusals at each
/// tick.
async fn refresh(dispatch: Rc<Dispatch>) {
    let mut last_generation = 0;
    let mut ticks = 0;
    loop {
        let generation = dispatch.node.membership.view().generation;
        ticks += 1;
        if generation != last_generation || ticks >= TICKS_PER_REFRESH {
            last_generation = generation;
            ticks = 0;
            dispatch.pools.refresh();
        } else {
            dispatch.pools.deliver_due();
        }
        sleep(TICK).await;
    }
}

/// Hands every pool over and waits until no permit is in flight here, the stop timeout expires or the process is
/// aborted.
async fn stop(dispatch: &Rc<Dispatch>, accept: &CancellationToken) -> ExitCode {
    let node = &dispatch.node;
    node.ready.set("serving", false);
    node.audit.record(Kind::Process, &node.instance, "stopping", 0);
    accept.cancel();
    sleep(TICK).await;
    let released = dispatch.pools.all();
    dispatch.pools.release_all();
    let moved = async {
        while released.iter().any(|owned_pool| owned_pool.in_flight() > 0) {
            sleep(TICK).await;
        }
        sleep(MOVE_GRACE).await;
    };
    let done = monoio::select! {
        () = moved => true,
        () = sleep(dispatch.settings.timeouts.stop) => false,
        () = node.abort.cancelled() => false,
    };
    if done {
        tracing::info!("dispatch: stopped; every permit ended or moved");
        return ExitCode::SUCCESS;
    }
    let left: u64 = released.iter().map(|owned_pool| owned_pool.in_flight()).sum();
    tracing::warn!(
        left,
        "dispatch: stopped with permits in flight; their requests continue"
    );
    ExitCode::from(EXIT_PERMITS_LEFT)
}

fn identity(settings: &DispatchSettings) -> Identity {
    Identity {
        role: Role::Dispatch,
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
    }
}

fn wire_options(settings: &DispatchSettings) -> celerytide_wire::Options {
    celerytide_wire::Options {
        connect: settings.timeouts.peer_ping,
        ping: settings.timeouts.peer_ping,
        ping_timeout: settings.timeouts.peer_silence,
    }
}
