//! The customer, service, class and deadline of a classified request.

use std::time::Duration;

use celerytide_manifest::{Class, Manifest, Service};
use celerytide_types::{BootTime, ClassName, CustomerId, RequestId, ServiceId, Tier, new_request_id};
use http::{HeaderMap, HeaderName};

use crate::permit::PermitSpec;
use crate::response::{ErrorResponse, REQUEST_ID_HEADER};

/// Header that names the request's class; without it the service's default class applies.
pub const CLASS_HEADER: HeaderName = HeaderName::from_static("celerytide-class");
/// Longest request id that is accepted from a caller; a longer one is replaced.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// Longest wait for a permit, as a multiple of the class's latency target.
const MAX_WAIT_TARGETS: u32 = 4;

/// A classified request.
#[derive(Debug, Clone)]
pub struct RequestInfo {
    /// Id given by the caller or generated here.
    pub request: RequestId,
    /// Customer whose key the caller sent.
    pub customer: CustomerId,
    /// Service that the request is for.
    pub service: ServiceId,
    /// Class named by the caller, or the service's default.
    pub class: ClassName,
    /// Tier of the class.
    pub tier: Tier,
    /// When the entry received the request.
    pub arrived_at: BootTime,
    /// Time by which the request's work has to start, so its permit must be granted before it.
    pub start_deadline: BootTime,
    /// Class's target for the first token, or for the complete response of a plain service.
    pub latency_target: Duration,
}

impl RequestInfo {
    /// Describes a request to `service`. `wait_limit` bounds the wait for a permit, whatever the class allows.
    pub fn new(
        request: RequestId,
        customer: &str,
        service: &Service,
        class: &Class,
        arrived_at: BootTime,
        wait_limit: Duration,
    ) -> RequestInfo {
        let max_wait = (class.first_token * MAX_WAIT_TARGETS).min(wait_limit);
        RequestInfo {
            request,
            customer: customer.to_owned(),
            service: service.id.clone(),
            class: class.name.clone(),
            tier: class.tier,
            arrived_at,
            start_deadline: arrived_at.after(max_wait),
            latency_target: class.first_token,
        }
    }

    /// The permit to request from the pool's owner.
    pub fn permit_spec(&self) -> PermitSpec {
        PermitSpec {
            service: self.service.clone(),
            request: self.request.clone(),
            class: self.class.clone(),
            customer: self.customer.clone(),
            arrived_at: self.arrived_at,
            start_deadline: self.start_deadline,
            prompt_tokens: 0,
            max_tokens: None,
            prefix: Vec::new(),
            avoid: Vec::new(),
            content: None,
        }
    }
}

/// The caller's request id if it is valid, otherwise a new one.
pub fn request_id(headers: &HeaderMap) -> RequestId {
    let given = headers.get(REQUEST_ID_HEADER).and_then(|v| v.to_str().ok());
    match given {
        Some(id) if is_valid_request_id(id) => id.to_owned(),
        Some(_) | None => new_request_id(),
    }
}

/// The class that the request's header names, or the service's default class.
pub fn resolve_class<'m>(
    manifest: &'m Manifest,
    service: &Service,
    headers: &HeaderMap,
) -> Result<&'m Class, ErrorResponse> {
    let Some(named) = headers.get(CLASS_HEADER) else {
        let none = || ErrorResponse::bad_request("no-class", "celerytide-class", "the service has no default class");
        return manifest.default_class(&service.id).ok_or_else(none);
    };
    let named = named.to_str().unwrap_or_default();
    let class = manifest.class(named).filter(|c| c.service == service.id);
    class.ok_or_else(|| unknown_class(manifest, service))
}

fn unknown_class(manifest: &Manifest, service: &Service) -> ErrorResponse {
    let classes = manifest.classes.iter().filter(|c| c.service == service.id);
    let names: Vec<&str> = classes.map(|c| c.name.as_str()).collect();
    let message = format!(
        "no such class for service {}; allowed: {}",
        service.id,
        names.join(", ")
    );
    ErrorResponse::bad_request("unknown-class", "celerytide-class", &message)
}

fn is_valid_request_id(id: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':');
    !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES && id.bytes().all(is_allowed)
}
