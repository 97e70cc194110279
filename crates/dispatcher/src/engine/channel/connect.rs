//! Connects to an engine: within the connect timeout, late, and repeatedly while this machine is at fault.

use super::error::ChannelError;
use super::handler::ChannelHandler;
use super::{Channel, LocalFault};
use crate::net::{is_local_fault, RESOURCE_RETRY_DELAY};
use async_io::{Async, Timer};
use futures_lite::future;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A connect that timed out continues for this multiple of the timeout. If it succeeds, new attempts may use the
/// connection.
const LATE_CONNECT_TIMEOUTS: u32 = 7;
/// Longest pause between two connects that fail on this machine.
const MAX_LOCAL_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Connects, and reports a connect timeout to the handler.
///
/// # Errors
/// The engine refused the connection, or the connection did not come up in time.
pub(super) async fn connect<H: ChannelHandler>(
    handler: &Rc<H>,
    channel: &Rc<Channel>,
    address: SocketAddr,
) -> Result<Async<TcpStream>, ChannelError> {
    let timeout = handler.connect_timeout();
    let mut connecting = std::pin::pin!(open_stream(&**handler, channel, address));
    if let Some(connected) = within(timeout, connecting.as_mut()).await {
        return Ok(connected?);
    }
    match channel.local_fault.get() {
        // Routes differ by engine: an engine that stays without one counts as out of reach.
        None | Some(LocalFault::NetworkUnreachable) => {}
        Some(fault) => return Err(ChannelError::Local(fault)),
    }
    handler.on_connect_timeout(channel);
    match within(LATE_CONNECT_TIMEOUTS * timeout, connecting).await {
        Some(connected) => Ok(connected?),
        None => Err(ChannelError::ConnectTimeout),
    }
}

/// Connects. Retries after faults of this machine: they are no evidence about the engine.
async fn open_stream(
    handler: &impl ChannelHandler,
    channel: &Channel,
    address: SocketAddr,
) -> io::Result<Async<TcpStream>> {
    channel.wait_for_descriptor().await;
    let mut pause = RESOURCE_RETRY_DELAY;
    loop {
        match Async::<TcpStream>::connect(address).await {
            Err(error) if is_local_fault(&error) => {
                handler.on_local_connect_fault(channel, &error);
                channel.local_fault.set(Some(LocalFault::of(&error)));
                Timer::after(pause).await;
                pause = (2 * pause).min(MAX_LOCAL_RETRY_DELAY);
                channel.local_fault.set(None);
            }
            connected => return connected,
        }
    }
}

/// The output of `work`, or `None` if it takes longer than `limit`.
async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    let output = async { Some(work.await) };
    let timeout = async {
        Timer::after(limit).await;
        None
    };
    future::or(output, timeout).await
}
