//! The interface between a connection's task, which does its I/O, and the pool that the connection belongs to.

use super::error::ChannelError;
use super::Channel;
use crate::clock::Clock;
use crate::engine::protocol_error::ProtocolError;
use crate::engine::resp::Frame;
use crate::query_registry::AttemptKey;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Handles the events of connections.
pub trait ChannelHandler {
    /// The program's clock.
    fn clock(&self) -> Clock;

    /// The connect timeout.
    fn connect_timeout(&self) -> Duration;

    /// The read buffer shared by all connections, so that idle connections hold no memory for reading.
    fn read_buffer(&self) -> &RefCell<Vec<u8>>;

    /// Called when a connect failed for a reason on this machine, before it is retried.
    fn on_local_connect_fault(&self, channel: &Channel, error: &io::Error);

    /// Called when a connect timed out. The connect continues and may still succeed.
    fn on_connect_timeout(self: &Rc<Self>, channel: &Rc<Channel>);

    /// Called when a connection is up.
    fn on_connected(&self, channel: &Channel);

    /// Called before each write: releases the next request that may begin, and abandons those that may not. Returns the
    /// attempt whose request was released.
    fn on_writable(&self, channel: &Channel) -> Option<AttemptKey>;

    /// Called when the first byte of an attempt's request was written.
    fn on_attempt_begun(&self, channel: &Channel, key: &AttemptKey);

    /// Called after each write.
    fn on_written(&self, channel: &Channel);

    /// Called for each frame that arrives.
    ///
    /// # Errors
    /// The frame violates the protocol. The connection is then closed.
    fn on_frame(&self, channel: &Channel, frame: &Frame) -> Result<(), ProtocolError>;

    /// Called when a connection has closed. `error` is `None` if it was retired or the engine closed it.
    fn on_closed(&self, channel: &Rc<Channel>, error: Option<&ChannelError>);
}
