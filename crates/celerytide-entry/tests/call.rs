//! Tests of what the entry parses from requests and from chunks of an engine's stream.

use bytes::Bytes;
use celerytide_entry::chunk_text::has_text;
use celerytide_entry::engine_version::StreamVersion;
use celerytide_entry::headers::caller_headers;
use celerytide_entry::model_body;
use celerytide_entry::request_info::request_id;
use celerytide_entry::response::ErrorResponse;
use celerytide_entry::route::{Route, find_route};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};

struct ChunkCase {
    name: &'static str,
    data: &'static str,
    text: bool,
}

fn chunk_case(name: &'static str, data: &'static str, text: bool) -> ChunkCase {
    ChunkCase { name, data, text }
}

#[test]
fn chunks_without_text_are_not_counted_as_tokens() {
    let cases = [
        chunk_case("chat token", r#"{"choices":[{"delta":{"content":"w0 "}}]}"#, true),
        chunk_case(
            "spaces around the colon",
            r#"{"choices":[{"delta":{"content" : "x"}}]}"#,
            true,
        ),
        chunk_case("completion token", r#"{"choices":[{"text":"x"}]}"#, true),
        chunk_case(
            "role with empty content",
            r#"{"choices":[{"delta":{"role":"assistant","content":""}}]}"#,
            false,
        ),
        chunk_case("null content", r#"{"choices":[{"delta":{"content":null}}]}"#, false),
        chunk_case("usage only", r#"{"choices":[],"usage":{"completion_tokens":3}}"#, false),
        chunk_case("cut before the value", r#"{"content":"#, false),
    ];
    for case in cases {
        assert_eq!(has_text(case.data.as_bytes()), case.text, "{}", case.name);
    }
}

struct BodyCase {
    name: &'static str,
    body: &'static str,
    want: Result<Parsed, &'static str>,
}

#[derive(Debug, PartialEq)]
struct Parsed {
    stream: bool,
    max_tokens: Option<u32>,
}

fn accepted(name: &'static str, body: &'static str, stream: bool, max_tokens: Option<u32>) -> BodyCase {
    BodyCase {
        name,
        body,
        want: Ok(Parsed { stream, max_tokens }),
    }
}

fn refused(name: &'static str, body: &'static str, cause: &'static str) -> BodyCase {
    BodyCase {
        name,
        body,
        want: Err(cause),
    }
}

#[test]
fn faulty_model_bodies_are_refused_with_the_cause() {
    let cases = [
        accepted("required fields only", r#"{"model":"m","messages":[]}"#, false, None),
        accepted(
            "stream and token bound",
            r#"{"model":"m","prompt":"x","stream":true,"max_tokens":7}"#,
            true,
            Some(7),
        ),
        accepted(
            "max_completion_tokens",
            r#"{"model":"m","messages":[],"max_completion_tokens":9}"#,
            false,
            Some(9),
        ),
        accepted(
            "escape sequence in the model",
            r#"{"model":"m\u0041","messages":[]}"#,
            false,
            None,
        ),
        refused("model missing", r#"{"messages":[]}"#, "missing-field"),
        refused("model is a number", r#"{"model":1,"messages":[]}"#, "bad-json"),
        refused(
            "negative token bound",
            r#"{"model":"m","messages":[],"max_tokens":-1}"#,
            "bad-json",
        ),
        refused("empty body", "", "bad-json"),
        refused("lone surrogate", r#"{"model":"\udfff","messages":[]}"#, "bad-json"),
    ];
    for case in cases {
        let got = model_body::parse(Bytes::from_static(case.body.as_bytes()));
        let got = got.map(|c| Parsed {
            stream: c.stream,
            max_tokens: c.max_tokens,
        });
        assert_eq!(
            got.map_err(|err| err.outcome.cause),
            case.want.map_err(str::to_owned),
            "{}",
            case.name
        );
    }
}

#[test]
fn the_error_for_invalid_json_does_not_quote_the_body() {
    let secret = Bytes::from_static(br#"{"model": secret-prompt}"#);
    let err = model_body::parse(secret).expect_err("not JSON");
    assert!(!err.message.contains("secret"), "{}", err.message);
}

#[test]
fn the_body_of_a_resumed_request_is_valid_json_with_the_token_count() {
    let body = model_body::parse(Bytes::from_static(br#" {"model":"m","messages":[]}"#)).expect("valid body");
    let resumed: serde_json::Value = serde_json::from_slice(&body.resume_body(12)).expect("JSON");
    assert_eq!(resumed["resume_from"], 12);
    assert_eq!(resumed["model"], "m");
}

#[test]
fn prompts_that_differ_only_at_the_end_have_equal_prefix_hashes() {
    let body = |end: &str| Bytes::from(format!(r#"{{"model":"m","prompt":"{}{end}"}}"#, "x".repeat(3000)));
    let a = model_body::parse(body("a")).expect("valid body");
    let b = model_body::parse(body("b")).expect("valid body");
    assert_eq!(a.prefix.len(), 2);
    assert_eq!(a.prefix, b.prefix);
}

struct RouteCase {
    method: Method,
    uri: &'static str,
    want: Route,
}

fn plain_route(service: &str, rest: &str) -> Route {
    Route::Plain {
        service: service.to_owned(),
        rest: rest.to_owned(),
    }
}

fn route_case(method: Method, uri: &'static str, want: Route) -> RouteCase {
    RouteCase { method, uri, want }
}

#[test]
fn methods_and_paths_map_to_their_routes() {
    let cases = [
        route_case(Method::POST, "/v1/chat/completions", Route::Model),
        route_case(Method::POST, "/v1/completions", Route::Model),
        route_case(Method::GET, "/v1/completions", Route::MethodNotAllowed),
        route_case(Method::GET, "/v1/models", Route::Models),
        route_case(Method::POST, "/v1/tickets", Route::IssueTicket),
        route_case(Method::GET, "/v1/tickets/t", Route::LookUpTicket("t".into())),
        route_case(Method::PUT, "/services/forms/a/b?c=d", plain_route("forms", "/a/b?c=d")),
        route_case(Method::GET, "/services/forms", plain_route("forms", "/")),
        route_case(Method::GET, "/nothing", Route::NotFound),
    ];
    for case in cases {
        let uri: Uri = case.uri.parse().expect(case.uri);
        assert_eq!(
            find_route(&case.method, &uri),
            case.want,
            "{} {}",
            case.method,
            case.uri
        );
    }
}

struct IdCase {
    name: &'static str,
    given: &'static str,
    kept: bool,
}

#[test]
fn request_ids_with_unsafe_characters_are_replaced() {
    let cases = [
        IdCase {
            name: "all allowed characters",
            given: "a-1_b.c:d",
            kept: true,
        },
        IdCase {
            name: "contains a space",
            given: "a b",
            kept: false,
        },
        IdCase {
            name: "contains a slash",
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

/// An endpoint's word on the head of a stream would be read as the word of this entry.
#[test]
fn an_endpoint_does_not_speak_for_the_entry() {
    let mut headers = HeaderMap::new();
    for name in ["celerytide-word", "celerytide-cause", "celerytide-retry-after-ms"] {
        headers.insert(name, HeaderValue::from_static("1"));
    }
    headers.insert("x-engine", HeaderValue::from_static("e"));
    let names: Vec<String> = caller_headers(&headers).keys().map(ToString::to_string).collect();
    assert_eq!(names, ["x-engine"]);
}

#[test]
fn retry_time_is_rounded_up_to_seconds_and_exact_in_milliseconds() {
    let err = ErrorResponse::not_run(StatusCode::SERVICE_UNAVAILABLE, "queue-full", "full");
    let headers = err.retry_after(std::time::Duration::from_millis(1200)).headers("r");
    assert_eq!(headers.get("retry-after"), Some(&HeaderValue::from(2)));
    assert_eq!(headers.get("celerytide-retry-after-ms"), Some(&HeaderValue::from(1200)));
    assert_eq!(
        headers.get("celerytide-word"),
        Some(&HeaderValue::from_static("not-run"))
    );
}

/// Text of two engine versions must not be joined in one stream.
#[test]
fn a_stream_is_bound_to_the_version_of_its_text() {
    struct VersionCase {
        name: &'static str,
        first: &'static str,
        next: &'static str,
        admitted: bool,
    }
    const NONE: &str = r#"{"choices":[]}"#;
    const V1: &str = r#"{"system_fingerprint":"v1","choices":[]}"#;
    const V2: &str = r#"{"system_fingerprint":"v2","choices":[]}"#;
    let case = |name, first, next, admitted| VersionCase {
        name,
        first,
        next,
        admitted,
    };
    let cases = [
        case("the same", V1, V1, true),
        case("another", V1, V2, false),
        case("the next names none", V1, NONE, false),
        case("the first named none", NONE, V1, false),
        case("neither names one", NONE, NONE, true),
        case("null", NONE, r#"{"system_fingerprint":null}"#, true),
        case("no JSON", V1, "v1", false),
    ];
    for case in cases {
        let mut version = StreamVersion::default();
        assert!(version.admits(b"{}", 0), "{}: broke off before any text", case.name);
        assert!(version.admits(case.first.as_bytes(), 0), "{}", case.name);
        assert_eq!(version.admits(case.next.as_bytes(), 1), case.admitted, "{}", case.name);
    }
}
