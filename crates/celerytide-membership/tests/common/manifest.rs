//! Small manifests for tests.

use std::cell::RefCell;
use std::collections::HashMap;

use celerytide_manifest::{CheckedManifest, Fault, Manifest, check_manifest, hash_key};

/// Text of a valid manifest; `zone_state` is the state of zone `z-0`.
pub fn text(version: u64, zone_state: &str) -> String {
    format!(
        "format: 1\nversion: {version}\nevent: {{ name: opening, start: \"2026-03-01T12:00:00Z\" }}\n\
         zones:\n  - {{ id: z-0, region: r, state: {zone_state} }}\n  - {{ id: z-1, region: r }}\n\
         services:\n  - id: llm\n    kind: model\n    models: [m]\n    endpoints:\n\
         \x20     - {{ id: e-0, address: \"127.0.0.1:1\", zone: z-0, slots: 8, cold_slots: 2 }}\n\
         classes:\n  - {{ name: c, service: llm, tier: 1, first_token: 1s, default: true }}\n\
         customers:\n  - {{ id: a, key_sha256: \"{key}\", requests_per_second: 1.0, burst: 1 }}\n",
        key = "0".repeat(64),
    )
}

/// Checked manifest with the text of [`text`].
pub fn manifest(version: u64, zone_state: &str) -> Manifest {
    cached_check("test", &text(version, zone_state))
        .expect("the text is valid")
        .manifest
}

/// The real check with a cache by text, for simulations that start many processes.
pub fn cached_check(file: &str, text: &str) -> Result<CheckedManifest, Vec<Fault>> {
    thread_local! {
        static CHECKED: RefCell<HashMap<String, Result<CheckedManifest, Vec<Fault>>>> = RefCell::default();
    }
    CHECKED.with_borrow_mut(|checked| {
        let check = || check_manifest(file, text);
        checked.entry(text.to_owned()).or_insert_with(check).clone()
    })
}

/// Text of a section with one customer.
pub fn section(customer: &str) -> String {
    let key = hash_key(customer);
    format!("format: 1\ncustomers:\n- {{id: {customer}, key_sha256: \"{key}\", requests_per_second: 1.0, burst: 1}}\n")
}

/// Text of a valid manifest whose sections have the texts `sections`.
pub fn with_sections(version: u64, sections: &[String]) -> String {
    let digests: Vec<String> = sections.iter().map(|text| format!("\"{}\"", hash_key(text))).collect();
    format!("{}customer_sections: [{}]\n", text(version, "in"), digests.join(", "))
}
