//! Sections of manifests, and manifests that wait for them.
//!
//! A manifest whose sections aren't all held yet waits beside the one in force. It takes force in one step once the last
//! section has come, or never. Sections are kept as long as a manifest in force or waiting names them.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use celerytide_manifest::{CheckedManifest, Section};
use celerytide_types::{Digest, Version};

use super::Origin;

/// Most manifests that wait at once; the one that was offered least lately gives way.
const MAX_WAITING: usize = 4;

/// A checked manifest that waits for sections.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) checked: CheckedManifest,
    pub(super) text: Rc<str>,
    pub(super) origin: Origin,
}

/// A section that a waiting manifest lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MissingSection {
    /// Its digest.
    pub digest: Digest,
    /// Who offered the manifest.
    pub origin: Origin,
}

/// Sections held, and manifests that wait for further ones, the last offered at the end.
#[derive(Debug, Default)]
pub(super) struct Sections {
    held: BTreeMap<Digest, Rc<Section>>,
    waiting: Vec<Waiting>,
}

impl Waiting {
    pub(super) fn version(&self) -> Version {
        self.checked.manifest.version
    }

    fn digests(&self) -> &[Digest] {
        &self.checked.manifest.customer_sections
    }

    /// The sections in the manifest's order, if all are `held`.
    fn all(&self, held: &BTreeMap<Digest, Rc<Section>>) -> Option<Vec<Rc<Section>>> {
        self.digests().iter().map(|digest| held.get(digest).cloned()).collect()
    }
}

impl Sections {
    /// Takes a manifest that lacks sections; one of the same text moves to the end.
    pub(super) fn wait_for(&mut self, manifest: Waiting) {
        self.waiting.retain(|w| w.checked.digest != manifest.checked.digest);
        if self.waiting.len() == MAX_WAITING {
            self.waiting.remove(0);
        }
        self.waiting.push(manifest);
    }

    /// Whether a manifest of that text waits already; it moves to the end. Says its version.
    pub(super) fn waits(&mut self, text: &str) -> Option<Version> {
        let at = self.waiting.iter().position(|w| &*w.text == text)?;
        let manifest = self.waiting.remove(at);
        let version = manifest.version();
        self.waiting.push(manifest);
        Some(version)
    }

    /// Every section that a waiting manifest lacks, once.
    pub(super) fn missing(&self) -> Vec<MissingSection> {
        let mut seen = BTreeSet::new();
        let mut missing = Vec::new();
        for manifest in self.waiting.iter().rev() {
            for digest in manifest.digests() {
                if !self.held.contains_key(digest) && seen.insert(digest) {
                    missing.push(MissingSection {
                        digest: digest.clone(),
                        origin: manifest.origin.clone(),
                    });
                }
            }
        }
        missing
    }

    /// The highest version that lacks the section.
    pub(super) fn wanted_by(&self, digest: &str) -> Option<Version> {
        let named = self.waiting.iter().filter(|w| w.digests().iter().any(|d| d == digest));
        let version = named.map(Waiting::version).max();
        version.filter(|_| !self.held.contains_key(digest))
    }

    pub(super) fn get(&self, digest: &str) -> Option<Rc<Section>> {
        self.held.get(digest).cloned()
    }

    pub(super) fn hold(&mut self, section: Section) {
        self.held.insert(section.digest.clone(), Rc::new(section));
    }

    /// Takes out a manifest whose sections are all held.
    pub(super) fn take_complete(&mut self) -> Option<(Waiting, Vec<Rc<Section>>)> {
        let held = &self.held;
        let complete = |(at, w): (usize, &Waiting)| w.all(held).map(|sections| (at, sections));
        let (at, sections) = self.waiting.iter().enumerate().find_map(complete)?;
        Some((self.waiting.remove(at), sections))
    }

    /// Takes out the manifests that name a section.
    pub(super) fn take_naming(&mut self, digest: &str) -> Vec<Waiting> {
        let names = |w: &mut Waiting| w.digests().iter().any(|d| d == digest);
        self.waiting.extract_if(.., names).collect()
    }

    /// Forgets manifests that can't take force any more, and sections that neither `in_force` nor a waiting one names.
    pub(super) fn forget(&mut self, version: Version, in_force: &[Digest]) {
        self.waiting.retain(|w| w.version() > version);
        let waiting = self.waiting.iter().flat_map(|w| w.digests());
        let named: BTreeSet<&str> = in_force.iter().chain(waiting).map(String::as_str).collect();
        self.held.retain(|digest, _| named.contains(digest.as_str()));
    }
}
