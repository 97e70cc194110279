//! Connects to an engine. A connect that exceeds its timeout is reported and continues; one that fails for a reason on
//! this machine is retried.

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

/// Multiple of the connect timeout for which a connect that timed out continues. If it succeeds, new attempts may use
/// the connection.
const LATE_CONNECT_TIMEOUT_MULTIPLE: u32 = 7;
/// Maximum delay before the retry of a connect that failed for a reason on this machine.
const MAX_LOCAL_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Connects, and reports a connect timeout to the handler.
///
/// # Errors
/// The engine refused the connection, the connection did not come up in time, or a fault of this machine kept it from
/// being opened.
pub(super) async fn connect<H: ChannelHandler>(
    handler: &Rc<H>,
    channel: &Rc<Channel>,
    address: SocketAddr,
) -> Result<Async<TcpStream>, ChannelError> {
    let timeout = handler.connect_timeout();
    let mut connecting = std::pin::pin!(open_stream(&**handler, channel, address));
    if let Some(connected) = with_timeout(timeout, connecting.as_mut()).await {
        return Ok(connected?);
    }
    match channel.local_fault.get() {
        // Routes differ by engine, so an engine without a route counts as unreachable.
        None | Some(LocalFault::NetworkUnreachable) => {}
        Some(fault) => return Err(ChannelError::Local(fault)),
    }
    handler.on_connect_timeout(channel);
    match with_timeout(LATE_CONNECT_TIMEOUT_MULTIPLE * timeout, connecting).await {
        Some(connected) => Ok(connected?),
        None => Err(ChannelError::ConnectTimeout),
    }
}

/// Connects. Retries after faults of this machine, which are no evidence about the engine.
async fn open_stream(
    handler: &impl ChannelHandler,
    channel: &Channel,
    address: SocketAddr,
) -> io::Result<Async<TcpStream>> {
    channel.wait_for_descriptor().await;
    let mut retry_delay = RESOURCE_RETRY_DELAY;
    loop {
        match Async::<TcpStream>::connect(address).await {
            Err(error) if is_local_fault(&error) => {
                handler.on_local_connect_fault(channel, &error);
                channel.local_fault.set(Some(LocalFault::of(&error)));
                Timer::after(retry_delay).await;
                retry_delay = (2 * retry_delay).min(MAX_LOCAL_RETRY_DELAY);
                channel.local_fault.set(None);
            }
            connected => return connected,
        }
    }
}

/// The output of `operation`, or `None` if it takes longer than `limit`.
async fn with_timeout<T>(limit: Duration, operation: impl Future<Output = T>) -> Option<T> {
    let output = async { Some(operation.await) };
    let timeout = async {
        Timer::after(limit).await;
        None
    };
    future::or(output, timeout).await
}
