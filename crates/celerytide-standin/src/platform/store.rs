//! A store that can be listed and watched, and that fails on demand.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde_json::{Value, json};

use super::request::{self, Seen};

/// How the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
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
    Forgetful,
}

/// Items in one page of a list.
const PAGE: usize = 3;

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    log: Vec<Value>,
    lists: usize,
    watches: usize,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    mode: Mutex<Mode>,
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
                revision: 10,
                ..State::default()
            }),
            changed: Condvar::new(),
            mode: Mutex::new(Mode::Serve),
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
        let mut state = lock(&self.shared.state);
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (value.to_vec(), revision));
        let event = item(key, value, revision);
        state.log.push(event);
        self.shared.changed.notify_all();
    }

    /// Removes an item.
    pub fn delete(&self, key: &str) {
        let mut state = lock(&self.shared.state);
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state
            .log
            .push(json!({"key": key, "revision": revision, "deleted": true}));
        self.shared.changed.notify_all();
    }

    /// Changes how the store answers from now on.
    pub fn set_mode(&self, mode: Mode) {
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
            Mode::Reset => return,
            Mode::Silent => {
                sleep(Duration::from_secs(30));
                return;
            }
            Mode::Slow(ms) => sleep(Duration::from_millis(ms)),
            Mode::Serve | Mode::Busy | Mode::Forgetful => {}
        }
        let (status, body) = match mode {
            Mode::Busy => (503, json!({})),
            _ if seen.line.contains("/-/kv-range") => (200, list(shared, &seen)),
            Mode::Forgetful => (410, json!({})),
            _ => (200, watch(shared, &seen)),
        };
        let body = body.to_string();
        let length = body.len();
        let head = format!("HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n");
        if out.write_all(format!("{head}{body}").as_bytes()).is_err() {
            return;
        }
    }
}

fn list(shared: &Shared, seen: &Seen) -> Value {
    let mut state = lock(&shared.state);
    state.lists += 1;
    let after = seen.query("after").replace("%2F", "/").replace("%2D", "-");
    let rest: Vec<_> = state.items.iter().filter(|(key, _)| **key > after).collect();
    let page: Vec<Value> = rest
        .iter()
        .take(PAGE)
        .map(|(key, (value, revision))| item(key, value, *revision))
        .collect();
    json!({"items": page, "has_more": rest.len() > PAGE, "current_rev": state.revision})
}

fn watch(shared: &Shared, seen: &Seen) -> Value {
    let after: u64 = seen.query("after").parse().unwrap_or(0);
    let wait = Duration::from_millis(seen.query("wait_ms").parse().unwrap_or(0));
    let until = Instant::now() + wait;
    let mut state = lock(&shared.state);
    state.watches += 1;
    loop {
        let newer = |event: &&Value| event["revision"].as_u64().is_some_and(|revision| revision > after);
        let events: Vec<Value> = state.log.iter().filter(newer).cloned().collect();
        let left = until.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            return json!({"events": events, "current_rev": state.revision});
        }
        let waited = shared.changed.wait_timeout(state, left);
        state = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
}
