//! Words of tickets after their home was stopped by plan and started again.

use std::time::Duration;

use bytes::Bytes;
use celerytide_faults::world::{Daemon, Link, World, until};
use celerytide_http::client::{Client, Options};
use celerytide_load::caller::{CallOutcome, CallerRequest, send};
use http::Method;
use serde_json::Value;
use tokio_util::sync::CancellationToken;

const READY: Duration = Duration::from_secs(30);
const STOP: Duration = Duration::from_secs(15);

async fn ask(world: &World, entry: usize, method: Method, path: &str, ticket: Option<&str>) -> CallOutcome {
    let key = world.plan().customers[0].key();
    let ask = CallerRequest {
        ticket: ticket.map(str::to_owned),
        body: Bytes::from_static(b"{}"),
        ..CallerRequest::plain(world.route(Link::Caller(entry)), &key, "restart", method, path)
    };
    let cx = CancellationToken::new();
    send(&Client::new(Options::default()), &ask, &cx, |_| {}).await
}

fn field(told: &CallOutcome, name: &str) -> String {
    let body: Value = serde_json::from_slice(&told.body).unwrap_or_default();
    body[name].as_str().unwrap_or_default().to_owned()
}

async fn ready(world: &World, entry: usize) -> bool {
    let addr = world.operator(Daemon::Entry(entry));
    until(READY, async || world.http.status(addr, "/readyz").await == 200).await
}

#[test]
fn a_home_that_restarts_by_plan_keeps_its_words() {
    celerytide_faults::Rig::block_on(async {
        let mut world = World::start().expect("world");
        assert!(ready(&world, 0).await && ready(&world, 1).await);
        let mut ticket = String::new();
        let done = until(READY, async || {
            ticket = field(&ask(&world, 0, Method::POST, "/v1/tickets", None).await, "ticket");
            let told = ask(&world, 0, Method::POST, "/services/forms/submit", Some(&ticket)).await;
            told.is_done()
        });
        assert!(done.await, "no protected call is served");
        world.daemon(Daemon::Entry(0)).term().expect("signal");
        let ended = world.daemon_mut(Daemon::Entry(0)).wait(STOP).expect("it ends");
        assert_eq!(ended.code(), Some(0));
        world.restart(Daemon::Entry(0)).expect("start");
        assert!(ready(&world, 0).await);
        for entry in 0..2 {
            let path = format!("/v1/tickets/{ticket}");
            let told = ask(&world, entry, Method::GET, &path, None).await;
            assert_eq!(field(&told, "word"), "done", "entry {entry}: {told:?}");
        }
    });
}
