//! All permits that this entry holds, so that a new owner's muster finds them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use celerytide_types::PoolId;
use futures::channel::{mpsc, oneshot};
use futures::future::join_all;

/// Tells a permit's task to go on under a new owner.
pub(super) struct Move {
    /// Where the new owner listens.
    pub(super) owner: SocketAddr,
    /// Told whether the new owner adopted it.
    pub(super) done: oneshot::Sender<bool>,
}

type Handle = mpsc::UnboundedSender<Move>;

/// Permits by pool. Cheap to clone.
#[derive(Clone, Default)]
pub struct Leases {
    inner: Rc<RefCell<Inner>>,
}

#[derive(Default)]
struct Inner {
    next: u64,
    by_pool: HashMap<PoolId, HashMap<u64, Handle>>,
}

/// Keeps a permit listed until it is dropped.
pub(super) struct Listed {
    leases: Leases,
    pool: PoolId,
    key: u64,
}

impl Leases {
    /// Permits in flight.
    pub fn count(&self) -> usize {
        self.inner.borrow().by_pool.values().map(HashMap::len).sum()
    }

    /// Moves every permit of `pool` to the owner at `owner`; returns how many were adopted, or `None` if one was not.
    pub async fn move_all(&self, pool: &str, owner: SocketAddr) -> Option<u32> {
        let moves: Vec<oneshot::Receiver<bool>> = {
            let inner = self.inner.borrow();
            let handles = inner.by_pool.get(pool).into_iter().flat_map(HashMap::values);
            handles.filter_map(|handle| send_move(handle, owner)).collect()
        };
        let done = join_all(moves).await;
        let mut adopted = 0;
        for moved in done {
            match moved {
                Ok(true) => adopted += 1,
                Ok(false) => return None,
                // The permit ended meanwhile.
                Err(oneshot::Canceled) => {}
            }
        }
        Some(adopted)
    }

    pub(super) fn list(&self, pool: &str, handle: Handle) -> Listed {
        let mut inner = self.inner.borrow_mut();
        inner.next += 1;
        let key = inner.next;
        inner.by_pool.entry(pool.to_owned()).or_default().insert(key, handle);
        Listed {
            leases: self.clone(),
            pool: pool.to_owned(),
            key,
        }
    }
}

fn send_move(handle: &Handle, owner: SocketAddr) -> Option<oneshot::Receiver<bool>> {
    let (done, moved) = oneshot::channel();
    handle.unbounded_send(Move { owner, done }).ok()?;
    Some(moved)
}

impl Drop for Listed {
    fn drop(&mut self) {
        let mut inner = self.leases.inner.borrow_mut();
        let Some(handles) = inner.by_pool.get_mut(&self.pool) else {
            return;
        };
        handles.remove(&self.key);
        if handles.is_empty() {
            inner.by_pool.remove(&self.pool);
        }
    }
}
