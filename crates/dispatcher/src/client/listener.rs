//! Accepts client connections, and starts a session for each.

use super::phase::FrontendPhase;
use super::receive_half::ReceiveHalf;
use super::session::Session;
use super::ClientFrontend;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Delay after a failed accept, and between two attempts to evict a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

type Accepted = io::Result<(Async<TcpStream>, SocketAddr)>;

impl ClientFrontend {
    /// Accepts connections until [`ClientFrontend::start_closing`], and then those that are left in the backlog. While
    /// the table is full, connections are evicted to make room.
    pub async fn accept(
        self: Rc<Self>,
        listener: Async<TcpListener>,
        executor: Rc<LocalExecutor<'static>>,
    ) {
        while let Some(accepted) = self.next_connection(&listener).await {
            match accepted {
                Ok((stream, _)) => {
                    self.clone().spawn_session(stream, &executor);
                    // Lets the sessions read before the next connection is accepted.
                    future::yield_now().await;
                }
                Err(error) => {
                    tracing::warn!(%error, "accept failed");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        drop(listener);
        self.phase.set(FrontendPhase::ListenerClosed);
    }

    /// Accepts the next connection. During shutdown, returns `None` once the backlog is empty, so that every client
    /// whose connect has succeeded is served before the listener closes.
    async fn next_connection(&self, listener: &Async<TcpListener>) -> Option<Accepted> {
        loop {
            self.wait_for_free_entry().await;
            if self.phase.get().is_closing() {
                return future::poll_once(listener.accept()).await;
            }
            let accepted = async { Some(listener.accept().await) };
            let closing = async {
                self.closing_started.notified().await;
                None
            };
            let accepted = future::or(accepted, closing).await;
            if accepted.is_some() {
                return accepted;
            }
        }
    }

    /// Waits until the table has a free entry, and evicts a connection if none is free.
    async fn wait_for_free_entry(&self) {
        while self.table.is_full() {
            if self.table.evict_one(self.clock.now()) {
                let counters = &self.registry.counters;
                counters.client_connections_evicted.increment();
            }
            let retry_delay = async {
                Timer::after(ACCEPT_RETRY_DELAY).await;
            };
            future::or(self.table.released.notified(), retry_delay).await;
        }
    }

    /// Starts the session of a connection. The connection is in the table from now until it closes.
    fn spawn_session(self: Rc<Self>, stream: Async<TcpStream>, executor: &LocalExecutor<'static>) {
        self.registry.counters.client_connections.increment();
        let entry = self.table.insert(self.clock.now());
        let session = async move {
            let receive_half = ReceiveHalf::new(stream, &self.reader, self.clock);
            Session::new(&self, receive_half, &entry).run().await;
            // The session owned the stream, which is closed now, before its entry is freed: the table never counts fewer
            // connections than are open.
            self.table.release(&entry);
        };
        executor.spawn(session).detach();
    }
}
