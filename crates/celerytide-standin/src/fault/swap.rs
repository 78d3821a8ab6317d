//! Swaps two responses, as an endpoint does that mixes up its requests.

use std::{cell::RefCell, time::Duration};

use futures::channel::oneshot;
use monoio::time;

/// How long the first response waits for a second one to swap with.
const PARTNER_TIMEOUT: Duration = Duration::from_secs(2);

/// Pairs up responses and swaps them.
pub struct ResponseSwap<T> {
    waiting: RefCell<Option<(T, oneshot::Sender<T>)>>,
}

impl<T> Default for ResponseSwap<T> {
    fn default() -> Self {
        Self {
            waiting: RefCell::new(None),
        }
    }
}

impl<T: Clone> ResponseSwap<T> {
    /// Returns the partner's response in exchange for `own`, or `own` if no partner comes in time.
    pub async fn exchange(&self, own: T) -> T {
        let partner = self.waiting.borrow_mut().take();
        if let Some((other, tx)) = partner
            && tx.send(own.clone()).is_ok()
        {
            return other;
        }
        let (tx, rx) = oneshot::channel();
        *self.waiting.borrow_mut() = Some((own.clone(), tx));
        match time::timeout(PARTNER_TIMEOUT, rx).await {
            Ok(Ok(other)) => other,
            _ => own,
        }
    }
}
