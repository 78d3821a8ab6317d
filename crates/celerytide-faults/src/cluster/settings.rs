//! The deployment of a cluster and the settings of its daemons, with timeouts short enough for tests.

use std::{net::SocketAddr, time::Duration};

use celerytide_load::fleet::{Deployment, InstanceAddresses, settings};
use celerytide_manifest::{DispatchSettings, DispatchTimeouts, EntrySettings, EntryTimeouts, Platform};

use super::{COLD_SLOTS, ENGINE_SLOTS, ENGINES, INSTANCES, PEER_SILENCE, PERMIT_TIMEOUT, PLAIN_ENDPOINTS, PLAIN_SLOTS};

const HEAD_TIMEOUT: Duration = Duration::from_millis(1500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(2000);
const BETWEEN_BYTES_TIMEOUT: Duration = Duration::from_millis(1500);
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
const PING_INTERVAL: Duration = Duration::from_millis(250);
const MAX_PERMIT_AGE: Duration = Duration::from_secs(4);
/// Longer than an owner continues when a peer's newer list contradicts it (5 s and a round of gossip).
const OWNER_HOLD: Duration = Duration::from_secs(8);
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_VIEW_AGE: Duration = Duration::from_secs(2);
const WATCH_WAIT: Duration = Duration::from_secs(2);
const READ_TIMEOUT: Duration = Duration::from_millis(800);
const START_JITTER: Duration = Duration::from_millis(20);
/// Duration of an engine's cold start in seconds.
const COLD_SECONDS: f64 = 0.4;
/// Duration of a decode step in milliseconds.
const DECODE_MS: f64 = 5.0;
/// Target time to the first token of each class.
const FIRST_TOKEN_TARGET: Duration = Duration::from_secs(3);

pub(super) fn deployment() -> Result<Deployment, super::Error> {
    let mut deployment = Deployment::demo(INSTANCES)?;
    deployment.engines.count = ENGINES;
    deployment.engines.slots = ENGINE_SLOTS;
    deployment.engines.cold_slots = COLD_SLOTS;
    deployment.engines.cold_seconds = COLD_SECONDS;
    deployment.engines.decode_ms = DECODE_MS;
    deployment.engines.report_lag_ms = 0;
    deployment.plain.count = PLAIN_ENDPOINTS;
    deployment.plain.slots = PLAIN_SLOTS;
    deployment.hold = OWNER_HOLD;
    for class in &mut deployment.classes {
        class.first_token = FIRST_TOKEN_TARGET;
    }
    Ok(deployment)
}

pub(super) fn entry(deployment: &Deployment, addresses: &InstanceAddresses, config: SocketAddr) -> EntrySettings {
    let mut entry = settings::entry(deployment, addresses, config);
    entry.platform = platform(entry.platform);
    entry.timeouts = EntryTimeouts {
        head: HEAD_TIMEOUT,
        body: HEAD_TIMEOUT,
        write: HEAD_TIMEOUT,
        connect: CONNECT_TIMEOUT,
        first_byte: FIRST_BYTE_TIMEOUT,
        between_bytes: BETWEEN_BYTES_TIMEOUT,
        permit: PERMIT_TIMEOUT,
        stop: STOP_TIMEOUT,
        peer_ping: PING_INTERVAL,
        peer_silence: PEER_SILENCE,
        ..entry.timeouts
    };
    entry
}

pub(super) fn dispatch(deployment: &Deployment, addresses: &InstanceAddresses, config: SocketAddr) -> DispatchSettings {
    let mut dispatch = settings::dispatch(deployment, addresses, config);
    dispatch.platform = platform(dispatch.platform);
    dispatch.timeouts = DispatchTimeouts {
        permit_age: MAX_PERMIT_AGE,
        hold: OWNER_HOLD,
        report_interval: REPORT_INTERVAL,
        report_timeout: REPORT_TIMEOUT,
        stop: STOP_TIMEOUT,
        peer_ping: PING_INTERVAL,
        peer_silence: PEER_SILENCE,
        view_age: MAX_VIEW_AGE,
        ..dispatch.timeouts
    };
    dispatch
}

fn platform(platform: Platform) -> Platform {
    Platform {
        watch_wait: WATCH_WAIT,
        read_timeout: READ_TIMEOUT,
        start_jitter: START_JITTER,
        ..platform
    }
}
