//! A request for a connection to an engine.

use crate::ids::ConnectionId;

/// An attempt or health check that needs a connection.
pub(super) struct ChannelRequest<'a> {
    pub engine_id: u64,
    /// Id of the attempt's query, or tag of the health check.
    pub id: &'a str,
    /// Connections that have carried an earlier attempt of the query. They are not selected again, because a late
    /// reply to the earlier attempt would be taken for a reply to this one.
    pub used_connections: &'a [ConnectionId],
    /// Whether the request has no side effect, so that it can be sent again after a loss. For any other request, a new
    /// connection is preferred to one that has idled for
    /// [`MIN_TRUSTED_IDLE_MS`](super::keep_alive::MIN_TRUSTED_IDLE_MS) or longer: that connection may be lost, and it
    /// would be unknown whether the request ran.
    pub side_effect_free: bool,
}
