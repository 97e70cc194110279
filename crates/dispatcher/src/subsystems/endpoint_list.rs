//! A subsystem's own copy of the endpoint list.

use crate::query_registry::EndpointEntry;
use tansymux::events::EndpointState;

/// Merges entries of an update into a list that is sorted by engine id: replaces known engines, and removes engines that
/// are gone. `engine_id` returns the id of an item, `convert` the item for an entry.
pub(super) fn merge_endpoints<Item>(
    list: &mut Vec<Item>,
    entries: &[EndpointEntry],
    engine_id: impl Fn(&Item) -> u64,
    convert: impl Fn(&EndpointEntry) -> Item,
) {
    for entry in entries {
        list.retain(|known| engine_id(known) != entry.engine_id);
        if entry.state != EndpointState::Gone {
            list.push(convert(entry));
        }
    }
    list.sort_by_key(engine_id);
}
