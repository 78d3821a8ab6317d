//! Edits of a valid document and the faults that they bring.

use celerytide_manifest::Fault;

/// One edit and the faults that follow, in the order and form that people see.
pub struct Case {
    pub name: &'static str,
    /// Text of the valid document; its first occurrence is replaced.
    pub from: &'static str,
    pub to: &'static str,
    pub want: &'static [&'static str],
}

/// Applies each edit to `base` and compares the faults that `check` reports.
pub fn run(base: &str, cases: &[Case], check: impl Fn(&str) -> Vec<Fault>) {
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
        if got != case.want {
            wrong.push(format!("{}:\n  got  {got:#?}\n  want {:#?}", case.name, case.want));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
