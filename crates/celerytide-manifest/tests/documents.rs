//! Properties of the checks: random edits of a valid document, limits on size, round trips, generated schemas.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use celerytide_manifest::{
    DOCUMENT_MAX_BYTES, DocumentKind, Manifest, check_dispatch_settings, check_entry_settings, check_manifest,
};

const MANIFEST: &str = include_str!("data/manifest.yaml");
const SEED_COUNT: u64 = 300;
const ENTROPY_BYTES: u64 = 512;

/// Fixed seeds; arbtest reads the length of the entropy from the low 32 bits of a seed.
fn seeds() -> impl Iterator<Item = u64> {
    (1..=SEED_COUNT).map(|seed| seed << 32 | ENTROPY_BYTES)
}

/// Edits the valid manifest: mostly digits; sometimes replaces, duplicates or removes a line.
fn edit(u: &mut Unstructured<'_>) -> Result<String> {
    let mut lines: Vec<String> = MANIFEST.lines().map(str::to_owned).collect();
    for _ in 0..u.int_in_range(1..=3)? {
        let at = u.choose_index(lines.len())?;
        let other = lines[u.choose_index(lines.len())?].clone();
        match u.int_in_range(0..=11)? {
            0 => drop(lines.remove(at)),
            1 => lines.insert(at, other),
            2 => lines[at] = other,
            3 => lines[at] = lines[at].replace(['a', ':'], u.choose(&["", "-", "é", ": ", "["])?),
            _ => lines[at] = lines[at].replace(['1', '2', '5'], u.choose(&["0", "1", "3", "9"])?),
        }
    }
    Ok(lines.join("\n"))
}

#[test]
fn a_document_that_passes_deserializes_to_the_checked_value() {
    let mut passed_count = 0;
    for seed in seeds() {
        arbtest(|u| {
            let text = edit(u)?;
            if let Ok(checked) = check_manifest("m.yaml", &text) {
                let plain: Manifest = serde_saphyr::from_str(&text).expect("a checked manifest deserializes");
                assert_eq!(plain, checked.manifest);
                passed_count += 1;
            }
            Ok(())
        })
        .seed(seed)
        .run();
    }
    assert!(passed_count > SEED_COUNT / 10, "only {passed_count} documents passed");
}

#[test]
fn a_document_that_does_not_deserialize_fails_the_check() {
    for seed in seeds() {
        arbtest(|u| {
            let text = edit(u)?;
            if serde_saphyr::from_str::<Manifest>(&text).is_err() {
                assert!(check_manifest("m.yaml", &text).is_err(), "passed: {text}");
            }
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

#[test]
fn positions_of_faults_are_inside_the_document() {
    for seed in seeds() {
        arbtest(|u| {
            let text = edit(u)?;
            let faults = check_manifest("m.yaml", &text).err().unwrap_or_default();
            for fault in faults {
                assert!(fault.line >= 1 && fault.line <= text.lines().count() + 1, "{fault}");
                assert!(fault.column >= 1, "{fault}");
            }
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

#[test]
fn no_text_makes_the_checks_panic() {
    for seed in seeds() {
        arbtest(|u| {
            let text: String = u.arbitrary()?;
            assert!(check_manifest("m.yaml", &text).is_err());
            assert!(check_entry_settings("e.yaml", &text).is_err());
            assert!(check_dispatch_settings("d.yaml", &text).is_err());
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

#[test]
fn a_document_longer_than_the_limit_is_refused() {
    let padding = DOCUMENT_MAX_BYTES - MANIFEST.len() - 1;
    let largest = format!("{MANIFEST}#{}", "x".repeat(padding));
    check_manifest("m.yaml", &largest).expect("a document of the largest size");
    let faults = check_manifest("m.yaml", &format!("{largest}x")).expect_err("a longer document");
    let shown: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(
        shown,
        ["m.yaml:1:1: the document has 1048577 bytes (allowed: at most 1048576 bytes)"]
    );
}

#[test]
fn the_number_of_reported_faults_is_bounded() {
    let text: String = (0..10_100).map(|i| format!("k{i}: 1\n")).collect();
    let faults = check_manifest("m.yaml", &text).expect_err("unknown fields");
    assert_eq!(faults.len(), 10_001);
    let last = faults.last().map(ToString::to_string).unwrap_or_default();
    // 10100 unknown fields and 7 missing ones, less the 10000 that are shown.
    assert_eq!(
        last,
        "m.yaml:1:1: 107 further faults are not shown (allowed: a report of 10000 faults)"
    );
}

#[test]
fn nested_aliases_are_refused() {
    let mut text = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n".to_owned();
    for level in 1..10 {
        let aliases = vec![format!("*a{}", level - 1); 10].join(", ");
        text.push_str(&format!("a{level}: &a{level} [{aliases}]\n"));
    }
    let faults = check_manifest("m.yaml", &text).expect_err("too large when expanded");
    assert_eq!(faults.len(), 1, "{faults:?}");
}

#[test]
fn serialized_documents_pass_the_checks() {
    let manifest = check_manifest("m.yaml", MANIFEST).expect("valid").manifest;
    let entry = check_entry_settings("e.yaml", include_str!("data/entry.yaml")).expect("valid");
    let dispatch = check_dispatch_settings("d.yaml", include_str!("data/dispatch.yaml")).expect("valid");
    let texts = [
        serde_saphyr::to_string(&manifest).expect("YAML"),
        serde_json::to_string(&manifest).expect("JSON"),
    ];
    for text in texts {
        assert_eq!(check_manifest("m.yaml", &text).expect("valid again").manifest, manifest);
    }
    let text = serde_saphyr::to_string(&entry).expect("YAML");
    assert_eq!(check_entry_settings("e.yaml", &text).expect("valid again"), entry);
    let text = serde_saphyr::to_string(&dispatch).expect("YAML");
    assert_eq!(check_dispatch_settings("d.yaml", &text).expect("valid again"), dispatch);
}

#[test]
fn unquoted_text_that_looks_like_a_number_keeps_its_spelling() {
    struct ScalarCase {
        plain: &'static str,
        want: &'static str,
    }
    let cases = [
        ScalarCase {
            plain: "007",
            want: "007",
        },
        ScalarCase {
            plain: "1e3",
            want: "1e3",
        },
        ScalarCase {
            plain: "0x1f",
            want: "0x1f",
        },
        ScalarCase {
            plain: "1_000",
            want: "1_000",
        },
        ScalarCase {
            plain: "3.10  # a comment",
            want: "3.10",
        },
        ScalarCase {
            plain: "true",
            want: "true",
        },
        ScalarCase {
            plain: "&id 12",
            want: "12",
        },
        ScalarCase {
            plain: "!!int 12",
            want: "12",
        },
    ];
    for case in cases {
        let text = MANIFEST.replace("- id: puno", &format!("- id: {}", case.plain));
        let manifest = check_manifest("m.yaml", &text).map(|checked| checked.manifest);
        assert_eq!(
            manifest.map(|m| m.customers[1].id.clone()),
            Ok(case.want.to_owned()),
            "{}",
            case.plain
        );
    }
    let digits = "0".repeat(64);
    let text = MANIFEST.replace(&format!("{}def", &digits[3..]), &digits);
    let manifest = check_manifest("m.yaml", &text).map(|checked| checked.manifest);
    assert_eq!(manifest.map(|m| m.customers[1].key_sha256.to_string()), Ok(digits));
}

#[test]
fn the_digest_depends_on_the_text_only() {
    let first = check_manifest("m.yaml", MANIFEST).expect("valid");
    let second = check_manifest("m.yaml", &format!("{MANIFEST}# end\n")).expect("valid");
    assert_eq!(first.manifest, second.manifest);
    assert_ne!(first.digest, second.digest);
    assert_eq!(first.digest, celerytide_manifest::hash_key(MANIFEST));
}

#[test]
fn committed_schemas_are_up_to_date() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../schema");
    for kind in DocumentKind::ALL {
        let path = format!("{folder}/{}.schema.json", kind.as_str());
        let committed = std::fs::read_to_string(&path).unwrap_or_default();
        assert!(
            committed == kind.schema_text(),
            "{path} is old: cargo run -p celerytide-manifest --example schema"
        );
    }
}

/// Names of all fields of a schema, nested ones without their path.
fn field_names(schema: &serde_json::Value) -> Vec<String> {
    let blocks = schema["$defs"].as_object().into_iter().flat_map(|defs| defs.values());
    let objects = blocks
        .chain([schema])
        .filter_map(|block| block["properties"].as_object());
    objects.flat_map(|fields| fields.keys().cloned()).collect()
}

#[test]
fn every_field_is_documented() {
    let pages = [
        (DocumentKind::Manifest, "MANIFEST.md"),
        (DocumentKind::Section, "MANIFEST.md"),
        (DocumentKind::Entry, "SETTINGS.md"),
        (DocumentKind::Dispatch, "SETTINGS.md"),
    ];
    for (kind, page) in pages {
        let path = format!("{}/../../docs/{page}", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(path).expect("a page");
        let names = field_names(&kind.schema());
        let min_count = if kind == DocumentKind::Section { 7 } else { 21 };
        assert!(names.len() >= min_count, "{names:?}");
        for name in names {
            let rows = [format!("| `{name}` |"), format!(".{name}` |")];
            assert!(
                rows.iter().any(|row| text.contains(row.as_str())),
                "{page} has no row for {name}"
            );
        }
    }
}
