//! The manifest in force: its version only grows, and a rejected one changes nothing.

use std::rc::Rc;

use celerytide_manifest::{CheckedManifest, Fault, Manifest, Section, SectionFault, join_sections, section_key};
use celerytide_types::{Digest, Version};
use xxhash_rust::xxh3::xxh3_64;

use super::Origin;
use super::sections::{MissingSection, Sections, Waiting};

/// Turns a manifest's text into a checked one.
pub type Check = fn(&str, &str) -> Result<CheckedManifest, Vec<Fault>>;

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
    /// It is valid, but lacks this many sections; the earlier one stays in force until they have come.
    Waits(usize),
}

/// What became of an offered section.
#[derive(Debug, Clone, PartialEq)]
pub enum SectionApplied {
    /// It is held.
    Held,
    /// No waiting manifest lacks it.
    Unwanted,
    /// The text has another digest; it is to be read again.
    OtherDigest,
    /// It has faults, and the manifests that name it are refused for good.
    Invalid(Vec<Fault>),
}

/// Turns the text of the section of a digest into a checked one; the arguments are as for [`check_section`].
///
/// [`check_section`]: celerytide_manifest::check_section
pub type CheckSection = fn(&str, &str, &str) -> Result<Section, SectionFault>;

/// A manifest that was offered, and what became of it.
#[derive(Debug)]
pub(crate) struct Offered {
    pub(crate) applied: Applied,
    pub(crate) version: Version,
    pub(crate) origin: Origin,
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

/// The manifest in force, if any, and those that wait for sections.
#[derive(Debug, Default)]
pub(crate) struct Manifests {
    in_force: Option<InForce>,
    rejected: Option<Rejected>,
    sections: Sections,
}

impl Manifests {
    pub(crate) fn offer(&mut self, check: Check, origin: &Origin, text: &str) -> Vec<Offered> {
        let offered = |applied, version| Offered {
            applied,
            version,
            origin: origin.clone(),
        };
        if self.text().is_some_and(|t| &*t == text) {
            return vec![offered(Applied::Same, self.version())];
        }
        if let Some(version) = self.sections.waits(text) {
            return vec![offered(Applied::Waits(self.sections.missing().len()), version)];
        }
        let hash = xxh3_64(text.as_bytes());
        if let Some(rejected) = self.rejected.as_ref().filter(|r| r.hash == hash) {
            return vec![offered(Applied::Invalid(rejected.faults.clone()), 0)];
        }
        match check(origin.name(), text) {
            Ok(checked) => self.offer_checked(checked, origin, text),
            Err(faults) => {
                self.reject(text, &faults);
                vec![offered(Applied::Invalid(faults), 0)]
            }
        }
    }

    fn offer_checked(&mut self, checked: CheckedManifest, origin: &Origin, text: &str) -> Vec<Offered> {
        let version = checked.manifest.version;
        if let Some(applied) = self.refused(&checked) {
            let origin = origin.clone();
            return vec![Offered {
                applied,
                version,
                origin,
            }];
        }
        self.sections.wait_for(Waiting {
            checked,
            text: Rc::from(text),
            origin: origin.clone(),
        });
        let mut done = self.complete();
        if let Some(version) = self.sections.waits(text) {
            done.push(Offered {
                applied: Applied::Waits(self.sections.missing().len()),
                version,
                origin: origin.clone(),
            });
        }
        done
    }

    /// Why a valid manifest can't take force.
    fn refused(&self, checked: &CheckedManifest) -> Option<Applied> {
        let (offered, held) = (checked.manifest.version, self.version());
        if offered < held {
            return Some(Applied::Older);
        }
        if offered > held || self.in_force.is_none() {
            return None;
        }
        let same = self.digest() == checked.digest;
        Some(if same { Applied::Same } else { Applied::OtherDigest })
    }

    /// Puts manifests in force, or refuses them, whose sections have all come.
    fn complete(&mut self) -> Vec<Offered> {
        let mut done = Vec::new();
        while let Some((waiting, sections)) = self.sections.take_complete() {
            done.push(self.put_in_force(waiting, sections));
        }
        let in_force = self.in_force.as_ref().map(|m| &m.manifest.customer_sections[..]);
        self.sections.forget(self.version(), in_force.unwrap_or_default());
        done
    }

    fn put_in_force(&mut self, waiting: Waiting, sections: Vec<Rc<Section>>) -> Offered {
        let Waiting { checked, text, origin } = waiting;
        let version = checked.manifest.version;
        let applied = match self.refused(&checked) {
            Some(refused) => refused,
            None => match join_sections(checked, sections) {
                Ok(checked) => {
                    self.in_force = Some(InForce {
                        manifest: Rc::new(checked.manifest),
                        digest: checked.digest,
                        text,
                    });
                    Applied::Applied
                }
                Err(faults) => {
                    self.reject(&text, &faults);
                    Applied::Invalid(faults)
                }
            },
        };
        Offered {
            applied,
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

    /// Takes a section; says what became of it, and of manifests that waited for it.
    pub(crate) fn offer_section(
        &mut self,
        check: CheckSection,
        digest: &str,
        text: &str,
    ) -> (SectionApplied, Vec<Offered>) {
        if self.sections.wanted_by(digest).is_none() {
            return (SectionApplied::Unwanted, Vec::new());
        }
        match check(&section_key(digest), digest, text) {
            Ok(section) => {
                self.sections.hold(section);
                (SectionApplied::Held, self.complete())
            }
            Err(SectionFault::OtherDigest { .. }) => (SectionApplied::OtherDigest, Vec::new()),
            Err(SectionFault::Invalid { faults }) => {
                let refused = self.refuse_naming(digest, &faults);
                (SectionApplied::Invalid(faults), refused)
            }
        }
    }

    /// The text of that digest is wrong for good, and so is every manifest that names it.
    fn refuse_naming(&mut self, digest: &str, faults: &[Fault]) -> Vec<Offered> {
        let naming = self.sections.take_naming(digest);
        for waiting in &naming {
            self.reject(&waiting.text, faults);
        }
        let refused = naming.into_iter().map(|waiting| Offered {
            applied: Applied::Invalid(faults.to_vec()),
            version: waiting.version(),
            origin: waiting.origin,
        });
        refused.collect()
    }

    /// Sections that waiting manifests lack.
    pub(crate) fn missing_sections(&self) -> Vec<MissingSection> {
        self.sections.missing()
    }

    /// The highest waiting version that lacks the section.
    pub(crate) fn section_wanted_by(&self, digest: &str) -> Option<Version> {
        self.sections.wanted_by(digest)
    }

    /// Text of a section that is held, whether its manifest is in force or waits.
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
