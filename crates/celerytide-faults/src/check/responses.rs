//! Invariants over the responses that callers received.

use celerytide_standin::engine::ResponseLengths;
use serde_json::Value;

use crate::history::{History, RequestKind, RequestRecord};

/// Seed from which the engines draw the length of a response.
const ENGINE_SEED: u64 = 1;

/// Every caller gets a final execution status or a connection that is visibly cut; the final execution status of a
/// ticket exists and never changes.
pub fn final_word(history: &History) -> Vec<String> {
    let missing_word = history.requests.iter().filter_map(missing_word);
    let open = history.ticket_outcomes.iter().filter(|f| f.word.is_none());
    let open = open.map(|f| format!("ticket {} has no final word", f.ticket));
    missing_word.chain(open).chain(changed_words(history)).collect()
}

/// Tickets whose final execution status differed between entries or over time.
fn changed_words(history: &History) -> impl Iterator<Item = String> + '_ {
    let pairs = history.ticket_outcomes.windows(2);
    pairs.filter_map(|pair| match pair {
        [a, b] if a.ticket == b.ticket && a.word != b.word => {
            Some(format!("ticket {}: {:?}, then {:?}", a.ticket, a.word, b.word))
        }
        _ => None,
    })
}

fn missing_word(record: &RequestRecord) -> Option<String> {
    let Some(outcome) = &record.outcome else {
        return (!record.connection_lost).then(|| format!("{}: no end of the answer", record.request_id));
    };
    let has_word = ["done", "not-run", "unknown"].contains(&outcome.word.as_str());
    (outcome.is_complete && !has_word)
        .then(|| format!("{}: whole answer without a final word: {outcome:?}", record.request_id))
}

/// A response that looks complete is complete, in order, and belongs to its request.
pub fn own_and_whole(history: &History) -> Vec<String> {
    history
        .requests
        .iter()
        .filter_map(|record| response_mismatch(history, record))
        .collect()
}

fn response_mismatch(history: &History, record: &RequestRecord) -> Option<String> {
    let outcome = record.outcome.as_ref()?;
    if outcome.cause.starts_with("token ") {
        return Some(format!("{}: {}", record.request_id, outcome.cause));
    }
    if !outcome.is_done() {
        return None;
    }
    let matches = match record.kind {
        RequestKind::Chat(max_tokens) => {
            outcome.tokens == ResponseLengths::new(ENGINE_SEED).draw(&record.request_id, Some(max_tokens))
        }
        RequestKind::Get | RequestKind::Protected => is_own_response(history, record, &outcome.body),
    };
    (!matches).then(|| {
        format!(
            "{}: looks whole and is not its own answer: {outcome:?}",
            record.request_id
        )
    })
}

fn is_own_response(history: &History, record: &RequestRecord, body: &[u8]) -> bool {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let id = body["request_id"].as_str().unwrap_or_default();
    let same_ticket = || {
        let ticket = record.ticket.as_deref().unwrap_or_default();
        history.requests_of_ticket(ticket).any(|other| other.request_id == id)
    };
    body["ran"] == true && (id == record.request_id || (record.ticket.is_some() && same_ticket()))
}
