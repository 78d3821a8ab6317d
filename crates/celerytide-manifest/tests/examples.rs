//! The example documents of the repository pass the checks and agree with their comments.

use std::path::Path;

use celerytide_manifest::{
    EntrySettings, Manifest, check_dispatch_settings, check_entry_settings, check_manifest, hash_key,
};

struct Case {
    folder: &'static str,
    zones: usize,
    region: &'static str,
    model_service: &'static str,
    runners: usize,
    plain_service: &'static str,
    replicas: usize,
    customers: usize,
}

const CASES: [Case; 2] = [
    Case {
        folder: "fondo-andino",
        zones: 4,
        region: "lima-region",
        model_service: "redactor-llm",
        runners: 12,
        plain_service: "tramite-app",
        replicas: 4,
        customers: 10,
    },
    Case {
        folder: "peachline",
        zones: 3,
        region: "us-southeast",
        model_service: "assist-llm",
        runners: 18,
        plain_service: "portal-app",
        replicas: 3,
        customers: 10,
    },
];

fn read(folder: &str, name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    std::fs::read_to_string(root.join(folder).join(name)).expect("an example")
}

fn manifest(case: &Case) -> Manifest {
    let text = read(case.folder, "manifest.yaml");
    check_manifest("manifest.yaml", &text)
        .expect("a valid manifest")
        .manifest
}

fn entry(case: &Case) -> EntrySettings {
    check_entry_settings("entry.yaml", &read(case.folder, "entry.yaml")).expect("valid settings")
}

#[test]
fn every_example_passes_the_checks() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut checked = 0;
    for folder in std::fs::read_dir(root).expect("examples") {
        let folder = folder.expect("a folder").file_name();
        let folder = folder.to_str().expect("a readable name");
        check_manifest("manifest.yaml", &read(folder, "manifest.yaml")).expect("a valid manifest");
        check_entry_settings("entry.yaml", &read(folder, "entry.yaml")).expect("valid settings");
        check_dispatch_settings("dispatch.yaml", &read(folder, "dispatch.yaml")).expect("valid settings");
        checked += 1;
    }
    assert_eq!(checked, CASES.len());
}

#[test]
fn manifests_have_the_sizes_of_their_deployments() {
    for case in CASES {
        let manifest = manifest(&case);
        let endpoints = |id| manifest.service(id).map_or(0, |service| service.endpoints.len());
        assert_eq!(manifest.zones.len(), case.zones, "{}", case.folder);
        assert!(
            manifest.zones.iter().all(|zone| zone.region == case.region),
            "{}",
            case.folder
        );
        assert_eq!(endpoints(case.model_service), case.runners, "{}", case.folder);
        assert_eq!(endpoints(case.plain_service), case.replicas, "{}", case.folder);
        assert_eq!(manifest.customers.len(), case.customers, "{}", case.folder);
    }
}

#[test]
fn customers_have_the_documented_keys() {
    for case in CASES {
        for customer in manifest(&case).customers {
            let key = format!("example-key-{}", customer.id);
            assert_eq!(customer.key_sha256.to_string(), hash_key(&key), "{}", customer.id);
        }
    }
}

#[test]
fn settings_name_a_zone_of_the_manifest_and_state_the_defaults() {
    for case in CASES {
        let cfg = entry(&case);
        let manifest = manifest(&case);
        let zone = manifest.zone(&cfg.zone).expect("a zone of the manifest");
        assert_eq!(zone.region, cfg.region);
        assert_eq!(cfg.limits, Default::default());
        assert_eq!(cfg.timeouts, Default::default());
        let dispatch = check_dispatch_settings("dispatch.yaml", &read(case.folder, "dispatch.yaml"));
        let dispatch = dispatch.expect("valid settings");
        assert_eq!(dispatch.timeouts, Default::default());
        assert_eq!(dispatch.instance, cfg.instance);
    }
}
