//! The place where two answers change hands.

use std::{cell::RefCell, time::Duration};

use futures::channel::oneshot;
use monoio::time;

/// How long the first answer waits for a second to change with.
const PARTNER_WAIT: Duration = Duration::from_secs(2);

/// Lets two answers change hands.
pub struct Crossing<T> {
    first: RefCell<Option<(T, oneshot::Sender<T>)>>,
}

impl<T> Default for Crossing<T> {
    fn default() -> Self {
        Self {
            first: RefCell::new(None),
        }
    }
}

impl<T: Clone> Crossing<T> {
    /// Gives `own` away for the other one's; keeps `own` if no second comes in time.
    pub async fn exchange(&self, own: T) -> T {
        let waiting = self.first.borrow_mut().take();
        if let Some((other, tx)) = waiting
            && tx.send(own.clone()).is_ok()
        {
            return other;
        }
        let (tx, rx) = oneshot::channel();
        *self.first.borrow_mut() = Some((own.clone(), tx));
        match time::timeout(PARTNER_WAIT, rx).await {
            Ok(Ok(other)) => other,
            _ => own,
        }
    }
}
