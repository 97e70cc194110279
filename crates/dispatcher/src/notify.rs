//! Wakes the one task that waits. A notification that comes before anyone waits is kept.

use futures_lite::{future, Stream};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

#[derive(Default)]
pub struct Notify {
    notified: Cell<bool>,
    waiter: RefCell<Option<Waker>>,
}

impl Notify {
    pub fn notify(&self) {
        self.notified.set(true);
        if let Some(waiter) = self.waiter.borrow_mut().take() {
            waiter.wake();
        }
    }

    pub fn poll_notified(&self, context: &mut Context) -> Poll<()> {
        if self.notified.replace(false) {
            return Poll::Ready(());
        }
        *self.waiter.borrow_mut() = Some(context.waker().clone());
        Poll::Pending
    }

    pub async fn notified(&self) {
        future::poll_fn(|context| self.poll_notified(context)).await;
    }
}

/// Each notification, or several at once, as one item.
pub struct Notifications(pub Rc<Notify>);

impl Stream for Notifications {
    type Item = ();

    fn poll_next(self: Pin<&mut Self>, context: &mut Context) -> Poll<Option<()>> {
        self.0.poll_notified(context).map(Some)
    }
}
