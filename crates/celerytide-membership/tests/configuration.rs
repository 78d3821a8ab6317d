//! Configuration never reverts and converges, in random histories of publishing, reading and exchange between peers.
//!
//! Stale reads, partitions, restarts, and lost, duplicated or damaged messages could revert a node to an older
//! manifest, leave it behind, or put an incomplete one in force.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use celerytide_manifest::{KeyHash, Section, SectionFault, check_section, hash_key};
use celerytide_membership::{ManifestOfferResult, Membership, Options, Origin};
use celerytide_types::{BootTime, Version};
use common::manifest;
use futures::FutureExt;

const ENTROPY_BYTES: u32 = 1024;
const SEEDS_PER_BASE: u64 = 25;
const NODES: usize = 6;
/// Node that never reaches the service.
const OFFLINE_NODE: usize = NODES - 1;
const HEALING_ROUNDS: usize = 12;

/// A rule that is deliberately broken, to show that the checks detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flaw {
    /// A node applies the last text that arrives, whatever its version.
    AppliesLastOffer,
    /// Nodes don't fetch from peers.
    NeverFetches,
    /// A node puts a text in force without checking it.
    SkipsCheck,
    /// A node puts a manifest in force without its missing sections.
    AppliesPartially,
    /// A node accepts any text for any section.
    AcceptsAnySection,
    /// A node never repeats a request for a section.
    RequestsSectionOnce,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Violation {
    Reverted,
    ChangedDigest,
    Invalid,
    Diverged,
    /// The customers in force are those of no published version.
    MixedVersions,
}

#[derive(Clone)]
struct Message {
    to: usize,
    payload: Payload,
}

#[derive(Clone)]
enum Payload {
    Manifest(String),
    Section { digest: String, text: String },
}

/// A published text and the customers of it and its sections.
#[derive(Clone)]
struct PublishedManifest {
    text: String,
    customers: Vec<String>,
}

struct Cluster {
    nodes: Vec<Membership>,
    partition_side: [bool; NODES],
    is_partitioned: bool,
    service_up: [bool; NODES],
    /// Texts in the order of publishing; a stale read returns an old one.
    published: Vec<PublishedManifest>,
    /// Sections at the service by digest; those in `late_sections` are published later.
    service_sections: BTreeMap<String, String>,
    late_sections: Vec<String>,
    /// Sections that each node has requested; used by [`Flaw::RequestsSectionOnce`].
    requested: Vec<BTreeSet<String>>,
    next_version: Version,
    seen_digests: Vec<BTreeMap<Version, String>>,
    in_transit: Vec<Message>,
    now: BootTime,
    flaw: Option<Flaw>,
    violations: Vec<Violation>,
}

fn new_node(flaw: Option<Flaw>) -> Membership {
    let check = if flaw == Some(Flaw::SkipsCheck) {
        check_nothing
    } else {
        manifest::cached_check
    };
    Membership::new(
        BootTime::default(),
        Options {
            incarnation: 1,
            check,
            check_section: if flaw == Some(Flaw::AcceptsAnySection) {
                accept_any_section
            } else {
                check_section
            },
            ..Options::default()
        },
    )
}

fn check_nothing(
    file: &str,
    text: &str,
) -> std::result::Result<celerytide_manifest::CheckedManifest, Vec<celerytide_manifest::Fault>> {
    manifest::cached_check(file, text).or_else(|_| {
        let manifest = manifest::manifest(99, "in");
        Ok(celerytide_manifest::CheckedManifest {
            manifest,
            digest: "bad".into(),
        })
    })
}

/// A check of sections that ignores the digest.
fn accept_any_section(file: &str, digest: &str, text: &str) -> std::result::Result<Section, SectionFault> {
    let section = check_section(file, &hash_key(text), text)?;
    Ok(Section {
        digest: digest.to_owned(),
        ..section
    })
}

impl Cluster {
    fn new(flaw: Option<Flaw>) -> Cluster {
        Cluster {
            nodes: (0..NODES).map(|_| new_node(flaw)).collect(),
            partition_side: [false; NODES],
            is_partitioned: false,
            service_up: [true; NODES],
            published: Vec::new(),
            service_sections: BTreeMap::new(),
            late_sections: Vec::new(),
            requested: vec![BTreeSet::new(); NODES],
            next_version: 1,
            seen_digests: vec![BTreeMap::new(); NODES],
            in_transit: Vec::new(),
            now: BootTime::from_start(Duration::from_secs(1)),
            flaw,
            violations: Vec::new(),
        }
    }

    fn run(mut self, u: &mut Unstructured<'_>) -> Result<Vec<Violation>> {
        while !u.is_empty() {
            self.random_event(u)?;
        }
        self.heal();
        Ok(self.violations)
    }

    fn random_event(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let at = u.choose_index(NODES)?;
        match u.int_in_range(0..=40u8)? {
            0 => self.publish(u)?,
            1..=5 => self.read(at, u)?,
            6..=15 => self.gossip(at, u.choose_index(NODES)?),
            16..=23 => self.deliver(u)?,
            24 => self.service_up[at] = u.arbitrary()?,
            25 => self.is_partitioned = u.arbitrary()?,
            26 => self.partition_side[at] = u.arbitrary()?,
            27 => self.restart(at),
            28 => self.duplicate(u)?,
            29 => self.lose(u)?,
            30..=34 => self.read_section(at, u)?,
            35..=38 => self.request_sections(at, u.choose_index(NODES)?),
            39 => self.publish_late_sections(),
            _ => self.now = self.now.after(Duration::from_secs(1)),
        }
        Ok(())
    }

    /// Publishes one or two texts; some are invalid, some reuse a version.
    fn publish(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        for _ in 0..u.int_in_range(1..=2u8)? {
            let sections = self.add_sections(u)?;
            let plain = |version, state| PublishedManifest {
                text: manifest::text(version, state),
                customers: vec!["a".to_owned()],
            };
            let published = match u.int_in_range(0..=7u8)? {
                0 => plain(self.next_version, "sideways"),
                1 if self.next_version > 1 => plain(self.next_version - 1, "out"),
                2..=4 => {
                    let texts: Vec<String> = sections.iter().map(|name| manifest::section(name)).collect();
                    let own = std::iter::once("a".to_owned());
                    PublishedManifest {
                        text: manifest::with_sections(self.next_version, &texts),
                        customers: own.chain(sections).collect(),
                    }
                }
                _ => plain(self.next_version, "in"),
            };
            self.next_version += 1;
            self.published.push(published);
        }
        Ok(())
    }

    /// Adds one to three sections of one customer each, now or later, and returns their names; versions share some.
    fn add_sections(&mut self, u: &mut Unstructured<'_>) -> Result<Vec<String>> {
        let count = u.int_in_range(1..=3u64)?;
        let names: Vec<String> = (0..count)
            .map(|i| format!("c-{}-{i}", (self.next_version + i) / 2))
            .collect();
        for name in &names {
            if u.ratio(1, 3)? {
                self.late_sections.push(name.clone());
            } else {
                self.publish_section(name);
            }
        }
        Ok(names)
    }

    fn publish_section(&mut self, name: &str) {
        let text = manifest::section(name);
        self.service_sections.insert(hash_key(&text), text);
    }

    fn publish_late_sections(&mut self) {
        for name in std::mem::take(&mut self.late_sections) {
            self.publish_section(&name);
        }
    }

    fn missing(&self, at: usize) -> Vec<String> {
        let missing = self.nodes[at].missing_sections().now_or_never().unwrap_or_default();
        missing.into_iter().map(|section| section.digest).collect()
    }

    /// Whether a node requests a section; a flawed one never repeats a request.
    fn may_request(&mut self, at: usize, digest: &str) -> bool {
        let first = self.requested[at].insert(digest.to_owned());
        first || self.flaw != Some(Flaw::RequestsSectionOnce)
    }

    /// A node reads a missing section; the service may not have it, or return a wrong or damaged one.
    fn read_section(&mut self, at: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let missing = self.missing(at);
        if at == OFFLINE_NODE || !self.service_up[at] || missing.is_empty() {
            return Ok(());
        }
        let digest = u.choose(&missing)?.clone();
        let text = match u.int_in_range(0..=7u8)? {
            0 => Some(manifest::section("wrong")),
            1 => Some("format: 1\ncustomers:\n- {id: c".to_owned()),
            _ => self.service_sections.get(&digest).cloned(),
        };
        if let Some(text) = text.filter(|_| self.may_request(at, &digest)) {
            self.receive(at, &Origin::Service, &Payload::Section { digest, text });
        }
        Ok(())
    }

    /// A node requests all its missing sections from another node.
    fn request_sections(&mut self, at: usize, of: usize) {
        let unreachable = self.is_partitioned && self.partition_side[of] != self.partition_side[at];
        if of == at || unreachable {
            return;
        }
        for digest in self.missing(at) {
            let text = self.nodes[of]
                .section_text(&digest)
                .filter(|_| self.may_request(at, &digest));
            if let Some(text) = text {
                let text = text.to_string();
                let payload = Payload::Section { digest, text };
                self.in_transit.push(Message { to: at, payload });
            }
        }
    }

    fn read(&mut self, at: usize, u: &mut Unstructured<'_>) -> Result<()> {
        if at == OFFLINE_NODE || !self.service_up[at] || self.published.is_empty() {
            return Ok(());
        }
        let stale = u.ratio(1, 4)?;
        let newest = self.published.len() - 1;
        let which = if stale { u.choose_index(newest + 1)? } else { newest };
        let text = self.published[which].text.clone();
        self.receive(at, &Origin::Service, &Payload::Manifest(text));
        Ok(())
    }

    fn gossip(&mut self, from: usize, to: usize) {
        let unreachable = self.is_partitioned && self.partition_side[from] != self.partition_side[to];
        if from == to || unreachable || self.flaw == Some(Flaw::NeverFetches) {
            return;
        }
        let digest = self.nodes[from].digest(self.now);
        let fetch = self.nodes[to].receive_digest(self.now, &format!("i-{from}"), &digest);
        if let Some(text) = self.nodes[from].manifest_text().filter(|_| fetch.manifest) {
            let payload = Payload::Manifest(text.to_string());
            self.in_transit.push(Message { to, payload });
        }
    }

    fn deliver(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.in_transit.is_empty() {
            let message = self.in_transit.swap_remove(u.choose_index(self.in_transit.len())?);
            self.receive(message.to, &Origin::Peer("p".into()), &message.payload);
        }
        Ok(())
    }

    fn deliver_all(&mut self) {
        for message in std::mem::take(&mut self.in_transit) {
            self.receive(message.to, &Origin::Peer("p".into()), &message.payload);
        }
    }

    fn duplicate(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.in_transit.is_empty() {
            let message = self.in_transit[u.choose_index(self.in_transit.len())?].clone();
            self.in_transit.push(message);
        }
        Ok(())
    }

    fn lose(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.in_transit.is_empty() {
            self.in_transit.swap_remove(u.choose_index(self.in_transit.len())?);
        }
        Ok(())
    }

    /// Replaces an instance by a new one without state.
    fn restart(&mut self, at: usize) {
        self.nodes[at] = new_node(self.flaw);
        self.seen_digests[at].clear();
        self.requested[at].clear();
    }

    fn receive(&mut self, at: usize, origin: &Origin, payload: &Payload) {
        let before = self.nodes[at].view().manifest_version;
        match payload {
            Payload::Manifest(text) => self.offer(at, origin, text),
            Payload::Section { digest, text } => {
                self.nodes[at].offer_section(origin, digest, text);
            }
        }
        self.check_invariants(at, before);
    }

    fn offer(&mut self, at: usize, origin: &Origin, text: &str) {
        if self.flaw == Some(Flaw::AppliesLastOffer) {
            self.nodes[at] = new_node(self.flaw);
        }
        let mut result = self.nodes[at].offer_manifest(origin, text);
        if self.flaw == Some(Flaw::AppliesPartially) && matches!(result, ManifestOfferResult::AwaitingSections(_)) {
            let stripped = text.lines().filter(|line| !line.starts_with("customer_sections"));
            let stripped: Vec<&str> = stripped.collect();
            result = self.nodes[at].offer_manifest(origin, &stripped.join("\n"));
        }
        if result == ManifestOfferResult::Applied && manifest::cached_check("", text).is_err() {
            self.violations.push(Violation::Invalid);
        }
    }

    fn check_invariants(&mut self, at: usize, before: Version) {
        let view = self.nodes[at].view();
        if view.manifest_version < before {
            self.violations.push(Violation::Reverted);
        }
        if view.manifest_version > 0 && !self.is_consistent(at) {
            self.violations.push(Violation::MixedVersions);
        }
        if view.manifest_version > 0 {
            let first = self.seen_digests[at]
                .entry(view.manifest_version)
                .or_insert(view.manifest_digest.clone());
            if *first != view.manifest_digest {
                self.violations.push(Violation::ChangedDigest);
            }
        }
    }

    /// Whether a node's customers are those of one published text of its version, and each is found by its key.
    fn is_consistent(&self, at: usize) -> bool {
        let view = self.nodes[at].view();
        let Some(manifest) = &view.manifest else { return true };
        let version = format!("version: {}\n", view.manifest_version);
        let customers: Vec<&str> = manifest.all_customers().map(|c| c.id.as_str()).collect();
        let is_known = |name: &&str| *name == "a" || manifest.customer_by_key(&KeyHash::of(name)).is_some();
        let mut published = self.published.iter().filter(|p| p.text.contains(&version));
        published.any(|p| p.customers == customers) && customers.iter().all(is_known)
    }

    fn highest_version(&self) -> Version {
        let versions = self.nodes.iter().map(|n| n.view().manifest_version);
        versions.max().unwrap_or_default()
    }

    /// Ends the partition while the service stays down; nodes then exchange documents along a ring.
    fn heal(&mut self) {
        self.is_partitioned = false;
        let at_start = self.highest_version();
        for _ in 0..HEALING_ROUNDS {
            self.now = self.now.after(Duration::from_secs(6));
            for from in 0..NODES {
                self.gossip(from, (from + 1) % NODES);
            }
            self.deliver_all();
            for from in 0..NODES {
                self.request_sections((from + 1) % NODES, from);
            }
            self.deliver_all();
        }
        let highest_version = self.highest_version();
        let behind = |n: &Membership| n.view().manifest_version != highest_version;
        if highest_version < at_start || self.nodes.iter().any(behind) {
            self.violations.push(Violation::Diverged);
        }
    }
}

#[test]
fn configuration_never_reverts_and_converges() {
    common::each_seed(ENTROPY_BYTES, SEEDS_PER_BASE, |u| {
        assert_eq!(Cluster::new(None).run(u)?, []);
        Ok(())
    });
}

#[test]
fn every_deliberate_flaw_is_detected() {
    struct Case {
        flaw: Flaw,
        want: Violation,
    }
    let case = |flaw, want| Case { flaw, want };
    let cases = [
        case(Flaw::AppliesLastOffer, Violation::Reverted),
        case(Flaw::AppliesLastOffer, Violation::ChangedDigest),
        case(Flaw::NeverFetches, Violation::Diverged),
        case(Flaw::SkipsCheck, Violation::Invalid),
        case(Flaw::AppliesPartially, Violation::MixedVersions),
        case(Flaw::AcceptsAnySection, Violation::MixedVersions),
        case(Flaw::RequestsSectionOnce, Violation::Diverged),
    ];
    for case in cases {
        let mut detected = 0;
        common::each_fixed_seed(ENTROPY_BYTES, SEEDS_PER_BASE, |u| {
            detected += usize::from(Cluster::new(Some(case.flaw)).run(u)?.contains(&case.want));
            Ok(())
        });
        println!("{:?}: {:?} in {detected} histories", case.flaw, case.want);
        assert!(detected > 0, "{:?} was never detected", case.flaw);
    }
}
