//! Serves callers' requests: authenticates, classifies and dispatches each by its route.

use std::future::Future;
use std::rc::Rc;

use bytes::Bytes;
use celerytide_http::server::{Handler, Request, Responder};
use celerytide_manifest::Manifest;
use celerytide_types::{BootTime, ExecutionStatus, now_boot};
use http::StatusCode;
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use serde::Serialize;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use super::Entry;
use crate::auth::authenticate;
use crate::model;
use crate::plain::{self, CallerResponse, PlainRequest};
use crate::request_info::{RequestInfo, request_id, resolve_class};
use crate::response::{ErrorResponse, REQUEST_ID_HEADER, insert_text};
use crate::route::{self, Route};
use crate::ticket::{self, IssuedTicket};

/// HTTP handler of the callers' address.
pub struct CallerHandler(pub Rc<Entry>);

impl Handler for CallerHandler {
    fn handle(&self, req: Request, out: Responder, cx: CancellationToken) -> impl Future<Output = ()> {
        let entry = self.0.clone();
        async move { serve(&entry, req, out, cx).await }
    }

    fn customer(&self, headers: &HeaderMap) -> Option<u64> {
        let manifest = self.0.manifest().ok()?;
        let customer = authenticate(&manifest, headers)
            .ok()
            .map(|customer| customer.id.as_str());
        // All unknown keys together, as an empty id.
        Some(xxh3_64(customer.unwrap_or_default().as_bytes()))
    }
}

async fn serve(entry: &Rc<Entry>, req: Request, out: Responder, cx: CancellationToken) {
    let _guard = entry.in_flight.enter();
    let request = request_id(&req.headers);
    let route = route::find_route(&req.method, &req.uri);
    entry.metrics.inc_requests();
    entry.node.trace_log.add_step(&request, "accepted", req.method.as_str());
    match route {
        Route::Model => model::serve(entry, &request, req, out, cx).await,
        Route::Plain { service, rest } => {
            let response = serve_plain(entry, &request, &service, rest, req, &cx).await;
            entry.send_response(&request, out, response).await;
        }
        Route::Models => {
            let result = list_models(entry, &req.headers);
            send_json(entry, &request, out, result).await;
        }
        Route::IssueTicket => {
            let result = issue_ticket(entry, &req.headers);
            send_json(entry, &request, out, result).await;
        }
        Route::LookUpTicket(id) => {
            let result = look_up_ticket(entry, &req.headers, &id).await;
            send_json(entry, &request, out, result).await;
        }
        Route::MethodNotAllowed => entry.send_error(&request, out, &method_not_allowed()).await,
        Route::NotFound => entry.send_error(&request, out, &not_found()).await,
    }
}

async fn send_json(entry: &Entry, request: &str, out: Responder, result: Result<(StatusCode, Bytes), ErrorResponse>) {
    let (status, body) = match result {
        Ok(response) => response,
        Err(err) => return entry.send_error(request, out, &err).await,
    };
    entry.record_outcome(request, ExecutionStatus::Done, "answered");
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    insert_text(&mut headers, REQUEST_ID_HEADER, request);
    if out.whole(status, headers, body).await.is_err() {
        tracing::debug!(request, "entry: the caller left before its response");
    }
}

fn list_models(entry: &Entry, headers: &HeaderMap) -> Result<(StatusCode, Bytes), ErrorResponse> {
    let manifest = entry.manifest()?;
    authenticate(&manifest, headers)?;
    Ok((StatusCode::OK, model::list(&manifest)))
}

fn issue_ticket(entry: &Entry, headers: &HeaderMap) -> Result<(StatusCode, Bytes), ErrorResponse> {
    let manifest = entry.manifest()?;
    let customer = authenticate(&manifest, headers)?;
    entry.admit(customer)?;
    let ticket = entry.tickets.issue(now_boot()).map_err(|error| no_ticket(&error))?;
    let lifetime = entry.settings.timeouts.ticket.as_millis();
    let issued = IssuedTicket {
        ticket: ticket.id(),
        unused_for_ms: lifetime.try_into().unwrap_or(u64::MAX),
    };
    Ok((StatusCode::CREATED, to_json(&issued)))
}

async fn look_up_ticket(
    entry: &Rc<Entry>,
    headers: &HeaderMap,
    id: &str,
) -> Result<(StatusCode, Bytes), ErrorResponse> {
    let authenticated = entry
        .manifest()
        .and_then(|manifest| authenticate(&manifest, headers).map(|_| ()));
    // A caller would take the outcome of this error for the outcome of the ticket.
    authenticated.map_err(ErrorResponse::before_ticket)?;
    let state = ticket::look_up(entry, id).await?;
    Ok((StatusCode::OK, to_json(&state)))
}

async fn serve_plain(
    entry: &Rc<Entry>,
    request: &str,
    service: &str,
    path: String,
    req: Request,
    cx: &CancellationToken,
) -> CallerResponse {
    let arrived_at = now_boot();
    let classified = entry.manifest().and_then(|manifest| {
        let info = classify_plain(entry, &manifest, request, service, &req.headers, arrived_at)?;
        Ok((manifest, info))
    });
    let (manifest, info) = match classified {
        Ok(classified) => classified,
        Err(err) => return CallerResponse::of(&ticket::turned_away(&req.headers, err), request),
    };
    entry.node.trace_log.add_step(request, "classified", &info.class);
    let plain_request = PlainRequest {
        method: req.method,
        path,
        headers: req.headers,
        body: req.body.to_bytes(),
    };
    let action = manifest
        .service(&info.service)
        .and_then(|service| plain::find_action(service, &plain_request));
    match action {
        Some(action) => ticket::call_at_most_once(entry, action, &info, plain_request, cx).await,
        None => {
            let retry_policy = plain::retry_policy_for(&plain_request.method);
            plain::run(entry, &info, &plain_request, retry_policy, &[], &mut (), cx).await
        }
    }
}

/// Checks a plain request and counts it against its customer's rate limit.
fn classify_plain(
    entry: &Entry,
    manifest: &Manifest,
    request: &str,
    service: &str,
    headers: &HeaderMap,
    arrived_at: BootTime,
) -> Result<RequestInfo, ErrorResponse> {
    let customer = authenticate(manifest, headers)?;
    let service = plain::find_service(manifest, service)?;
    let class = resolve_class(manifest, service, headers)?;
    entry.admit(customer)?;
    let wait_limit = entry.settings.timeouts.permit;
    let request = request.to_owned();
    Ok(RequestInfo::new(
        request,
        &customer.id,
        service,
        class,
        arrived_at,
        wait_limit,
    ))
}

fn to_json<T: Serialize>(value: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

fn no_ticket(error: &celerytide_once::IssueError) -> ErrorResponse {
    let err = ErrorResponse::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-ticket", &error.to_string());
    err.retry_after(std::time::Duration::from_secs(1))
}

fn method_not_allowed() -> ErrorResponse {
    ErrorResponse::not_run(
        StatusCode::METHOD_NOT_ALLOWED,
        "method-not-allowed",
        "this path takes another method",
    )
}

fn not_found() -> ErrorResponse {
    let message = "no such path; see /v1/models, /v1/chat/completions, /v1/completions, /v1/tickets, /services/NAME/";
    ErrorResponse::not_run(StatusCode::NOT_FOUND, "unknown-path", message)
}
