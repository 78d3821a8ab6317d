//! Invariants over the runs that the plain services recorded.

use std::collections::BTreeSet;

use crate::history::{History, RequestKind};

/// Time in milliseconds after which a zone that was taken out of service gets no new work.
const EVACUATION_MS: u64 = 3000;

/// The action of a ticket runs at most once.
pub fn at_most_once(history: &History) -> Vec<String> {
    let tickets: BTreeSet<&String> = history.requests.iter().filter_map(|s| s.ticket.as_ref()).collect();
    let runs = tickets.into_iter().map(|t| (t, history.runs_of_ticket(t)));
    let repeated = runs.filter(|(_, runs)| *runs > 1);
    repeated
        .map(|(t, runs)| format!("ticket {t} ran {runs} times"))
        .collect()
}

/// `not-run` means that no run is recorded; `done` of an at-most-once call means that exactly one is.
pub fn words_are_true(history: &History) -> Vec<String> {
    let mut violations = Vec::new();
    for record in &history.requests {
        let Some(outcome) = &record.outcome else {
            continue;
        };
        let (request_id, runs) = (&record.request_id, history.runs_of(&record.request_id));
        if outcome.word == "not-run" && runs > 0 {
            violations.push(format!("{request_id}: not-run, and {runs} runs are recorded"));
        }
        let ticket = record.ticket.as_deref().unwrap_or_default();
        if record.kind == RequestKind::Protected && outcome.is_done() && history.runs_of_ticket(ticket) != 1 {
            violations.push(format!(
                "{request_id}: done, and {} runs are recorded",
                history.runs_of_ticket(ticket)
            ));
        }
    }
    violations.extend(history.ticket_outcomes.iter().filter_map(|f| {
        let runs = history.runs_of_ticket(&f.ticket);
        let wrong = match f.word.as_deref() {
            Some("done") => runs != 1,
            Some("not-run") => runs != 0,
            _ => false,
        };
        wrong.then(|| {
            format!(
                "ticket {}: {:?} in the end, and {runs} runs are recorded",
                f.ticket, f.word
            )
        })
    }));
    violations
}

/// A zone that was taken out of service gets no new work after three seconds.
pub fn zone_evacuation(history: &History) -> Vec<String> {
    let Some(evacuation) = &history.zone_evacuation else {
        return Vec::new();
    };
    let end = evacuation.reachable_unix_ms + EVACUATION_MS;
    let late = history
        .runs
        .iter()
        .filter(|r| r.plain == evacuation.plain && r.run.at_unix_ms > end);
    let after = |unix_ms: u64| unix_ms.saturating_sub(evacuation.reachable_unix_ms);
    late.map(|r| {
        format!(
            "{} ran in the zone {} ms after",
            r.run.request_id,
            after(r.run.at_unix_ms)
        )
    })
    .collect()
}
