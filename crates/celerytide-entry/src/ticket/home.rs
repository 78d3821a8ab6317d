//! The home's side: begin, run once, remember.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use celerytide_once::{Attempt, Begin, Outcome, StoredAnswer, Ticket};
use celerytide_types::{ExecutionStatus, RequestOutcome, now_boot};
use celerytide_wire::Exchange;
use celerytide_wire::messages::{Header, RelayRequest, RelayResponse};
use futures::channel::oneshot;
use http::{HeaderMap, Method, StatusCode};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::Xxh3;

use super::relay::{from_wire, to_wire};
use crate::answer::{Final, word_headers};
use crate::entry::Entry;
use crate::facts::{Facts, class_of};
use crate::plain::{self, PlainCall, Repeat, Reply};

/// Time to come back while the action runs.
const RUNNING_RETRY: Duration = Duration::from_secs(1);

/// Answers a call that bears a ticket of this home.
pub(super) async fn call(entry: &Rc<Entry>, ticket: &Ticket, facts: &Facts, call: PlainCall) -> Reply {
    let fingerprint = fingerprint(facts, &call);
    let begun = match entry.copies.begin(ticket, fingerprint) {
        Some(begun) => begun,
        None => entry.home.begin(ticket, now_boot(), fingerprint),
    };
    match begun {
        Begin::Run(attempt) => run_in_own_task(entry, attempt, facts, call).await,
        Begin::Running => refuse(facts, running()),
        Begin::Finished(outcome) => replay(facts, outcome),
        Begin::Expired => refuse(
            facts,
            Final::not_run(StatusCode::GONE, "ticket-expired", "the ticket has expired unused"),
        ),
        Begin::Unknown | Begin::NotHome(_) => refuse(facts, gone()),
        Begin::OtherRequest => refuse(facts, other_request()),
    }
}

/// Serves a call that another entry relayed.
pub async fn serve_relay(entry: &Rc<Entry>, mut ex: Exchange) {
    let Ok(relay) = ex.recv_required::<RelayRequest>().await else {
        return;
    };
    let reply = relayed(entry, relay).await;
    let headers = to_wire(&reply.headers);
    let answer = RelayResponse {
        status: reply.status.as_u16(),
        headers,
        body: reply.body.to_vec(),
    };
    if ex.send_last(&answer).await.is_err() {
        tracing::info!("ticket: the relaying entry is gone; the outcome is kept");
    }
}

async fn relayed(entry: &Rc<Entry>, relay: RelayRequest) -> Reply {
    let request = relay.request.clone();
    let Ok(ticket) = Ticket::parse(&relay.ticket) else {
        return Reply::of(&gone(), &request);
    };
    let method = Method::from_bytes(relay.method.as_bytes()).unwrap_or(Method::POST);
    let plain = PlainCall {
        method,
        path: relay.path,
        headers: from_wire(&relay.headers),
        body: Bytes::from(relay.body),
    };
    let facts = match classify(entry, &relay.service, &relay.customer, &plain.headers, &request) {
        Ok(facts) => facts,
        Err(end) => return Reply::of(&end, &request),
    };
    entry.node.trail.add_step(&request, "relayed", "to this home");
    call(entry, &ticket, &facts, plain).await
}

fn classify(entry: &Entry, service: &str, customer: &str, headers: &HeaderMap, request: &str) -> Result<Facts, Final> {
    let manifest = entry.manifest()?;
    let service = plain::find_service(&manifest, service)?;
    let class = class_of(&manifest, service, headers)?;
    Ok(Facts::new(
        request.to_owned(),
        customer,
        service,
        class,
        now_boot(),
        entry.settings.timeouts.permit,
    ))
}

async fn run_in_own_task(entry: &Rc<Entry>, attempt: Attempt, facts: &Facts, call: PlainCall) -> Reply {
    let (tx, rx) = oneshot::channel();
    let (task_entry, task_facts) = (entry.clone(), facts.clone());
    let busy = entry.busy.enter();
    monoio::spawn(async move {
        let reply = run(&task_entry, attempt, &task_facts, call).await;
        drop(busy);
        // The caller may have left; the outcome is kept.
        let _ = tx.send(reply);
    });
    match rx.await {
        Ok(reply) => reply,
        Err(oneshot::Canceled) => refuse(facts, gone()),
    }
}

async fn run(entry: &Rc<Entry>, mut attempt: Attempt, facts: &Facts, call: PlainCall) -> Reply {
    let not_run_status = not_run_status(entry, facts, &call);
    let cx = CancellationToken::new();
    let ran = plain::run(entry, facts, &call, Repeat::Never, &not_run_status, &mut attempt, &cx).await;
    let answer = stored(&ran);
    let word = entry.home.finish(now_boot(), attempt, ran.word.clone(), answer);
    Reply { word, ..ran }
}

fn not_run_status(entry: &Entry, facts: &Facts, call: &PlainCall) -> Vec<u16> {
    let Ok(manifest) = entry.manifest() else {
        return Vec::new();
    };
    let service = manifest.service(&facts.service);
    let action = service.and_then(|s| plain::find_action(s, call));
    action.map(|a| a.not_run_status.clone()).unwrap_or_default()
}

fn stored(reply: &Reply) -> Option<StoredAnswer> {
    let headers = headers_as_bytes(&reply.headers)?;
    Some(StoredAnswer {
        status: reply.status.as_u16(),
        headers,
        body: reply.body.to_vec(),
    })
}

fn headers_as_bytes(headers: &HeaderMap) -> Option<Vec<u8>> {
    serde_json::to_vec(&to_wire(headers)).ok()
}

fn replay(facts: &Facts, outcome: Outcome) -> Reply {
    let Some(answer) = outcome.answer else {
        return bare(facts, outcome.word);
    };
    let kept: Vec<Header> = serde_json::from_slice(&answer.headers).unwrap_or_default();
    let mut headers = from_wire(&kept);
    headers.extend(word_headers(&outcome.word, &facts.request));
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    Reply {
        status,
        headers,
        body: Bytes::from(answer.body),
        word: outcome.word,
    }
}

/// The recorded word where the answer itself is no longer kept.
fn bare(facts: &Facts, word: RequestOutcome) -> Reply {
    let status = match word.word {
        ExecutionStatus::Done => StatusCode::OK,
        ExecutionStatus::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        ExecutionStatus::Unknown => StatusCode::BAD_GATEWAY,
    };
    let message = String::from("the recorded outcome of this ticket; its answer is not kept");
    refuse(
        facts,
        Final {
            status,
            word,
            message,
            param: None,
        },
    )
}

fn refuse(facts: &Facts, end: Final) -> Reply {
    Reply::of(&end, &facts.request)
}

/// Final for this call; the action itself goes on under its first call.
fn running() -> Final {
    let message = "the action is running under an earlier call with this ticket; ask again for its outcome";
    Final::unknown(StatusCode::CONFLICT, "running", message).retry_after(RUNNING_RETRY)
}

pub(super) fn gone() -> Final {
    let message = "the ticket's home is gone or does not know it; the action may have run and will not run again";
    Final::unknown(StatusCode::GONE, "home-gone", message)
}

fn other_request() -> Final {
    let message = "the ticket was used for a request with other content; this request did not run";
    Final::not_run(StatusCode::UNPROCESSABLE_ENTITY, "ticket-used-otherwise", message)
}

fn fingerprint(facts: &Facts, call: &PlainCall) -> u64 {
    let mut hash = Xxh3::new();
    for part in [
        facts.customer.as_bytes(),
        facts.service.as_bytes(),
        call.method.as_str().as_bytes(),
    ] {
        hash.update(part);
        hash.update(&[0]);
    }
    hash.update(call.path.as_bytes());
    hash.update(&[0]);
    hash.update(&call.body);
    hash.digest()
}
