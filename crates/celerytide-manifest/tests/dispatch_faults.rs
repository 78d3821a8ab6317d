//! Every field of a dispatch process's settings: a faulty value is reported with position, message and allowed values.

mod support;

use celerytide_manifest::check_dispatch_settings;
use support::{Case, ExpectedFault, check_cases};

const FILE: &str = "dispatch.yaml";
const BASE: &str = include_str!("data/dispatch.yaml");

const ADDRESS: &str = "an IP address and a port, such as 127.0.0.1:8080";
const ID: &str = "1 to 64 characters of a-z, 0-9, '-', '_', '.'";
const UNSHARED_ADDRESS: &str = "an address of its own for each purpose";
const PEER_ADDRESS: &str = "an address of this machine that peers can reach, with its port";
const UP_TO_24H: &str = "above 0 and up to 24h with its unit, such as 250ms, 2s or 15m";

#[test]
fn valid_document_passes() {
    check_dispatch_settings(FILE, BASE).expect("a valid document");
}

#[test]
fn each_fault_is_reported_with_position_and_allowed_values() {
    check_cases(FILE, BASE, CASES, |text| {
        check_dispatch_settings(FILE, text).err().unwrap_or_default()
    });
}

#[rustfmt::skip]
const CASES: &[Case] = &[
    Case { name: "instance with a slash", from: "instance: dispatch-1", to: "instance: a/b",
        want: &[ExpectedFault { at: "1:11: instance: contains '/'", allowed: ID }] },
    Case { name: "zone missing", from: "zone: lima-a\n", to: "",
        want: &[ExpectedFault { at: "1:1: zone: missing", allowed: ID }] },
    Case { name: "region with capitals", from: "region: lima-region", to: "region: Lima",
        want: &[ExpectedFault { at: "3:9: region: contains 'L'", allowed: ID }] },
    Case { name: "operator address without a port", from: "operator_address: 127.0.0.1:9180",
        to: "operator_address: 127.0.0.1",
        want: &[ExpectedFault { at: "4:19: operator_address: \"127.0.0.1\" is not an address", allowed: ADDRESS }] },
    Case { name: "peer address same as operator address", from: "peer_address: 127.0.0.1:7180", to: "peer_address: 127.0.0.1:9180",
        want: &[ExpectedFault { at: "5:15: peer_address: 127.0.0.1:9180 overlaps with operator_address 127.0.0.1:9180", allowed: UNSHARED_ADDRESS }] },
    Case { name: "unspecified peer address", from: "peer_address: 127.0.0.1:7180",
        to: "peer_address: 0.0.0.0:7180",
        want: &[ExpectedFault { at: "5:15: peer_address: 0.0.0.0:7180 names no machine", allowed: PEER_ADDRESS }] },
    Case { name: "caller address in dispatch settings", from: "operator_address", to: "caller_address: 127.0.0.1:1\noperator_address",
        want: &[ExpectedFault { at: "4:1: caller_address: unknown field", allowed: "one of instance, log, operator_address, peer_address, platform, policy, region, timeouts, zone" }] },
    Case { name: "empty list of configuration services", from: "config_service: [127.0.0.1:8500]", to: "config_service: []",
        want: &[ExpectedFault { at: "7:19: platform.config_service: too few entries", allowed: "a list of at least 1" }] },
    Case { name: "permit_age zero", from: "  permit_age: 10m", to: "  permit_age: 0s",
        want: &[ExpectedFault { at: "9:15: timeouts.permit_age: \"0s\" is zero", allowed: UP_TO_24H }] },
    Case { name: "hold zero", from: "  hold: 5s", to: "  hold: 0s",
        want: &[ExpectedFault { at: "10:9: timeouts.hold: \"0s\" is zero", allowed: UP_TO_24H }] },
    Case { name: "report_interval zero", from: "  report_interval: 500ms", to: "  report_interval: 0s",
        want: &[ExpectedFault { at: "11:20: timeouts.report_interval: \"0s\" is zero", allowed: UP_TO_24H }] },
    Case { name: "report_timeout zero", from: "  report_timeout: 500ms", to: "  report_timeout: 0s",
        want: &[ExpectedFault { at: "12:19: timeouts.report_timeout: \"0s\" is zero", allowed: UP_TO_24H }] },
    Case { name: "stop zero", from: "  stop: 60s", to: "  stop: 0s",
        want: &[ExpectedFault { at: "13:9: timeouts.stop: \"0s\" is zero", allowed: UP_TO_24H }] },
    Case { name: "peer_ping zero", from: "  peer_ping: 1s", to: "  peer_ping: 0s",
        want: &[ExpectedFault { at: "14:14: timeouts.peer_ping: \"0s\" is zero", allowed: UP_TO_24H }] },
    Case { name: "peer_silence zero", from: "  peer_silence: 3s", to: "  peer_silence: 0s",
        want: &[ExpectedFault { at: "15:17: timeouts.peer_silence: \"0s\" is zero", allowed: UP_TO_24H }] },
    Case { name: "gossip_interval zero", from: "  gossip_interval: 1s", to: "  gossip_interval: 0s",
        want: &[ExpectedFault { at: "16:20: timeouts.gossip_interval: \"0s\" is zero", allowed: UP_TO_24H }] },
    Case { name: "view_age zero", from: "  view_age: 5s", to: "  view_age: 0s",
        want: &[ExpectedFault { at: "17:13: timeouts.view_age: \"0s\" is zero", allowed: UP_TO_24H }] },
    Case { name: "peer_silence shorter than two pings", from: "peer_ping: 1s", to: "peer_ping: 2s",
        want: &[ExpectedFault { at: "15:17: timeouts.peer_silence: 3s is too short", allowed: "at least 2 times peer_ping, 4s" }] },
    Case { name: "gossip_interval longer than view_age", from: "gossip_interval: 1s", to: "gossip_interval: 6s",
        want: &[ExpectedFault { at: "16:20: timeouts.gossip_interval: 6s is too long", allowed: "at most timeouts.view_age, 5s" }] },
    Case { name: "policy unknown", from: "log:\n  format: json", to: "policy: fastest\nlog:\n  format: json",
        want: &[ExpectedFault { at: "18:9: policy: \"fastest\" is unknown",
            allowed: "one of celerytide, random, round-robin, least-in-flight, first-come" }] },
    Case { name: "log format unknown", from: "format: json", to: "format: yaml",
        want: &[ExpectedFault { at: "19:11: log.format: \"yaml\" is unknown", allowed: "one of text, json" }] },
    Case { name: "log level as a number", from: "level: warn", to: "level: 3",
        want: &[ExpectedFault { at: "20:10: log.level: found the number 3", allowed: "one of error, warn, info, debug, trace" }] },
];
