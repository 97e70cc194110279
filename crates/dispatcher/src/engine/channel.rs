//! The state of one connection that its task and the pool share: the state machine, the notification of the writer and
//! the permission to hold a file descriptor.

mod connect;
pub mod error;
pub mod handler;
pub mod task;

use super::connection::Connection;
use crate::ids::ConnectionId;
use crate::notify::Notify;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// The engine process at the other end of a connection, as listed in the endpoint list when the connection was opened.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineProcess {
    /// Address on which the process listens.
    pub address: Option<SocketAddr>,
    /// Start time of the process (ms).
    pub started_ms: Option<f64>,
}

/// A fault of this machine that keeps a connection from reaching its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LocalFault {
    /// The connection limit is reached, so that no descriptor is granted.
    #[error("no file descriptor granted: connection limit reached")]
    DescriptorLimit,
    /// This machine lacks a socket, a port or memory.
    #[error("no socket, port or memory available on this machine")]
    ResourceShort,
    /// The engine's network is unreachable.
    #[error("no route to the engine's network")]
    NetworkUnreachable,
}

impl LocalFault {
    /// The fault behind an error for which [`is_local_fault`](crate::net::is_local_fault) is true.
    pub fn of(error: &io::Error) -> Self {
        match error.raw_os_error() {
            Some(libc::ENETUNREACH | libc::ENETDOWN) => LocalFault::NetworkUnreachable,
            _ => LocalFault::ResourceShort,
        }
    }
}

/// A connection, with the notifications that wake its task.
pub struct Channel {
    /// Number of the connection.
    pub id: ConnectionId,
    /// Number of the engine.
    pub engine_id: u64,
    /// The engine process that the connection was opened to.
    pub process: EngineProcess,
    /// The state machine.
    pub connection: RefCell<Connection>,
    /// Wakes the writer when there may be something to write or a reason to close.
    pub notify: Notify,
    /// Whether the connection may hold a file descriptor.
    has_descriptor: Cell<bool>,
    /// Wakes the task when the connection is granted a descriptor.
    descriptor_granted: Notify,
    /// Number of replies ignored on this connection.
    pub ignored_replies: Cell<u64>,
    /// The fault of this machine that currently keeps the connection from being opened.
    pub local_fault: Cell<Option<LocalFault>>,
}

impl Channel {
    /// A connection that has not started to connect.
    pub fn new(id: ConnectionId, engine_id: u64, process: EngineProcess, now_ms: f64) -> Self {
        Channel {
            id,
            engine_id,
            process,
            connection: RefCell::new(Connection::new(now_ms)),
            notify: Notify::default(),
            has_descriptor: Cell::new(false),
            descriptor_granted: Notify::default(),
            ignored_replies: Cell::new(0),
            local_fault: Cell::new(Some(LocalFault::DescriptorLimit)),
        }
    }

    /// Grants the connection a descriptor and wakes its task.
    pub fn grant_descriptor(&self) {
        self.has_descriptor.set(true);
        self.local_fault.set(None);
        self.descriptor_granted.notify();
    }

    /// Whether the connection holds a descriptor or may open one.
    pub fn has_descriptor(&self) -> bool {
        self.has_descriptor.get()
    }

    /// Waits until the connection may hold a descriptor.
    pub async fn wait_for_descriptor(&self) {
        while !self.has_descriptor() {
            self.descriptor_granted.notified().await;
        }
    }

    /// Whether the connection is up, not retired and has nothing in flight.
    pub fn is_idle(&self) -> bool {
        self.idle_since_ms().is_finite()
    }

    /// Start of the current idle time (ms); minus infinity if the connection is not idle.
    pub fn idle_since_ms(&self) -> f64 {
        self.connection.borrow().idle_since_ms()
    }

    /// Retires the connection: it accepts no new attempts and closes when nothing is in flight.
    pub fn retire(&self) {
        self.connection.borrow_mut().retire();
        self.notify.notify();
    }
}
