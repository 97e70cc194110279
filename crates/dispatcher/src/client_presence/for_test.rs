//! A client connection whose presence a test sets.

use super::{ClientConnection, ClientHandle, ClientPresence};
use std::cell::Cell;
use std::rc::{Rc, Weak};

/// A client connection without a socket.
pub struct TestClient {
    presence: Cell<ClientPresence>,
}

impl TestClient {
    /// A connected client.
    pub fn connected() -> Rc<Self> {
        let presence = Cell::new(ClientPresence::Connected);
        Rc::new(TestClient { presence })
    }

    /// Changes the presence that the connection reports.
    pub fn set_presence(&self, presence: ClientPresence) {
        self.presence.set(presence);
    }

    /// A handle to this connection, as a session passes it to the registry.
    pub fn handle(self: &Rc<Self>) -> ClientHandle {
        let connection: Weak<Self> = Rc::downgrade(self);
        ClientHandle::new(connection)
    }
}

impl ClientConnection for TestClient {
    fn presence(&self) -> ClientPresence {
        self.presence.get()
    }
}
