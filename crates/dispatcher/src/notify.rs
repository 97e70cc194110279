//! Notifications between tasks on the same thread.

use futures_lite::{future, Stream};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// A notification for one task. It is stored until the task waits for it; several pending notifications become one.
/// At most one task may wait for a `Notify`: of two waiting tasks, only the last would be woken. In this program, each
/// `Notify` has one waiting task.
#[derive(Default)]
pub struct Notify {
    is_notified: Cell<bool>,
    waiter: RefCell<Option<Waker>>,
}

impl Notify {
    /// Wakes the waiting task. Without a waiting task, the next call that waits returns immediately.
    pub fn notify(&self) {
        self.is_notified.set(true);
        if let Some(waiter) = self.waiter.borrow_mut().take() {
            waiter.wake();
        }
    }

    /// Returns `Ready` once per stored notification. Otherwise the next notification wakes the task of `context`.
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

/// Notifications as a stream. Several notifications may become one item.
pub struct Notifications(pub Rc<Notify>);

impl Stream for Notifications {
    type Item = ();

    fn poll_next(self: Pin<&mut Self>, context: &mut Context) -> Poll<Option<()>> {
        self.0.poll_notified(context).map(Some)
    }
}
