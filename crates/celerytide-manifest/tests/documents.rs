//! Properties of the checks over many documents.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use celerytide_manifest::{
    DOCUMENT_MAX_BYTES, DocumentKind, Manifest, check_dispatch_settings, check_entry_settings, check_manifest,
};

const MANIFEST: &str = include_str!("data/manifest.yaml");
const SEED_COUNT: u64 = 300;
const ENTROPY_BYTES: u64 = 512;

/// Fixed seeds; the low half of each is the length of its entropy.
fn seeds() -> impl Iterator<Item = u64> {
    (1..=SEED_COUNT).map(|seed| seed << 32 | ENTROPY_BYTES)
}

/// Changes digits, and now and then replaces, doubles or drops a line.
fn edited(u: &mut Unstructured<'_>) -> Result<String> {
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
fn what_passes_reads_the_same_without_the_checks() {
    let mut passed = 0;
    for seed in seeds() {
        arbtest(|u| {
            let text = edited(u)?;
            if let Ok(checked) = check_manifest("m.yaml", &text) {
                let plain: Manifest = serde_saphyr::from_str(&text).expect("a checked manifest reads as its type");
                assert_eq!(plain, checked.manifest);
                passed += 1;
            }
            Ok(())
        })
        .seed(seed)
        .run();
    }
    assert!(passed > SEED_COUNT / 10, "only {passed} documents passed");
}

#[test]
fn what_the_type_refuses_does_not_pass() {
    for seed in seeds() {
        arbtest(|u| {
            let text = edited(u)?;
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
fn faults_lie_inside_the_document() {
    for seed in seeds() {
        arbtest(|u| {
            let text = edited(u)?;
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
fn any_text_gets_an_answer() {
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
fn a_document_of_the_bound_is_read_and_a_longer_one_is_not() {
    let padding = DOCUMENT_MAX_BYTES - MANIFEST.len() - 1;
    let largest = format!("{MANIFEST}#{}", "x".repeat(padding));
    check_manifest("m.yaml", &largest).expect("a document of the bound");
    let faults = check_manifest("m.yaml", &format!("{largest}x")).expect_err("a longer document");
    let shown: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(
        shown,
        ["m.yaml:1:1: the document has 1048577 bytes (allowed: at most 1048576 bytes)"]
    );
}

#[test]
fn a_report_is_bounded_and_says_so() {
    let text: String = (0..10_100).map(|i| format!("k{i}: 1\n")).collect();
    let faults = check_manifest("m.yaml", &text).expect_err("unknown fields");
    assert_eq!(faults.len(), 10_001);
    let last = faults.last().map(ToString::to_string).unwrap_or_default();
    // 10100 unknown fields and the seven required ones that are missing, less those shown.
    assert_eq!(
        last,
        "m.yaml:1:1: 107 further faults are not shown (allowed: a report of 10000 faults)"
    );
}

#[test]
fn aliases_cannot_grow_a_document_without_bound() {
    let mut text = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n".to_owned();
    for level in 1..10 {
        let aliases = vec![format!("*a{}", level - 1); 10].join(", ");
        text.push_str(&format!("a{level}: &a{level} [{aliases}]\n"));
    }
    let faults = check_manifest("m.yaml", &text).expect_err("too large when expanded");
    assert_eq!(faults.len(), 1, "{faults:?}");
}

#[test]
fn what_the_types_write_passes_again() {
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
fn text_that_looks_like_a_number_is_taken_as_written() {
    struct Look {
        plain: &'static str,
        want: &'static str,
    }
    let looks = [
        Look {
            plain: "007",
            want: "007",
        },
        Look {
            plain: "1e3",
            want: "1e3",
        },
        Look {
            plain: "0x1f",
            want: "0x1f",
        },
        Look {
            plain: "1_000",
            want: "1_000",
        },
        Look {
            plain: "3.10  # a comment",
            want: "3.10",
        },
        Look {
            plain: "true",
            want: "true",
        },
        Look {
            plain: "&id 12",
            want: "12",
        },
        Look {
            plain: "!!int 12",
            want: "12",
        },
    ];
    for look in looks {
        let text = MANIFEST.replace("- id: puno", &format!("- id: {}", look.plain));
        let manifest = check_manifest("m.yaml", &text).map(|checked| checked.manifest);
        assert_eq!(
            manifest.map(|m| m.customers[1].id.clone()),
            Ok(look.want.to_owned()),
            "{}",
            look.plain
        );
    }
    let digits = "0".repeat(64);
    let text = MANIFEST.replace(&format!("{}def", &digits[3..]), &digits);
    let manifest = check_manifest("m.yaml", &text).map(|checked| checked.manifest);
    assert_eq!(manifest.map(|m| m.customers[1].key_sha256.to_string()), Ok(digits));
}

#[test]
fn digests_follow_the_text() {
    let first = check_manifest("m.yaml", MANIFEST).expect("valid");
    let second = check_manifest("m.yaml", &format!("{MANIFEST}# end\n")).expect("valid");
    assert_eq!(first.manifest, second.manifest);
    assert_ne!(first.digest, second.digest);
    assert_eq!(first.digest, celerytide_manifest::hash_key(MANIFEST));
}

#[test]
fn committed_schemas_are_the_generated_ones() {
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

/// Every field of a schema, nested ones by their own name.
fn field_names(schema: &serde_json::Value) -> Vec<String> {
    let blocks = schema["$defs"].as_object().into_iter().flat_map(|defs| defs.values());
    let objects = blocks
        .chain([schema])
        .filter_map(|block| block["properties"].as_object());
    objects.flat_map(|fields| fields.keys().cloned()).collect()
}

#[test]
fn the_pages_name_every_field() {
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
        let least = if kind == DocumentKind::Section { 7 } else { 21 };
        assert!(names.len() >= least, "{names:?}");
        for name in names {
            let rows = [format!("| `{name}` |"), format!(".{name}` |")];
            assert!(
                rows.iter().any(|row| text.contains(row.as_str())),
                "{page} has no row for {name}"
            );
        }
    }
}
