//! The faults that each field of a manifest can have, with the message that people see.

mod support;

use celerytide_manifest::check_manifest;
use support::{Case, run};

const FILE: &str = "m.yaml";
const BASE: &str = include_str!("data/manifest.yaml");

#[test]
fn the_valid_document_passes() {
    check_manifest(FILE, BASE).expect("a valid document");
}

#[test]
fn each_field_names_its_fault() {
    run(BASE, &cases(), |text| {
        check_manifest(FILE, text).err().unwrap_or_default()
    });
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "format of another time",
            from: "format: 1",
            to: "format: 2",
            want: &["m.yaml:1:9: format: 2 is out of range (allowed: 1)"],
        },
        Case {
            name: "format missing",
            from: "format: 1\n",
            to: "",
            want: &["m.yaml:1:1: format: missing (allowed: 1)"],
        },
        Case {
            name: "version zero",
            from: "version: 7",
            to: "version: 0",
            want: &["m.yaml:2:10: version: 0 is out of range (allowed: a whole number of at least 1)"],
        },
        Case {
            name: "version as text",
            from: "version: 7",
            to: "version: seven",
            want: &["m.yaml:2:10: version: found text (allowed: a whole number of at least 1)"],
        },
        Case {
            name: "event name empty",
            from: "name: call closes",
            to: "name: \"\"",
            want: &[
                "m.yaml:4:9: event.name: must not be empty (allowed: 1 to 128 characters, none of them a control character)",
            ],
        },
        Case {
            name: "event name with a control character",
            from: "name: call closes",
            to: "name: \"a\\tb\"",
            want: &[
                "m.yaml:4:9: event.name: contains '\\t' (allowed: 1 to 128 characters, none of them a control character)",
            ],
        },
        Case {
            name: "event start without zone",
            from: "2027-03-01T14:00:00Z",
            to: "2027-03-01 14 h",
            want: &[
                "m.yaml:5:10: event.start: \"2027-03-01 14 h\" is not a point in time (allowed: RFC 3339 in UTC, such as 2027-03-01T14:00:00Z)",
            ],
        },
        Case {
            name: "event start in local time",
            from: "2027-03-01T14:00:00Z",
            to: "2027-03-01T14:00:00-05:00",
            want: &[
                "m.yaml:5:10: event.start: \"2027-03-01T14:00:00-05:00\" is not a point in time (allowed: RFC 3339 in UTC, such as 2027-03-01T14:00:00Z)",
            ],
        },
        Case {
            name: "event without start",
            from: "  start: 2027-03-01T14:00:00Z\n",
            to: "",
            want: &["m.yaml:4:3: event.start: missing (allowed: RFC 3339 in UTC, such as 2027-03-01T14:00:00Z)"],
        },
        Case {
            name: "zone id in capitals",
            from: "- id: lima-b",
            to: "- id: Lima-B",
            want: &["m.yaml:10:9: zones[1].id: contains 'L' (allowed: 1 to 64 characters of a-z, 0-9, '-', '_', '.')"],
        },
        Case {
            name: "zone id repeated",
            from: "- id: lima-b",
            to: "- id: lima-a",
            want: &[
                "m.yaml:10:9: zones[1].id: lima-a repeats zones[0].id (allowed: each zone id once)",
                "m.yaml:29:15: services[0].endpoints[1].zone: \"lima-b\" is unknown (allowed: the id of a zone of this manifest)",
            ],
        },
        Case {
            name: "zone region with a space",
            from: "region: lima-region\n    state",
            to: "region: lima region\n    state",
            want: &[
                "m.yaml:8:13: zones[0].region: contains ' ' (allowed: 1 to 64 characters of a-z, 0-9, '-', '_', '.')",
            ],
        },
        Case {
            name: "zone state unknown",
            from: "state: in",
            to: "state: away",
            want: &["m.yaml:9:12: zones[0].state: \"away\" is unknown (allowed: one of in, out)"],
        },
        Case {
            name: "zones missing",
            from: "zones:\n",
            to: "zonas:\n",
            want: &[
                "m.yaml:1:1: zones: missing (allowed: a list)",
                "m.yaml:6:1: zonas: unknown field (allowed: one of classes, customers, event, format, orders, services, version, zones)",
            ],
        },
        Case {
            name: "service id too long",
            from: "- id: redactor-llm",
            to: "- id: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
            want: &[
                "m.yaml:13:9: services[0].id: has 65 characters, more than 64 (allowed: 1 to 64 characters of a-z, 0-9, '-', '_', '.')",
            ],
        },
        Case {
            name: "service id repeated",
            from: "- id: tramite-app",
            to: "- id: redactor-llm",
            want: &[
                "m.yaml:32:9: services[1].id: redactor-llm repeats services[0].id (allowed: each service id once)",
                "m.yaml:66:14: classes[2].service: \"tramite-app\" is unknown (allowed: the id of a service of this manifest)",
            ],
        },
        Case {
            name: "service kind unknown",
            from: "kind: plain",
            to: "kind: soap",
            want: &["m.yaml:33:11: services[1].kind: \"soap\" is unknown (allowed: one of model, plain)"],
        },
        Case {
            name: "kind model without models",
            from: "models: [redactor]",
            to: "models: []",
            want: &[
                "m.yaml:15:13: services[0].models: no model is named (allowed: at least one model for a service of kind model)",
            ],
        },
        Case {
            name: "models of a plain service",
            from: "kind: plain",
            to: "kind: plain\n    models: [other]",
            want: &[
                "m.yaml:34:13: services[1].models: a plain service serves no models (allowed: models only for kind model)",
            ],
        },
        Case {
            name: "model with a space",
            from: "models: [redactor]",
            to: "models: [redactor big]",
            want: &[
                "m.yaml:15:14: services[0].models[0]: contains ' ' (allowed: 1 to 128 printable ASCII characters without spaces)",
            ],
        },
        Case {
            name: "model in two places",
            from: "models: [redactor]",
            to: "models: [redactor, redactor]",
            want: &[
                "m.yaml:15:24: services[0].models[1]: redactor repeats services[0].models[0] (allowed: each model in one service)",
            ],
        },
        Case {
            name: "models not a list",
            from: "models: [redactor]",
            to: "models: redactor",
            want: &["m.yaml:15:13: services[0].models: found text (allowed: a list)"],
        },
        Case {
            name: "pools zero",
            from: "pools: 2",
            to: "pools: 0",
            want: &[
                "m.yaml:16:12: services[0].pools: 0 is out of range (allowed: a whole number from 1 to 4294967295)",
            ],
        },
        Case {
            name: "more pools than endpoints",
            from: "pools: 2",
            to: "pools: 3",
            want: &["m.yaml:16:12: services[0].pools: 3 pools for 2 endpoints (allowed: from 1 to 2)"],
        },
        Case {
            name: "endpoints empty of meaning",
            from: "    endpoints:\n      - id: tramite-1",
            to: "    endpoints: none\n    other:\n      - id: tramite-1",
            want: &[
                "m.yaml:34:16: services[1].endpoints: found text (allowed: a list)",
                "m.yaml:35:5: services[1].other: unknown field (allowed: one of actions, endpoints, id, kind, models, pools)",
            ],
        },
        Case {
            name: "endpoint id empty",
            from: "- id: runner-2",
            to: "- id: \"\"",
            want: &[
                "m.yaml:27:13: services[0].endpoints[1].id: must not be empty (allowed: 1 to 64 characters of a-z, 0-9, '-', '_', '.')",
            ],
        },
        Case {
            name: "endpoint id repeated over services",
            from: "- id: tramite-1",
            to: "- id: runner-1",
            want: &[
                "m.yaml:35:13: services[1].endpoints[0].id: runner-1 repeats services[0].endpoints[0].id (allowed: each endpoint id once over all services)",
            ],
        },
        Case {
            name: "endpoint address by name",
            from: "address: 127.0.0.1:9001",
            to: "address: runner-1:9001",
            want: &[
                "m.yaml:19:18: services[0].endpoints[0].address: \"runner-1:9001\" is not an address (allowed: an IP address and a port, such as 127.0.0.1:8080)",
            ],
        },
        Case {
            name: "endpoint address without machine",
            from: "address: 127.0.0.1:9001",
            to: "address: 0.0.0.0:9001",
            want: &[
                "m.yaml:19:18: services[0].endpoints[0].address: 0.0.0.0:9001 cannot be reached (allowed: a specific IP address and a port from 1 to 65535)",
            ],
        },
        Case {
            name: "endpoint address without port",
            from: "address: 127.0.0.1:9001",
            to: "address: 127.0.0.1:0",
            want: &[
                "m.yaml:19:18: services[0].endpoints[0].address: 127.0.0.1:0 cannot be reached (allowed: a specific IP address and a port from 1 to 65535)",
            ],
        },
        Case {
            name: "endpoint address repeated",
            from: "address: 127.0.0.1:9101",
            to: "address: 127.0.0.1:9001",
            want: &[
                "m.yaml:36:18: services[1].endpoints[0].address: 127.0.0.1:9001 repeats services[0].endpoints[0].address (allowed: each address for one endpoint)",
            ],
        },
        Case {
            name: "endpoint zone unknown",
            from: "zone: lima-b",
            to: "zone: cusco",
            want: &[
                "m.yaml:29:15: services[0].endpoints[1].zone: \"cusco\" is unknown (allowed: the id of a zone of this manifest)",
            ],
        },
        Case {
            name: "slots zero",
            from: "slots: 16",
            to: "slots: 0",
            want: &[
                "m.yaml:38:16: services[1].endpoints[0].slots: 0 is out of range (allowed: a whole number from 1 to 4294967295)",
            ],
        },
        Case {
            name: "slots beyond the type",
            from: "slots: 16",
            to: "slots: 4294967296",
            want: &[
                "m.yaml:38:16: services[1].endpoints[0].slots: 4294967296 is out of range (allowed: a whole number from 1 to 4294967295)",
            ],
        },
        Case {
            name: "cold slots zero",
            from: "cold_slots: 4",
            to: "cold_slots: 0",
            want: &[
                "m.yaml:39:21: services[1].endpoints[0].cold_slots: 0 is out of range (allowed: a whole number from 1 to 4294967295)",
            ],
        },
        Case {
            name: "cold slots above slots",
            from: "cold_slots: 4",
            to: "cold_slots: 17",
            want: &["m.yaml:39:21: services[1].endpoints[0].cold_slots: 17 is more than slots (allowed: from 1 to 16)"],
        },
        Case {
            name: "prefill tokens negative",
            from: "prefill_tokens: 8000",
            to: "prefill_tokens: -1",
            want: &[
                "m.yaml:23:25: services[0].endpoints[0].prefill_tokens: -1 is out of range (allowed: a whole number from 0 to 4294967295)",
            ],
        },
        Case {
            name: "fenced as a word",
            from: "fenced: true",
            to: "fenced: yes",
            want: &["m.yaml:24:17: services[0].endpoints[0].fenced: found text (allowed: true or false)"],
        },
        Case {
            name: "checks sender as a number",
            from: "checks_sender: true",
            to: "checks_sender: 1",
            want: &[
                "m.yaml:25:24: services[0].endpoints[0].checks_sender: found the number 1 (allowed: true or false)",
            ],
        },
        Case {
            name: "resumes empty",
            from: "resumes: true",
            to: "resumes:",
            want: &["m.yaml:26:16: services[0].endpoints[0].resumes: found nothing (allowed: true or false)"],
        },
        Case {
            name: "action name with a slash",
            from: "name: submit",
            to: "name: a/b",
            want: &[
                "m.yaml:41:15: services[1].actions[0].name: contains '/' (allowed: 1 to 64 characters of a-z, 0-9, '-', '_', '.')",
            ],
        },
        Case {
            name: "action name repeated",
            from: "name: withdraw",
            to: "name: submit",
            want: &[
                "m.yaml:47:15: services[1].actions[1].name: submit repeats services[1].actions[0].name (allowed: each action name once in a service)",
            ],
        },
        Case {
            name: "action method unknown",
            from: "method: POST",
            to: "method: SEND",
            want: &[
                "m.yaml:42:17: services[1].actions[0].method: \"SEND\" is unknown (allowed: one of GET, HEAD, POST, PUT, DELETE, OPTIONS, PATCH)",
            ],
        },
        Case {
            name: "action path relative",
            from: "path: /submissions\n",
            to: "path: submissions\n",
            want: &[
                "m.yaml:43:15: services[1].actions[0].path: \"submissions\" does not start with '/' (allowed: '/' and up to 1023 printable ASCII characters without '?' and '#'; '*' only at the end)",
            ],
        },
        Case {
            name: "action path with a space",
            from: "path: /submissions\n",
            to: "path: /sub missions\n",
            want: &[
                "m.yaml:43:15: services[1].actions[0].path: contains ' ' (allowed: '/' and up to 1023 printable ASCII characters without '?' and '#'; '*' only at the end)",
            ],
        },
        Case {
            name: "action path with a query",
            from: "path: /submissions\n",
            to: "path: /submissions?draft=1\n",
            want: &[
                "m.yaml:43:15: services[1].actions[0].path: contains '?' (allowed: '/' and up to 1023 printable ASCII characters without '?' and '#'; '*' only at the end)",
            ],
        },
        Case {
            name: "action path with an early star",
            from: "path: /submissions/*",
            to: "path: /*/submissions",
            want: &[
                "m.yaml:49:15: services[1].actions[1].path: contains '*' (allowed: '/' and up to 1023 printable ASCII characters without '?' and '#'; '*' only at the end)",
            ],
        },
        Case {
            name: "two actions for one call",
            from: "method: DELETE\n        path: /submissions/*",
            to: "method: POST\n        path: /submissions",
            want: &[
                "m.yaml:49:15: services[1].actions[1].path: POST /submissions repeats services[1].actions[0].path (allowed: one action for a method and path)",
            ],
        },
        Case {
            name: "ticket rule unknown",
            from: "ticket: required",
            to: "ticket: maybe",
            want: &[
                "m.yaml:44:17: services[1].actions[0].ticket: \"maybe\" is unknown (allowed: one of required, optional)",
            ],
        },
        Case {
            name: "refuses duplicates as text",
            from: "refuses_duplicates: false",
            to: "refuses_duplicates: \"no\"",
            want: &["m.yaml:45:29: services[1].actions[0].refuses_duplicates: found text (allowed: true or false)"],
        },
        Case {
            name: "not run status of success",
            from: "not_run_status: [429]",
            to: "not_run_status: [429, 200]",
            want: &[
                "m.yaml:46:31: services[1].actions[0].not_run_status[1]: 200 is out of range (allowed: a whole number from 400 to 599)",
            ],
        },
        Case {
            name: "not run status beyond 599",
            from: "not_run_status: [429]",
            to: "not_run_status: [600]",
            want: &[
                "m.yaml:46:26: services[1].actions[0].not_run_status[0]: 600 is out of range (allowed: a whole number from 400 to 599)",
            ],
        },
        Case {
            name: "actions of a model service",
            from: "    pools: 2\n",
            to: "    pools: 2\n    actions: [{name: a, method: GET, path: /}]\n",
            want: &[
                "m.yaml:17:14: services[0].actions: a model service has no actions (allowed: actions only for kind plain)",
            ],
        },
        Case {
            name: "class name with a space",
            from: "name: summary",
            to: "name: a summary",
            want: &[
                "m.yaml:59:11: classes[1].name: contains ' ' (allowed: 1 to 64 characters of a-z, 0-9, '-', '_', '.')",
            ],
        },
        Case {
            name: "class name repeated",
            from: "name: summary",
            to: "name: draft",
            want: &["m.yaml:59:11: classes[1].name: draft repeats classes[0].name (allowed: each class name once)"],
        },
        Case {
            name: "class service unknown",
            from: "service: redactor-llm\n    tier: 5",
            to: "service: other\n    tier: 5",
            want: &[
                "m.yaml:60:14: classes[1].service: \"other\" is unknown (allowed: the id of a service of this manifest)",
            ],
        },
        Case {
            name: "tier zero",
            from: "tier: 1",
            to: "tier: 0",
            want: &["m.yaml:53:11: classes[0].tier: 0 is out of range (allowed: a whole number from 1 to 6)"],
        },
        Case {
            name: "tier beyond 6",
            from: "tier: 1",
            to: "tier: 7",
            want: &["m.yaml:53:11: classes[0].tier: 7 is out of range (allowed: a whole number from 1 to 6)"],
        },
        Case {
            name: "priority beyond its type",
            from: "priority: 10",
            to: "priority: 256",
            want: &["m.yaml:54:15: classes[0].priority: 256 is out of range (allowed: a whole number from 0 to 255)"],
        },
        Case {
            name: "first token zero",
            from: "first_token: 1500ms",
            to: "first_token: 0s",
            want: &[
                "m.yaml:55:18: classes[0].first_token: \"0s\" is zero (allowed: above 0 and up to 1h with its unit, such as 250ms, 2s or 15m)",
            ],
        },
        Case {
            name: "first token without unit",
            from: "first_token: 1500ms",
            to: "first_token: 1500",
            want: &[
                "m.yaml:55:18: classes[0].first_token: found the number 1500 without a unit (allowed: above 0 and up to 1h with its unit, such as 250ms, 2s or 15m)",
            ],
        },
        Case {
            name: "first token beyond an hour",
            from: "first_token: 1500ms",
            to: "first_token: 61m",
            want: &[
                "m.yaml:55:18: classes[0].first_token: \"61m\" is too long (allowed: above 0 and up to 1h with its unit, such as 250ms, 2s or 15m)",
            ],
        },
        Case {
            name: "between tokens zero",
            from: "between_tokens: 60ms",
            to: "between_tokens: 0ms",
            want: &[
                "m.yaml:56:21: classes[0].between_tokens: \"0ms\" is zero (allowed: above 0 and up to 1h with its unit, such as 250ms, 2s or 15m)",
            ],
        },
        Case {
            name: "between tokens of a plain service",
            from: "first_token: 500ms",
            to: "first_token: 500ms\n    between_tokens: 1s",
            want: &[
                "m.yaml:69:21: classes[2].between_tokens: tramite-app is a plain service (allowed: only for a service of kind model)",
            ],
        },
        Case {
            name: "share above 1",
            from: "guaranteed_share: 0.5",
            to: "guaranteed_share: 1.5",
            want: &["m.yaml:57:23: classes[0].guaranteed_share: 1.5 is out of range (allowed: a number from 0 to 1)"],
        },
        Case {
            name: "share negative",
            from: "guaranteed_share: 0.5",
            to: "guaranteed_share: -0.1",
            want: &["m.yaml:57:23: classes[0].guaranteed_share: -0.1 is out of range (allowed: a number from 0 to 1)"],
        },
        Case {
            name: "shares above the sum",
            from: "guaranteed_share: 0.1",
            to: "guaranteed_share: 0.45",
            want: &[
                "m.yaml:63:23: classes[1].guaranteed_share: the shares of redactor-llm add up to 0.950 here (allowed: at most 0.9 over all classes of a service)",
            ],
        },
        Case {
            name: "default as text",
            from: "default: true",
            to: "default: \"true\"",
            want: &["m.yaml:58:14: classes[0].default: found text (allowed: true or false)"],
        },
        Case {
            name: "no default class",
            from: "guaranteed_share: 0.5\n    default: true",
            to: "guaranteed_share: 0.5",
            want: &[
                "m.yaml:13:9: services[0].id: redactor-llm has no default class (allowed: exactly one default class for a service)",
            ],
        },
        Case {
            name: "two default classes",
            from: "preemptible: true",
            to: "preemptible: true\n    default: true",
            want: &[
                "m.yaml:65:14: classes[1].default: draft is the default class of redactor-llm already (allowed: exactly one default class for a service)",
            ],
        },
        Case {
            name: "preemptible as a number",
            from: "preemptible: true",
            to: "preemptible: 0",
            want: &["m.yaml:64:18: classes[1].preemptible: found the number 0 (allowed: true or false)"],
        },
        Case {
            name: "customer id with a space",
            from: "- id: apurimac",
            to: "- id: apu rimac",
            want: &[
                "m.yaml:71:9: customers[0].id: contains ' ' (allowed: 1 to 64 characters of a-z, 0-9, '-', '_', '.')",
            ],
        },
        Case {
            name: "customer id repeated",
            from: "- id: puno",
            to: "- id: apurimac",
            want: &["m.yaml:76:9: customers[1].id: apurimac repeats customers[0].id (allowed: each customer id once)"],
        },
        Case {
            name: "key too short",
            from: "key_sha256: 0000000000000000000000000000000000000000000000000000000000000abc",
            to: "key_sha256: abc",
            want: &[
                "m.yaml:72:17: customers[0].key_sha256: is not a SHA-256 in hex (allowed: 64 lower-case hex digits)",
            ],
        },
        Case {
            name: "key in capitals",
            from: "0000000000000000000000000000000000000000000000000000000000000abc",
            to: "0000000000000000000000000000000000000000000000000000000000000ABC",
            want: &[
                "m.yaml:72:17: customers[0].key_sha256: is not a SHA-256 in hex (allowed: 64 lower-case hex digits)",
            ],
        },
        Case {
            name: "key of two customers",
            from: "0000000000000000000000000000000000000000000000000000000000000def",
            to: "0000000000000000000000000000000000000000000000000000000000000abc",
            want: &[
                "m.yaml:77:17: customers[1].key_sha256: the key repeats customers[0].key_sha256 (allowed: each key for one customer)",
            ],
        },
        Case {
            name: "rate zero",
            from: "requests_per_second: 5",
            to: "requests_per_second: 0",
            want: &["m.yaml:73:26: customers[0].requests_per_second: 0 is out of range (allowed: a number above 0)"],
        },
        Case {
            name: "rate as text",
            from: "requests_per_second: 5",
            to: "requests_per_second: five",
            want: &["m.yaml:73:26: customers[0].requests_per_second: found text (allowed: a number above 0)"],
        },
        Case {
            name: "rate not finite",
            from: "requests_per_second: 5",
            to: "requests_per_second: .inf",
            want: &["m.yaml:73:26: customers[0].requests_per_second: inf is out of range (allowed: a number above 0)"],
        },
        Case {
            name: "burst zero",
            from: "burst: 10",
            to: "burst: 0",
            want: &[
                "m.yaml:74:12: customers[0].burst: 0 is out of range (allowed: a whole number from 1 to 4294967295)",
            ],
        },
        Case {
            name: "weight zero",
            from: "weight: 2",
            to: "weight: 0",
            want: &[
                "m.yaml:75:13: customers[0].weight: 0 is out of range (allowed: a whole number from 1 to 4294967295)",
            ],
        },
        Case {
            name: "order to an unknown endpoint",
            from: "- endpoint: runner-1",
            to: "- endpoint: runner-9",
            want: &[
                "m.yaml:81:15: orders[0].endpoint: \"runner-9\" is unknown (allowed: the id of an endpoint of a service)",
            ],
        },
        Case {
            name: "order of an unknown kind",
            from: "kind: load-model",
            to: "kind: unload",
            want: &[
                "m.yaml:82:11: orders[0].kind: \"unload\" is unknown (allowed: one of load-model, load-adapter, load-version, set-role)",
            ],
        },
        Case {
            name: "order name empty",
            from: "name: redactor\n",
            to: "name: \"\"\n",
            want: &[
                "m.yaml:83:11: orders[0].name: must not be empty (allowed: 1 to 128 printable ASCII characters without spaces)",
            ],
        },
        Case {
            name: "order repeated",
            from: "kind: set-role\n    name: prefill",
            to: "kind: load-model\n    name: redactor",
            want: &["m.yaml:86:11: orders[1].name: the order repeats orders[0].name (allowed: each order once)"],
        },
        Case {
            name: "two roles of an endpoint",
            from: "kind: load-model",
            to: "kind: set-role",
            want: &[
                "m.yaml:86:11: orders[1].name: a role of the endpoint repeats orders[0].name (allowed: one role for an endpoint)",
            ],
        },
        Case {
            name: "unknown field at the top",
            from: "format: 1",
            to: "format: 1\nfromat: 1",
            want: &[
                "m.yaml:2:1: fromat: unknown field (allowed: one of classes, customers, event, format, orders, services, version, zones)",
            ],
        },
        Case {
            name: "unknown field in an endpoint",
            from: "prefill_tokens: 8000",
            to: "prefil_tokens: 8000",
            want: &[
                "m.yaml:23:9: services[0].endpoints[0].prefil_tokens: unknown field (allowed: one of address, checks_sender, cold_slots, fenced, id, prefill_tokens, resumes, slots, zone)",
            ],
        },
        Case {
            name: "field twice",
            from: "tier: 5",
            to: "tier: 5\n    tier: 4",
            want: &["m.yaml:62:5: classes[1].tier: repeated field (allowed: each field once)"],
        },
        Case {
            name: "every fault at once",
            from: "version: 7\nevent:\n  name: call closes",
            to: "version: 0\nevnt: 1\nevent:\n  name: \"\"\n  name: x",
            want: &[
                "m.yaml:2:10: version: 0 is out of range (allowed: a whole number of at least 1)",
                "m.yaml:3:1: evnt: unknown field (allowed: one of classes, customers, event, format, orders, services, version, zones)",
                "m.yaml:5:9: event.name: must not be empty (allowed: 1 to 128 characters, none of them a control character)",
                "m.yaml:6:3: event.name: repeated field (allowed: each field once)",
            ],
        },
        Case {
            name: "a broken value hides no other",
            from: "zones:\n  - id: lima-a",
            to: "zones:\n  - id: 5\n  - id: lima-b\n    region: r",
            want: &[
                "m.yaml:7:5: zones[0].region: missing (allowed: 1 to 64 characters of a-z, 0-9, '-', '_', '.')",
                "m.yaml:7:9: zones[0].id: found the number 5; quote it (allowed: 1 to 64 characters of a-z, 0-9, '-', '_', '.')",
                "m.yaml:10:5: zones[1].region: repeated field (allowed: each field once)",
                "m.yaml:12:9: zones[2].id: lima-b repeats zones[1].id (allowed: each zone id once)",
            ],
        },
        Case {
            name: "not YAML",
            from: "format: 1",
            to: "format: [1",
            want: &["m.yaml:2:8: illegal placement of ':' indicator (allowed: one YAML document)"],
        },
        Case {
            name: "not a block",
            from: "format: 1",
            to: "- 1",
            want: &[
                "m.yaml:2:1: while parsing a block collection, did not find expected '-' indicator (allowed: one YAML document)",
            ],
        },
    ]
}
