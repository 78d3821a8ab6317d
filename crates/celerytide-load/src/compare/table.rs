//! Markdown tables of a comparison.

use std::fmt::Write;

use super::{Latency, Results, Throughput};

const MIB: f64 = 1024.0 * 1024.0;
const GIB: f64 = 1024.0 * MIB;

/// Formats the results as Markdown tables.
pub(super) fn markdown(results: &Results) -> String {
    let mut text = String::from("# Calls through an entry beside direct calls\n\n");
    let machine = &results.machine;
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "{} cores of {:?}, {:.0} GiB; {} build; load averages at the start {}. Seed {}, {:.0} s each.\n",
        machine.cores,
        machine.processor,
        machine.memory_bytes as f64 / GIB,
        machine.build,
        machine.load,
        results.seed,
        results.seconds,
    );
    let _ = writeln!(
        text,
        "Open loop, {:.0} requests/s each way, counted from the intended time:\n",
        results.rate
    );
    text.push_str("| latency | way | count | failed | p50 ms | p95 ms | p99 ms | max ms |\n");
    text.push_str("|---|---|---|---|---|---|---|---|\n");
    latency(&mut text, "first token", &results.first_token);
    latency(&mut text, "between tokens", &results.between_tokens);
    text.push_str("\nClosed loop, one instance:\n\n");
    text.push_str("| what | way | requests | failed | requests/s | tokens/s | p50 ms | p99 ms |\n");
    text.push_str("|---|---|---|---|---|---|---|---|\n");
    throughput(&mut text, "plain calls", &results.plain);
    throughput(&mut text, "streams", &results.streamed);
    text.push_str("\n| what | daemon | processor µs a request | part of a core | resident MiB |\n");
    text.push_str("|---|---|---|---|---|\n");
    usage(&mut text, "plain calls", &results.plain);
    usage(&mut text, "streams", &results.streamed);
    text
}

fn latency(text: &mut String, name: &str, latency: &Latency) {
    let ways = [("direct", &latency.direct), ("through", &latency.through)];
    for ((way, values), failed) in ways.into_iter().zip(latency.failed) {
        let _ = writeln!(
            text,
            "| {name} | {way} | {} | {failed} | {:.3} | {:.3} | {:.3} | {:.3} |",
            values.count, values.p50_ms, values.p95_ms, values.p99_ms, values.max_ms
        );
    }
    let (direct, through) = (&latency.direct, &latency.through);
    let _ = writeln!(
        text,
        "| {name} | **added** | | | {:.3} | {:.3} | {:.3} | |",
        through.p50_ms - direct.p50_ms,
        through.p95_ms - direct.p95_ms,
        through.p99_ms - direct.p99_ms
    );
    if !latency.first_failure.is_empty() {
        let _ = writeln!(
            text,
            "| {name} | first failure through | {} | | | | | |",
            latency.first_failure
        );
    }
}

fn throughput(text: &mut String, name: &str, both: &Throughput) {
    for (way, load) in [("direct", &both.direct), ("through", &both.through)] {
        let _ = writeln!(
            text,
            "| {name} | {way} | {} | {} | {:.0} | {:.0} | {:.3} | {:.3} |",
            load.requests,
            load.failed,
            load.requests_per_second,
            load.tokens_per_second,
            load.total.p50_ms,
            load.total.p99_ms
        );
        if !load.first_failure.is_empty() {
            let _ = writeln!(
                text,
                "| {name} | first failure {way} | {} | | | | | |",
                load.first_failure
            );
        }
    }
}

fn usage(text: &mut String, name: &str, both: &Throughput) {
    let entry = (
        both.entry_us_per_request,
        both.entry_core_share,
        both.entry_resident_bytes,
    );
    let dispatch = (
        both.dispatch_us_per_request,
        both.dispatch_core_share,
        both.dispatch_resident_bytes,
    );
    for (daemon, (micros, share, resident)) in [("entry", entry), ("dispatch", dispatch)] {
        let _ = writeln!(
            text,
            "| {name} | {daemon} | {micros:.1} | {share:.3} | {:.1} |",
            resident as f64 / MIB
        );
    }
}
