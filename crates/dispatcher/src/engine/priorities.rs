//! What an attempt is granted at its engine: resource group, time limit, memory and priority.

use super::commands::Located;
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

/// The fields of a request. The engine chooses values for those left out.
pub(super) fn request_fields(query: &Query, time_left_ms: f64) -> String {
    let limit_ms = time_left_ms.floor().max(1.0) as u64;
    let mut fields = format!(
        "cls={},limit={limit_ms}{}",
        query.resource_group, query.key_fields
    );
    if let Some(grant) = query.grant {
        if grant.memory_mb > 0.0 {
            fields += &format!(",mb={:.3}", grant.memory_mb);
        }
        fields += &format!(",nice={}", grant.priority);
    }
    fields
}
