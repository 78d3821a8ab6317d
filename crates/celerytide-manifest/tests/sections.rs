//! Sections by themselves, joined to their manifest, and made by a split.

use std::rc::Rc;

use celerytide_manifest::{
    DOCUMENT_MAX_BYTES, Fault, KeyHash, SECTION_MAX_BYTES, Section, SectionFault, check_manifest, check_section,
    hash_key, join_sections, section_key, split,
};

const HEAD: &str = "format: 1\nversion: 3\nevent: {name: e, start: 2027-01-01T00:00:00Z}\nzones: []\n\
                    services: []\nclasses: []\n";
const MANY: usize = 3_000;

fn section_of(ids: &[&str]) -> String {
    let line = |id: &&str| {
        let key = hash_key(id);
        format!("- {{id: {id}, key_sha256: \"{key}\", requests_per_second: 1.5, burst: 2}}\n")
    };
    let lines: String = ids.iter().map(line).collect();
    format!("format: 1\ncustomers:\n{lines}")
}

fn checked(text: &str) -> Result<Section, SectionFault> {
    check_section("s", &hash_key(text), text)
}

fn shown(faults: &[Fault]) -> Vec<String> {
    faults.iter().map(ToString::to_string).collect()
}

#[test]
fn a_section_names_its_faults() {
    struct Case {
        name: &'static str,
        text: String,
        want: &'static str,
    }
    let twice = section_of(&["a", "b", "a"]);
    let cases = [
        Case {
            name: "unknown field",
            text: "format: 1\ncustomers: []\nzones: []\n".into(),
            want: "s:3:1: zones: unknown field (allowed: one of customers, format)",
        },
        Case {
            name: "bound",
            text: section_of(&["a", "b"]).replacen("burst: 2", "burst: 0", 1),
            want: "s:3:124: customers[0].burst: 0 is out of range (allowed: a whole number from 1 to 4294967295)",
        },
        Case {
            name: "twice",
            text: twice,
            want: "s:5:8: customers[2].id: a repeats customers[0].id (allowed: each customer id once)",
        },
        Case {
            name: "too long",
            text: "#".repeat(SECTION_MAX_BYTES + 1),
            want: "s:1:1: the document has 262145 bytes (allowed: at most 262144 bytes)",
        },
    ];
    for case in cases {
        match checked(&case.text) {
            Err(SectionFault::Invalid { faults }) => assert_eq!(shown(&faults)[0], case.want, "{}", case.name),
            other => panic!("{}: {other:?}", case.name),
        }
    }
}

#[test]
fn a_text_of_another_digest_is_no_section() {
    let other = check_section("s", &hash_key("x"), &section_of(&["a"]));
    let found = hash_key(&section_of(&["a"]));
    assert_eq!(other, Err(SectionFault::OtherDigest { found }));
}

#[test]
fn a_key_or_id_stands_once_over_all_sections() {
    let head = format!("{HEAD}{}", &section_of(&["own"])[10..]);
    let first = Rc::new(checked(&section_of(&["a", "b"])).expect("valid"));
    let second = Rc::new(checked(&section_of(&["c", "b"])).expect("valid"));
    let third = Rc::new(checked(&section_of(&["own"])).expect("valid"));
    let keys = [&first, &second, &third].map(|section| section_key(&section.digest));
    let head = check_manifest("m", &head).expect("valid");
    let faults = join_sections(head.clone(), vec![first.clone(), second, third]).expect_err("repeats");
    let id = "(allowed: each customer id once)";
    let key = "(allowed: each key for one customer)";
    let want = [
        format!(
            "{}:4:8: customers[1].id: b repeats {} customers[1].id {id}",
            keys[1], keys[0]
        ),
        format!(
            "{}:4:23: customers[1].key_sha256: the key repeats {} customers[1].key_sha256 {key}",
            keys[1], keys[0]
        ),
        format!("{}:3:8: customers[0].id: own repeats customers[0].id {id}", keys[2]),
        format!(
            "{}:3:25: customers[0].key_sha256: the key repeats customers[0].key_sha256 {key}",
            keys[2]
        ),
    ];
    assert_eq!(shown(&faults), want);
    let whole = join_sections(head, vec![first]).expect("valid").manifest;
    let found = |key| whole.customer_by_key(&KeyHash::of(key)).map(|c| c.id.as_str());
    assert_eq!([found("own"), found("b"), found("c")], [Some("own"), Some("b"), None]);
}

fn many(changed: Option<usize>) -> String {
    let line = |i: usize| {
        let burst = if changed == Some(i) { 9 } else { 2 };
        let key = hash_key(&format!("c{i}"));
        format!("- {{id: c{i}, key_sha256: \"{key}\", requests_per_second: 0.1, burst: {burst}, weight: 3}}\n")
    };
    format!("{HEAD}customers:\n{}", (0..MANY).map(line).collect::<String>())
}

#[test]
fn a_split_keeps_every_customer_and_shares_all_sections_but_one() {
    let before = split("m", &many(None)).expect("valid");
    let after = split("m", &many(Some(17))).expect("valid");
    assert!(before.manifest.len() < DOCUMENT_MAX_BYTES);
    let new: Vec<_> = after.sections.iter().filter(|s| !before.sections.contains(s)).collect();
    assert_eq!(new.len(), 1);
    let head = check_manifest("m", &before.manifest).expect("valid");
    let sections = before
        .sections
        .iter()
        .map(|part| check_section("s", &part.digest, &part.text));
    let sections: Result<Vec<_>, _> = sections.map(|section| section.map(Rc::new)).collect();
    let whole = join_sections(head, sections.expect("valid")).expect("valid").manifest;
    assert_eq!(whole.customer_index.len(), MANY);
    for i in 0..MANY {
        let id = format!("c{i}");
        let customer = whole.customer_by_key(&KeyHash::of(&id)).expect("kept");
        assert_eq!((&customer.id, customer.burst, customer.weight), (&id, 2, 3));
        assert!((customer.requests_per_second - 0.1).abs() < f64::EPSILON);
    }
}
