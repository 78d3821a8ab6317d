//! Sections of the manifest at daemons: read from the service, passed between peers, late and wrong.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use celerytide_capacity::cut::{self, Differs};
use celerytide_load::fleet::{Fleet, yaml};
use celerytide_manifest::{Customer, KeyHash, Split, split};
use celerytide_standin::config::{TEST_MANIFEST_PATH, TEST_SECTION_PATH};
use celerytide_standin::probe;
use serde_json::Value;

/// What is promised for a change.
const IN_FORCE: Duration = Duration::from_secs(16);
const LOOK: Duration = Duration::from_millis(50);
const CUSTOMERS: usize = 1500;
/// Long enough for every daemon to have asked for a section that isn't there.
const ASKED: Duration = Duration::from_secs(5);

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

fn operators(fleet: &Fleet) -> Vec<SocketAddr> {
    let addresses = fleet.instances.iter().map(|i| &i.addresses);
    addresses
        .flat_map(|at| [at.entry_operator, at.dispatch_operator])
        .collect()
}

fn versions(fleet: &Fleet) -> Vec<u64> {
    let version = |addr| {
        let status: Value = probe::get_json(addr, "/status").expect("a status");
        status["manifest"]["version"].as_u64().expect("a version")
    };
    operators(fleet).into_iter().map(version).collect()
}

fn until_in_force(fleet: &Fleet) {
    let begun = Instant::now();
    let want = vec![fleet.manifest.version; fleet.instances.len() * 2];
    while versions(fleet) != want {
        assert!(begun.elapsed() < IN_FORCE, "{:?} in place of {want:?}", versions(fleet));
        thread::sleep(LOOK);
    }
}

/// What a caller with that key is answered.
fn status(entry: SocketAddr, key: &str) -> u16 {
    let authorization = format!("Bearer {key}");
    let headers = [("authorization", authorization.as_str())];
    let reply = probe::send(entry, "GET", "/v1/models", &headers, b"").expect("an answer");
    reply.status
}

fn next_version(fleet: &mut Fleet) -> Split {
    fleet.manifest.version += 1;
    split("m", &yaml::to_yaml(&fleet.manifest).expect("a text")).expect("valid")
}

fn put_section(fleet: &Fleet, digest: &str, text: &str) {
    let path = format!("{TEST_SECTION_PATH}{digest}");
    probe::put(fleet.config.addr(), &path, text.as_bytes()).expect("published");
}

#[test]
fn sections_reach_every_daemon_and_a_late_or_wrong_one_keeps_the_old_manifest() {
    let (mut fleet, _dir) = cut::start(2, Differs::CutOff).expect("a fleet");
    fleet.manifest.customers.extend((0..CUSTOMERS).map(customer));
    let first = next_version(&mut fleet);
    assert!(first.sections.len() > 1);
    for part in &first.sections {
        put_section(&fleet, &part.digest, &part.text);
    }
    let config = fleet.config.addr();
    probe::put(config, TEST_MANIFEST_PATH, first.manifest.as_bytes()).expect("published");
    until_in_force(&fleet);
    for instance in &fleet.instances {
        assert_eq!(status(instance.addresses.caller, "section-3"), 200);
        assert_eq!(status(instance.addresses.caller, "section-x"), 401);
    }

    let before = fleet.manifest.version;
    fleet.manifest.customers.last_mut().expect("a customer").burst = 7;
    let second = next_version(&mut fleet);
    let new: Vec<_> = second
        .sections
        .iter()
        .filter(|part| !first.sections.contains(part))
        .collect();
    assert_eq!(new.len(), 1);
    put_section(&fleet, &new[0].digest, "format: 1\ncustomers: []\n");
    probe::put(config, TEST_MANIFEST_PATH, second.manifest.as_bytes()).expect("published");
    thread::sleep(ASKED);
    assert_eq!(versions(&fleet), vec![before; 4]);
    let audit: Value = probe::get_json(operators(&fleet)[0], "/audit").expect("the trail");
    let told = format!("section celerytide/customers/{} has another digest", new[0].digest);
    assert!(audit.to_string().contains(&told), "{audit}");

    let news = audit.to_string().matches(&new[0].digest).count();
    assert!(news <= 2, "{news} entries for one section in {ASKED:?}");

    put_section(&fleet, &new[0].digest, &new[0].text);
    until_in_force(&fleet);
}
