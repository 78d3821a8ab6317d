//! What callers get.

use celerytide_standin::engine::ResponseLengths;
use serde_json::Value;

use crate::history::{History, Kind, Sent};

/// Seed from which the engines draw the length of an answer.
const ENGINE_SEED: u64 = 1;

/// Every caller gets a final word or a connection that is visibly cut, and each ticket a final word that stays.
pub fn final_word(history: &History) -> Vec<String> {
    let mute = history.sent.iter().filter_map(mute);
    let open = history.finals.iter().filter(|f| f.word.is_none());
    let open = open.map(|f| format!("ticket {} has no final word", f.ticket));
    mute.chain(open).chain(changed(history)).collect()
}

/// A ticket has the same word whenever and wherever it is asked for.
fn changed(history: &History) -> impl Iterator<Item = String> + '_ {
    let pairs = history.finals.windows(2);
    pairs.filter_map(|pair| match pair {
        [a, b] if a.ticket == b.ticket && a.word != b.word => {
            Some(format!("ticket {}: {:?}, then {:?}", a.ticket, a.word, b.word))
        }
        _ => None,
    })
}

fn mute(sent: &Sent) -> Option<String> {
    let Some(told) = &sent.told else {
        return (!sent.excused).then(|| format!("{}: no end of the answer", sent.request));
    };
    let worded = ["done", "not-run", "unknown"].contains(&told.word.as_str());
    (told.is_complete && !worded).then(|| format!("{}: whole answer without a final word: {told:?}", sent.request))
}

/// An answer that looks whole is whole, in order, and the own one.
pub fn own_and_whole(history: &History) -> Vec<String> {
    history.sent.iter().filter_map(|sent| broken(history, sent)).collect()
}

fn broken(history: &History, sent: &Sent) -> Option<String> {
    let told = sent.told.as_ref()?;
    if told.cause.starts_with("token ") {
        return Some(format!("{}: {}", sent.request, told.cause));
    }
    if !told.is_done() {
        return None;
    }
    let fits = match sent.kind {
        Kind::Chat(most) => told.tokens == ResponseLengths::new(ENGINE_SEED).draw(&sent.request, Some(most)),
        Kind::Get | Kind::Protected => is_own(history, sent, &told.body),
    };
    (!fits).then(|| format!("{}: looks whole and is not its own answer: {told:?}", sent.request))
}

fn is_own(history: &History, sent: &Sent, body: &[u8]) -> bool {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let id = body["request_id"].as_str().unwrap_or_default();
    let same_ticket = || {
        let ticket = sent.ticket.as_deref().unwrap_or_default();
        history.of_ticket(ticket).any(|other| other.request == id)
    };
    body["ran"] == true && (id == sent.request || (sent.ticket.is_some() && same_ticket()))
}
