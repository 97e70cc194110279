//! Admission: the lane, cost and quota of a query that arrives, and whether it can meet its deadline at all.
//!
//! Uses the retry budget, the tenants' quotas, the low lane's mean work, the key queues and the resource groups.

use crate::control::Control;
use crate::events::{DecisionSink, EndReason, QueryArrived, UnknownResourceGroup};
use crate::model::{GroupIndex, Lane, Query, QueryIndex};

/// Fraction of its group's usual timeout below which a client's timeout counts as short.
const SHORT_TIMEOUT_FRACTION: f64 = 0.5;

impl Control {
    /// A query arrived: it is placed, waits for its key's turn, or ends at once.
    ///
    /// # Errors
    /// The settings have no such resource group. Nothing is decided then.
    pub fn on_query_arrived(
        &mut self,
        event: &QueryArrived,
        out: &mut dyn DecisionSink,
    ) -> Result<(), UnknownResourceGroup> {
        let group = GroupIndex(self.interner.groups.index(event.group) as usize);
        if group.0 >= self.groups.len() {
            return Err(UnknownResourceGroup::new(event.group));
        }
        self.retry_budget.record_arrival(self.now_ms);
        let query = self.admit(group, event);
        let is_unattainable = self.is_unattainable(query);
        if self.is_first_of_key(query) && !is_unattainable {
            self.place(query, out);
        } else if is_unattainable
            || self.now_ms + self.expected_run_time_ms(query) > event.deadline_ms
        {
            self.finish(query, EndReason::NotInTime, out);
        }
        Ok(())
    }

    fn admit(&mut self, group: GroupIndex, event: &QueryArrived) -> QueryIndex {
        let demotion_factor = self.level.demotion_factor;
        let (lane, cost) = self.groups[group].classify(event, demotion_factor);
        let effect = self.groups[group].effect_of(event.statement);
        if lane == Lane::Low {
            self.low_lane
                .record_work(cost.work_ms / self.groups[group].threads());
        }
        let mut query = Query::new(event, group, lane, effect, cost);
        let tenant = self.interner.tenants.index(event.tenant);
        query.is_over_quota = self.tenant_quotas.record_query(tenant, self.now_ms);
        let index = self.queries.insert(query);
        if self.groups[group].settings.is_ordered_by_key {
            let join = |key| self.key_queues.join(key, index, self.now_ms);
            self.queries[index].key = event.key.map(join);
        }
        index
    }

    /// Whether a query cannot meet its deadline, so that running it would only delay others.
    ///
    /// Uses the best run time of its group; for a client with a short timeout the recent median instead, as most such
    /// queries would end late.
    fn is_unattainable(&self, query: QueryIndex) -> bool {
        let cost = self.queries[query].cost;
        let group = self.group_of(&self.queries[query]);
        let time_left_ms = self.time_left_ms(query);
        let is_short = time_left_ms < SHORT_TIMEOUT_FRACTION * group.settings.usual_timeout_ms;
        let run_time_ms = if is_short {
            group.expected_run_time_ms(cost)
        } else {
            group.best_run_time_ms(cost)
        };
        run_time_ms > time_left_ms
    }
}
