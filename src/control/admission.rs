//! Admission: determines the lane, cost and quota of an arriving query, and rejects it if it cannot meet its deadline.
//!
//! Uses the retry budget, the tenants' quotas, the low lane's mean work, the key queues, the resource groups and the
//! service level.

use crate::control::Control;
use crate::events::{DecisionSink, EndReason, QueryArrived, UnknownResourceGroup};
use crate::model::{GroupIndex, Lane, Query, QueryIndex};

/// Fraction of the group's usual timeout below which a client's timeout counts as short.
const SHORT_TIMEOUT_FRACTION: f64 = 0.5;

impl Control {
    /// Handles the arrival of a query: places it, queues it behind earlier queries of its ordering key, or rejects it.
    ///
    /// # Errors
    /// Returns an error, and decides nothing, if the settings do not have the query's resource group.
    pub fn on_query_arrived(
        &mut self,
        event: &QueryArrived,
        out: &mut dyn DecisionSink,
    ) -> Result<(), UnknownResourceGroup> {
        let Some(group) = self.interner.groups.find(event.group) else {
            return Err(UnknownResourceGroup::new(event.group));
        };
        let group = GroupIndex(group as usize);
        self.retry_budget.record_arrival(self.now_ms);
        let query = self.admit(group, event);
        let is_unattainable = self.is_unattainable(query);
        if self.is_first_of_key(query) && !is_unattainable {
            self.place(query, out);
        } else if is_unattainable
            || self.now_ms + self.expected_run_time_ms(query) > event.deadline_ms
        {
            self.reject_or_fail(query, EndReason::NotInTime, out);
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
        let tenant = self.interner.tenants.find(event.tenant);
        query.is_over_quota = self.tenant_quotas.record_query(tenant, self.now_ms);
        let index = self.queries.insert(query);
        if self.groups[group].settings.is_ordered_by_key {
            let enqueue = |key| self.key_queues.push(key, index, self.now_ms);
            self.queries[index].key = event.key.map(enqueue);
        }
        index
    }

    /// Returns whether a query cannot meet its deadline, so that running it would only delay others.
    ///
    /// Compares the time left with the best run time of the query's group. For a client with a short timeout, compares
    /// it with the recent median run time instead: at the best run time most such queries would complete too late.
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
