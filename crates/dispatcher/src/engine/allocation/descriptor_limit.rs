//! The limit of connections to all engines together, and the queue of connections that wait for a file descriptor.

use crate::engine::channel::Channel;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

/// Grants file descriptors to connections, within a limit.
pub struct DescriptorLimit {
    max_connections: usize,
    /// Number of connections that are open or connecting.
    connections: Cell<usize>,
    /// Connections that wait for a descriptor, in the order in which they were queued.
    waiting: RefCell<VecDeque<Rc<Channel>>>,
}

impl DescriptorLimit {
    /// A limit of `max_connections` connections.
    pub fn new(max_connections: usize) -> Self {
        DescriptorLimit {
            max_connections,
            connections: Cell::default(),
            waiting: RefCell::default(),
        }
    }

    /// Number of connections that are open or connecting.
    pub fn connection_count(&self) -> usize {
        self.connections.get()
    }

    /// Number of connections that wait for a descriptor.
    pub fn waiting_count(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Whether the limit is reached.
    pub fn is_reached(&self) -> bool {
        self.connections.get() >= self.max_connections
    }

    /// Grants a connection a descriptor.
    pub fn grant(&self, channel: &Channel) {
        self.connections.set(self.connections.get() + 1);
        channel.grant_descriptor();
    }

    /// Queues a connection for a released descriptor.
    pub fn enqueue(&self, channel: Rc<Channel>) {
        self.waiting.borrow_mut().push_back(channel);
    }

    /// Releases the descriptor of a closed connection, and grants it to the connection that has waited longest. If the
    /// closed connection was itself waiting for a descriptor, only removes it from the queue.
    pub fn release(&self, channel: &Rc<Channel>) {
        if !channel.has_descriptor() {
            let mut waiting = self.waiting.borrow_mut();
            waiting.retain(|other| !Rc::ptr_eq(other, channel));
            return;
        }
        self.connections.set(self.connections.get() - 1);
        if self.is_reached() {
            return;
        }
        let next = self.waiting.borrow_mut().pop_front();
        if let Some(next) = next {
            self.grant(&next);
        }
    }
}

#[cfg(test)]
mod tests;
