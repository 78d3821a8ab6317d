//! Who calls: the customer behind a key.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use celerytide_manifest::{Customer, Manifest, hash_key};
use celerytide_types::Version;
use http::HeaderMap;
use http::StatusCode;
use http::header::AUTHORIZATION;

use crate::answer::Final;

const SCHEME: &str = "Bearer ";
/// Characters of a caller's text that an error message shows.
const MAX_SHOWN_CHARS: usize = 64;

/// Index of customers by the hash of their key, remade for each manifest.
#[derive(Default)]
pub struct Customers {
    index: RefCell<Index>,
}

#[derive(Default)]
struct Index {
    version: Version,
    by_key: HashMap<String, usize>,
}

impl Customers {
    /// The customer whose key the request bears.
    pub fn of<'m>(&self, manifest: &'m Rc<Manifest>, headers: &HeaderMap) -> Result<&'m Customer, Final> {
        let key =
            bearer(headers).ok_or_else(|| unauthorized("missing-key", "no 'authorization: Bearer KEY' header"))?;
        self.bring_up_to_date(manifest);
        let found = self.index.borrow().by_key.get(&hash_key(key)).copied();
        let customer = found.and_then(|i| manifest.customers.get(i));
        customer.ok_or_else(|| unauthorized("unknown-key", "the key belongs to no customer"))
    }

    /// Number of customers in the index.
    pub fn count(&self) -> usize {
        self.index.borrow().by_key.len()
    }

    fn bring_up_to_date(&self, manifest: &Manifest) {
        let mut index = self.index.borrow_mut();
        if index.version == manifest.version {
            return;
        }
        index.version = manifest.version;
        index.by_key = manifest
            .customers
            .iter()
            .enumerate()
            .map(|(i, c)| (c.key_sha256.clone(), i))
            .collect();
    }
}

/// The key that a request bears.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix(SCHEME).map(str::trim).filter(|key| !key.is_empty())
}

/// A text from a caller as an error message may show it: short, and without control characters.
pub fn shown(text: &str) -> String {
    text.chars().filter(|c| !c.is_control()).take(MAX_SHOWN_CHARS).collect()
}

fn unauthorized(cause: &str, message: &str) -> Final {
    Final::not_run(StatusCode::UNAUTHORIZED, cause, message)
}
