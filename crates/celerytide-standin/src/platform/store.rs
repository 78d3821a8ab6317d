//! A store that can be listed and watched, fails on demand and can be restored from an older snapshot.

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
use super::request::{self, Request};
use super::view::View;

/// How the store responds to requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// Normal operation.
    Serve,
    /// 503 to each request.
    Busy,
    /// No response, on open connections.
    Silent,
    /// Each connection is closed at its next request.
    Reset,
    /// Each response after this many milliseconds.
    Slow(u64),
    /// 410 to each watch: the history that it needs is gone.
    HistoryLost,
    /// As `HistoryLost`; each page of the list is written once more in front of the next page on its connection.
    CopiedPages,
    /// Each watch behind the first one on its connection gets a copy of the first one's response.
    CopiedWatches,
    /// An endless response.
    Endless(Endless),
}

/// Most items in a page of a list.
const PAGE_ITEMS: usize = 3;
/// Interval of a runner's heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Header with the era, which a restore increases by one.
const ERA_HEADER: &str = "Store-Era";

/// Content of the era header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EraHeader {
    /// The actual era.
    Counted,
    /// The header is absent.
    Absent,
    /// An arbitrary text.
    Text(String),
}

/// The part of the state that a restore resets.
#[derive(Clone, Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    change_log: Vec<Value>,
}

/// A copy of the store's content to restore later.
#[derive(Clone)]
pub struct Snapshot(Content);

#[derive(Default)]
struct State {
    content: Content,
    era: u64,
    lists: usize,
    watches: usize,
    /// Sequence of the last write of each start of a runner, and when it was sent, by its id and start.
    sequences: BTreeMap<(String, u64), (u64, Instant)>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    mode: Mutex<StoreMode>,
    era_header: Mutex<EraHeader>,
}

/// A store on a thread of its own.
#[derive(Clone)]
pub struct Store {
    /// Address on which it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    /// Starts an empty store on a free port.
    pub fn start() -> std::io::Result<Store> {
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
            era_header: Mutex::new(EraHeader::Counted),
        });
        let address = listen(&shared, View::default())?;
        Ok(Store { address, shared })
    }

    /// Opens a further address, whose readers get the second address of each pair in place of the first.
    pub fn open_view(&self, replaced: &[(SocketAddr, SocketAddr)]) -> std::io::Result<SocketAddr> {
        listen(&self.shared, View::new(replaced))
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &[u8]) {
        let content = &mut lock(&self.shared.state).content;
        content.revision += 1;
        let revision = content.revision;
        content.items.insert(key.to_owned(), (value.to_vec(), revision));
        let event = item_json(key, value, revision);
        content.change_log.push(event);
        self.shared.changed.notify_all();
    }

    /// Sequence of the next write of a runner's start. It also counts the heartbeats since the last one, which change
    /// nothing else and aren't published.
    pub(super) fn next_sequence(&self, id: &str, born: u64) -> u64 {
        let now = Instant::now();
        let mut state = lock(&self.shared.state);
        let (sequence, sent_at) = state.sequences.entry((id.to_owned(), born)).or_insert((0, now));
        let heartbeats = now.duration_since(*sent_at).as_millis() / HEARTBEAT.as_millis();
        *sequence += 1 + heartbeats as u64;
        *sent_at = now;
        *sequence
    }

    /// The value of an item as text; empty if there is none.
    pub fn value(&self, key: &str) -> String {
        let state = lock(&self.shared.state);
        let item = state.content.items.get(key);
        item.map_or(String::new(), |(value, _)| String::from_utf8_lossy(value).into_owned())
    }

    /// Removes an item.
    pub fn delete(&self, key: &str) {
        let content = &mut lock(&self.shared.state).content;
        content.revision += 1;
        let revision = content.revision;
        content.items.remove(key);
        content
            .change_log
            .push(json!({"key": key, "revision": revision, "deleted": true}));
        self.shared.changed.notify_all();
    }

    /// A copy of the current content.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(lock(&self.shared.state).content.clone())
    }

    /// Restores a snapshot: its revision counts up again, so that revisions are reused, and the era increases by one.
    pub fn restore(&self, snapshot: &Snapshot) {
        let mut state = lock(&self.shared.state);
        state.content = snapshot.0.clone();
        state.era += 1;
        self.shared.changed.notify_all();
    }

    /// Sets the content of the era header.
    pub fn set_era_header(&self, era: EraHeader) {
        *lock(&self.shared.era_header) = era;
    }

    /// Sets the mode for the next requests.
    pub fn set_mode(&self, mode: StoreMode) {
        *lock(&self.shared.mode) = mode;
        self.shared.changed.notify_all();
    }

    /// Number of list pages served so far.
    pub fn lists(&self) -> usize {
        lock(&self.shared.state).lists
    }

    /// Number of watches so far, including waiting ones.
    pub fn watches(&self) -> usize {
        lock(&self.shared.state).watches
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn item_json(key: &str, value: &[u8], revision: u64) -> Value {
    json!({"key": key, "value": BASE64_STANDARD.encode(value), "revision": revision, "created": revision, "lease": 0})
}

/// Serves the store at a free port.
fn listen(shared: &Arc<Shared>, view: View) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let served = shared.clone();
    let view = Arc::new(view);
    spawn(move || {
        for conn in listener.incoming().flatten() {
            let (shared, view) = (served.clone(), view.clone());
            spawn(move || serve(&shared, &view, conn));
        }
    });
    Ok(address)
}

fn serve(shared: &Shared, view: &View, conn: TcpStream) {
    let Ok(mut out) = conn.try_clone() else {
        return;
    };
    let mut conn = BufReader::new(conn);
    let mut page_copy = String::new();
    let mut watch_copy: Option<String> = None;
    while let Some(req) = request::read(&mut conn) {
        let mode = *lock(&shared.mode);
        let is_page = req.line.contains("/-/kv-range");
        match mode {
            StoreMode::Reset => return,
            StoreMode::Silent => {
                sleep(Duration::from_secs(30));
                return;
            }
            StoreMode::Slow(ms) => sleep(Duration::from_millis(ms)),
            StoreMode::Endless(endless) => return endless.send(&mut out, ""),
            StoreMode::Serve
            | StoreMode::Busy
            | StoreMode::HistoryLost
            | StoreMode::CopiedPages
            | StoreMode::CopiedWatches => {}
        }
        if let Some(copy) = watch_copy.as_ref().filter(|_| !is_page) {
            if out.write_all(copy.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let response = match mode {
            StoreMode::Busy => Some((503, json!({}))),
            _ if is_page => Some((200, list_page(shared, &req))),
            StoreMode::HistoryLost | StoreMode::CopiedPages => Some((410, json!({}))),
            _ => watch(shared, &req),
        };
        let Some((status, mut body)) = response else {
            return;
        };
        view.apply(&mut body);
        let body = body.to_string();
        let length = body.len();
        let era = era_header_line(shared);
        let head =
            format!("HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n{era}content-length: {length}\r\n\r\n");
        let mut response = format!("{head}{body}");
        if is_page && mode == StoreMode::CopiedPages {
            let copy = std::mem::replace(&mut page_copy, response.clone());
            response.insert_str(0, &copy);
        }
        if !is_page && mode == StoreMode::CopiedWatches {
            watch_copy = Some(response.clone());
        }
        if out.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

fn era_header_line(shared: &Shared) -> String {
    let era = match &*lock(&shared.era_header) {
        EraHeader::Absent => return String::new(),
        EraHeader::Text(text) => text.clone(),
        EraHeader::Counted => lock(&shared.state).era.to_string(),
    };
    format!("{ERA_HEADER}: {era}\r\n")
}

fn list_page(shared: &Shared, req: &Request) -> Value {
    let mut state = lock(&shared.state);
    state.lists += 1;
    let content = &state.content;
    let after = req.query("after").replace("%2F", "/").replace("%2D", "-");
    let rest: Vec<_> = content.items.iter().filter(|(key, _)| **key > after).collect();
    let page: Vec<Value> = rest
        .iter()
        .take(PAGE_ITEMS)
        .map(|(key, (value, revision))| item_json(key, value, *revision))
        .collect();
    json!({"items": page, "has_more": rest.len() > PAGE_ITEMS, "current_rev": content.revision})
}

/// Waits for changes; `None` if a restore ends the watch.
fn watch(shared: &Shared, req: &Request) -> Option<(u16, Value)> {
    let after: u64 = req.query("after").parse().unwrap_or(0);
    let wait = Duration::from_millis(req.query("wait_ms").parse().unwrap_or(0));
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
        let events: Vec<Value> = content.change_log.iter().filter(newer).cloned().collect();
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
