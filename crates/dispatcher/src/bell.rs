//! A bell that one task waits for and others ring. Rung before anyone waits, it is heard at once.

use futures_lite::{future, Stream};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

#[derive(Default)]
pub struct Bell {
    rung: Cell<bool>,
    waiter: RefCell<Option<Waker>>,
}

impl Bell {
    pub fn ring(&self) {
        self.rung.set(true);
        if let Some(waiter) = self.waiter.borrow_mut().take() {
            waiter.wake();
        }
    }

    pub fn poll_rung(&self, context: &mut Context) -> Poll<()> {
        if self.rung.replace(false) {
            return Poll::Ready(());
        }
        *self.waiter.borrow_mut() = Some(context.waker().clone());
        Poll::Pending
    }

    pub async fn rung(&self) {
        future::poll_fn(|context| self.poll_rung(context)).await;
    }
}

/// Each ring, or several at once, as one item.
pub struct Rings(pub Rc<Bell>);

impl Stream for Rings {
    type Item = ();

    fn poll_next(self: Pin<&mut Self>, context: &mut Context) -> Poll<Option<()>> {
        self.0.poll_rung(context).map(Some)
    }
}
