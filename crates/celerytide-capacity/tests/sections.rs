//! Manifest sections reach every daemon from the configuration service or from peers; a late or wrong section keeps the
//! old manifest in force.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use celerytide_capacity::mixed_fleet::{self, Override};
use celerytide_load::fleet::{Fleet, yaml};
use celerytide_manifest::{Customer, KeyHash, Split, split};
use celerytide_standin::config::{TEST_MANIFEST_PATH, TEST_SECTION_PATH};
use celerytide_standin::probe;
use serde_json::Value;

/// Guaranteed time for a change to be in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(16);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CUSTOMERS: usize = 1500;
/// Time after which every daemon has tried to fetch a missing section.
const FETCH_TIME: Duration = Duration::from_secs(5);

fn customer(i: usize) -> Customer {
    let id = format!("section-{i}");
    Customer {
        key_sha256: KeyHash::of(&id),
        id,
        requests_per_second: 1.0,
        burst: 1,
        weight: 1,
    }
}

fn operator_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    let addresses = fleet.instances.iter().map(|i| &i.addresses);
    addresses
        .flat_map(|addresses| [addresses.entry_operator, addresses.dispatch_operator])
        .collect()
}

fn versions(fleet: &Fleet) -> Vec<u64> {
    let version = |addr| {
        let status: Value = probe::get_json(addr, "/status").expect("status");
        status["manifest"]["version"].as_u64().expect("version")
    };
    operator_addresses(fleet).into_iter().map(version).collect()
}

fn wait_in_force(fleet: &Fleet) {
    let start = Instant::now();
    let want = vec![fleet.manifest.version; fleet.instances.len() * 2];
    while versions(fleet) != want {
        assert!(
            start.elapsed() < IN_FORCE_TIMEOUT,
            "{:?} in place of {want:?}",
            versions(fleet)
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// HTTP status of a request for the models with this key.
fn models_status(entry: SocketAddr, key: &str) -> u16 {
    let authorization = format!("Bearer {key}");
    let headers = [("authorization", authorization.as_str())];
    let response = probe::send(entry, "GET", "/v1/models", &headers, b"").expect("response");
    response.status
}

fn next_version(fleet: &mut Fleet) -> Split {
    fleet.manifest.version += 1;
    split("m", &yaml::to_yaml(&fleet.manifest).expect("yaml")).expect("valid")
}

fn put_section(fleet: &Fleet, digest: &str, text: &str) {
    let path = format!("{TEST_SECTION_PATH}{digest}");
    probe::put(fleet.config.addr(), &path, text.as_bytes()).expect("published");
}

#[test]
fn late_or_wrong_section_keeps_the_old_manifest_in_force() {
    let (mut fleet, _dir) = mixed_fleet::start(2, Override::NoConfigService).expect("fleet");
    fleet.manifest.customers.extend((0..CUSTOMERS).map(customer));
    let first = next_version(&mut fleet);
    assert!(first.sections.len() > 1);
    for section in &first.sections {
        put_section(&fleet, &section.digest, &section.text);
    }
    let config = fleet.config.addr();
    probe::put(config, TEST_MANIFEST_PATH, first.manifest.as_bytes()).expect("published");
    wait_in_force(&fleet);
    for instance in &fleet.instances {
        assert_eq!(models_status(instance.addresses.caller, "section-3"), 200);
        assert_eq!(models_status(instance.addresses.caller, "section-x"), 401);
    }

    let before = fleet.manifest.version;
    fleet.manifest.customers.last_mut().expect("customer").burst = 7;
    let second = next_version(&mut fleet);
    let new: Vec<_> = second
        .sections
        .iter()
        .filter(|section| !first.sections.contains(section))
        .collect();
    assert_eq!(new.len(), 1);
    put_section(&fleet, &new[0].digest, "format: 1\ncustomers: []\n");
    probe::put(config, TEST_MANIFEST_PATH, second.manifest.as_bytes()).expect("published");
    thread::sleep(FETCH_TIME);
    assert_eq!(versions(&fleet), vec![before; 4]);
    let audit: Value = probe::get_json(operator_addresses(&fleet)[0], "/audit").expect("audit trail");
    let message = format!("section celerytide/customers/{} has another digest", new[0].digest);
    assert!(audit.to_string().contains(&message), "{audit}");

    let entries = audit.to_string().matches(&new[0].digest).count();
    assert!(entries <= 2, "{entries} entries for one section in {FETCH_TIME:?}");

    put_section(&fleet, &new[0].digest, &new[0].text);
    wait_in_force(&fleet);
}
