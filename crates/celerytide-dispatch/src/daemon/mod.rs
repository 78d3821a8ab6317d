//! Start and graceful stop of the dispatch.

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
use crate::{muster, orders, report};

/// Time between looks at deadlines.
const TICK: Duration = Duration::from_millis(20);
/// Ticks between two assessments of standings while the view stays the same.
const TICKS_PER_REFRESH: u32 = 10;
/// Exit code after a stop that could not hand everything over.
const EXIT_CUT: u8 = 1;
/// Time for entries to take their permits to the next owners after a handover.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Runs the dispatch until a signal stops it.
pub async fn run(kernel: Kernel, settings: DispatchSettings) -> Result<ExitCode, Error> {
    let wire = wire(&settings);
    let pace = ViewTiming {
        gossip_interval: settings.timeouts.gossip_interval,
        view_age: Some(settings.timeouts.view_age + settings.platform.watch_wait),
    };
    let node = Node::start(&kernel, identity(&settings), &settings.platform, pace, wire)?;
    let dispatch = Rc::new(Dispatch::new(node.clone(), settings.clone()));
    node.serve_operators(
        &kernel,
        settings.operator_address,
        Rc::new(DispatchStatus(dispatch.clone())),
    )?;
    let peers = listen(settings.peer_address)?;
    let service = Rc::new(Peers(dispatch.clone()));
    let accept = CancellationToken::new();
    monoio::spawn(celerytide_wire::serve(peers, wire, service, accept.clone()));
    monoio::spawn(refresh(dispatch.clone()));
    monoio::spawn(muster::run(node.clone(), dispatch.pools.clone()));
    monoio::spawn(report::run(dispatch.clone()));
    monoio::spawn(orders::run(dispatch.clone()));
    tracing::info!(instance = node.instance, address = %settings.peer_address, "dispatch: serving entries");
    node.stop.cancelled().await;
    Ok(stop(&dispatch, &accept).await)
}

/// Follows the view at once and the clock now and then; queues are pumped at each tick.
async fn refresh(dispatch: Rc<Dispatch>) {
    let mut seen = 0;
    let mut ticks = 0;
    loop {
        let generation = dispatch.node.membership.view().generation;
        ticks += 1;
        if generation != seen || ticks >= TICKS_PER_REFRESH {
            seen = generation;
            ticks = 0;
            dispatch.pools.refresh();
        } else {
            dispatch.pools.pump();
        }
        sleep(TICK).await;
    }
}

async fn stop(dispatch: &Rc<Dispatch>, accept: &CancellationToken) -> ExitCode {
    let node = &dispatch.node;
    node.ready.set("serving", false);
    node.audit.record(Kind::Process, &node.instance, "stopping", 0);
    accept.cancel();
    sleep(TICK).await;
    let retired = dispatch.pools.all();
    dispatch.pools.give_up();
    let moved = async {
        while retired.iter().any(|slot| slot.in_flight() > 0) {
            sleep(TICK).await;
        }
        sleep(SETTLE_TIME).await;
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
    let left: u64 = retired.iter().map(|slot| slot.in_flight()).sum();
    tracing::warn!(left, "dispatch: stopped with permits in flight; their requests go on");
    ExitCode::from(EXIT_CUT)
}

fn identity(settings: &DispatchSettings) -> Identity {
    Identity {
        role: Role::Dispatch,
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
    }
}

fn wire(settings: &DispatchSettings) -> celerytide_wire::Options {
    celerytide_wire::Options {
        connect: settings.timeouts.peer_ping,
        ping: settings.timeouts.peer_ping,
        ping_timeout: settings.timeouts.peer_silence,
    }
}
