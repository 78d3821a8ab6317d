//! Measures how long the checks of generated manifests near the largest size take.

use std::rc::Rc;
use std::time::{Duration, Instant};

use celerytide_manifest::{DOCUMENT_MAX_BYTES, check_manifest, check_section, hash_key, join_sections, split};

const ENDPOINT_COUNT: usize = 750;
const ROUNDS: usize = 15;
const CUSTOMER_COUNT: usize = 42_000;

fn main() {
    let valid = generate();
    let faulty = valid.replace("weight: 1", "weight: 0");
    time("valid", &valid);
    time("a fault for each customer", &faulty);
    time("many services and classes", &generate_services());
    time("many unknown fields", &generate_unknown_fields());
    time_sections();
}

/// Times the check of each section of a split manifest, then the join of all sections.
fn time_sections() {
    let Ok(split) = split("generated.yaml", &generate_oversized()) else {
        return println!("sections: not split");
    };
    time("head of a split manifest", &split.manifest);
    let mut durations = Vec::new();
    let mut sections = Vec::new();
    for part in &split.sections {
        let start = Instant::now();
        let section = check_section("section", &part.digest, &part.text);
        durations.push(start.elapsed());
        sections.extend(section.map(Rc::new));
    }
    let Ok(checked) = check_manifest("generated.yaml", &split.manifest) else {
        return println!("sections: the head has faults");
    };
    let start = Instant::now();
    let result = join_sections(checked, sections);
    let join_time = start.elapsed();
    durations.sort();
    let sizes = split.sections.iter().map(|part| part.text.len());
    println!(
        "{} sections of {CUSTOMER_COUNT} customers: {} bytes, largest {}, median {:?}, longest {:?}; joined in {join_time:?}, {}",
        split.sections.len(),
        sizes.clone().sum::<usize>(),
        sizes.max().unwrap_or_default(),
        durations[durations.len() / 2],
        durations[durations.len() - 1],
        if result.is_ok() { "valid" } else { "faults" }
    );
}

fn time(name: &str, text: &str) {
    let mut durations: Vec<Duration> = (0..ROUNDS).map(|_| time_once(text)).collect();
    durations.sort();
    let faults = check_manifest("generated.yaml", text)
        .err()
        .map_or(0, |faults| faults.len());
    let (median, longest) = (durations[ROUNDS / 2], durations[ROUNDS - 1]);
    println!(
        "{name}: {} bytes, {faults} faults, median {median:?}, longest {longest:?} of {ROUNDS}",
        text.len()
    );
}

fn time_once(text: &str) -> Duration {
    let start = Instant::now();
    let result = check_manifest("generated.yaml", text);
    let elapsed = start.elapsed();
    drop(result);
    elapsed
}

/// A manifest with as many services as fit, each with one class.
fn generate_services() -> String {
    const SERVICE_COUNT: usize = 9000;
    let mut text = String::from("format: 1\nversion: 1\nevent: {name: e, start: 2027-01-01T00:00:00Z}\n");
    text.push_str("zones: []\ncustomers: []\nservices:\n");
    for i in 0..SERVICE_COUNT {
        text.push_str(&format!("- {{id: s{i}, kind: plain, endpoints: []}}\n"));
    }
    text.push_str("classes:\n");
    for i in 0..SERVICE_COUNT {
        text.push_str(&format!(
            "- {{name: c{i}, service: s{i}, tier: 1, first_token: 1s, default: true}}\n"
        ));
    }
    text
}

/// A document of the largest size that consists of unknown fields.
fn generate_unknown_fields() -> String {
    let lines = (0..).map(|i| format!("k{i}: 1\n"));
    let mut text = String::new();
    for line in lines.take_while({
        let mut bytes = 0;
        move |line| {
            bytes += line.len();
            bytes <= DOCUMENT_MAX_BYTES
        }
    }) {
        text.push_str(&line);
    }
    text
}

/// A manifest with the target number of endpoints, and customers up to the largest size.
fn generate() -> String {
    let mut text = generate_endpoints();
    for i in 0.. {
        let entry = generate_customer(i);
        if text.len() + entry.len() > DOCUMENT_MAX_BYTES {
            break;
        }
        text.push_str(&entry);
    }
    text
}

/// A manifest with the target numbers of endpoints and customers.
fn generate_oversized() -> String {
    let mut text = generate_endpoints();
    text.extend((0..CUSTOMER_COUNT).map(generate_customer));
    text
}

fn generate_customer(i: usize) -> String {
    let key = hash_key(&i.to_string());
    let fields = format!("    key_sha256: \"{key}\"\n    requests_per_second: 1\n    burst: 2\n    weight: 1\n");
    format!("  - id: c{i}\n{fields}")
}

fn generate_endpoints() -> String {
    let mut text = String::from("format: 1\nversion: 1\nevent: {name: e, start: 2027-01-01T00:00:00Z}\n");
    text.push_str("zones: [{id: a, region: r}]\n");
    text.push_str("classes: [{name: c, service: s, tier: 1, first_token: 1s, default: true}]\n");
    text.push_str("services:\n  - id: s\n    kind: model\n    models: [m]\n    endpoints:\n");
    for i in 0..ENDPOINT_COUNT {
        let address = format!("10.0.{}.{}:80", i / 250, i % 250 + 1);
        let entry = format!("      - {{id: e{i}, address: {address}, zone: a, slots: 8, cold_slots: 2}}\n");
        text.push_str(&entry);
    }
    text.push_str("customers:\n");
    text
}
