//! What is known of a request once it is classified.

use std::time::Duration;

use celerytide_manifest::{Class, Manifest, Service};
use celerytide_types::{BootTime, ClassName, CustomerId, RequestId, ServiceId, Tier, new_request_id};
use http::{HeaderMap, HeaderName};

use crate::answer::{Final, REQUEST_ID};
use crate::permit::Wanted;

/// Names the class of a request; without it the service's default class holds.
pub const CLASS: HeaderName = HeaderName::from_static("celerytide-class");
/// Longest request id that is taken over from a caller, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// A request waits at most this many times its target before it must begin.
const PATIENCE: u32 = 4;

/// A classified request.
#[derive(Debug, Clone)]
pub struct Facts {
    /// The request.
    pub request: RequestId,
    /// Its customer.
    pub customer: CustomerId,
    /// The service it is for.
    pub service: ServiceId,
    /// Its class.
    pub class: ClassName,
    /// Its tier.
    pub tier: Tier,
    /// When it arrived.
    pub arrived: BootTime,
    /// When it must have begun.
    pub begin_by: BootTime,
    /// Target for its first token or whole answer.
    pub target: Duration,
}

impl Facts {
    /// Classifies a request to `service`. `longest_wait` bounds the time in the queue.
    pub fn new(
        request: RequestId,
        customer: &str,
        service: &Service,
        class: &Class,
        arrived: BootTime,
        longest_wait: Duration,
    ) -> Facts {
        let patience = (class.first_token * PATIENCE).min(longest_wait);
        Facts {
            request,
            customer: customer.to_owned(),
            service: service.id.clone(),
            class: class.name.clone(),
            tier: class.tier,
            arrived,
            begin_by: arrived.after(patience),
            target: class.first_token,
        }
    }

    /// What to ask the pool's owner for.
    pub fn wanted(&self) -> Wanted {
        Wanted {
            service: self.service.clone(),
            request: self.request.clone(),
            class: self.class.clone(),
            customer: self.customer.clone(),
            arrived: self.arrived,
            begin_by: self.begin_by,
            prompt_tokens: 0,
            max_tokens: None,
            prefix: Vec::new(),
            avoid: Vec::new(),
        }
    }
}

/// The caller's request id if it is usable, else a new one.
pub fn request_id(headers: &HeaderMap) -> RequestId {
    let given = headers.get(REQUEST_ID).and_then(|v| v.to_str().ok());
    match given {
        Some(id) if usable(id) => id.to_owned(),
        Some(_) | None => new_request_id(),
    }
}

/// The class that a request names, or the service's default.
pub fn class_of<'m>(manifest: &'m Manifest, service: &Service, headers: &HeaderMap) -> Result<&'m Class, Final> {
    let Some(named) = headers.get(CLASS) else {
        let none = || Final::bad("no-class", "celerytide-class", "the service has no default class");
        return manifest.default_class(&service.id).ok_or_else(none);
    };
    let named = named.to_str().unwrap_or_default();
    let class = manifest.class(named).filter(|c| c.service == service.id);
    class.ok_or_else(|| unknown_class(manifest, service))
}

fn unknown_class(manifest: &Manifest, service: &Service) -> Final {
    let classes = manifest.classes.iter().filter(|c| c.service == service.id);
    let names: Vec<&str> = classes.map(|c| c.name.as_str()).collect();
    let message = format!(
        "no such class for service {}; allowed: {}",
        service.id,
        names.join(", ")
    );
    Final::bad("unknown-class", "celerytide-class", &message)
}

fn usable(id: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':');
    !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES && id.bytes().all(plain)
}
