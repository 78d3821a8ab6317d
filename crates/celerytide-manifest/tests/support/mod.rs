//! Applies edits to a valid document and compares the reported faults.

use celerytide_manifest::Fault;

/// One edit of the valid document, and the faults expected in the order reported.
pub struct Case {
    pub name: &'static str,
    /// Text of the valid document whose first occurrence is replaced.
    pub from: &'static str,
    pub to: &'static str,
    pub want: &'static [ExpectedFault],
}

/// One expected fault, as displayed without the file's name.
pub struct ExpectedFault {
    /// Line, column, field and message, as displayed.
    pub at: &'static str,
    pub allowed: &'static str,
}

/// Applies each edit to `base` and compares the faults that `check` reports with the expected ones.
pub fn check_cases(file: &str, base: &str, cases: &[Case], check: impl Fn(&str) -> Vec<Fault>) {
    let mut failures = Vec::new();
    for case in cases {
        assert!(
            base.contains(case.from),
            "{}: the document has no {:?}",
            case.name,
            case.from
        );
        let text = base.replacen(case.from, case.to, 1);
        let got: Vec<String> = check(&text).iter().map(Fault::to_string).collect();
        let shown = |want: &ExpectedFault| format!("{file}:{} (allowed: {})", want.at, want.allowed);
        let want: Vec<String> = case.want.iter().map(shown).collect();
        if got != want {
            failures.push(format!("{}:\n  got  {got:#?}\n  want {want:#?}", case.name));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
