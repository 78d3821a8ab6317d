//! Tests of what the entry reads from requests and chunks.

use bytes::Bytes;
use celerytide_entry::answer::Final;
use celerytide_entry::call;
use celerytide_entry::chunk::carries_text;
use celerytide_entry::facts::request_id;
use celerytide_entry::route::{Route, find};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};

struct ChunkCase {
    name: &'static str,
    data: &'static str,
    text: bool,
}

fn chunk(name: &'static str, data: &'static str, text: bool) -> ChunkCase {
    ChunkCase { name, data, text }
}

#[test]
fn only_chunks_with_text_count_as_tokens() {
    let cases = [
        chunk("token", r#"{"choices":[{"delta":{"content":"w0 "}}]}"#, true),
        chunk("spaces", r#"{"choices":[{"delta":{"content" : "x"}}]}"#, true),
        chunk("completion", r#"{"choices":[{"text":"x"}]}"#, true),
        chunk(
            "role",
            r#"{"choices":[{"delta":{"role":"assistant","content":""}}]}"#,
            false,
        ),
        chunk("null", r#"{"choices":[{"delta":{"content":null}}]}"#, false),
        chunk("usage", r#"{"choices":[],"usage":{"completion_tokens":3}}"#, false),
        chunk("cut", r#"{"content":"#, false),
    ];
    for case in cases {
        assert_eq!(carries_text(case.data.as_bytes()), case.text, "{}", case.name);
    }
}

struct CallCase {
    name: &'static str,
    body: &'static str,
    want: Result<Read, &'static str>,
}

#[derive(Debug, PartialEq)]
struct Read {
    stream: bool,
    max_tokens: Option<u32>,
}

fn good(name: &'static str, body: &'static str, stream: bool, max_tokens: Option<u32>) -> CallCase {
    CallCase {
        name,
        body,
        want: Ok(Read { stream, max_tokens }),
    }
}

fn bad(name: &'static str, body: &'static str, cause: &'static str) -> CallCase {
    CallCase {
        name,
        body,
        want: Err(cause),
    }
}

#[test]
fn model_calls_are_read_or_refused_with_the_field() {
    let cases = [
        good("least", r#"{"model":"m","messages":[]}"#, false, None),
        good(
            "stream",
            r#"{"model":"m","prompt":"x","stream":true,"max_tokens":7}"#,
            true,
            Some(7),
        ),
        good(
            "new name",
            r#"{"model":"m","messages":[],"max_completion_tokens":9}"#,
            false,
            Some(9),
        ),
        good("escaped model", r#"{"model":"m\u0041","messages":[]}"#, false, None),
        bad("no model", r#"{"messages":[]}"#, "missing-field"),
        bad("model is a number", r#"{"model":1,"messages":[]}"#, "bad-json"),
        bad(
            "negative bound",
            r#"{"model":"m","messages":[],"max_tokens":-1}"#,
            "bad-json",
        ),
        bad("nothing", "", "bad-json"),
        bad("lone surrogate", r#"{"model":"\udfff","messages":[]}"#, "bad-json"),
    ];
    for case in cases {
        let got = call::read(Bytes::from_static(case.body.as_bytes()));
        let got = got.map(|c| Read {
            stream: c.stream,
            max_tokens: c.max_tokens,
        });
        assert_eq!(
            got.map_err(|end| end.word.cause),
            case.want.map_err(str::to_owned),
            "{}",
            case.name
        );
    }
}

#[test]
fn a_refusal_never_quotes_the_body() {
    let secret = Bytes::from_static(br#"{"model": secret-prompt}"#);
    let end = call::read(secret).expect_err("not JSON");
    assert!(!end.message.contains("secret"), "{}", end.message);
}

#[test]
fn a_resumed_call_is_valid_json_with_the_count() {
    let call = call::read(Bytes::from_static(br#" {"model":"m","messages":[]}"#)).expect("call");
    let body: serde_json::Value = serde_json::from_slice(&call.resume_body(12)).expect("JSON");
    assert_eq!(body["resume_from"], 12);
    assert_eq!(body["model"], "m");
}

#[test]
fn equal_prompts_share_their_leading_blocks() {
    let body = |end: &str| Bytes::from(format!(r#"{{"model":"m","prompt":"{}{end}"}}"#, "x".repeat(3000)));
    let a = call::read(body("a")).expect("call");
    let b = call::read(body("b")).expect("call");
    assert_eq!(a.prefix.len(), 2);
    assert_eq!(a.prefix, b.prefix);
}

struct RouteCase {
    method: Method,
    uri: &'static str,
    want: Route,
}

fn plain(service: &str, rest: &str) -> Route {
    Route::Plain {
        service: service.to_owned(),
        rest: rest.to_owned(),
    }
}

fn route(method: Method, uri: &'static str, want: Route) -> RouteCase {
    RouteCase { method, uri, want }
}

#[test]
fn routes() {
    let cases = [
        route(Method::POST, "/v1/chat/completions", Route::Model),
        route(Method::POST, "/v1/completions", Route::Model),
        route(Method::GET, "/v1/completions", Route::MethodNotAllowed),
        route(Method::GET, "/v1/models", Route::Models),
        route(Method::POST, "/v1/tickets", Route::TakeTicket),
        route(Method::GET, "/v1/tickets/t", Route::LookTicket("t".into())),
        route(Method::PUT, "/services/forms/a/b?c=d", plain("forms", "/a/b?c=d")),
        route(Method::GET, "/services/forms", plain("forms", "/")),
        route(Method::GET, "/nothing", Route::NotFound),
    ];
    for case in cases {
        let uri: Uri = case.uri.parse().expect(case.uri);
        assert_eq!(find(&case.method, &uri), case.want, "{} {}", case.method, case.uri);
    }
}

struct IdCase {
    name: &'static str,
    given: &'static str,
    kept: bool,
}

#[test]
fn request_ids_are_kept_if_they_are_plain() {
    let cases = [
        IdCase {
            name: "plain",
            given: "a-1_b.c:d",
            kept: true,
        },
        IdCase {
            name: "space",
            given: "a b",
            kept: false,
        },
        IdCase {
            name: "path",
            given: "../x",
            kept: false,
        },
        IdCase {
            name: "empty",
            given: "",
            kept: false,
        },
    ];
    for case in cases {
        let mut headers = HeaderMap::new();
        headers.insert("x-request-id", HeaderValue::from_static(case.given));
        assert_eq!(request_id(&headers) == case.given, case.kept, "{}", case.name);
    }
}

#[test]
fn a_time_to_come_back_is_told_in_seconds_and_milliseconds() {
    let end = Final::not_run(StatusCode::SERVICE_UNAVAILABLE, "queue-full", "full");
    let headers = end.retry_after(std::time::Duration::from_millis(1200)).headers("r");
    assert_eq!(headers.get("retry-after"), Some(&HeaderValue::from(2)));
    assert_eq!(headers.get("celerytide-retry-after-ms"), Some(&HeaderValue::from(1200)));
    assert_eq!(
        headers.get("celerytide-word"),
        Some(&HeaderValue::from_static("not-run"))
    );
}
