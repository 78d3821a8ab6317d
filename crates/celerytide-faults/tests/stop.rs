//! Graceful stop of daemons under load, and a second signal.

use std::time::Duration;

use celerytide_faults::{Rig, RigOptions, Told, until};
use celerytide_load::fleet::Deployment;
use futures::future::join_all;
use http::Method;

/// Bound on a graceful stop here: far longer than any request of these tests.
const STOP: Duration = Duration::from_secs(20);
/// Time in which the load is on its way when a signal comes.
const UNDER_WAY: Duration = Duration::from_millis(150);
/// Time between calls that arrive during a stop.
const ARRIVAL: Duration = Duration::from_millis(150);

fn rig() -> Rig {
    Rig::start(&RigOptions {
        decode_ms: 10.0,
        delay_ms: 300,
        ..RigOptions::default()
    })
    .expect("deployment")
}

/// Model and plain calls through one entry.
async fn load(rig: &Rig, entry: usize) -> Vec<Told> {
    let chats = join_all((0..6).map(|i| async move { rig.chat(entry, &format!("chat-{entry}-{i}"), 60).await }));
    let plains = join_all((0..6).map(|i| async move {
        let request = format!("plain-{entry}-{i}");
        rig.plain(entry, &request, Method::GET, "/services/forms/read").await
    }));
    let (mut chats, plains) = futures::join!(chats, plains);
    chats.extend(plains);
    chats
}

fn all_done(told: &[Told]) {
    let cut: Vec<&Told> = told.iter().filter(|t| !t.is_done()).collect();
    assert!(cut.is_empty(), "{cut:?}");
}

#[test]
fn an_entry_that_stops_cuts_nothing() {
    let mut rig = rig();
    let told = Rig::block_on(async {
        let stop = async {
            monoio::time::sleep(UNDER_WAY).await;
            rig.fleet.instances[0].entry.term().expect("signal");
        };
        futures::join!(load(&rig, 0), stop).0
    });
    all_done(&told);
    let ended = rig.fleet.instances[0].entry.wait(STOP).expect("it ends");
    assert_eq!(ended.code(), Some(0));
}

#[test]
fn a_dispatch_that_stops_cuts_nothing() {
    for index in 0..2 {
        let mut rig = rig();
        let told = Rig::block_on(async {
            let stop = async {
                monoio::time::sleep(UNDER_WAY).await;
                rig.fleet.instances[index].dispatch.term().expect("signal");
            };
            futures::join!(load(&rig, 0), stop).0
        });
        all_done(&told);
        let ended = rig.fleet.instances[index].dispatch.wait(STOP).expect("it ends");
        assert_eq!(ended.code(), Some(0), "dispatch {index}");
    }
}

#[test]
fn both_daemons_of_an_instance_stop_at_once_and_cut_nothing() {
    let mut rig = rig();
    let told = Rig::block_on(async {
        let stop = async {
            monoio::time::sleep(UNDER_WAY).await;
            rig.fleet.instances[0].entry.term().expect("signal");
            rig.fleet.instances[0].dispatch.term().expect("signal");
        };
        let (first, second, ()) = futures::join!(load(&rig, 0), load(&rig, 1), stop);
        [first, second].concat()
    });
    all_done(&told);
    let instance = &mut rig.fleet.instances[0];
    assert_eq!(instance.entry.wait(STOP).expect("it ends").code(), Some(0));
    assert_eq!(instance.dispatch.wait(STOP).expect("it ends").code(), Some(0));
}

/// Calls that arrive one after the other through one entry.
async fn arrivals(rig: &Rig, entry: usize, count: u32) -> Vec<Told> {
    let calls = (0..count).map(|at| async move {
        monoio::time::sleep(ARRIVAL * at).await;
        let (chat, read) = (format!("late-chat-{at}"), format!("late-read-{at}"));
        let read = rig.plain(entry, &read, Method::GET, "/services/forms/read");
        let (chat, read) = futures::join!(rig.chat(entry, &chat, 20), read);
        [chat, read]
    });
    join_all(calls).await.concat()
}

#[test]
fn two_of_three_instances_stop_at_once_and_cut_nothing() {
    for stays in 0..3 {
        let opts = RigOptions {
            instances: 3,
            decode_ms: 10.0,
            delay_ms: 300,
            ..RigOptions::default()
        };
        // The queue may wait for a new owner, so that whatever isn't served was cut.
        let patient = |plan: &mut Deployment| plan.classes.iter_mut().for_each(|class| class.first_token = STOP);
        let mut rig = Rig::start_with(&opts, patient).expect("deployment");
        let stopping: Vec<usize> = (0..3).filter(|index| *index != stays).collect();
        let (told, words) = Rig::block_on(async {
            let stop = async {
                monoio::time::sleep(UNDER_WAY).await;
                for index in &stopping {
                    rig.fleet.instances[*index].entry.term().expect("signal");
                    rig.fleet.instances[*index].dispatch.term().expect("signal");
                }
            };
            let loads = join_all(stopping.iter().map(|index| load(&rig, *index)));
            let submits = join_all(stopping.iter().map(|index| submit(&rig, *index)));
            let (loads, submits, later, ()) = futures::join!(loads, submits, arrivals(&rig, stays, 20), stop);
            let (tickets, submitted): (Vec<_>, Vec<_>) = submits.into_iter().unzip();
            let words = join_all(tickets.iter().map(|ticket| word(&rig, stays, ticket))).await;
            let after = load(&rig, stays).await;
            ([loads.concat(), submitted, later, after].concat(), words)
        });
        all_done(&told);
        assert!(
            words.iter().all(|word| word == "done"),
            "instance {stays} stays: {words:?}"
        );
        for index in stopping {
            let instance = &mut rig.fleet.instances[index];
            assert_eq!(
                instance.entry.wait(STOP).expect("it ends").code(),
                Some(0),
                "entry {index}"
            );
            assert_eq!(
                instance.dispatch.wait(STOP).expect("it ends").code(),
                Some(0),
                "dispatch {index}"
            );
        }
    }
}

/// A protected call through an entry: its ticket and what the caller was told.
async fn submit(rig: &Rig, entry: usize) -> (String, Told) {
    let ticket = rig.ticket(entry).await.expect("ticket");
    let told = rig.submit(entry, &format!("submit-{entry}"), Some(&ticket)).await;
    (ticket, told)
}

/// The word of a ticket whose home stops, as another entry says it once it has it.
async fn word(rig: &Rig, entry: usize, ticket: &str) -> String {
    let mut word = String::new();
    let end = std::time::Instant::now() + STOP;
    while word != "done" && std::time::Instant::now() < end {
        let seen = rig.look(entry, ticket).await.unwrap_or_default();
        word = seen["word"].as_str().unwrap_or_default().to_owned();
        monoio::time::sleep(ARRIVAL).await;
    }
    word
}

#[test]
fn a_second_signal_ends_an_entry_at_once_and_says_what_it_cut() {
    let mut rig = rig();
    let told = Rig::block_on(async {
        let stop = async {
            monoio::time::sleep(UNDER_WAY).await;
            let busy = || rig.entry_status(0)["requests"]["running"].as_u64().unwrap_or(0) > 0;
            assert!(until(STOP, busy).await);
            rig.fleet.instances[0].entry.term().expect("signal");
            monoio::time::sleep(Duration::from_millis(50)).await;
            rig.fleet.instances[0].entry.term().expect("signal");
        };
        let long = rig.chat(0, "long", 2000);
        futures::join!(long, stop).0
    });
    assert!(!told.is_done(), "{told:?}");
    let ended = rig.fleet.instances[0]
        .entry
        .wait(Duration::from_secs(5))
        .expect("it ends at once");
    assert_eq!(ended.code(), Some(1));
    let log = rig.fleet.log_tail("celerytide-entry", "i-0");
    assert!(log.contains("requests in flight were cut"), "{log}");
}
