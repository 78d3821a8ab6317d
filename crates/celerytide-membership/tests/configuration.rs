//! Configuration never reverts and converges, over histories of publishing, reading and exchange between peers.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use celerytide_manifest::{KeyHash, Section, SectionFault, check_section, hash_key};
use celerytide_membership::{Applied, Membership, Options, Origin};
use celerytide_types::{BootTime, Version};
use common::manifest;
use futures::FutureExt;

const BYTES: u32 = 1024;
const STEPS: u64 = 25;
const NODES: usize = 6;
/// This one never reaches the service.
const LEARNER: usize = NODES - 1;
const HEALING_ROUNDS: usize = 12;

/// A deliberate break of the rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flaw {
    /// A node takes whatever text comes last.
    TakesLast,
    /// Nodes don't fetch from peers.
    KeepsToItself,
    /// A node puts a text in force without its check.
    SkipsCheck,
    /// A node puts a manifest in force with the sections that it holds.
    TakesPart,
    /// A node takes any text for any section.
    TakesAnySection,
    /// A node asks for a section once.
    AsksOnce,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Violation {
    Reverted,
    ChangedDigest,
    Invalid,
    Apart,
    /// Customers in force that no published version has.
    Mixed,
}

#[derive(Clone)]
struct Letter {
    to: usize,
    cargo: Cargo,
}

#[derive(Clone)]
enum Cargo {
    Manifest(String),
    Section { digest: String, text: String },
}

/// One published text with its sections.
#[derive(Clone)]
struct Published {
    text: String,
    customers: Vec<String>,
}

struct Cluster {
    nodes: Vec<Membership>,
    island: [bool; NODES],
    cut: bool,
    service_up: [bool; NODES],
    /// Texts in the order of publishing; a stale node reads an old one.
    published: Vec<Published>,
    /// Sections at the service, by digest; some come late.
    at_service: BTreeMap<String, String>,
    late: Vec<String>,
    /// What each node asked for; only looked at by a flaw.
    asked: Vec<BTreeSet<String>>,
    next_version: Version,
    in_force: Vec<BTreeMap<Version, String>>,
    net: Vec<Letter>,
    now: BootTime,
    flaw: Option<Flaw>,
    found: Vec<Violation>,
}

fn member(flaw: Option<Flaw>) -> Membership {
    let check = if flaw == Some(Flaw::SkipsCheck) {
        unchecked
    } else {
        manifest::cached_check
    };
    Membership::new(
        BootTime::default(),
        Options {
            incarnation: 1,
            check,
            check_section: if flaw == Some(Flaw::TakesAnySection) {
                any_section
            } else {
                check_section
            },
            ..Options::default()
        },
    )
}

fn unchecked(
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

/// A section's check that doesn't look at the digest.
fn any_section(file: &str, digest: &str, text: &str) -> std::result::Result<Section, SectionFault> {
    let section = check_section(file, &hash_key(text), text)?;
    Ok(Section {
        digest: digest.to_owned(),
        ..section
    })
}

impl Cluster {
    fn new(flaw: Option<Flaw>) -> Cluster {
        Cluster {
            nodes: (0..NODES).map(|_| member(flaw)).collect(),
            island: [false; NODES],
            cut: false,
            service_up: [true; NODES],
            published: Vec::new(),
            at_service: BTreeMap::new(),
            late: Vec::new(),
            asked: vec![BTreeSet::new(); NODES],
            next_version: 1,
            in_force: vec![BTreeMap::new(); NODES],
            net: Vec::new(),
            now: BootTime::from_start(Duration::from_secs(1)),
            flaw,
            found: Vec::new(),
        }
    }

    fn run(mut self, u: &mut Unstructured<'_>) -> Result<Vec<Violation>> {
        while !u.is_empty() {
            self.event(u)?;
        }
        self.heal();
        Ok(self.found)
    }

    fn event(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let at = u.choose_index(NODES)?;
        match u.int_in_range(0..=40u8)? {
            0 => self.publish(u)?,
            1..=5 => self.read(at, u)?,
            6..=15 => self.gossip(at, u.choose_index(NODES)?),
            16..=23 => self.deliver(u)?,
            24 => self.service_up[at] = u.arbitrary()?,
            25 => self.cut = u.arbitrary()?,
            26 => self.island[at] = u.arbitrary()?,
            27 => self.restart(at),
            28 => self.double(u)?,
            29 => self.lose(u)?,
            30..=34 => self.read_section(at, u)?,
            35..=38 => self.ask_section(at, u.choose_index(NODES)?),
            39 => self.put_late(),
            _ => self.now = self.now.after(Duration::from_secs(1)),
        }
        Ok(())
    }

    /// One or two changes at once; some texts are broken, some bear a version that is taken.
    fn publish(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        for _ in 0..u.int_in_range(1..=2u8)? {
            let sections = self.sections(u)?;
            let plain = |version, state| Published {
                text: manifest::text(version, state),
                customers: vec!["a".to_owned()],
            };
            let published = match u.int_in_range(0..=7u8)? {
                0 => plain(self.next_version, "sideways"),
                1 if self.next_version > 1 => plain(self.next_version - 1, "out"),
                2..=4 => {
                    let texts: Vec<String> = sections.iter().map(|name| manifest::section(name)).collect();
                    let own = std::iter::once("a".to_owned());
                    Published {
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

    /// Names of one to three sections of one customer each, put at the service now or later; versions share some.
    fn sections(&mut self, u: &mut Unstructured<'_>) -> Result<Vec<String>> {
        let count = u.int_in_range(1..=3u64)?;
        let names: Vec<String> = (0..count)
            .map(|i| format!("c-{}-{i}", (self.next_version + i) / 2))
            .collect();
        for name in &names {
            if u.ratio(1, 3)? {
                self.late.push(name.clone());
            } else {
                self.put_section(name);
            }
        }
        Ok(names)
    }

    fn put_section(&mut self, name: &str) {
        let text = manifest::section(name);
        self.at_service.insert(hash_key(&text), text);
    }

    fn put_late(&mut self) {
        for name in std::mem::take(&mut self.late) {
            self.put_section(&name);
        }
    }

    fn missing(&self, at: usize) -> Vec<String> {
        let missing = self.nodes[at].missing_sections().now_or_never().unwrap_or_default();
        missing.into_iter().map(|section| section.digest).collect()
    }

    /// Whether a node asks for a section; a flawed one asks once.
    fn asks(&mut self, at: usize, digest: &str) -> bool {
        let first = self.asked[at].insert(digest.to_owned());
        first || self.flaw != Some(Flaw::AsksOnce)
    }

    /// A node reads a missing section; the service may have none, or a wrong or damaged one.
    fn read_section(&mut self, at: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let missing = self.missing(at);
        if at == LEARNER || !self.service_up[at] || missing.is_empty() {
            return Ok(());
        }
        let digest = u.choose(&missing)?.clone();
        let text = match u.int_in_range(0..=7u8)? {
            0 => Some(manifest::section("wrong")),
            1 => Some("format: 1\ncustomers:\n- {id: c".to_owned()),
            _ => self.at_service.get(&digest).cloned(),
        };
        if let Some(text) = text.filter(|_| self.asks(at, &digest)) {
            self.take(at, &Origin::Service, &Cargo::Section { digest, text });
        }
        Ok(())
    }

    /// A node asks another for every section that it lacks.
    fn ask_section(&mut self, at: usize, of: usize) {
        let apart = self.cut && self.island[of] != self.island[at];
        if of == at || apart {
            return;
        }
        for digest in self.missing(at) {
            let text = self.nodes[of].section_text(&digest).filter(|_| self.asks(at, &digest));
            if let Some(text) = text {
                let text = text.to_string();
                let cargo = Cargo::Section { digest, text };
                self.net.push(Letter { to: at, cargo });
            }
        }
    }

    fn read(&mut self, at: usize, u: &mut Unstructured<'_>) -> Result<()> {
        if at == LEARNER || !self.service_up[at] || self.published.is_empty() {
            return Ok(());
        }
        let stale = u.ratio(1, 4)?;
        let newest = self.published.len() - 1;
        let which = if stale { u.choose_index(newest + 1)? } else { newest };
        let text = self.published[which].text.clone();
        self.take(at, &Origin::Service, &Cargo::Manifest(text));
        Ok(())
    }

    fn gossip(&mut self, from: usize, to: usize) {
        let apart = self.cut && self.island[from] != self.island[to];
        if from == to || apart || self.flaw == Some(Flaw::KeepsToItself) {
            return;
        }
        let digest = self.nodes[from].digest(self.now);
        let wanted = self.nodes[to].heard(self.now, &format!("i-{from}"), &digest);
        if let Some(text) = self.nodes[from].manifest_text().filter(|_| wanted.manifest) {
            let cargo = Cargo::Manifest(text.to_string());
            self.net.push(Letter { to, cargo });
        }
    }

    fn deliver(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.net.is_empty() {
            let letter = self.net.swap_remove(u.choose_index(self.net.len())?);
            self.take(letter.to, &Origin::Peer("p".into()), &letter.cargo);
        }
        Ok(())
    }

    fn deliver_all(&mut self) {
        for letter in std::mem::take(&mut self.net) {
            self.take(letter.to, &Origin::Peer("p".into()), &letter.cargo);
        }
    }

    fn double(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.net.is_empty() {
            let letter = self.net[u.choose_index(self.net.len())?].clone();
            self.net.push(letter);
        }
        Ok(())
    }

    fn lose(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.net.is_empty() {
            self.net.swap_remove(u.choose_index(self.net.len())?);
        }
        Ok(())
    }

    /// A new instance takes the place of an old one; it knows nothing.
    fn restart(&mut self, at: usize) {
        self.nodes[at] = member(self.flaw);
        self.in_force[at].clear();
        self.asked[at].clear();
    }

    fn take(&mut self, at: usize, origin: &Origin, cargo: &Cargo) {
        let before = self.nodes[at].view().manifest_version;
        match cargo {
            Cargo::Manifest(text) => self.offer(at, origin, text),
            Cargo::Section { digest, text } => {
                self.nodes[at].offer_section(origin, digest, text);
            }
        }
        self.judge(at, before);
    }

    fn offer(&mut self, at: usize, origin: &Origin, text: &str) {
        if self.flaw == Some(Flaw::TakesLast) {
            self.nodes[at] = member(self.flaw);
        }
        let mut applied = self.nodes[at].offer_manifest(origin, text);
        if self.flaw == Some(Flaw::TakesPart) && matches!(applied, Applied::Waits(_)) {
            let part = text.lines().filter(|line| !line.starts_with("customer_sections"));
            let part: Vec<&str> = part.collect();
            applied = self.nodes[at].offer_manifest(origin, &part.join("\n"));
        }
        if applied == Applied::Applied && manifest::cached_check("", text).is_err() {
            self.found.push(Violation::Invalid);
        }
    }

    fn judge(&mut self, at: usize, before: Version) {
        let view = self.nodes[at].view();
        if view.manifest_version < before {
            self.found.push(Violation::Reverted);
        }
        if view.manifest_version > 0 && !self.whole(at) {
            self.found.push(Violation::Mixed);
        }
        if view.manifest_version > 0 {
            let first = self.in_force[at]
                .entry(view.manifest_version)
                .or_insert(view.manifest_digest.clone());
            if *first != view.manifest_digest {
                self.found.push(Violation::ChangedDigest);
            }
        }
    }

    /// Whether a node's customers are those of one published text of its version, each found by its key.
    fn whole(&self, at: usize) -> bool {
        let view = self.nodes[at].view();
        let Some(manifest) = &view.manifest else { return true };
        let version = format!("version: {}\n", view.manifest_version);
        let customers: Vec<&str> = manifest.all_customers().map(|c| c.id.as_str()).collect();
        let found = |name: &&str| *name == "a" || manifest.customer_by_key(&KeyHash::of(name)).is_some();
        let mut published = self.published.iter().filter(|p| p.text.contains(&version));
        published.any(|p| p.customers == customers) && customers.iter().all(found)
    }

    fn highest(&self) -> Version {
        let versions = self.nodes.iter().map(|n| n.view().manifest_version);
        versions.max().unwrap_or_default()
    }

    /// The partition ends, the service stays down; everybody exchanges with everybody.
    fn heal(&mut self) {
        self.cut = false;
        let at_start = self.highest();
        for _ in 0..HEALING_ROUNDS {
            self.now = self.now.after(Duration::from_secs(6));
            for from in 0..NODES {
                self.gossip(from, (from + 1) % NODES);
            }
            self.deliver_all();
            for from in 0..NODES {
                self.ask_section((from + 1) % NODES, from);
            }
            self.deliver_all();
        }
        let highest = self.highest();
        let behind = |n: &Membership| n.view().manifest_version != highest;
        if highest < at_start || self.nodes.iter().any(behind) {
            self.found.push(Violation::Apart);
        }
    }
}

#[test]
fn configuration_never_reverts_and_converges() {
    common::each_seed(BYTES, STEPS, |u| {
        assert_eq!(Cluster::new(None).run(u)?, []);
        Ok(())
    });
}

#[test]
fn every_deliberate_break_is_caught() {
    struct Case {
        flaw: Flaw,
        want: Violation,
    }
    let case = |flaw, want| Case { flaw, want };
    let cases = [
        case(Flaw::TakesLast, Violation::Reverted),
        case(Flaw::TakesLast, Violation::ChangedDigest),
        case(Flaw::KeepsToItself, Violation::Apart),
        case(Flaw::SkipsCheck, Violation::Invalid),
        case(Flaw::TakesPart, Violation::Mixed),
        case(Flaw::TakesAnySection, Violation::Mixed),
        case(Flaw::AsksOnce, Violation::Apart),
    ];
    for case in cases {
        let mut caught = 0;
        common::each_fixed_seed(BYTES, STEPS, |u| {
            caught += usize::from(Cluster::new(Some(case.flaw)).run(u)?.contains(&case.want));
            Ok(())
        });
        println!("{:?}: {:?} in {caught} histories", case.flaw, case.want);
        assert!(caught > 0, "{:?} was never caught", case.flaw);
    }
}
