//! Case 8: a runner's older beat reaches the store after its report that it is draining.

#[path = "../lib-2/bed.rs"]
mod bed;

use std::collections::HashMap;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use bed::{Answer, BROKEN, CANNOT_RUN, Consumer, HELD, HOST, KEY, Record, Routers, Runner, Store};

/// `drain_ms` of the pages' example.
const DRAIN: Duration = Duration::from_millis(2000);
/// `heartbeat_ms` of the pages' example.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time after it was sent at which the older beat is done: the pages name 1 to 6 s.
const LATE: Duration = Duration::from_millis(4300);
/// Time for which the leaving runner serves after the store has its report: `drain_ms` and a little longer.
const SERVES: Duration = Duration::from_millis(3800);
/// Time that a runner works on a request.
const WORK: Duration = Duration::from_millis(400);
/// Time in which the consumers warm up before the runner leaves.
const WARM_UP: Duration = Duration::from_secs(5);
/// Consumers, spread over the routers.
const CONSUMERS: usize = 15;
/// Pause of a consumer between two requests.
const PAUSE: Duration = Duration::from_millis(60);
const ROUTERS: u8 = 3;
const RUNNERS: [(&str, &str); 4] = [("i-one", "zone-0"), ("i-two", "zone-1"), ("i-three", "zone-0"), ("i-leaving", "zone-1")];

fn config() -> String {
    let route = |name: &str, path: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","path_prefix":"{path}","kind":"{kind}","timeout_ms":2000,"target_latency_ms":300,"priority":1,"service":"filing","max_attempts":{attempts},"anonymous":false,"sticky":false,"resumable":false}}"#
        )
    };
    format!(
        r#"{{"version":7,"routes":[{},{}],"services":[{{"name":"filing","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"tenant-one","api_keys":["{KEY}"],"priority":1}}]}}"#,
        route("submit", "/submit/", "unsafe", 1),
        route("read", "/read/", "safe", 2)
    )
}

/// What a consumer sent, and when.
struct Sent {
    kind: &'static str,
    at: Instant,
    answer: Answer,
}

fn main() {
    exit(run().unwrap_or_else(|error| {
        println!("the case couldn't run: {error}");
        CANNOT_RUN
    }));
}

fn run() -> std::io::Result<i32> {
    let record = Record::create("review/8/record.txt")?;
    let has_trouble = bed::has_trouble();
    let store = Store::start()?;
    store.put("op/config", &config());
    let mut runners = Vec::new();
    for (id, zone) in RUNNERS {
        let runner = Runner::start(id, "filing", zone, WORK)?;
        store.put(&runner.key(), &runner.next_entry("ready"));
        runners.push(runner);
    }
    let routers = Routers::start(ROUTERS, &store)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<HashMap<String, Sent>>> = Arc::default();
    let consumers = start_consumers(&routers, &is_over, &sent);
    sleep(WARM_UP);

    let leaving = &runners[RUNNERS.len() - 1];
    // The last beat before the runner leaves: the store does it late and doesn't answer. Nothing else is disturbed.
    let older_beat = leaving.next_entry("ready");
    let older_sent = Instant::now();
    record.line(&format!("{} sends the beat {older_beat}", leaving.id));
    sleep(HEARTBEAT);
    let report = leaving.next_entry("draining");
    store.put(&leaving.key(), &report);
    let acknowledged = Instant::now();
    record.say(&format!("the store acknowledges the report {report}"));

    let mut is_done_late = false;
    let mut next_beat = acknowledged + HEARTBEAT;
    while acknowledged.elapsed() < SERVES {
        if has_trouble && !is_done_late && older_sent.elapsed() >= LATE {
            is_done_late = true;
            store.put(&leaving.key(), &older_beat);
            let after = acknowledged.elapsed().as_millis();
            record.say(&format!("{after} ms after that the store does the older beat, {} ms late", LATE.as_millis()));
        }
        if Instant::now() >= next_beat {
            next_beat += HEARTBEAT;
            let beat = leaving.next_entry("draining");
            // An entry changes when more than `sequence` changes.
            if store.value(&leaving.key()).is_some_and(|value| value.contains("\"ready\"")) {
                store.put(&leaving.key(), &beat);
            }
        }
        sleep(Duration::from_millis(5));
    }
    leaving.end();
    store.delete(&leaving.key());
    record.say(&format!("{} exits {} ms after its report", leaving.id, acknowledged.elapsed().as_millis()));
    sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    consumers.into_iter().for_each(|consumer| drop(consumer.join()));
    drop(routers);
    let sent = sent.lock().unwrap();
    let code = judge(&record, &runners, &sent, acknowledged);
    Ok(code)
}

fn start_consumers(
    routers: &Routers,
    is_over: &Arc<AtomicBool>,
    sent: &Arc<Mutex<HashMap<String, Sent>>>,
) -> Vec<thread::JoinHandle<()>> {
    let count = Arc::new(AtomicU64::new(0));
    let start = |index: usize| {
        let router = routers.callers[index % routers.callers.len()];
        let (is_over, sent, count) = (is_over.clone(), sent.clone(), count.clone());
        thread::spawn(move || {
            let mut consumer = Consumer::new(router);
            while !is_over.load(Ordering::SeqCst) {
                let number = count.fetch_add(1, Ordering::SeqCst);
                let id = format!("{number:016x}");
                let at = Instant::now();
                let (kind, answer) = if number % 2 == 0 {
                    ("unsafe", consumer.send("POST", "/submit/form", &id, 2000, b""))
                } else {
                    ("safe", consumer.send("GET", "/read/status", &id, 2000, b""))
                };
                sent.lock().unwrap().insert(id, Sent { kind, at, answer });
                sleep(PAUSE);
            }
        })
    };
    (0..CONSUMERS).map(start).collect()
}

/// DRAIN: no request reaches the runner later than `drain_ms` after the acknowledgement.
fn judge(record: &Record, runners: &[Runner], sent: &HashMap<String, Sent>, acknowledged: Instant) -> i32 {
    let mut late = 0;
    let mut cut = 0;
    let mut last_before = Duration::ZERO;
    for runner in runners {
        for run in runner.runs() {
            let Some(request) = sent.get(&run.id) else {
                continue;
            };
            let reached = run.at.saturating_duration_since(acknowledged);
            let is_late = runner.id == "i-leaving" && reached > DRAIN && request.at > acknowledged;
            record.line(&format!(
                "{} {} {} sent {:+.3} s, reached {} {:+.3} s, answered {}{}{}{}",
                request.kind,
                run.id,
                run.path,
                signed(request.at, acknowledged),
                runner.id,
                signed(run.at, acknowledged),
                request.answer.status,
                if request.answer.is_whole { "" } else { ", not whole" },
                if run.is_cut { ", cut off by the runner's exit" } else { "" },
                if is_late { "  <== later than drain_ms" } else { "" }
            ));
            if is_late {
                late += 1;
                cut += usize::from(run.is_cut);
            } else if runner.id == "i-leaving" {
                last_before = last_before.max(reached);
            }
        }
    }
    let served = sent.values().filter(|request| request.answer.status == 200).count();
    record.say(&format!("{} requests, {served} answered 200", sent.len()));
    record.say(&format!(
        "all routers had stopped: the last request within drain_ms reached the leaving runner {} ms after the report",
        last_before.as_millis()
    ));
    record.say(&format!(
        "requests that reached the leaving runner later than {} ms after its report: {late}, of which {cut} were cut off by its exit",
        DRAIN.as_millis()
    ));
    if served * 2 < sent.len() {
        record.say("the routers didn't serve: the case couldn't run");
        return CANNOT_RUN;
    }
    if late > 0 { BROKEN } else { HELD }
}

/// Seconds from `zero` to `at`, negative before it.
fn signed(at: Instant, zero: Instant) -> f64 {
    if at >= zero { (at - zero).as_secs_f64() } else { -(zero - at).as_secs_f64() }
}
