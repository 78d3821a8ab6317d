//! Checks the fields of settings against each other.

use std::net::SocketAddr;
use std::time::Duration;

use super::unique::UniqueValues;
use crate::report::Report;
use crate::{DispatchSettings, EntrySettings, Platform};

/// Least number of unanswered pings after which a peer's connection may count as dead.
const MIN_SILENCE_PINGS: u32 = 2;

const PEER_ALLOWED: &str = "an address of this machine that peers can reach, with its port";
const REMOTE_ALLOWED: &str = "an address that can be reached, with its port";

/// Checks the settings of an entry process.
pub(crate) fn check_entry(cfg: &EntrySettings, report: &mut Report<'_>) {
    let listeners = [
        Listener::new("caller_address", cfg.caller_address),
        Listener::new("operator_address", cfg.operator_address),
        Listener::new("peer_address", cfg.peer_address),
    ];
    check_listeners(&listeners, report);
    check_reachable("peer_address", cfg.peer_address, PEER_ALLOWED, report);
    check_platform(&cfg.platform, report);
    check_peer_silence(cfg.timeouts.peer_ping, cfg.timeouts.peer_silence, report);
    let first_byte = DurationField::new("timeouts.first_byte", cfg.timeouts.first_byte);
    check_order(
        DurationField::new("timeouts.connect", cfg.timeouts.connect),
        first_byte,
        report,
    );
    let ticket = DurationField::new("timeouts.ticket", cfg.timeouts.ticket);
    check_order(
        DurationField::new("timeouts.permit", cfg.timeouts.permit),
        ticket,
        report,
    );
}

/// Checks the settings of a dispatch process.
pub(crate) fn check_dispatch(cfg: &DispatchSettings, report: &mut Report<'_>) {
    let listeners = [
        Listener::new("operator_address", cfg.operator_address),
        Listener::new("peer_address", cfg.peer_address),
    ];
    check_listeners(&listeners, report);
    check_reachable("peer_address", cfg.peer_address, PEER_ALLOWED, report);
    check_platform(&cfg.platform, report);
    check_peer_silence(cfg.timeouts.peer_ping, cfg.timeouts.peer_silence, report);
    let view_age = DurationField::new("timeouts.view_age", cfg.timeouts.view_age);
    check_order(
        DurationField::new("timeouts.gossip_interval", cfg.timeouts.gossip_interval),
        view_age,
        report,
    );
}

struct Listener {
    field: &'static str,
    address: SocketAddr,
}

impl Listener {
    fn new(field: &'static str, address: SocketAddr) -> Listener {
        Listener { field, address }
    }

    fn overlaps(&self, other: &Listener) -> bool {
        let (a, b) = (self.address, other.address);
        let any_ip = a.ip().is_unspecified() || b.ip().is_unspecified();
        a.port() != 0 && a.port() == b.port() && (any_ip || a.ip() == b.ip())
    }
}

struct DurationField {
    field: &'static str,
    value: Duration,
}

impl DurationField {
    fn new(field: &'static str, value: Duration) -> DurationField {
        DurationField { field, value }
    }
}

fn check_listeners(listeners: &[Listener], report: &mut Report<'_>) {
    for (i, later) in listeners.iter().enumerate() {
        for earlier in &listeners[..i] {
            if later.overlaps(earlier) && report.is_intact(earlier.field) {
                let message = format!("{} overlaps with {} {}", later.address, earlier.field, earlier.address);
                report.add(later.field, message, "an address of its own for each purpose");
            }
        }
    }
}

fn check_reachable(field: &str, address: SocketAddr, allowed: &str, report: &mut Report<'_>) {
    if address.ip().is_unspecified() {
        report.add(field, format!("{address} names no machine"), allowed);
    } else if address.port() == 0 {
        report.add(field, format!("{address} has no port"), allowed);
    }
}

fn check_platform(cfg: &Platform, report: &mut Report<'_>) {
    check_remote_addresses("platform.config_service", &cfg.config_service, report);
    check_remote_addresses("platform.peers", &cfg.peers, report);
}

fn check_remote_addresses(field: &str, addresses: &[SocketAddr], report: &mut Report<'_>) {
    let mut seen = UniqueValues::new("each address once");
    for (i, address) in addresses.iter().enumerate() {
        let path = format!("{field}[{i}]");
        check_reachable(&path, *address, REMOTE_ALLOWED, report);
        seen.insert(address, &address.to_string(), path, report);
    }
}

fn check_peer_silence(ping: Duration, silence: Duration, report: &mut Report<'_>) {
    let min_silence = ping.saturating_mul(MIN_SILENCE_PINGS);
    if silence < min_silence && report.is_intact("timeouts.peer_ping") {
        let message = format!("{} is too short", humantime::format_duration(silence));
        let allowed = format!(
            "at least {MIN_SILENCE_PINGS} times peer_ping, {}",
            humantime::format_duration(min_silence)
        );
        report.add("timeouts.peer_silence", message, allowed);
    }
}

fn check_order(shorter: DurationField, longer: DurationField, report: &mut Report<'_>) {
    if shorter.value > longer.value && report.is_intact(longer.field) {
        let message = format!("{} is too long", humantime::format_duration(shorter.value));
        let allowed = format!("at most {}, {}", longer.field, humantime::format_duration(longer.value));
        report.add(shorter.field, message, allowed);
    }
}
