//! Graceful stop of daemons under load, which must not cut requests, and the immediate stop on a second signal.

use std::time::Duration;

use celerytide_faults::{CallOutcome, Harness, HarnessOptions, wait_until};
use celerytide_load::fleet::Deployment;
use futures::future::join_all;
use http::Method;

/// Timeout of a graceful stop: far longer than any request of these tests.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between the start of the load and the signal.
const SIGNAL_DELAY: Duration = Duration::from_millis(150);
/// Time between calls that arrive during a stop.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(150);

fn start_harness() -> Harness {
    Harness::start(&HarnessOptions {
        decode_ms: 10.0,
        delay_ms: 300,
        ..HarnessOptions::default()
    })
    .expect("deployment")
}

/// Sends model and plain calls through one entry.
async fn send_load(harness: &Harness, entry: usize) -> Vec<CallOutcome> {
    let chats = join_all((0..6).map(|i| async move { harness.chat(entry, &format!("chat-{entry}-{i}"), 60).await }));
    let plain_endpoints = join_all((0..6).map(|i| async move {
        let request = format!("plain-{entry}-{i}");
        harness
            .plain(entry, &request, Method::GET, "/services/forms/read")
            .await
    }));
    let (mut chats, plain_endpoints) = futures::join!(chats, plain_endpoints);
    chats.extend(plain_endpoints);
    chats
}

fn check_all_done(outcomes: &[CallOutcome]) {
    let incomplete: Vec<&CallOutcome> = outcomes.iter().filter(|t| !t.is_done()).collect();
    assert!(incomplete.is_empty(), "{incomplete:?}");
}

#[test]
fn an_entry_that_stops_cuts_nothing() {
    let mut harness = start_harness();
    let outcomes = Harness::block_on(async {
        let stop = async {
            monoio::time::sleep(SIGNAL_DELAY).await;
            harness.fleet.instances[0].entry.term().expect("signal");
        };
        futures::join!(send_load(&harness, 0), stop).0
    });
    check_all_done(&outcomes);
    let status = harness.fleet.instances[0].entry.wait(STOP_TIMEOUT).expect("it ends");
    assert_eq!(status.code(), Some(0));
}

#[test]
fn a_dispatch_that_stops_cuts_nothing() {
    for index in 0..2 {
        let mut harness = start_harness();
        let outcomes = Harness::block_on(async {
            let stop = async {
                monoio::time::sleep(SIGNAL_DELAY).await;
                harness.fleet.instances[index].dispatch.term().expect("signal");
            };
            futures::join!(send_load(&harness, 0), stop).0
        });
        check_all_done(&outcomes);
        let status = harness.fleet.instances[index]
            .dispatch
            .wait(STOP_TIMEOUT)
            .expect("it ends");
        assert_eq!(status.code(), Some(0), "dispatch {index}");
    }
}

#[test]
fn both_daemons_of_an_instance_stop_at_once_and_cut_nothing() {
    let mut harness = start_harness();
    let outcomes = Harness::block_on(async {
        let stop = async {
            monoio::time::sleep(SIGNAL_DELAY).await;
            harness.fleet.instances[0].entry.term().expect("signal");
            harness.fleet.instances[0].dispatch.term().expect("signal");
        };
        let (first, second, ()) = futures::join!(send_load(&harness, 0), send_load(&harness, 1), stop);
        [first, second].concat()
    });
    check_all_done(&outcomes);
    let instance = &mut harness.fleet.instances[0];
    assert_eq!(instance.entry.wait(STOP_TIMEOUT).expect("it ends").code(), Some(0));
    assert_eq!(instance.dispatch.wait(STOP_TIMEOUT).expect("it ends").code(), Some(0));
}

/// Sends calls at fixed intervals through one entry.
async fn send_at_intervals(harness: &Harness, entry: usize, count: u32) -> Vec<CallOutcome> {
    let calls = (0..count).map(|index| async move {
        monoio::time::sleep(ARRIVAL_INTERVAL * index).await;
        let (chat, read) = (format!("late-chat-{index}"), format!("late-read-{index}"));
        let read = harness.plain(entry, &read, Method::GET, "/services/forms/read");
        let (chat, read) = futures::join!(harness.chat(entry, &chat, 20), read);
        [chat, read]
    });
    join_all(calls).await.concat()
}

#[test]
fn two_of_three_instances_stop_at_once_and_cut_nothing() {
    for remaining in 0..3 {
        let opts = HarnessOptions {
            instances: 3,
            decode_ms: 10.0,
            delay_ms: 300,
            ..HarnessOptions::default()
        };
        // Requests may wait in the queue for a new owner, so a request that isn't served was cut.
        let long_first_token_target = |deployment: &mut Deployment| {
            deployment
                .classes
                .iter_mut()
                .for_each(|class| class.first_token = STOP_TIMEOUT)
        };
        let mut harness = Harness::start_with(&opts, long_first_token_target).expect("deployment");
        let stopping: Vec<usize> = (0..3).filter(|index| *index != remaining).collect();
        let (outcomes, words) = Harness::block_on(async {
            let stop = async {
                monoio::time::sleep(SIGNAL_DELAY).await;
                for index in &stopping {
                    harness.fleet.instances[*index].entry.term().expect("signal");
                    harness.fleet.instances[*index].dispatch.term().expect("signal");
                }
            };
            let loads = join_all(stopping.iter().map(|index| send_load(&harness, *index)));
            let submits = join_all(stopping.iter().map(|index| submit_call(&harness, *index)));
            let (loads, submits, later, ()) =
                futures::join!(loads, submits, send_at_intervals(&harness, remaining, 20), stop);
            let (tickets, submitted): (Vec<_>, Vec<_>) = submits.into_iter().unzip();
            let words = join_all(tickets.iter().map(|ticket| wait_for_word(&harness, remaining, ticket))).await;
            let after = send_load(&harness, remaining).await;
            ([loads.concat(), submitted, later, after].concat(), words)
        });
        check_all_done(&outcomes);
        assert!(
            words.iter().all(|word| word == "done"),
            "instance {remaining} remains: {words:?}"
        );
        for index in stopping {
            let instance = &mut harness.fleet.instances[index];
            assert_eq!(
                instance.entry.wait(STOP_TIMEOUT).expect("it ends").code(),
                Some(0),
                "entry {index}"
            );
            assert_eq!(
                instance.dispatch.wait(STOP_TIMEOUT).expect("it ends").code(),
                Some(0),
                "dispatch {index}"
            );
        }
    }
}

/// Sends an at-most-once call through an entry; returns its ticket and outcome.
async fn submit_call(harness: &Harness, entry: usize) -> (String, CallOutcome) {
    let ticket = harness.take_ticket(entry).await.expect("ticket");
    let outcome = harness.submit(entry, &format!("submit-{entry}"), Some(&ticket)).await;
    (ticket, outcome)
}

/// Final execution status of a ticket whose issuing entry is stopping, as reported by another entry.
async fn wait_for_word(harness: &Harness, entry: usize, ticket: &str) -> String {
    let mut word = String::new();
    let end = std::time::Instant::now() + STOP_TIMEOUT;
    while word != "done" && std::time::Instant::now() < end {
        let seen = harness.ticket_status(entry, ticket).await.unwrap_or_default();
        word = seen["word"].as_str().unwrap_or_default().to_owned();
        monoio::time::sleep(ARRIVAL_INTERVAL).await;
    }
    word
}

#[test]
fn a_second_signal_ends_an_entry_at_once_and_logs_what_it_cut() {
    let mut harness = start_harness();
    let outcome = Harness::block_on(async {
        let stop = async {
            monoio::time::sleep(SIGNAL_DELAY).await;
            let is_busy = || harness.entry_status(0)["requests"]["running"].as_u64().unwrap_or(0) > 0;
            assert!(wait_until(STOP_TIMEOUT, is_busy).await);
            harness.fleet.instances[0].entry.term().expect("signal");
            monoio::time::sleep(Duration::from_millis(50)).await;
            harness.fleet.instances[0].entry.term().expect("signal");
        };
        let long = harness.chat(0, "long", 2000);
        futures::join!(long, stop).0
    });
    assert!(!outcome.is_done(), "{outcome:?}");
    let status = harness.fleet.instances[0]
        .entry
        .wait(Duration::from_secs(5))
        .expect("it ends at once");
    assert_eq!(status.code(), Some(1));
    let log = harness.fleet.log_tail("celerytide-entry", "i-0");
    assert!(log.contains("requests in flight were cut"), "{log}");
}
