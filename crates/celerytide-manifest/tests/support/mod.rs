//! Edits of a valid document and the faults that they bring.

use celerytide_manifest::Fault;

/// One edit and the faults that follow, in the order in which people see them.
pub struct Case {
    pub name: &'static str,
    /// Text of the valid document; its first occurrence is replaced.
    pub from: &'static str,
    pub to: &'static str,
    pub want: &'static [Want],
}

/// One fault as people see it, without the file's name.
pub struct Want {
    /// Line, column, field and message.
    pub at: &'static str,
    pub allowed: &'static str,
}

/// Applies each edit to `base` and compares the faults that `check` reports.
pub fn run(file: &str, base: &str, cases: &[Case], check: impl Fn(&str) -> Vec<Fault>) {
    let mut wrong = Vec::new();
    for case in cases {
        assert!(
            base.contains(case.from),
            "{}: the document has no {:?}",
            case.name,
            case.from
        );
        let text = base.replacen(case.from, case.to, 1);
        let got: Vec<String> = check(&text).iter().map(Fault::to_string).collect();
        let shown = |want: &Want| format!("{file}:{} (allowed: {})", want.at, want.allowed);
        let want: Vec<String> = case.want.iter().map(shown).collect();
        if got != want {
            wrong.push(format!("{}:\n  got  {got:#?}\n  want {want:#?}", case.name));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
