//! Final execution statuses of tickets after their issuing entry was stopped gracefully and restarted.

use std::time::Duration;

use bytes::Bytes;
use celerytide_faults::cluster::{Cluster, Daemon, Link, wait_until};
use celerytide_http::client::{Client, Options};
use celerytide_load::caller::{CallOutcome, CallerRequest, send};
use http::Method;
use serde_json::Value;
use tokio_util::sync::CancellationToken;

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

async fn send_to_entry(
    cluster: &Cluster,
    entry: usize,
    method: Method,
    path: &str,
    ticket: Option<&str>,
) -> CallOutcome {
    let key = cluster.deployment().customers[0].key();
    let req = CallerRequest {
        ticket: ticket.map(str::to_owned),
        body: Bytes::from_static(b"{}"),
        ..CallerRequest::plain(cluster.link_addr(Link::Caller(entry)), &key, "restart", method, path)
    };
    let cx = CancellationToken::new();
    send(&Client::new(Options::default()), &req, &cx, |_| {}).await
}

fn body_field(outcome: &CallOutcome, name: &str) -> String {
    let body: Value = serde_json::from_slice(&outcome.body).unwrap_or_default();
    body[name].as_str().unwrap_or_default().to_owned()
}

async fn wait_ready(cluster: &Cluster, entry: usize) -> bool {
    let addr = cluster.operator_addr(Daemon::Entry(entry));
    wait_until(READY_TIMEOUT, async || {
        cluster.control.status(addr, "/readyz").await == 200
    })
    .await
}

#[test]
fn a_home_that_restarts_gracefully_keeps_its_final_words() {
    celerytide_faults::Harness::block_on(async {
        let mut cluster = Cluster::start().expect("cluster");
        assert!(wait_ready(&cluster, 0).await && wait_ready(&cluster, 1).await);
        let mut ticket = String::new();
        let done = wait_until(READY_TIMEOUT, async || {
            ticket = body_field(
                &send_to_entry(&cluster, 0, Method::POST, "/v1/tickets", None).await,
                "ticket",
            );
            let outcome = send_to_entry(&cluster, 0, Method::POST, "/services/forms/submit", Some(&ticket)).await;
            outcome.is_done()
        });
        assert!(done.await, "no protected call is served");
        cluster.process(Daemon::Entry(0)).term().expect("signal");
        let status = cluster
            .process_mut(Daemon::Entry(0))
            .wait(STOP_TIMEOUT)
            .expect("it ends");
        assert_eq!(status.code(), Some(0));
        cluster.restart(Daemon::Entry(0)).expect("start");
        assert!(wait_ready(&cluster, 0).await);
        for entry in 0..2 {
            let path = format!("/v1/tickets/{ticket}");
            let outcome = send_to_entry(&cluster, entry, Method::GET, &path, None).await;
            assert_eq!(body_field(&outcome, "word"), "done", "entry {entry}: {outcome:?}");
        }
    });
}
