//! Configuration never reverts and converges, over histories of publishing, reading and exchange between peers.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use celerytide_membership::{Applied, Membership, Options, Origin};
use celerytide_types::{Boot, Version};
use common::manifest;

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
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Violation {
    Reverted,
    ChangedDigest,
    Invalid,
    Apart,
}

#[derive(Clone)]
struct Letter {
    to: usize,
    text: String,
}

struct Cluster {
    nodes: Vec<Membership>,
    island: [bool; NODES],
    cut: bool,
    service_up: [bool; NODES],
    /// Texts in the order of publishing; a stale node reads an old one.
    published: Vec<String>,
    next_version: Version,
    in_force: Vec<BTreeMap<Version, String>>,
    net: Vec<Letter>,
    now: Boot,
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
        Boot::default(),
        Options {
            incarnation: 1,
            check,
            ..Options::default()
        },
    )
}

fn unchecked(
    file: &str,
    text: &str,
) -> std::result::Result<celerytide_manifest::Checked, Vec<celerytide_manifest::Fault>> {
    manifest::cached_check(file, text).or_else(|_| {
        let manifest = manifest::manifest(99, "in");
        Ok(celerytide_manifest::Checked {
            manifest,
            digest: "bad".into(),
        })
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
            next_version: 1,
            in_force: vec![BTreeMap::new(); NODES],
            net: Vec::new(),
            now: Boot::from_start(Duration::from_secs(1)),
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
        match u.int_in_range(0..=31u8)? {
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
            _ => self.now = self.now.after(Duration::from_secs(1)),
        }
        Ok(())
    }

    /// One or two changes at once; some texts are broken, some bear a version that is taken.
    fn publish(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        for _ in 0..u.int_in_range(1..=2u8)? {
            let text = match u.int_in_range(0..=7u8)? {
                0 => manifest::text(self.next_version, "sideways"),
                1 if self.next_version > 1 => manifest::text(self.next_version - 1, "out"),
                _ => manifest::text(self.next_version, "in"),
            };
            self.next_version += 1;
            self.published.push(text);
        }
        Ok(())
    }

    fn read(&mut self, at: usize, u: &mut Unstructured<'_>) -> Result<()> {
        if at == LEARNER || !self.service_up[at] || self.published.is_empty() {
            return Ok(());
        }
        let stale = u.ratio(1, 4)?;
        let newest = self.published.len() - 1;
        let which = if stale { u.choose_index(newest + 1)? } else { newest };
        self.offer(at, &Origin::Service, &self.published[which].clone());
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
            self.net.push(Letter {
                to,
                text: text.to_string(),
            });
        }
    }

    fn deliver(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.net.is_empty() {
            let letter = self.net.swap_remove(u.choose_index(self.net.len())?);
            self.offer(letter.to, &Origin::Peer("p".into()), &letter.text);
        }
        Ok(())
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
    }

    fn offer(&mut self, at: usize, origin: &Origin, text: &str) {
        let before = self.nodes[at].view().manifest_version;
        if self.flaw == Some(Flaw::TakesLast) {
            self.nodes[at] = member(self.flaw);
        }
        let applied = self.nodes[at].offer_manifest(origin, text);
        let view = self.nodes[at].view();
        if view.manifest_version < before {
            self.found.push(Violation::Reverted);
        }
        if applied == Applied::Applied && manifest::cached_check("", text).is_err() {
            self.found.push(Violation::Invalid);
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
            for letter in std::mem::take(&mut self.net) {
                self.offer(letter.to, &Origin::Peer("p".into()), &letter.text);
            }
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
