//! Callers' requests, by route.

use std::future::Future;
use std::rc::Rc;

use bytes::Bytes;
use celerytide_http::server::{Handler, Request, Responder};
use celerytide_types::{ExecutionStatus, now_boot};
use http::StatusCode;
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use super::Entry;
use crate::answer::{Final, REQUEST_ID, insert_text};
use crate::caller::customer_of;
use crate::facts::{Facts, class_of, request_id};
use crate::model;
use crate::plain::{self, PlainCall, Reply};
use crate::route::{self, Route};
use crate::ticket::{self, TicketTaken};

/// Serves callers.
pub struct Callers(pub Rc<Entry>);

impl Handler for Callers {
    fn handle(&self, req: Request, out: Responder, cx: CancellationToken) -> impl Future<Output = ()> {
        let entry = self.0.clone();
        async move { serve(&entry, req, out, cx).await }
    }
}

async fn serve(entry: &Rc<Entry>, req: Request, out: Responder, cx: CancellationToken) {
    let _running = entry.busy.enter();
    let request = request_id(&req.headers);
    let route = route::find(&req.method, &req.uri);
    entry.metrics.request();
    entry.node.trail.add_step(&request, "accepted", req.method.as_str());
    match route {
        Route::Model => model::serve(entry, &request, req, out, cx).await,
        Route::Plain { service, rest } => {
            let reply = plain_call(entry, &request, &service, rest, req, &cx).await;
            entry.reply(&request, out, reply).await;
        }
        Route::Models => {
            let listed = models(entry, &req.headers);
            answer(entry, &request, out, listed).await;
        }
        Route::TakeTicket => {
            let taken = take_ticket(entry, &req.headers);
            answer(entry, &request, out, taken).await;
        }
        Route::LookTicket(id) => {
            let seen = look_ticket(entry, &req.headers, &id).await;
            answer(entry, &request, out, seen).await;
        }
        Route::MethodNotAllowed => entry.finish(&request, out, &not_allowed()).await,
        Route::NotFound => entry.finish(&request, out, &not_found()).await,
    }
}

async fn answer(entry: &Entry, request: &str, out: Responder, made: Result<(StatusCode, Bytes), Final>) {
    let (status, body) = match made {
        Ok(made) => made,
        Err(end) => return entry.finish(request, out, &end).await,
    };
    entry.said(request, ExecutionStatus::Done, "answered");
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    insert_text(&mut headers, REQUEST_ID, request);
    if out.whole(status, headers, body).await.is_err() {
        tracing::debug!(request, "entry: the caller left before its answer");
    }
}

fn models(entry: &Entry, headers: &HeaderMap) -> Result<(StatusCode, Bytes), Final> {
    let manifest = entry.manifest()?;
    customer_of(&manifest, headers)?;
    Ok((StatusCode::OK, model::list(&manifest)))
}

fn take_ticket(entry: &Entry, headers: &HeaderMap) -> Result<(StatusCode, Bytes), Final> {
    let manifest = entry.manifest()?;
    let customer = customer_of(&manifest, headers)?;
    entry.admit(customer)?;
    let ticket = entry.home.issue(now_boot()).map_err(|error| no_room(&error))?;
    let lasts = entry.settings.timeouts.ticket.as_millis();
    let taken = TicketTaken {
        ticket: ticket.id(),
        unused_for_ms: lasts.try_into().unwrap_or(u64::MAX),
    };
    Ok((StatusCode::CREATED, json(&taken)))
}

async fn look_ticket(entry: &Rc<Entry>, headers: &HeaderMap, id: &str) -> Result<(StatusCode, Bytes), Final> {
    let manifest = entry.manifest()?;
    customer_of(&manifest, headers)?;
    let state = ticket::look(entry, id).await?;
    Ok((StatusCode::OK, json(&state)))
}

async fn plain_call(
    entry: &Rc<Entry>,
    request: &str,
    service: &str,
    rest: String,
    req: Request,
    cx: &CancellationToken,
) -> Reply {
    match try_plain_call(entry, request, service, rest, req, cx).await {
        Ok(reply) => reply,
        Err(end) => Reply::of(&end, request),
    }
}

async fn try_plain_call(
    entry: &Rc<Entry>,
    request: &str,
    service: &str,
    rest: String,
    req: Request,
    cx: &CancellationToken,
) -> Result<Reply, Final> {
    let arrived = now_boot();
    let manifest = entry.manifest()?;
    let customer = customer_of(&manifest, &req.headers)?;
    let service = plain::find_service(&manifest, service)?;
    let class = class_of(&manifest, service, &req.headers)?;
    entry.admit(customer)?;
    let wait = entry.settings.timeouts.permit;
    let facts = Facts::new(request.to_owned(), &customer.id, service, class, arrived, wait);
    entry.node.trail.add_step(request, "classified", &facts.class);
    let call = PlainCall {
        method: req.method,
        path: rest,
        headers: req.headers,
        body: req.body,
    };
    match plain::find_action(service, &call) {
        Some(action) => Ok(ticket::protected(entry, action, &facts, call, cx).await),
        None => {
            let repeat = plain::repeat_of(&call.method);
            Ok(plain::run(entry, &facts, &call, repeat, &[], &mut (), cx).await)
        }
    }
}

fn json<T: Serialize>(value: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

fn no_room(error: &celerytide_once::IssueError) -> Final {
    let end = Final::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-ticket", &error.to_string());
    end.retry_after(std::time::Duration::from_secs(1))
}

fn not_allowed() -> Final {
    Final::not_run(
        StatusCode::METHOD_NOT_ALLOWED,
        "method-not-allowed",
        "this path takes another method",
    )
}

fn not_found() -> Final {
    let message = "no such path; see /v1/models, /v1/chat/completions, /v1/completions, /v1/tickets, /services/NAME/";
    Final::not_run(StatusCode::NOT_FOUND, "unknown-path", message)
}
