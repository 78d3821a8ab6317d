//! How a body ends, decided from its decoded head.

use http::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, TRANSFER_ENCODING};
use http::{Method, StatusCode, Version};

use super::ProtocolError;

/// The end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// No body.
    Empty,
    /// This many bytes.
    Length(usize),
    /// Chunks up to the empty one.
    Chunked,
    /// Everything up to the end of the connection; answers only.
    UntilClose,
}

/// Framing of a request's body; also checks the parts of its head that decide who reads it.
pub fn request_framing(method: &Method, version: Version, headers: &HeaderMap) -> Result<Framing, ProtocolError> {
    if *method == Method::CONNECT {
        return Err(ProtocolError::Method);
    }
    let old = version != Version::HTTP_11;
    if old && *method != Method::GET && *method != Method::HEAD {
        return Err(ProtocolError::Version);
    }
    let hosts = headers.get_all(HOST).iter().count();
    if hosts > 1 || hosts == 0 && !old {
        return Err(ProtocolError::Host);
    }
    let framing = stated(version, headers)?;
    Ok(framing.unwrap_or(Framing::Empty))
}

/// Framing of an answer's body to a request of `method`. Without a stated length it ends with the connection if
/// `until_close` allows that, and is a fault otherwise.
pub fn answer_framing(
    method: &Method,
    status: StatusCode,
    version: Version,
    headers: &HeaderMap,
    until_close: bool,
) -> Result<Framing, ProtocolError> {
    let bodiless = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    let framing = stated(version, headers)?;
    if bodiless || *method == Method::HEAD {
        return Ok(Framing::Empty);
    }
    match framing {
        None if until_close => Ok(Framing::UntilClose),
        framing => framing.ok_or(ProtocolError::Unframed),
    }
}

/// Whether the peer closes the connection after this message.
pub fn wants_close(version: Version, headers: &HeaderMap) -> bool {
    version != Version::HTTP_11 || headers.get_all(CONNECTION).iter().any(|v| lists_close(v.as_bytes()))
}

fn lists_close(value: &[u8]) -> bool {
    value
        .split(|b| *b == b',')
        .any(|token| token.trim_ascii().eq_ignore_ascii_case(b"close"))
}

fn stated(version: Version, headers: &HeaderMap) -> Result<Option<Framing>, ProtocolError> {
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
