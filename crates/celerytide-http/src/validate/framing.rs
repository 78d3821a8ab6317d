//! Determines from a decoded head how the body is delimited.

use http::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, TRANSFER_ENCODING};
use http::{Method, StatusCode, Version};

use super::ProtocolError;

/// How a body is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// No body.
    Empty,
    /// A body of this many bytes.
    Length(usize),
    /// Chunked transfer coding.
    Chunked,
    /// Everything until the connection closes; never the framing of a request.
    UntilClose,
}

impl Framing {
    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Framing::Empty => "empty",
            Framing::Length(_) => "length",
            Framing::Chunked => "chunks",
            Framing::UntilClose => "close",
        }
    }
}

/// Returns the framing of a request's body, or an error if method, version or `host` header are not acceptable.
pub fn request_framing(method: &Method, version: Version, headers: &HeaderMap) -> Result<Framing, ProtocolError> {
    if *method == Method::CONNECT {
        return Err(ProtocolError::Method);
    }
    let is_legacy = version != Version::HTTP_11;
    if is_legacy && *method != Method::GET && *method != Method::HEAD {
        return Err(ProtocolError::Version);
    }
    let hosts = headers.get_all(HOST).iter().count();
    if hosts > 1 || hosts == 0 && !is_legacy {
        return Err(ProtocolError::Host);
    }
    let framing = declared_framing(version, headers)?;
    Ok(framing.unwrap_or(Framing::Empty))
}

/// Returns the framing of the body of a response to a `method` request. A response without a declared length is
/// delimited by the close of the connection if `until_close` is set, and is an error otherwise.
pub fn response_framing(
    method: &Method,
    status: StatusCode,
    version: Version,
    headers: &HeaderMap,
    until_close: bool,
) -> Result<Framing, ProtocolError> {
    let is_bodiless = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    let framing = declared_framing(version, headers)?;
    if is_bodiless || *method == Method::HEAD {
        return Ok(Framing::Empty);
    }
    match framing {
        None if until_close => Ok(Framing::UntilClose),
        framing => framing.ok_or(ProtocolError::Unframed),
    }
}

/// Whether the peer will close the connection after this message.
pub fn wants_close(version: Version, headers: &HeaderMap) -> bool {
    version != Version::HTTP_11
        || headers
            .get_all(CONNECTION)
            .iter()
            .any(|v| has_close_token(v.as_bytes()))
}

fn has_close_token(value: &[u8]) -> bool {
    value
        .split(|b| *b == b',')
        .any(|token| token.trim_ascii().eq_ignore_ascii_case(b"close"))
}

fn declared_framing(version: Version, headers: &HeaderMap) -> Result<Option<Framing>, ProtocolError> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let (length, coding) = (lengths.next(), codings.next());
    if lengths.next().is_some() || length.is_some() && coding.is_some() {
        return Err(ProtocolError::Length);
    }
    if let Some(coding) = coding {
        let chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
        if !chunked || codings.next().is_some() {
            return Err(ProtocolError::Coding);
        }
        return match version {
            Version::HTTP_11 => Ok(Some(Framing::Chunked)),
            _ => Err(ProtocolError::Length),
        };
    }
    length.map(|v| parse_length(v.as_bytes())).transpose()
}

fn parse_length(value: &[u8]) -> Result<Framing, ProtocolError> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(ProtocolError::Length);
    }
    let text = std::str::from_utf8(value).map_err(|_| ProtocolError::Length)?;
    match text.parse::<usize>() {
        Ok(0) => Ok(Framing::Empty),
        Ok(n) => Ok(Framing::Length(n)),
        Err(_) => Err(ProtocolError::Length),
    }
}
