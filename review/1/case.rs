//! Case 1: a runner states a very long idle timeout in `Keep-Alive`, and each node that hears it ends.

#[path = "../lib/bed.rs"]
mod bed;

use std::collections::HashSet;
use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use bed::*;

const NODES: u8 = 2;
const CONSUMERS: usize = 16;
const WORK: Duration = Duration::from_millis(100);
/// When the release begins: the third runner is replaced by one of a new version.
const RELEASE_AT: Duration = Duration::from_secs(4);
const END_AT: Duration = Duration::from_secs(14);
/// Idle timeout that the new version states: longer than any connection is idle.
const UNLIMITED: &str = "Keep-Alive: timeout=9223372036854775807\r\n";
const USUAL: &str = "Keep-Alive: timeout=15\r\n";

#[derive(Default)]
struct Seen {
    /// Attempt ids that a sound runner of the old version began to run.
    run: Mutex<HashSet<String>>,
    /// Ids of kept connections that ended without a byte of an answer.
    unanswered: Mutex<Vec<String>>,
    answers: AtomicU64,
}

fn main() {
    let dir = case_dir();
    let record = Record::create(&dir);
    let trouble = has_trouble();
    let bed = Bed::new(NODES);
    let seen = Arc::new(Seen::default());
    put_config(
        &bed.store,
        7,
        &[Route { name: "puxa403", kind: "unsafe", service: "wuno96b", timeout_ms: 4000, max_attempts: 1, resumable: false }],
    );
    let runner = |id: &'static str, keep_alive: &'static str, is_old: bool| {
        let (seen, record) = (seen.clone(), record.clone());
        let address = start_runner(bed.ip(), id, move |req, _, out| {
            record.line(&format!("runner {id}: runs {}", req.id()));
            if is_old {
                seen.run.lock().unwrap().insert(req.id().to_owned());
            }
            sleep(WORK);
            let head = sealed("200 OK", req.id(), &format!("{keep_alive}Content-Length: 4\r\n\r\n"));
            out.write_all((head + "done").as_bytes()).is_ok()
        });
        publish_runner(&bed.store, id, "wuno96b", address, 32)
    };
    let old: Vec<_> = ["i-1", "i-2", "i-3"].map(|id| runner(id, USUAL, true)).into();
    let nodes: Vec<Arc<Node>> = (0..NODES).map(|n| Arc::new(bed.node(n))).collect();
    nodes.iter().for_each(|node| node.wait_ready());
    record.say(&format!("{NODES} nodes are ready; trouble: {trouble}"));
    let began = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let ends: Vec<Arc<AtomicU64>> = nodes.iter().map(|_| Arc::default()).collect();
    let mut tasks = Vec::new();
    let mut watchers = Vec::new();
    let all_done = Arc::new(AtomicBool::new(false));
    for (node, ends) in nodes.iter().zip(&ends) {
        let (node, ends, all_done, record) = (node.clone(), ends.clone(), all_done.clone(), record.clone());
        watchers.push(spawn(move || watch_process(&node, &ends, &all_done, &record)));
    }
    for n in 0..CONSUMERS * usize::from(NODES) {
        let (node, stop, seen, record) = (nodes[n % usize::from(NODES)].clone(), stop.clone(), seen.clone(), record.clone());
        tasks.push(spawn(move || consume(n, node.callers, &stop, &seen, &record)));
    }
    sleep(RELEASE_AT);
    let new = if trouble { UNLIMITED } else { USUAL };
    record.say(&format!("release: i-3 is replaced by i-4, which states {}", new.trim()));
    let _new = runner("i-4", new, false);
    old[2].store(false, Ordering::Relaxed);
    sleep(HEARTBEAT);
    bed.store.delete("servers/i-3");
    sleep(END_AT.saturating_sub(began.elapsed()));
    stop.store(true, Ordering::Relaxed);
    for task in tasks {
        let _ = task.join();
    }
    all_done.store(true, Ordering::Relaxed);
    for watcher in watchers {
        let _ = watcher.join();
    }
    let run = seen.run.lock().unwrap();
    let lost = seen.unanswered.lock().unwrap().iter().filter(|id| run.contains(*id)).count();
    let ends: Vec<u64> = ends.iter().map(|e| e.load(Ordering::Relaxed)).collect();
    for node in &nodes {
        for line in node.lines_with("panicked").iter().take(2) {
            record.line(&format!("{} wrote: {line}", node.name));
        }
    }
    record.say(&format!("answers: {}", seen.answers.load(Ordering::Relaxed)));
    record.say(&format!("processes that ended by themselves, by node: {ends:?}"));
    record.say(&format!("kept connections, passed on to a sound runner, closed without an answer: {lost} (more than 3 break LOST)"));
    let fault = ends.iter().filter(|n| **n >= 3).count() >= 2;
    record.say(&format!("two machines whose processes ended three times (Fault): {fault}"));
    drop(nodes);
    drop(bed);
    std::process::exit(i32::from(lost > 3 || fault));
}

/// Starts the process again after it ended, as the platform does, until the case stops.
fn watch_process(node: &Node, ends: &AtomicU64, stop: &AtomicBool, record: &Record) {
    while !stop.load(Ordering::Relaxed) {
        if let Some(status) = node.ended() {
            ends.fetch_add(1, Ordering::Relaxed);
            record.line(&format!("{}: the process ended by itself: {status}", node.name));
            sleep(ms(300));
            node.restart();
        }
        sleep(ms(20));
    }
}

/// Sends one request after the other on a kept connection.
fn consume(n: usize, callers: SocketAddr, stop: &AtomicBool, seen: &Seen, record: &Record) {
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut out) = connect(callers) else {
            sleep(ms(100));
            continue;
        };
        let mut conn = BufReader::new(out.try_clone().unwrap());
        let mut is_kept = false;
        while !stop.load(Ordering::Relaxed) {
            let id = new_id();
            record.line(&format!("consumer {n}: sends {id}"));
            if out.write_all(&request("POST", "/puxa403/2f", &id, 4000, "", b"form")).is_err() {
                break;
            }
            match read_message(&mut conn, true) {
                Ok(answer) => {
                    seen.answers.fetch_add(1, Ordering::Relaxed);
                    record.line(&format!("consumer {n}: {id} is answered {}", answer.status()));
                    if answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
                        break;
                    }
                }
                Err(error) => {
                    record.line(&format!("consumer {n}: {id} gets no answer: {error}"));
                    if is_kept {
                        seen.unanswered.lock().unwrap().push(id);
                    }
                    break;
                }
            }
            is_kept = true;
            sleep(ms(40));
        }
    }
}
