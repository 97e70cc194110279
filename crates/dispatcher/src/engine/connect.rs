//! Connects: within the connect timeout, late, and again where this machine is at fault.

use super::channel::{Channel, ChannelError};
use super::connection::ConnectionState;
use super::pool::EnginePool;
use crate::net::{is_local_fault, RESOURCE_RETRY_DELAY};
use async_io::{Async, Timer};
use futures_lite::future;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// A connect that timed out goes on for this multiple of the timeout; if it succeeds, new attempts may use the
/// connection.
const LATE_CONNECT_TIMEOUTS: u32 = 7;
/// Longest pause between two connects that fail on this machine.
const MAX_LOCAL_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Why a connection does not even reach its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum LocalFault {
    #[error("no descriptor is free within the limits")]
    DescriptorLimit,
    #[error("no socket, port or memory on this machine")]
    ResourceShort,
    #[error("no route to the network of the engine")]
    NetworkUnreachable,
}

impl LocalFault {
    fn of(error: &io::Error) -> Self {
        match error.raw_os_error() {
            Some(libc::ENETUNREACH | libc::ENETDOWN) => LocalFault::NetworkUnreachable,
            _ => LocalFault::ResourceShort,
        }
    }
}

/// The output of `work`, or `None` where it takes longer than `limit`.
async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    let output = async { Some(work.await) };
    let timeout = async {
        Timer::after(limit).await;
        None
    };
    future::or(output, timeout).await
}

impl EnginePool {
    pub(super) async fn connect(
        self: &Rc<Self>,
        channel: &Rc<Channel>,
        address: SocketAddr,
    ) -> Result<Async<TcpStream>, ChannelError> {
        let timeout = self.settings.connect_timeout();
        let mut connecting = std::pin::pin!(self.open_stream(channel, address));
        if let Some(connected) = within(timeout, connecting.as_mut()).await {
            return Ok(connected?);
        }
        match channel.local_fault.get() {
            // Routes differ by engine: an engine that stays without one counts as out of reach.
            None | Some(LocalFault::NetworkUnreachable) => {}
            Some(fault) => return Err(ChannelError::Local(fault)),
        }
        self.on_connect_timeout(channel);
        match within(LATE_CONNECT_TIMEOUTS * timeout, connecting).await {
            Some(connected) => Ok(connected?),
            None => Err(ChannelError::ConnectTimeout),
        }
    }

    /// Connects. Faults of this machine are waited out: they say nothing of the engine.
    async fn open_stream(
        &self,
        channel: &Channel,
        address: SocketAddr,
    ) -> io::Result<Async<TcpStream>> {
        channel.wait_for_descriptor().await;
        let mut pause = RESOURCE_RETRY_DELAY;
        loop {
            match Async::<TcpStream>::connect(address).await {
                Err(error) if is_local_fault(&error) => {
                    let engine_id = format_args!("{:08x}", channel.engine_id);
                    tracing::warn!(%engine_id, %error, "connect failed on this machine");
                    self.registry.counters.local_connect_faults.increment();
                    channel.local_fault.set(Some(LocalFault::of(&error)));
                    Timer::after(pause).await;
                    pause = (2 * pause).min(MAX_LOCAL_RETRY_DELAY);
                    channel.local_fault.set(None);
                }
                connected => return connected,
            }
        }
    }

    pub(super) fn on_connected(&self, channel: &Channel) {
        let mut connection = channel.connection.borrow_mut();
        if connection.state == ConnectionState::Late {
            self.registry.counters.connects_after_timeout.increment();
        }
        let engine_id = format_args!("{:08x}", channel.engine_id);
        tracing::debug!(connection = channel.number, %engine_id, "engine connection up");
        connection.on_connected(self.clock.now());
        if let Some(engine) = self.engines.borrow_mut().get_mut(&channel.engine_id) {
            engine.late_connects = 0;
        }
        drop(connection);
        self.on_reachable(channel.engine_id);
    }
}
