//! Three of twelve runners leave; heartbeats that they had sent before are done late by the store.

#[path = "../lib-3/bed.rs"]
mod bed;

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use bed::{Act, Arrivals, BROKEN, HELD, NOT_RUN, Plan, Record, Runner, Store, Temp, attempt_id, call};

const HOST: &str = "ficu95.example";
const SERVICE: &str = "redactor-llm";
const RUNNERS: usize = 12;
/// `scale_in` of a share of 0.25.
const LEAVING: usize = 3;
/// `platform_lost`, `late`: for 4.5 s, 35 in 100 of the writes are done 1 to 6 s later.
const LOST_FOR: Duration = Duration::from_millis(4500);
/// When the last heartbeat of the leaving runners in that time is sent, and how late it is done.
const SENT_AT: Duration = Duration::from_millis(4400);
const LATE: Duration = Duration::from_millis(5900);
/// `contact_ms`: the store is stable once it has been without impairment for so long.
const CONTACT: Duration = Duration::from_millis(3000);
/// When the store confirms that the runners are gone: it is stable again.
const GONE_AT: Duration = Duration::from_millis(7700);
/// `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2000);
/// Time from a late write until the store drops a record that nobody renews: three ping intervals.
const LAPSE: Duration = Duration::from_millis(3600);
/// When the runners exit: "a little longer (at times many seconds)" than `drain_ms` after they are gone.
const EXIT_AT: Duration = Duration::from_millis(13_400);
const PLAYED: Duration = Duration::from_secs(18);
const CONSUMERS: usize = 120;

fn config() -> Vec<u8> {
    format!(
        r#"{{"version":1,"routes":[{{"name":"narrative-draft","host":"{HOST}","path_prefix":"/narrative-draft/","kind":"streaming","timeout_ms":15000,"target_latency_ms":300,"itl_target_ms":200,"priority":0,"service":"{SERVICE}","max_attempts":1,"anonymous":false,"sticky":true,"resumable":false}}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_connections":630,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":18.0,"engine":{{"slots":128,"kv_capacity":352253,"kv_bytes":35136,"link_mbps":180000.0,"moves":true,"backups":true,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"kv_handle_s":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}}]}}"#
    )
    .into_bytes()
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the case's folder"));
    let root = PathBuf::from(std::env::args().nth(2).expect("the repository"));
    let code = play(&folder, &root);
    std::process::exit(code);
}

/// Sends requests on new connections, one after the other.
fn consume(addr: std::net::SocketAddr, consumer: u64, is_over: &AtomicBool, served: &AtomicU64, unserved: &Mutex<Vec<(String, String)>>, record: &Record) {
    let mut turn = 0_u64;
    while !is_over.load(Ordering::Relaxed) {
        turn += 1;
        let attempt = attempt_id();
        let subject = (consumer * 1000 + turn) % 97;
        let headers = [
            ("Host", HOST.to_owned()),
            ("X-Attempt-Id", attempt.clone()),
            ("X-Model", "m".to_owned()),
            ("X-Token-Usage", "715,280".to_owned()),
            ("X-Prefix-Hash", format!("{:x}:103,{:x}:69,{:x}:543", 0xa000 + subject % 7, 0xb000 + subject, 0xc0_0000 + consumer * 100_000 + turn)),
            ("X-Deadline-Ms", "15000".to_owned()),
            ("Api-Key", "n2ctnfzs989anu6wsjnb".to_owned()),
        ];
        let body = format!("question {consumer} {turn}");
        let answer = call(addr, "POST", "/narrative-draft/2f", &headers, body.as_bytes(), Duration::from_secs(16));
        record.line(format!("{attempt}: {}", answer.text()));
        served.fetch_add(u64::from(answer.is_served()), Ordering::Relaxed);
        if !answer.is_served() {
            unserved.lock().unwrap().push((attempt, answer.text()));
        }
        sleep(Duration::from_millis(20));
    }
}

fn play(folder: &Path, root: &Path) -> i32 {
    let record = Record::create(folder);
    let temp = Temp::create("14");
    let store = Store::start();
    let arrivals: Arrivals = Arc::default();
    store.put("op/config", &config());
    let run = Arc::new(|_: &bed::Req| Act::Stream(70, Duration::from_millis(10)));
    let zones = ["lima-a", "lima-b", "lima-c", "lima-d"];
    let runners: Vec<Runner> = (0..RUNNERS).map(|n| Runner::start(&store, SERVICE, zones[n % 4], 128, &arrivals, run.clone())).collect();
    let plan = Plan { memory_mb: 110, zones: vec!["lima-a", "lima-b"], doors: Vec::new() };
    let routers = bed::start_routers(root, &temp.0, &store, &plan);
    if !bed::wait_ready(&routers, Duration::from_secs(10)) {
        record.say("the routers aren't ready");
        return NOT_RUN;
    }
    // Traffic starts 10 s after the machines do.
    sleep(Duration::from_secs(10));
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let unserved: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|n| {
            let (addr, is_over, served, record) = (routers[n % routers.len()].callers, is_over.clone(), served.clone(), record.clone());
            let unserved = unserved.clone();
            thread::spawn(move || consume(addr, n as u64, &is_over, &served, &unserved, &record))
        })
        .collect();
    sleep(Duration::from_secs(2));
    let leaving = &runners[..LEAVING];
    let began = Instant::now();
    let until = |at: Duration| sleep(at.saturating_sub(began.elapsed()));
    if bed::has_trouble() {
        record.say(format!("for {LOST_FOR:?} the store does a part of the writes late"));
        until(SENT_AT);
        record.say(format!("the heartbeats of {LEAVING} runners are sent; they are done {LATE:?} later"));
    }
    // No impairment from here on.
    until(GONE_AT.max(LOST_FOR + CONTACT));
    for runner in leaving {
        let revision = store.delete(&format!("servers/{}", runner.id));
        record.say(format!("{} has left without a report: the store confirms that its entry is gone, revision {revision}", runner.id));
    }
    let gone = Instant::now();
    if !bed::has_trouble() {
        until(EXIT_AT);
        leaving.iter().for_each(Runner::exit);
        record.say("the runners that left exit");
    }
    if bed::has_trouble() {
        until(SENT_AT + LATE);
        for runner in leaving {
            let revision = runner.publish("ready", 20);
            record.say(format!("the store does the late heartbeat of {}, revision {revision}", runner.id));
        }
        until(EXIT_AT);
        leaving.iter().for_each(Runner::exit);
        record.say("the runners that left exit");
        until(SENT_AT + LATE + LAPSE);
        for runner in leaving {
            store.delete(&format!("servers/{}", runner.id));
            record.say(format!("the store drops the entry of {}, which nobody renews", runner.id));
        }
    }
    until(PLAYED);
    is_over.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let arrivals = arrivals.lock().unwrap();
    let unserved = unserved.lock().unwrap();
    let mut late = 0;
    for runner in leaving {
        let of_runner = || arrivals.iter().filter(|arrival| arrival.runner == runner.id && arrival.has_run);
        let reached: Vec<f64> = of_runner().filter(|arrival| arrival.at > gone + DRAIN).map(|arrival| (arrival.at - gone).as_secs_f64()).collect();
        late += reached.len();
        record.say(format!(
            "{}: {} requests in all, {} later than {DRAIN:?} after it was gone{}",
            runner.id,
            of_runner().count(),
            reached.len(),
            reached.first().map_or(String::new(), |first| format!(", from {first:.3} s to {:.3} s", reached.last().unwrap_or(first)))
        ));
    }
    let after = |attempt: &str| arrivals.iter().any(|arrival| arrival.attempt == attempt && arrival.has_run && arrival.at > gone + DRAIN && leaving.iter().any(|runner| runner.id == arrival.runner));
    let lost: Vec<String> = unserved.iter().filter(|(attempt, _)| after(attempt)).map(|(attempt, text)| format!("{attempt} ({text})")).collect();
    record.say(format!("{} of these were never answered whole: {}", lost.len(), lost.join(", ")));
    let served = served.load(Ordering::Relaxed);
    record.say(format!("{served} requests served; {late} reached a runner that had left"));
    if served == 0 {
        return NOT_RUN;
    }
    if late > 0 { BROKEN } else { HELD }
}
