//! The manifest in force: its version only increases and a rejected manifest changes nothing, so that neither a stale
//! read nor a faulty document replaces a working configuration.

use std::rc::Rc;

use celerytide_manifest::{CheckedManifest, Fault, Manifest, Section, SectionFault, join_sections, section_key};
use celerytide_types::{Digest, Version};
use xxhash_rust::xxh3::xxh3_64;

use super::Origin;
use super::sections::{MissingSection, Sections, Waiting};

/// Checks a manifest; the arguments are the name to show in faults and the text.
pub type Check = fn(&str, &str) -> Result<CheckedManifest, Vec<Fault>>;

/// Result of offering a manifest.
#[derive(Debug, Clone, PartialEq)]
pub enum ManifestOfferResult {
    /// The manifest is now in force.
    Applied,
    /// The same manifest was in force already.
    Unchanged,
    /// Rejected: its version is lower than the one in force.
    Older,
    /// Rejected: the same version is in force with another text.
    OtherDigest,
    /// Rejected for these faults; the earlier manifest stays in force.
    Invalid(Vec<Fault>),
    /// Valid, but this many sections are missing; the earlier manifest stays in force until they arrive.
    AwaitingSections(usize),
}

/// Result of offering a section.
#[derive(Debug, Clone, PartialEq)]
pub enum SectionOfferResult {
    /// The section was stored.
    Stored,
    /// No waiting manifest needs it.
    NotNeeded,
    /// The text doesn't match the digest; the section has to be read again.
    OtherDigest,
    /// The section has faults; the manifests that name it are rejected for good.
    Invalid(Vec<Fault>),
}

/// Checks a section; the arguments are those of [`check_section`].
///
/// [`check_section`]: celerytide_manifest::check_section
pub type CheckSection = fn(&str, &str, &str) -> Result<Section, SectionFault>;

/// An offered manifest and the result of the offer.
#[derive(Debug)]
pub(crate) struct OfferedManifest {
    pub(crate) result: ManifestOfferResult,
    pub(crate) version: Version,
    pub(crate) origin: Origin,
}

/// The manifest in force and its text.
#[derive(Debug)]
struct InForce {
    manifest: Rc<Manifest>,
    digest: Digest,
    text: Rc<str>,
}

/// The last text that failed its check, kept so that the same text isn't checked twice.
#[derive(Debug)]
struct Rejected {
    hash: u64,
    faults: Vec<Fault>,
}

/// The manifest in force, if any, and the manifests that wait for sections.
#[derive(Debug, Default)]
pub(crate) struct Manifests {
    in_force: Option<InForce>,
    rejected: Option<Rejected>,
    sections: Sections,
}

impl Manifests {
    pub(crate) fn offer(&mut self, check: Check, origin: &Origin, text: &str) -> Vec<OfferedManifest> {
        let offered = |result, version| OfferedManifest {
            result,
            version,
            origin: origin.clone(),
        };
        if self.text().is_some_and(|t| &*t == text) {
            return vec![offered(ManifestOfferResult::Unchanged, self.version())];
        }
        if let Some(version) = self.sections.touch_waiting(text) {
            return vec![offered(
                ManifestOfferResult::AwaitingSections(self.sections.missing().len()),
                version,
            )];
        }
        let hash = xxh3_64(text.as_bytes());
        if let Some(rejected) = self.rejected.as_ref().filter(|r| r.hash == hash) {
            return vec![offered(ManifestOfferResult::Invalid(rejected.faults.clone()), 0)];
        }
        match check(origin.name(), text) {
            Ok(checked) => self.offer_checked(checked, origin, text),
            Err(faults) => {
                self.reject(text, &faults);
                vec![offered(ManifestOfferResult::Invalid(faults), 0)]
            }
        }
    }

    fn offer_checked(&mut self, checked: CheckedManifest, origin: &Origin, text: &str) -> Vec<OfferedManifest> {
        let version = checked.manifest.version;
        if let Some(result) = self.rejection(&checked) {
            let origin = origin.clone();
            return vec![OfferedManifest {
                result,
                version,
                origin,
            }];
        }
        self.sections.add_waiting(Waiting {
            checked,
            text: Rc::from(text),
            origin: origin.clone(),
        });
        let mut done = self.apply_complete();
        if let Some(version) = self.sections.touch_waiting(text) {
            done.push(OfferedManifest {
                result: ManifestOfferResult::AwaitingSections(self.sections.missing().len()),
                version,
                origin: origin.clone(),
            });
        }
        done
    }

    /// Why a valid manifest can't be put in force.
    fn rejection(&self, checked: &CheckedManifest) -> Option<ManifestOfferResult> {
        let (offered, current) = (checked.manifest.version, self.version());
        if offered < current {
            return Some(ManifestOfferResult::Older);
        }
        if offered > current || self.in_force.is_none() {
            return None;
        }
        let same = self.digest() == checked.digest;
        Some(if same {
            ManifestOfferResult::Unchanged
        } else {
            ManifestOfferResult::OtherDigest
        })
    }

    /// Puts in force or rejects each waiting manifest whose sections have all arrived.
    fn apply_complete(&mut self) -> Vec<OfferedManifest> {
        let mut done = Vec::new();
        while let Some((waiting, sections)) = self.sections.take_complete() {
            done.push(self.put_in_force(waiting, sections));
        }
        let in_force = self.in_force.as_ref().map(|m| &m.manifest.customer_sections[..]);
        self.sections
            .retain_needed(self.version(), in_force.unwrap_or_default());
        done
    }

    fn put_in_force(&mut self, waiting: Waiting, sections: Vec<Rc<Section>>) -> OfferedManifest {
        let Waiting { checked, text, origin } = waiting;
        let version = checked.manifest.version;
        let result = match self.rejection(&checked) {
            Some(rejection) => rejection,
            None => match join_sections(checked, sections) {
                Ok(checked) => {
                    self.in_force = Some(InForce {
                        manifest: Rc::new(checked.manifest),
                        digest: checked.digest,
                        text,
                    });
                    ManifestOfferResult::Applied
                }
                Err(faults) => {
                    self.reject(&text, &faults);
                    ManifestOfferResult::Invalid(faults)
                }
            },
        };
        OfferedManifest {
            result,
            version,
            origin,
        }
    }

    fn reject(&mut self, text: &str, faults: &[Fault]) {
        self.rejected = Some(Rejected {
            hash: xxh3_64(text.as_bytes()),
            faults: faults.to_vec(),
        });
    }

    /// Offers a section; also returns the manifests that were waiting for it and are now decided.
    pub(crate) fn offer_section(
        &mut self,
        check: CheckSection,
        digest: &str,
        text: &str,
    ) -> (SectionOfferResult, Vec<OfferedManifest>) {
        if self.sections.needed_by(digest).is_none() {
            return (SectionOfferResult::NotNeeded, Vec::new());
        }
        match check(&section_key(digest), digest, text) {
            Ok(section) => {
                self.sections.store(section);
                (SectionOfferResult::Stored, self.apply_complete())
            }
            Err(SectionFault::OtherDigest { .. }) => (SectionOfferResult::OtherDigest, Vec::new()),
            Err(SectionFault::Invalid { faults }) => {
                let rejected = self.reject_waiting_for(digest, &faults);
                (SectionOfferResult::Invalid(faults), rejected)
            }
        }
    }

    /// Rejects every manifest that names a faulty section: no other text has that digest.
    fn reject_waiting_for(&mut self, digest: &str, faults: &[Fault]) -> Vec<OfferedManifest> {
        let waiting = self.sections.take_waiting_for(digest);
        for manifest in &waiting {
            self.reject(&manifest.text, faults);
        }
        let rejected = waiting.into_iter().map(|manifest| OfferedManifest {
            result: ManifestOfferResult::Invalid(faults.to_vec()),
            version: manifest.version(),
            origin: manifest.origin,
        });
        rejected.collect()
    }

    /// Sections that waiting manifests need and that are not stored.
    pub(crate) fn missing_sections(&self) -> Vec<MissingSection> {
        self.sections.missing()
    }

    /// Highest version among the waiting manifests that need the section.
    pub(crate) fn section_needed_by(&self, digest: &str) -> Option<Version> {
        self.sections.needed_by(digest)
    }

    /// Text of a stored section, whether its manifest is in force or waiting.
    pub(crate) fn section_text(&self, digest: &str) -> Option<Rc<str>> {
        self.sections.get(digest).map(|section| section.text.clone())
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
