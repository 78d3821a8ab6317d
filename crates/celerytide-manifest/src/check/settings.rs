//! What the fields of settings say together.

use std::net::SocketAddr;
use std::time::Duration;

use super::unique::Unique;
use crate::report::Report;
use crate::{DispatchSettings, EntrySettings, Platform};

/// Pings that must go unanswered before a peer's connection counts as dead.
const SILENCE_PINGS: u32 = 2;

const PEER_ALLOWED: &str = "an address of this machine that peers can reach, with its port";
const REMOTE_ALLOWED: &str = "an address that can be reached, with its port";

/// Checks the settings of an entry process.
pub(crate) fn check_entry(cfg: &EntrySettings, report: &mut Report<'_>) {
    let listeners = [
        Listener::new("caller_address", cfg.caller_address),
        Listener::new("operator_address", cfg.operator_address),
        Listener::new("peer_address", cfg.peer_address),
    ];
    distinct(&listeners, report);
    reachable("peer_address", cfg.peer_address, PEER_ALLOWED, report);
    platform(&cfg.platform, report);
    silence(cfg.timeouts.peer_ping, cfg.timeouts.peer_silence, report);
    let first_byte = Span::new("timeouts.first_byte", cfg.timeouts.first_byte);
    ordered(Span::new("timeouts.connect", cfg.timeouts.connect), first_byte, report);
    let ticket = Span::new("timeouts.ticket", cfg.timeouts.ticket);
    ordered(Span::new("timeouts.permit", cfg.timeouts.permit), ticket, report);
}

/// Checks the settings of a dispatch process.
pub(crate) fn check_dispatch(cfg: &DispatchSettings, report: &mut Report<'_>) {
    let listeners = [
        Listener::new("operator_address", cfg.operator_address),
        Listener::new("peer_address", cfg.peer_address),
    ];
    distinct(&listeners, report);
    reachable("peer_address", cfg.peer_address, PEER_ALLOWED, report);
    platform(&cfg.platform, report);
    silence(cfg.timeouts.peer_ping, cfg.timeouts.peer_silence, report);
    let view_age = Span::new("timeouts.view_age", cfg.timeouts.view_age);
    ordered(
        Span::new("timeouts.gossip_interval", cfg.timeouts.gossip_interval),
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

struct Span {
    field: &'static str,
    value: Duration,
}

impl Span {
    fn new(field: &'static str, value: Duration) -> Span {
        Span { field, value }
    }
}

fn distinct(listeners: &[Listener], report: &mut Report<'_>) {
    for (i, later) in listeners.iter().enumerate() {
        for earlier in &listeners[..i] {
            if later.overlaps(earlier) && report.trusts(earlier.field) {
                let message = format!("{} overlaps with {} {}", later.address, earlier.field, earlier.address);
                report.add(later.field, message, "an address of its own for each purpose");
            }
        }
    }
}

fn reachable(field: &str, address: SocketAddr, allowed: &str, report: &mut Report<'_>) {
    if address.ip().is_unspecified() {
        report.add(field, format!("{address} names no machine"), allowed);
    } else if address.port() == 0 {
        report.add(field, format!("{address} has no port"), allowed);
    }
}

fn platform(cfg: &Platform, report: &mut Report<'_>) {
    remotes("platform.config_service", &cfg.config_service, report);
    remotes("platform.peers", &cfg.peers, report);
}

fn remotes(field: &str, addresses: &[SocketAddr], report: &mut Report<'_>) {
    let mut seen = Unique::new("each address once");
    for (i, address) in addresses.iter().enumerate() {
        let path = format!("{field}[{i}]");
        reachable(&path, *address, REMOTE_ALLOWED, report);
        seen.note(address, &address.to_string(), path, report);
    }
}

fn silence(ping: Duration, silence: Duration, report: &mut Report<'_>) {
    let least = ping.saturating_mul(SILENCE_PINGS);
    if silence < least && report.trusts("timeouts.peer_ping") {
        let message = format!("{} is too short", humantime::format_duration(silence));
        let allowed = format!(
            "at least {SILENCE_PINGS} times peer_ping, {}",
            humantime::format_duration(least)
        );
        report.add("timeouts.peer_silence", message, allowed);
    }
}

fn ordered(lower: Span, upper: Span, report: &mut Report<'_>) {
    if lower.value > upper.value && report.trusts(upper.field) {
        let message = format!("{} is too long", humantime::format_duration(lower.value));
        let allowed = format!("at most {}, {}", upper.field, humantime::format_duration(upper.value));
        report.add(lower.field, message, allowed);
    }
}
