//! The manifest in force: its version only grows, and a rejected one changes nothing.

use std::rc::Rc;

use celerytide_manifest::{Checked, Fault, Manifest};
use celerytide_types::{Digest, Version};
use xxhash_rust::xxh3::xxh3_64;

/// Turns a manifest's text into a checked one.
pub type Check = fn(&str, &str) -> Result<Checked, Vec<Fault>>;

/// What became of an offered manifest.
#[derive(Debug, Clone, PartialEq)]
pub enum Applied {
    /// It is in force.
    Applied,
    /// It is in force already.
    Same,
    /// Its version is lower; refused.
    Older,
    /// Its version is in force with another text; refused.
    OtherDigest,
    /// It has faults; the earlier one stays in force.
    Invalid(Vec<Fault>),
}

/// A manifest in force and its text.
#[derive(Debug)]
struct InForce {
    manifest: Rc<Manifest>,
    digest: Digest,
    text: Rc<str>,
}

/// The text that failed its check last; spares a second check of the same text.
#[derive(Debug)]
struct Rejected {
    hash: u64,
    faults: Vec<Fault>,
}

/// The manifest in force, if any.
#[derive(Debug, Default)]
pub(crate) struct Manifests {
    in_force: Option<InForce>,
    rejected: Option<Rejected>,
}

impl Manifests {
    pub(crate) fn offer(&mut self, check: Check, file: &str, text: &str) -> (Applied, Version) {
        if self.text().is_some_and(|t| &*t == text) {
            return (Applied::Same, self.version());
        }
        let hash = xxh3_64(text.as_bytes());
        if let Some(rejected) = self.rejected.as_ref().filter(|r| r.hash == hash) {
            return (Applied::Invalid(rejected.faults.clone()), 0);
        }
        match check(file, text) {
            Ok(checked) => self.offer_checked(checked, text),
            Err(faults) => {
                self.rejected = Some(Rejected {
                    hash,
                    faults: faults.clone(),
                });
                (Applied::Invalid(faults), 0)
            }
        }
    }

    fn offer_checked(&mut self, checked: Checked, text: &str) -> (Applied, Version) {
        let offered = checked.manifest.version;
        let held = self.version();
        if offered < held {
            return (Applied::Older, offered);
        }
        if offered == held && self.in_force.is_some() {
            let same = self.digest() == checked.digest;
            return (if same { Applied::Same } else { Applied::OtherDigest }, offered);
        }
        let manifest = Rc::new(checked.manifest);
        self.in_force = Some(InForce {
            manifest,
            digest: checked.digest,
            text: Rc::from(text),
        });
        (Applied::Applied, offered)
    }

    pub(crate) fn version(&self) -> Version {
        self.in_force.as_ref().map_or(0, |m| m.manifest.version)
    }

    pub(crate) fn digest(&self) -> Digest {
        self.in_force.as_ref().map_or_else(Digest::new, |m| m.digest.clone())
    }

    pub(crate) fn manifest(&self) -> Option<Rc<Manifest>> {
        self.in_force.as_ref().map(|m| m.manifest.clone())
    }

    pub(crate) fn text(&self) -> Option<Rc<str>> {
        self.in_force.as_ref().map(|m| m.text.clone())
    }
}
