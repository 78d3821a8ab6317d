//! Sections of manifests, and the manifests that wait for them.
//!
//! A manifest with missing sections waits beside the one in force. It is put in force in one step when the last section
//! arrives, so that no partial configuration is ever in force. A section is kept as long as the manifest in force or a
//! waiting one names it.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use celerytide_manifest::{CheckedManifest, Section};
use celerytide_types::{Digest, Version};

use super::Origin;

/// Maximum number of waiting manifests; beyond it the least recently offered one is dropped.
const MAX_WAITING: usize = 4;

/// A checked manifest that waits for sections.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) checked: CheckedManifest,
    pub(super) text: Rc<str>,
    pub(super) origin: Origin,
}

/// A section that a waiting manifest needs and that is not stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MissingSection {
    /// Digest of the section.
    pub digest: Digest,
    /// Source of the manifest.
    pub origin: Origin,
}

/// Stored sections, and waiting manifests in the order of their last offer.
#[derive(Debug, Default)]
pub(super) struct Sections {
    stored: BTreeMap<Digest, Rc<Section>>,
    waiting: Vec<Waiting>,
}

impl Waiting {
    pub(super) fn version(&self) -> Version {
        self.checked.manifest.version
    }

    fn digests(&self) -> &[Digest] {
        &self.checked.manifest.customer_sections
    }

    /// All sections in the manifest's order; `None` if one is not stored.
    fn collect_sections(&self, stored: &BTreeMap<Digest, Rc<Section>>) -> Option<Vec<Rc<Section>>> {
        self.digests()
            .iter()
            .map(|digest| stored.get(digest).cloned())
            .collect()
    }
}

impl Sections {
    /// Adds a manifest with missing sections; the same manifest moves to the end.
    pub(super) fn add_waiting(&mut self, manifest: Waiting) {
        self.waiting.retain(|w| w.checked.digest != manifest.checked.digest);
        if self.waiting.len() == MAX_WAITING {
            self.waiting.remove(0);
        }
        self.waiting.push(manifest);
    }

    /// Moves a waiting manifest with this text to the end and returns its version; `None` if none waits.
    pub(super) fn touch_waiting(&mut self, text: &str) -> Option<Version> {
        let at = self.waiting.iter().position(|w| &*w.text == text)?;
        let manifest = self.waiting.remove(at);
        let version = manifest.version();
        self.waiting.push(manifest);
        Some(version)
    }

    /// Sections that waiting manifests need and that are not stored, each once.
    pub(super) fn missing(&self) -> Vec<MissingSection> {
        let mut seen = BTreeSet::new();
        let mut missing = Vec::new();
        for manifest in self.waiting.iter().rev() {
            for digest in manifest.digests() {
                if !self.stored.contains_key(digest) && seen.insert(digest) {
                    missing.push(MissingSection {
                        digest: digest.clone(),
                        origin: manifest.origin.clone(),
                    });
                }
            }
        }
        missing
    }

    /// Highest version among the waiting manifests that need the section; `None` if it is stored.
    pub(super) fn needed_by(&self, digest: &str) -> Option<Version> {
        let named = self.waiting.iter().filter(|w| w.digests().iter().any(|d| d == digest));
        let version = named.map(Waiting::version).max();
        version.filter(|_| !self.stored.contains_key(digest))
    }

    pub(super) fn get(&self, digest: &str) -> Option<Rc<Section>> {
        self.stored.get(digest).cloned()
    }

    pub(super) fn store(&mut self, section: Section) {
        self.stored.insert(section.digest.clone(), Rc::new(section));
    }

    /// Removes and returns a manifest whose sections are all stored.
    pub(super) fn take_complete(&mut self) -> Option<(Waiting, Vec<Rc<Section>>)> {
        let stored = &self.stored;
        let complete = |(at, w): (usize, &Waiting)| w.collect_sections(stored).map(|sections| (at, sections));
        let (at, sections) = self.waiting.iter().enumerate().find_map(complete)?;
        Some((self.waiting.remove(at), sections))
    }

    /// Removes and returns the manifests that name a section.
    pub(super) fn take_waiting_for(&mut self, digest: &str) -> Vec<Waiting> {
        let names = |w: &mut Waiting| w.digests().iter().any(|d| d == digest);
        self.waiting.extract_if(.., names).collect()
    }

    /// Drops manifests up to `version`, and sections that neither `in_force` nor a waiting manifest names.
    pub(super) fn retain_needed(&mut self, version: Version, in_force: &[Digest]) {
        self.waiting.retain(|w| w.version() > version);
        let waiting = self.waiting.iter().flat_map(|w| w.digests());
        let named: BTreeSet<&str> = in_force.iter().chain(waiting).map(String::as_str).collect();
        self.stored.retain(|digest, _| named.contains(digest.as_str()));
    }
}
