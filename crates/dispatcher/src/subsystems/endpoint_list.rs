//! Keeps a subsystem's copy of the endpoint list up to date.

use crate::query_registry::EndpointEntry;
use tansymux::events::EndpointState;

/// Applies an endpoint list update to `list`, which stays sorted by engine id. An entry replaces the item with the same
/// engine id; an entry in state `Gone` removes it. `engine_id` returns an item's engine id, and `convert` builds an
/// item from an entry.
pub(super) fn merge_endpoints<Item>(
    list: &mut Vec<Item>,
    entries: &[EndpointEntry],
    engine_id: impl Fn(&Item) -> u64,
    convert: impl Fn(&EndpointEntry) -> Item,
) {
    for entry in entries {
        list.retain(|item| engine_id(item) != entry.engine_id);
        if entry.state != EndpointState::Gone {
            list.push(convert(entry));
        }
    }
    list.sort_by_key(engine_id);
}
