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

    /// The read buffer shared by all connections: idle ones hold no memory for reading.
    fn read_buffer(&self) -> &RefCell<Vec<u8>>;

    /// A connect failed for a reason on this machine; it is retried.
    fn on_local_connect_fault(&self, channel: &Channel, error: &io::Error);

    /// A connect timed out. It continues, and may succeed late.
    fn on_connect_timeout(self: &Rc<Self>, channel: &Rc<Channel>);

    /// A connection is up.
    fn on_connected(&self, channel: &Channel);

    /// The connection's writer is about to write: releases the next request that may begin, and abandons those that may not.
    /// Returns the attempt whose request was released.
    fn on_writable(&self, channel: &Channel) -> Option<AttemptKey>;

    /// The first byte of an attempt's request was written.
    fn on_attempt_begun(&self, channel: &Channel, key: &AttemptKey);

    /// Bytes were written.
    fn on_written(&self, channel: &Channel);

    /// A frame arrived.
    ///
    /// # Errors
    /// The frame violates the protocol: the connection closes.
    fn on_frame(&self, channel: &Channel, frame: &Frame) -> Result<(), ProtocolError>;

    /// A connection ended, with this error unless it was retired or the engine closed it.
    fn on_closed(&self, channel: &Rc<Channel>, error: Option<&ChannelError>);
}
