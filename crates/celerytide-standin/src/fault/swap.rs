//! The place where two answers change hands.

use std::{cell::RefCell, time::Duration};

use futures::channel::oneshot;
use monoio::time;

/// How long the first answer waits for a second to change with.
const PARTNER_TIMEOUT: Duration = Duration::from_secs(2);

/// Lets two answers change hands.
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
    /// Gives `own` away for the other one's; keeps `own` if no second comes in time.
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
