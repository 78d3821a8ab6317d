//! Every field of an entry process's settings: a faulty value is reported with position, message and allowed values.

mod support;

use celerytide_manifest::check_entry_settings;
use support::{Case, ExpectedFault, check_cases};

const FILE: &str = "entry.yaml";
const BASE: &str = include_str!("data/entry.yaml");

const ADDRESS: &str = "an IP address and a port, such as 127.0.0.1:8080";
const ID: &str = "1 to 64 characters of a-z, 0-9, '-', '_', '.'";
const POSITIVE: &str = "a whole number of at least 1";
const UNSHARED_ADDRESS: &str = "an address of its own for each purpose";
const PEER_ADDRESS: &str = "an address of this machine that peers can reach, with its port";
const REMOTE_ADDRESS: &str = "an address that can be reached, with its port";
const UP_TO_24H: &str = "above 0 and up to 24h with its unit, such as 250ms, 2s or 15m";
const YAML: &str = "one YAML document";

#[test]
fn valid_document_passes() {
    check_entry_settings(FILE, BASE).expect("a valid document");
}

#[test]
fn each_fault_is_reported_with_position_and_allowed_values() {
    check_cases(FILE, BASE, CASES, |text| {
        check_entry_settings(FILE, text).err().unwrap_or_default()
    });
}

#[rustfmt::skip]
const CASES: &[Case] = &[
    Case { name: "instance with capitals", from: "instance: entry-1", to: "instance: Entry 1",
        want: &[ExpectedFault { at: "1:11: instance: contains 'E'", allowed: ID }] },
    Case { name: "instance missing", from: "instance: entry-1\n", to: "",
        want: &[ExpectedFault { at: "1:1: instance: missing", allowed: ID }] },
    Case { name: "zone as a list", from: "zone: lima-a", to: "zone: [lima-a]",
        want: &[ExpectedFault { at: "2:7: zone: found a list", allowed: ID }] },
    Case { name: "region empty", from: "region: lima-region", to: "region: \"\"",
        want: &[ExpectedFault { at: "3:9: region: must not be empty", allowed: ID }] },
    Case { name: "caller address without a port", from: "caller_address: 127.0.0.1:8080",
        to: "caller_address: 127.0.0.1",
        want: &[ExpectedFault { at: "4:17: caller_address: \"127.0.0.1\" is not an address", allowed: ADDRESS }] },
    Case { name: "operator address with a host name", from: "operator_address: 127.0.0.1:9080",
        to: "operator_address: localhost:9080",
        want: &[ExpectedFault { at: "5:19: operator_address: \"localhost:9080\" is not an address", allowed: ADDRESS }] },
    Case { name: "operator address same as caller address", from: "operator_address: 127.0.0.1:9080",
        to: "operator_address: 127.0.0.1:8080",
        want: &[ExpectedFault { at: "5:19: operator_address: 127.0.0.1:8080 overlaps with caller_address 127.0.0.1:8080", allowed: UNSHARED_ADDRESS }] },
    Case { name: "operator address overlaps an unspecified address", from: "operator_address: 127.0.0.1:9080",
        to: "operator_address: 0.0.0.0:8080",
        want: &[ExpectedFault { at: "5:19: operator_address: 0.0.0.0:8080 overlaps with caller_address 127.0.0.1:8080", allowed: UNSHARED_ADDRESS }] },
    Case { name: "peer address same as operator address", from: "peer_address: 127.0.0.1:7080", to: "peer_address: 127.0.0.1:9080",
        want: &[ExpectedFault { at: "6:15: peer_address: 127.0.0.1:9080 overlaps with operator_address 127.0.0.1:9080", allowed: UNSHARED_ADDRESS }] },
    Case { name: "unspecified peer address", from: "peer_address: 127.0.0.1:7080",
        to: "peer_address: 0.0.0.0:7080",
        want: &[ExpectedFault { at: "6:15: peer_address: 0.0.0.0:7080 names no machine", allowed: PEER_ADDRESS }] },
    Case { name: "unspecified IPv6 peer address", from: "peer_address: 127.0.0.1:7080",
        to: "peer_address: \"[::]:7080\"",
        want: &[ExpectedFault { at: "6:15: peer_address: [::]:7080 names no machine", allowed: PEER_ADDRESS }] },
    Case { name: "peer address with port 0", from: "peer_address: 127.0.0.1:7080", to: "peer_address: 127.0.0.1:0",
        want: &[ExpectedFault { at: "6:15: peer_address: 127.0.0.1:0 has no port", allowed: PEER_ADDRESS }] },
    Case { name: "platform missing", from: "platform:\n", to: "platfrom:\n",
        want: &[ExpectedFault { at: "1:1: platform: missing", allowed: "a block with the fields config_service, peers, read_timeout, start_jitter, watch_wait" },
        ExpectedFault { at: "7:1: platfrom: unknown field", allowed: "one of caller_address, instance, limits, log, operator_address, peer_address, platform, region, timeouts, zone" }] },
    Case { name: "empty list of configuration services", from: "config_service: [127.0.0.1:8500, 127.0.0.1:8501]",
        to: "config_service: []",
        want: &[ExpectedFault { at: "8:19: platform.config_service: too few entries", allowed: "a list of at least 1" }] },
    Case { name: "configuration service repeated", from: "config_service: [127.0.0.1:8500, 127.0.0.1:8501]",
        to: "config_service: [127.0.0.1:8500, 127.0.0.1:8500]",
        want: &[ExpectedFault { at: "8:36: platform.config_service[1]: 127.0.0.1:8500 repeats platform.config_service[0]", allowed: "each address once" }] },
    Case { name: "unspecified configuration service address", from: "config_service: [127.0.0.1:8500, 127.0.0.1:8501]",
        to: "config_service: [0.0.0.0:8500]",
        want: &[ExpectedFault { at: "8:20: platform.config_service[0]: 0.0.0.0:8500 names no machine", allowed: REMOTE_ADDRESS }] },
    Case { name: "configuration service as text", from: "config_service: [127.0.0.1:8500, 127.0.0.1:8501]",
        to: "config_service: 127.0.0.1:8500",
        want: &[ExpectedFault { at: "8:19: platform.config_service: found text", allowed: "a list of at least 1" }] },
    Case { name: "watch wait zero", from: "watch_wait: 20s", to: "watch_wait: 0s",
        want: &[ExpectedFault { at: "9:15: platform.watch_wait: \"0s\" is zero", allowed: UP_TO_24H }] },
    Case { name: "read timeout without a unit", from: "read_timeout: 2s", to: "read_timeout: 2",
        want: &[ExpectedFault { at: "10:17: platform.read_timeout: found the number 2 without a unit", allowed: UP_TO_24H }] },
    Case { name: "start jitter longer than a day", from: "start_jitter: 500ms", to: "start_jitter: 25h",
        want: &[ExpectedFault { at: "11:17: platform.start_jitter: \"25h\" is too long", allowed: UP_TO_24H }] },
    Case { name: "peer with port 0", from: "peers: [127.0.0.2:7080]", to: "peers: [127.0.0.2:0]",
        want: &[ExpectedFault { at: "12:11: platform.peers[0]: 127.0.0.2:0 has no port", allowed: REMOTE_ADDRESS }] },
    Case { name: "peer repeated", from: "peers: [127.0.0.2:7080]", to: "peers: [127.0.0.2:7080, 127.0.0.2:7080]",
        want: &[ExpectedFault { at: "12:27: platform.peers[1]: 127.0.0.2:7080 repeats platform.peers[0]", allowed: "each address once" }] },
    Case { name: "max_head_bytes zero", from: "max_head_bytes: 65536", to: "max_head_bytes: 0",
        want: &[ExpectedFault { at: "14:19: limits.max_head_bytes: 0 is out of range", allowed: POSITIVE }] },
    Case { name: "max_body_bytes zero", from: "max_body_bytes: 4194304", to: "max_body_bytes: 0",
        want: &[ExpectedFault { at: "15:19: limits.max_body_bytes: 0 is out of range", allowed: POSITIVE }] },
    Case { name: "max_connections zero", from: "max_connections: 4096", to: "max_connections: 0",
        want: &[ExpectedFault { at: "16:20: limits.max_connections: 0 is out of range", allowed: POSITIVE }] },
    Case { name: "max_ticket_count zero", from: "max_ticket_count: 100000", to: "max_ticket_count: 0",
        want: &[ExpectedFault { at: "17:21: limits.max_ticket_count: 0 is out of range", allowed: POSITIVE }] },
    Case { name: "max_outcome_bytes zero", from: "max_outcome_bytes: 8388608", to: "max_outcome_bytes: 0",
        want: &[ExpectedFault { at: "18:22: limits.max_outcome_bytes: 0 is out of range", allowed: POSITIVE }] },
    Case { name: "max_head_bytes with a unit", from: "max_head_bytes: 65536", to: "max_head_bytes: 64k",
        want: &[ExpectedFault { at: "14:19: limits.max_head_bytes: found text", allowed: POSITIVE }] },
    Case { name: "head zero", from: "  head: 10s", to: "  head: 0s",
        want: &[ExpectedFault { at: "20:9: timeouts.head: \"0s\" is zero", allowed: UP_TO_24H }] },
    Case { name: "body zero", from: "  body: 30s", to: "  body: 0s",
        want: &[ExpectedFault { at: "21:9: timeouts.body: \"0s\" is zero", allowed: UP_TO_24H }] },
    Case { name: "idle zero", from: "  idle: 60s", to: "  idle: 0s",
        want: &[ExpectedFault { at: "22:9: timeouts.idle: \"0s\" is zero", allowed: UP_TO_24H }] },
    Case { name: "write zero", from: "  write: 30s", to: "  write: 0s",
        want: &[ExpectedFault { at: "23:10: timeouts.write: \"0s\" is zero", allowed: UP_TO_24H }] },
    Case { name: "connect zero", from: "  connect: 1s", to: "  connect: 0s",
        want: &[ExpectedFault { at: "24:12: timeouts.connect: \"0s\" is zero", allowed: UP_TO_24H }] },
    Case { name: "first_byte zero", from: "  first_byte: 60s", to: "  first_byte: 0s",
        want: &[ExpectedFault { at: "25:15: timeouts.first_byte: \"0s\" is zero", allowed: UP_TO_24H }] },
    Case { name: "between_bytes zero", from: "  between_bytes: 30s", to: "  between_bytes: 0s",
        want: &[ExpectedFault { at: "26:18: timeouts.between_bytes: \"0s\" is zero", allowed: UP_TO_24H }] },
    Case { name: "permit zero", from: "  permit: 30s", to: "  permit: 0s",
        want: &[ExpectedFault { at: "27:11: timeouts.permit: \"0s\" is zero", allowed: UP_TO_24H }] },
    Case { name: "stop zero", from: "  stop: 60s", to: "  stop: 0s",
        want: &[ExpectedFault { at: "28:9: timeouts.stop: \"0s\" is zero", allowed: UP_TO_24H }] },
    Case { name: "ticket zero", from: "  ticket: 15m", to: "  ticket: 0s",
        want: &[ExpectedFault { at: "29:11: timeouts.ticket: \"0s\" is zero", allowed: UP_TO_24H }] },
    Case { name: "peer_ping zero", from: "  peer_ping: 1s", to: "  peer_ping: 0s",
        want: &[ExpectedFault { at: "30:14: timeouts.peer_ping: \"0s\" is zero", allowed: UP_TO_24H }] },
    Case { name: "peer_silence zero", from: "  peer_silence: 3s", to: "  peer_silence: 0s",
        want: &[ExpectedFault { at: "31:17: timeouts.peer_silence: \"0s\" is zero", allowed: UP_TO_24H }] },
    Case { name: "connect longer than first_byte", from: "connect: 1s", to: "connect: 61s",
        want: &[ExpectedFault { at: "24:12: timeouts.connect: 1m 1s is too long", allowed: "at most timeouts.first_byte, 1m" }] },
    Case { name: "permit longer than ticket", from: "permit: 30s", to: "permit: 16m",
        want: &[ExpectedFault { at: "27:11: timeouts.permit: 16m is too long", allowed: "at most timeouts.ticket, 15m" }] },
    Case { name: "peer_silence shorter than two pings", from: "peer_silence: 3s", to: "peer_silence: 1999ms",
        want: &[ExpectedFault { at: "31:17: timeouts.peer_silence: 1s 999ms is too short", allowed: "at least 2 times peer_ping, 2s" }] },
    Case { name: "log format unknown", from: "format: text", to: "format: xml",
        want: &[ExpectedFault { at: "33:11: log.format: \"xml\" is unknown", allowed: "one of text, json" }] },
    Case { name: "log level unknown", from: "level: info", to: "level: loud",
        want: &[ExpectedFault { at: "34:10: log.level: \"loud\" is unknown", allowed: "one of error, warn, info, debug, trace" }] },
    Case { name: "unknown field", from: "  level: info", to: "  level: info\n  colour: true",
        want: &[ExpectedFault { at: "35:3: log.colour: unknown field", allowed: "one of format, level" }] },
    Case { name: "unknown timeout", from: "  head: 10s", to: "  header: 10s",
        want: &[ExpectedFault { at: "20:3: timeouts.header: unknown field", allowed: "one of between_bytes, body, connect, first_byte, head, idle, peer_ping, peer_silence, permit, stop, ticket, write" }] },
    Case { name: "two faults", from: "instance: entry-1\nzone: lima-a", to: "instance: \"\"\nzone: A",
        want: &[ExpectedFault { at: "1:11: instance: must not be empty", allowed: ID },
        ExpectedFault { at: "2:7: zone: contains 'A'", allowed: ID }] },
    Case { name: "not YAML", from: "instance: entry-1", to: "instance: \"entry-1",
        want: &[ExpectedFault { at: "1:11: unclosed quote", allowed: YAML }] },
];
