//! What is known about the client of a query: whether it is still connected.

use std::rc::Weak;

/// Whether a client is still connected, as far as this dispatcher can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientPresence {
    /// The connection is open, and no unread bytes could hide its end.
    Connected,
    /// The end of the connection may be behind bytes that are not read yet.
    Unknown,
    /// The client has closed or reset the connection, or the connection is closed here.
    Disconnected,
}

/// The connection of a query's client.
pub trait ClientConnection {
    /// Checks whether the client is connected now.
    fn presence(&self) -> ClientPresence;
}

/// A reference to a client's connection, which its session owns.
#[derive(Clone)]
pub struct ClientHandle(Weak<dyn ClientConnection>);

impl ClientHandle {
    /// A handle to the connection behind `connection`.
    pub fn new(connection: Weak<dyn ClientConnection>) -> Self {
        ClientHandle(connection)
    }

    /// Checks whether the client is connected now. A client whose session has ended is disconnected.
    pub fn presence(&self) -> ClientPresence {
        match self.0.upgrade() {
            Some(connection) => connection.presence(),
            None => ClientPresence::Disconnected,
        }
    }
}

#[cfg(test)]
pub use for_test::TestClient;

#[cfg(test)]
mod for_test;
