//! Wakes a task of the same thread that waits.

use futures_lite::{future, Stream};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// A notification for one task. One that comes before the task waits is kept; several become one. Of two tasks that wait
/// at once only the last is woken: the program has one for each.
#[derive(Default)]
pub struct Notify {
    is_notified: Cell<bool>,
    waiter: RefCell<Option<Waker>>,
}

impl Notify {
    /// Wakes the task that waits, or the next that will.
    pub fn notify(&self) {
        self.is_notified.set(true);
        if let Some(waiter) = self.waiter.borrow_mut().take() {
            waiter.wake();
        }
    }

    /// Ready, once, after a notification; else the task of `context` is woken by the next one.
    pub fn poll_notified(&self, context: &mut Context) -> Poll<()> {
        if self.is_notified.replace(false) {
            return Poll::Ready(());
        }
        *self.waiter.borrow_mut() = Some(context.waker().clone());
        Poll::Pending
    }

    /// Waits for a notification.
    pub async fn notified(&self) {
        future::poll_fn(|context| self.poll_notified(context)).await;
    }
}

/// The notifications as a stream: an item for each, or for several at once.
pub struct Notifications(pub Rc<Notify>);

impl Stream for Notifications {
    type Item = ();

    fn poll_next(self: Pin<&mut Self>, context: &mut Context) -> Poll<Option<()>> {
        self.0.poll_notified(context).map(Some)
    }
}
