//! The slots of the query table.

use crate::events::{QueryArrived, StatementTraits};
use crate::model::{GroupIndex, Lane, Query, QueryCost, QueryTable};
use crate::settings::Effect;

fn query(query_id: u64) -> Query {
    let event = QueryArrived {
        query_id,
        group: "",
        tenant: "",
        key: None,
        deadline_ms: 0.0,
        estimated_cost_ms: 0.0,
        memory_mb: 0.0,
        tables: 0,
        statement: StatementTraits::UNKNOWN,
    };
    let cost = QueryCost::without_estimate(1.0, 1.0, &event);
    Query::new(&event, GroupIndex(0), Lane::Fast, Effect::ReadOnly, cost)
}

#[test]
fn query_is_found_by_its_id_until_it_is_removed() {
    let mut queries = QueryTable::default();
    let first = queries.insert(query(7));
    let second = queries.insert(query(8));
    assert_eq!(queries.find(7), Some(first));
    assert_eq!(queries.remove(first).id, 7);
    assert_eq!(queries.find(7), None);
    assert_eq!(queries.find(8), Some(second));
    assert!(queries.get(first).is_none());
}

#[test]
fn slot_of_a_removed_query_is_reused() {
    let mut queries = QueryTable::default();
    let first = queries.insert(query(7));
    queries.remove(first);
    assert_eq!(queries.insert(query(8)), first);
}
