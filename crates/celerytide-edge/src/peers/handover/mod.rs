//! Hands a request to a peer that reaches endpoints, and serves those that peers hand over.
//!
//! The peer accepts or declines before it gets the body, and runs nothing before it has the last part of it. What fails
//! before that part is sent has therefore certainly not run. A peer hands nothing on.
//!
//! The request names the version of the configuration by which the sender decided, and a peer takes it only with that
//! version or a newer one: an older one may lack its route or key, or send it to another service. A peer of an earlier
//! release doesn't compare. It is handed a request only if it has told that version or a newer one in an exchange, and a
//! request that it hands over is taken only if no live peer has told a newer version than the own one.

mod ask;
mod serve;

pub use ask::{HandedOver, Offer, hand_over};
pub use serve::serve;

use bytes::Bytes;
use celerytide_http::server::ResponsePart;
use celerytide_http::validate::response_status;
use celerytide_types::{Millis, ServiceId, Version, data};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use super::later_fields::or_default;

/// Largest part of a body in one message, in bytes.
const PART_BYTES: usize = 64 * 1024;

data! {
    /// Head of a request that is handed over; the first message of [`Method::Proxy`](celerytide_wire::messages::Method).
    pub struct ProxyRequest {
        /// Request method.
        pub method: String,
        /// Request target.
        pub target: String,
        /// Headers in order, each with its value.
        pub headers: Vec<(String, Vec<u8>)>,
        /// Service for which the sender reaches no endpoint.
        pub service: ServiceId,
        /// Address of the caller.
        pub caller: std::net::SocketAddr,
        /// Time left.
        pub left_ms: Millis,
        /// Attempts that may have run before, at peers that didn't finish them.
        pub attempts: u32,
        /// Length of the body, which follows in parts.
        pub body_bytes: u64,
        /// Version of the configuration that the peer must have; 0 from earlier releases, which don't send it.
        #[serde(deserialize_with = "or_default")]
        pub config: Version,
    }

    /// Part of the body; a request without one has one empty part.
    pub struct BodyPart {
        /// Its bytes.
        pub bytes: Vec<u8>,
    }

    /// Reply of the peer: whether it takes the request, then the response in parts.
    pub enum ProxyReply {
        /// It serves the request once it has the body. It is of an earlier release, or the request names no version.
        Accepted,
        /// It can't serve the request, which has not run.
        Declined,
        /// A complete response.
        Whole {
            /// HTTP status.
            status: u16,
            /// Headers.
            headers: Vec<(String, Vec<u8>)>,
            /// The body.
            body: Vec<u8>,
        },
        /// The head of a response whose body follows in chunks.
        Head {
            /// HTTP status.
            status: u16,
            /// Headers.
            headers: Vec<(String, Vec<u8>)>,
        },
        /// Bytes of the body.
        Chunk(Vec<u8>),
        /// The regular end of the body.
        End,
        /// It serves the request once it has the body, by this version of the configuration or a newer one.
        AcceptedAt(Version),
    }
}

fn encode_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let encoded = |(name, value): (&HeaderName, &HeaderValue)| (name.to_string(), value.as_bytes().to_vec());
    headers.iter().map(encoded).collect()
}

/// Headers as they were encoded; `None` if one isn't valid.
fn decode_headers(headers: Vec<(String, Vec<u8>)>) -> Option<HeaderMap> {
    let mut decoded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let name: HeaderName = name.parse().ok()?;
        decoded.try_append(name, HeaderValue::from_bytes(&value).ok()?).ok()?;
    }
    Some(decoded)
}

impl From<ResponsePart> for ProxyReply {
    fn from(part: ResponsePart) -> ProxyReply {
        match part {
            ResponsePart::Whole { status, headers, body } => ProxyReply::Whole {
                status: status.as_u16(),
                headers: encode_headers(&headers),
                body: body.into(),
            },
            ResponsePart::Head { status, headers } => ProxyReply::Head {
                status: status.as_u16(),
                headers: encode_headers(&headers),
            },
            ResponsePart::Chunk(bytes) => ProxyReply::Chunk(bytes.into()),
            ResponsePart::End => ProxyReply::End,
        }
    }
}

/// The status of a final response; `None` for another number.
fn final_status(number: u16) -> Option<StatusCode> {
    let status = response_status(number).ok()?;
    (!status.is_informational()).then_some(status)
}

impl ProxyReply {
    /// The part of a response; `None` if it is none, or isn't valid: a peer of an older release passes on what it was sent.
    pub fn into_part(self) -> Option<ResponsePart> {
        match self {
            ProxyReply::Accepted | ProxyReply::AcceptedAt(_) | ProxyReply::Declined => None,
            ProxyReply::Whole { status, headers, body } => Some(ResponsePart::Whole {
                status: final_status(status)?,
                headers: decode_headers(headers)?,
                body: Bytes::from(body),
            }),
            ProxyReply::Head { status, headers } => Some(ResponsePart::Head {
                status: final_status(status)?,
                headers: decode_headers(headers)?,
            }),
            ProxyReply::Chunk(bytes) => Some(ResponsePart::Chunk(bytes.into())),
            ProxyReply::End => Some(ResponsePart::End),
        }
    }
}
