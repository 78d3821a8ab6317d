//! Prints how long the check of a generated manifest near the largest size takes.

use std::rc::Rc;
use std::time::{Duration, Instant};

use celerytide_manifest::{DOCUMENT_MAX_BYTES, check_manifest, check_section, hash_key, join_sections, split};

const ENDPOINTS: usize = 750;
const ROUNDS: usize = 15;
const CUSTOMERS: usize = 42_000;

fn main() {
    let valid = generate();
    let faulty = valid.replace("weight: 1", "weight: 0");
    time("valid", &valid);
    time("a fault for each customer", &faulty);
    time("many services and classes", &generate_services());
    time("many unknown fields", &generate_unknown());
    time_sections();
}

/// Each section of a split manifest by itself, then all together.
fn time_sections() {
    let Ok(split) = split("generated.yaml", &generate_many()) else {
        return println!("sections: not split");
    };
    time("head of a split manifest", &split.manifest);
    let mut times = Vec::new();
    let mut sections = Vec::new();
    for part in &split.sections {
        let start = Instant::now();
        let section = check_section("section", &part.digest, &part.text);
        times.push(start.elapsed());
        sections.extend(section.map(Rc::new));
    }
    let Ok(checked) = check_manifest("generated.yaml", &split.manifest) else {
        return println!("sections: the head has faults");
    };
    let start = Instant::now();
    let composed = join_sections(checked, sections);
    let joined = start.elapsed();
    times.sort();
    let sizes = split.sections.iter().map(|part| part.text.len());
    println!(
        "{} sections of {CUSTOMERS} customers: {} bytes, largest {}, median {:?}, longest {:?}; joined in {joined:?}, {}",
        split.sections.len(),
        sizes.clone().sum::<usize>(),
        sizes.max().unwrap_or_default(),
        times[times.len() / 2],
        times[times.len() - 1],
        if composed.is_ok() { "valid" } else { "faults" }
    );
}

fn time(name: &str, text: &str) {
    let mut times: Vec<Duration> = (0..ROUNDS).map(|_| time_once(text)).collect();
    times.sort();
    let faults = check_manifest("generated.yaml", text)
        .err()
        .map_or(0, |faults| faults.len());
    let (median, longest) = (times[ROUNDS / 2], times[ROUNDS - 1]);
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

/// As many services as fit, each with one class.
fn generate_services() -> String {
    const PAIRS: usize = 9000;
    let mut text = String::from("format: 1\nversion: 1\nevent: {name: e, start: 2027-01-01T00:00:00Z}\n");
    text.push_str("zones: []\ncustomers: []\nservices:\n");
    for i in 0..PAIRS {
        text.push_str(&format!("- {{id: s{i}, kind: plain, endpoints: []}}\n"));
    }
    text.push_str("classes:\n");
    for i in 0..PAIRS {
        text.push_str(&format!(
            "- {{name: c{i}, service: s{i}, tier: 1, first_token: 1s, default: true}}\n"
        ));
    }
    text
}

/// Unknown fields up to the largest document.
fn generate_unknown() -> String {
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

/// Endpoints of the target size, then customers up to the largest document.
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

/// Endpoints and customers of the target size.
fn generate_many() -> String {
    let mut text = generate_endpoints();
    text.extend((0..CUSTOMERS).map(generate_customer));
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
    for i in 0..ENDPOINTS {
        let address = format!("10.0.{}.{}:80", i / 250, i % 250 + 1);
        let entry = format!("      - {{id: e{i}, address: {address}, zone: a, slots: 8, cold_slots: 2}}\n");
        text.push_str(&entry);
    }
    text.push_str("customers:\n");
    text
}
