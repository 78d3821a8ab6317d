//! Measures one instance under load: processor time per request and per token, and memory with streams in flight.

use argh::FromArgs;
use celerytide_load::{compare, signals::Shutdown};

use crate::{
    Error,
    report::{Report, Row, parse_sizes},
};

const MIB: f64 = 1024.0 * 1024.0;
/// Number of streams per caller of plain calls.
const STREAMS_PER_CALLER: usize = 4;
const LATENCY_REQUESTS_PER_SECOND: f64 = 20.0;
const THREADS: usize = 2;

/// Measure one instance under load.
#[derive(FromArgs, Debug, Clone)]
#[argh(subcommand, name = "requests")]
pub struct Options {
    /// numbers of streams at once
    #[argh(option, default = "String::from(\"30,60,120,240,480\")")]
    pub sizes: String,
    /// seconds of each of the four measurements of a size
    #[argh(option, default = "4.0")]
    pub seconds: f64,
}

/// Measures each size in turn.
pub fn run(options: &Options) -> Result<Report, Error> {
    let shutdown = Shutdown::register()?;
    let rows = parse_sizes(&options.sizes)?
        .into_iter()
        .map(|size| measure(options, &shutdown, size));
    let rows = rows.collect::<Result<Vec<_>, _>>()?;
    Ok(Report::new(
        "One instance under load, closed loop",
        "streams at once",
        rows,
    ))
}

fn measure(options: &Options, shutdown: &Shutdown, size: usize) -> Result<Row, Error> {
    eprintln!("requests: {size} streams ...");
    let comparison = compare::Options {
        rate: LATENCY_REQUESTS_PER_SECOND,
        seconds: options.seconds,
        callers: (size / STREAMS_PER_CALLER).max(1),
        streams: size,
        threads: THREADS,
        seed: 1,
        out: None,
    };
    let results = compare::measure(&comparison, shutdown)?;
    let (plain, streamed) = (&results.plain, &results.streamed);
    let through = &streamed.through;
    let tokens_per_request = through.tokens_per_second / through.requests_per_second.max(f64::MIN_POSITIVE);
    Ok(Row::new(size)
        .with("plain calls/s", plain.through.requests_per_second)
        .with("entry µs a plain call", plain.entry_us_per_request)
        .with("dispatch µs a plain call", plain.dispatch_us_per_request)
        .with("tokens/s", through.tokens_per_second)
        .with("entry µs a token", streamed.entry_us_per_request / tokens_per_request)
        .with(
            "dispatch µs a token",
            streamed.dispatch_us_per_request / tokens_per_request,
        )
        .with("entry resident MiB", streamed.entry_resident_bytes as f64 / MIB)
        .with("dispatch resident MiB", streamed.dispatch_resident_bytes as f64 / MIB)
        .with("failed", (plain.through.failed + through.failed) as f64))
}
