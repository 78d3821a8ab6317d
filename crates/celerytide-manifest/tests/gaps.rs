//! The list of gaps in docs/GAPS.md against the pages that call something open, and against KNOWN-RED.txt.

use std::collections::BTreeSet;
use std::fs::{read_dir, read_to_string};
use std::path::PathBuf;

/// What says in lower case that something is open, at any place of a line.
const MARKERS: [&str; 13] = [
    "**open",
    "open:",
    "left open",
    "| open |",
    "## open",
    "what remains open",
    "suspected**",
    "not built",
    "not tried",
    "not covered",
    "not played",
    "not proved",
    "known red",
];
/// Lines with a marker that are no statement about this project's state.
const EXEMPT: [&str; 4] = [
    "not proved |",
    "; open: 0.",
    "weighed and not built",
    "rejected by argument and not built",
];
const FOLDERS: [&str; 2] = ["docs/incidents", "docs/design"];
const PAGES: [&str; 3] = ["docs/FAULTS.md", "docs/PROMISES.md", "docs/STATUS.md"];
const STATES: [&str; 4] = ["closed: ", "red", "bounded", "unshown"];
const COLUMNS: usize = 6;

/// One row of the list.
struct Gap {
    id: String,
    test: String,
    state: String,
}

fn root() -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

fn read(path: &str) -> String {
    read_to_string(root().join(path)).expect("a page")
}

fn gaps() -> Vec<Gap> {
    let text = read("docs/GAPS.md");
    let rows = text.lines().filter(|line| line.starts_with("| G"));
    rows.map(parse).collect()
}

fn parse(row: &str) -> Gap {
    let cells: Vec<&str> = row.trim_matches('|').split(" | ").map(str::trim).collect();
    assert_eq!(cells.len(), COLUMNS, "{row}");
    Gap {
        id: cells[0].to_owned(),
        test: cells[4].to_owned(),
        state: cells[5].to_owned(),
    }
}

/// The path and text of each page that may call something open.
fn pages() -> Vec<(String, String)> {
    let folders = FOLDERS.iter().flat_map(|folder| {
        let files = read_dir(root().join(folder)).expect("a folder").flatten();
        files.map(move |file| format!("{folder}/{}", file.file_name().display()))
    });
    let paths = folders.chain(PAGES.map(str::to_owned));
    paths.map(|path| (path.clone(), read(&path))).collect()
}

/// Ids of gaps that a text names.
fn named(text: &str) -> BTreeSet<String> {
    let words = text.split(|c: char| !c.is_ascii_alphanumeric());
    let is_id = |word: &&str| word.strip_prefix('G').is_some_and(|n| n.parse::<u32>().is_ok());
    words.filter(is_id).map(str::to_owned).collect()
}

fn is_marked(line: &str) -> bool {
    let line = line.to_lowercase();
    MARKERS.iter().any(|marker| line.contains(marker)) && !EXEMPT.iter().any(|text| line.contains(text))
}

/// A gap that only a page's prose held came back as the users' next incident.
#[test]
fn a_page_calls_open_what_the_list_lacks() {
    let known: BTreeSet<String> = gaps().into_iter().map(|gap| gap.id).collect();
    let mut lacking = Vec::new();
    for (path, text) in pages() {
        for (n, line) in text.lines().enumerate().filter(|(_, line)| is_marked(line)) {
            let ids = named(line);
            if ids.is_empty() || !ids.is_subset(&known) {
                lacking.push(format!("{path}:{}: {line}", n + 1));
            }
        }
    }
    assert!(
        lacking.is_empty(),
        "no row of docs/GAPS.md for:\n{}",
        lacking.join("\n")
    );
}

#[test]
fn rows_lack_an_id_a_state_or_a_test() {
    let gaps = gaps();
    let ids: BTreeSet<&str> = gaps.iter().map(|gap| gap.id.as_str()).collect();
    assert_eq!(ids.len(), gaps.len(), "ids are given once");
    for gap in &gaps {
        let Gap { id, test, state } = gap;
        assert!(STATES.iter().any(|known| state.starts_with(known)), "{id}: {state}");
        assert!(!test.is_empty(), "{id}: neither a test nor a reason");
        let needs_test = state == "red" || state.starts_with("bounded");
        assert!(!needs_test || test.contains('`'), "{id}: no test for {state}");
    }
}

#[test]
fn a_known_red_test_is_no_gap() {
    let gaps = gaps();
    let red = read("KNOWN-RED.txt");
    for name in red.lines().filter_map(|line| line.strip_prefix("test: ")) {
        let names_it = |gap: &Gap| gap.state == "red" && gap.test.contains(&format!("`{name}`"));
        let is_listed = gaps.iter().any(names_it);
        assert!(is_listed, "{name} has no row that is red");
    }
}
