//! What an attempt is granted at its engine: resource group, time limit, memory and priority.

use super::commands::Located;
use super::connection::RequestFields;
use super::pool::EnginePool;
use crate::query_registry::Query;

impl EnginePool {
    /// Sends the engine a new priority for an attempt in flight.
    pub(super) fn set_priority(&self, query_id: u64, priority: u8) {
        if let Some(Located { channel, id }) = self.locate(query_id) {
            channel.connection.borrow_mut().set_priority(&id, priority);
            channel.notify.notify();
        }
    }
}

/// The fields of a request but for its time limit. The engine chooses values for those left out.
pub(super) fn request_fields(query: &Query) -> RequestFields {
    let mut after_limit = query.key_fields.to_string();
    if let Some(grant) = query.grant {
        if grant.memory_mb > 0.0 {
            after_limit += &format!(",mb={:.3}", grant.memory_mb);
        }
        after_limit += &format!(",nice={}", grant.priority);
    }
    RequestFields {
        before_limit: format!("cls={}", query.resource_group),
        after_limit,
    }
}
