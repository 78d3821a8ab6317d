//! Registry of this entry's leases, so that a new owner can adopt all permits of a pool.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use celerytide_types::PoolId;
use futures::channel::{mpsc, oneshot};
use futures::future::join_all;

/// Asks a lease's task to re-register its permit with a new owner.
pub(super) struct MoveRequest {
    /// Peer address of the new owner.
    pub(super) owner: SocketAddr,
    /// Receives whether the new owner adopted the permit.
    pub(super) adopted_tx: oneshot::Sender<bool>,
}

type Handle = mpsc::UnboundedSender<MoveRequest>;

/// Leases by pool. Cheap to clone.
#[derive(Clone, Default)]
pub struct LeaseRegistry {
    inner: Rc<RefCell<Inner>>,
}

#[derive(Default)]
struct Inner {
    last_id: u64,
    by_pool: HashMap<PoolId, HashMap<u64, Handle>>,
}

/// Keeps a lease in the registry until it is dropped.
pub(super) struct LeaseRegistration {
    leases: LeaseRegistry,
    pool: PoolId,
    id: u64,
}

impl LeaseRegistry {
    /// Number of leases.
    pub fn count(&self) -> usize {
        self.inner.borrow().by_pool.values().map(HashMap::len).sum()
    }

    /// Moves every permit of `pool` to `owner`; returns the number adopted, or `None` if the owner refused one.
    pub async fn move_all(&self, pool: &str, owner: SocketAddr) -> Option<u32> {
        let moves: Vec<oneshot::Receiver<bool>> = {
            let inner = self.inner.borrow();
            let handles = inner.by_pool.get(pool).into_iter().flat_map(HashMap::values);
            handles.filter_map(|handle| send_move(handle, owner)).collect()
        };
        let results = join_all(moves).await;
        let mut adopted = 0;
        for result in results {
            match result {
                Ok(true) => adopted += 1,
                Ok(false) => return None,
                // The permit was released meanwhile.
                Err(oneshot::Canceled) => {}
            }
        }
        Some(adopted)
    }

    pub(super) fn register(&self, pool: &str, handle: Handle) -> LeaseRegistration {
        let mut inner = self.inner.borrow_mut();
        inner.last_id += 1;
        let id = inner.last_id;
        inner.by_pool.entry(pool.to_owned()).or_default().insert(id, handle);
        LeaseRegistration {
            leases: self.clone(),
            pool: pool.to_owned(),
            id,
        }
    }
}

fn send_move(handle: &Handle, owner: SocketAddr) -> Option<oneshot::Receiver<bool>> {
    let (adopted_tx, adopted_rx) = oneshot::channel();
    handle.unbounded_send(MoveRequest { owner, adopted_tx }).ok()?;
    Some(adopted_rx)
}

impl Drop for LeaseRegistration {
    fn drop(&mut self) {
        let mut inner = self.leases.inner.borrow_mut();
        let Some(handles) = inner.by_pool.get_mut(&self.pool) else {
            return;
        };
        handles.remove(&self.id);
        if handles.is_empty() {
            inner.by_pool.remove(&self.pool);
        }
    }
}
