//! What callers get.

use celerytide_standin::engine::ResponseLengths;
use serde_json::Value;

use crate::history::{History, RequestKind, RequestRecord};

/// Seed from which the engines draw the length of an answer.
const ENGINE_SEED: u64 = 1;

/// Every caller gets a final word or a connection that is visibly cut, and each ticket a final word that stays.
pub fn final_word(history: &History) -> Vec<String> {
    let mute = history.requests.iter().filter_map(mute);
    let open = history.ticket_outcomes.iter().filter(|f| f.word.is_none());
    let open = open.map(|f| format!("ticket {} has no final word", f.ticket));
    mute.chain(open).chain(changed(history)).collect()
}

/// A ticket has the same word whenever and wherever it is asked for.
fn changed(history: &History) -> impl Iterator<Item = String> + '_ {
    let pairs = history.ticket_outcomes.windows(2);
    pairs.filter_map(|pair| match pair {
        [a, b] if a.ticket == b.ticket && a.word != b.word => {
            Some(format!("ticket {}: {:?}, then {:?}", a.ticket, a.word, b.word))
        }
        _ => None,
    })
}

fn mute(record: &RequestRecord) -> Option<String> {
    let Some(outcome) = &record.outcome else {
        return (!record.connection_lost).then(|| format!("{}: no end of the answer", record.request));
    };
    let worded = ["done", "not-run", "unknown"].contains(&outcome.word.as_str());
    (outcome.is_complete && !worded)
        .then(|| format!("{}: whole answer without a final word: {outcome:?}", record.request))
}

/// An answer that looks whole is whole, in order, and the own one.
pub fn own_and_whole(history: &History) -> Vec<String> {
    history
        .requests
        .iter()
        .filter_map(|record| broken(history, record))
        .collect()
}

fn broken(history: &History, record: &RequestRecord) -> Option<String> {
    let outcome = record.outcome.as_ref()?;
    if outcome.cause.starts_with("token ") {
        return Some(format!("{}: {}", record.request, outcome.cause));
    }
    if !outcome.is_done() {
        return None;
    }
    let fits = match record.kind {
        RequestKind::Chat(most) => {
            outcome.tokens == ResponseLengths::new(ENGINE_SEED).draw(&record.request, Some(most))
        }
        RequestKind::Get | RequestKind::Protected => is_own(history, record, &outcome.body),
    };
    (!fits).then(|| format!("{}: looks whole and is not its own answer: {outcome:?}", record.request))
}

fn is_own(history: &History, record: &RequestRecord, body: &[u8]) -> bool {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let id = body["request_id"].as_str().unwrap_or_default();
    let same_ticket = || {
        let ticket = record.ticket.as_deref().unwrap_or_default();
        history.of_ticket(ticket).any(|other| other.request == id)
    };
    body["ran"] == true && (id == record.request || (record.ticket.is_some() && same_ticket()))
}
