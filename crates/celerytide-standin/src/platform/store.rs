//! A store that can be listed and watched, that fails on demand, and that comes back from an older copy of itself.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde_json::{Value, json};

use super::Endless;
use super::request::{self, Seen};

/// How the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// As it should.
    Serve,
    /// 503 to each call.
    Busy,
    /// Nothing, on open connections.
    Silent,
    /// It closes each connection at its next call.
    Reset,
    /// Each answer after this many milliseconds.
    Slow(u64),
    /// Watches get 410: it has dropped its history.
    HistoryLost,
    /// Bytes without end that are no answer.
    Endless(Endless),
}

/// Items in one page of a list.
const PAGE: usize = 3;
/// Header with the count of restores.
const ERA: &str = "Store-Era";

/// What the header that counts restores says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EraHeader {
    /// The count.
    Counted,
    /// It is absent.
    Absent,
    /// This text.
    Text(String),
}

/// What a restore brings back.
#[derive(Clone, Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    log: Vec<Value>,
}

/// A copy of what the store held, to be restored later.
#[derive(Clone)]
pub struct Snapshot(Content);

#[derive(Default)]
struct State {
    content: Content,
    era: u64,
    lists: usize,
    watches: usize,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    mode: Mutex<StoreMode>,
    shown: Mutex<EraHeader>,
}

/// A store on a thread of its own.
#[derive(Clone)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    /// Starts an empty store on a free port.
    pub fn start() -> std::io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                content: Content {
                    revision: 10,
                    ..Content::default()
                },
                era: 1,
                ..State::default()
            }),
            changed: Condvar::new(),
            mode: Mutex::new(StoreMode::Serve),
            shown: Mutex::new(EraHeader::Counted),
        });
        let address = listener.local_addr()?;
        let served = shared.clone();
        spawn(move || {
            for conn in listener.incoming().flatten() {
                let shared = served.clone();
                spawn(move || serve(&shared, conn));
            }
        });
        Ok(Store { address, shared })
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &[u8]) {
        let content = &mut lock(&self.shared.state).content;
        content.revision += 1;
        let revision = content.revision;
        content.items.insert(key.to_owned(), (value.to_vec(), revision));
        let event = item(key, value, revision);
        content.log.push(event);
        self.shared.changed.notify_all();
    }

    /// Removes an item.
    pub fn delete(&self, key: &str) {
        let content = &mut lock(&self.shared.state).content;
        content.revision += 1;
        let revision = content.revision;
        content.items.remove(key);
        content
            .log
            .push(json!({"key": key, "revision": revision, "deleted": true}));
        self.shared.changed.notify_all();
    }

    /// A copy of what the store holds now.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(lock(&self.shared.state).content.clone())
    }

    /// Goes back to a copy: revisions are given out again from there, and the count of restores rises by one.
    pub fn restore(&self, snapshot: &Snapshot) {
        let mut state = lock(&self.shared.state);
        state.content = snapshot.0.clone();
        state.era += 1;
        self.shared.changed.notify_all();
    }

    /// Changes what the header that counts restores says.
    pub fn set_era_header(&self, era: EraHeader) {
        *lock(&self.shared.shown) = era;
    }

    /// Changes how the store answers from now on.
    pub fn set_mode(&self, mode: StoreMode) {
        *lock(&self.shared.mode) = mode;
        self.shared.changed.notify_all();
    }

    /// Pages listed so far.
    pub fn lists(&self) -> usize {
        lock(&self.shared.state).lists
    }

    /// Watches answered or waiting so far.
    pub fn watches(&self) -> usize {
        lock(&self.shared.state).watches
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn item(key: &str, value: &[u8], revision: u64) -> Value {
    json!({"key": key, "value": BASE64_STANDARD.encode(value), "revision": revision, "created": revision, "lease": 0})
}

fn serve(shared: &Shared, conn: TcpStream) {
    let Ok(mut out) = conn.try_clone() else {
        return;
    };
    let mut conn = BufReader::new(conn);
    while let Some(seen) = request::read(&mut conn) {
        let mode = *lock(&shared.mode);
        match mode {
            StoreMode::Reset => return,
            StoreMode::Silent => {
                sleep(Duration::from_secs(30));
                return;
            }
            StoreMode::Slow(ms) => sleep(Duration::from_millis(ms)),
            StoreMode::Endless(endless) => return endless.send(&mut out, ""),
            StoreMode::Serve | StoreMode::Busy | StoreMode::HistoryLost => {}
        }
        let answered = match mode {
            StoreMode::Busy => Some((503, json!({}))),
            _ if seen.line.contains("/-/kv-range") => Some((200, list(shared, &seen))),
            StoreMode::HistoryLost => Some((410, json!({}))),
            _ => watch(shared, &seen),
        };
        let Some((status, body)) = answered else {
            return;
        };
        let body = body.to_string();
        let length = body.len();
        let era = era_line(shared);
        let head =
            format!("HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n{era}content-length: {length}\r\n\r\n");
        if out.write_all(format!("{head}{body}").as_bytes()).is_err() {
            return;
        }
    }
}

fn era_line(shared: &Shared) -> String {
    let era = match &*lock(&shared.shown) {
        EraHeader::Absent => return String::new(),
        EraHeader::Text(text) => text.clone(),
        EraHeader::Counted => lock(&shared.state).era.to_string(),
    };
    format!("{ERA}: {era}\r\n")
}

fn list(shared: &Shared, seen: &Seen) -> Value {
    let mut state = lock(&shared.state);
    state.lists += 1;
    let content = &state.content;
    let after = seen.query("after").replace("%2F", "/").replace("%2D", "-");
    let rest: Vec<_> = content.items.iter().filter(|(key, _)| **key > after).collect();
    let page: Vec<Value> = rest
        .iter()
        .take(PAGE)
        .map(|(key, (value, revision))| item(key, value, *revision))
        .collect();
    json!({"items": page, "has_more": rest.len() > PAGE, "current_rev": content.revision})
}

/// Waits for changes; `None` if a restore cuts the watch.
fn watch(shared: &Shared, seen: &Seen) -> Option<(u16, Value)> {
    let after: u64 = seen.query("after").parse().unwrap_or(0);
    let wait = Duration::from_millis(seen.query("wait_ms").parse().unwrap_or(0));
    let until = Instant::now() + wait;
    let mut state = lock(&shared.state);
    state.watches += 1;
    let era = state.era;
    if after > state.content.revision {
        return Some((410, json!({})));
    }
    loop {
        let content = &state.content;
        let newer = |event: &&Value| event["revision"].as_u64().is_some_and(|revision| revision > after);
        let events: Vec<Value> = content.log.iter().filter(newer).cloned().collect();
        let left = until.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            return Some((200, json!({"events": events, "current_rev": content.revision})));
        }
        let waited = shared.changed.wait_timeout(state, left);
        state = waited.unwrap_or_else(PoisonError::into_inner).0;
        if state.era != era {
            return None;
        }
    }
}
