//! A request for a connection to an engine.

use crate::ids::ConnectionId;

/// An attempt or health check that needs a connection.
pub(super) struct ChannelRequest<'a> {
    pub engine_id: u64,
    /// Id of the attempt's query, or tag of the health check.
    pub id: &'a str,
    /// Connections that have carried an earlier attempt of the query: a late reply to that one would be taken for a reply
    /// to this one.
    pub used_connections: &'a [ConnectionId],
    /// Whether a loss on the way does no harm, as the request has no side effect. Any other request is not sent on a
    /// connection that has idled for longer than [`MIN_IDLE_MS`](super::keep_alive::MIN_IDLE_MS): it may be lost, and it would be unknown whether the
    /// request ran.
    pub side_effect_free: bool,
}
