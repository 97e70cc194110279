//! Admission: the lane, cost and quota of a query that comes in, and whether it can complete in time at all.

use crate::events::{DecisionSink, EndReason, QueryArrived, UnknownResourceGroup};
use crate::model::{Control, GroupIndex, Lane, Query, QueryCost, QueryIndex, LEARNING};

const DEMOTION_FACTOR: f64 = 4.0; // Times its group's mean; a costlier query goes to the low lane.
const SHORT_WAIT_FRACTION: f64 = 0.5; // Of its group's usual time; a client that gives less gives little.
const QUOTA_SPAN_MS: f64 = 2000.0; // Tenants' rates are taken over this time.
const QUOTA_SLACK: f64 = 1.35; // A tenant is over its quota when above its even one by this factor.

impl Control {
    /// A query came in: it is placed, waits for its key's turn, or ends at once.
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
        let is_hopeless = self.is_hopeless(query);
        if self.is_first_of_key(query) && !is_hopeless {
            self.place(query, out);
        } else if is_hopeless || self.expected_end_ms(query) > event.deadline_ms {
            self.finish(query, EndReason::NotInTime, out);
        }
        Ok(())
    }

    fn admit(&mut self, group: GroupIndex, event: &QueryArrived) -> QueryIndex {
        let (lane, cost) = self.weigh(group, event);
        let effect = self.groups[group].effect_of(event.statement);
        if lane == Lane::Low {
            let work_per_thread_ms = cost.work_ms / self.groups[group].threads();
            self.low_lane.record_work(work_per_thread_ms);
        }
        let mut query = Query::new(event, group, lane, effect, cost);
        query.is_over_quota = self.is_over_quota(event.tenant);
        let is_ordered = self.groups[group].settings.is_ordered_by_key;
        self.insert_query(query, event.key.filter(|_| is_ordered))
    }

    /// The lane and cost of a query. It is demoted once, here; the mean does not follow what it tells apart.
    /// Without an estimate a query weighs its group's threads and takes its group's usual time.
    fn weigh(&mut self, group: GroupIndex, event: &QueryArrived) -> (Lane, QueryCost) {
        let group = &mut self.groups[group];
        if event.estimated_cost_ms <= 0.0 {
            let cost = QueryCost::guessed(group.usual_cost_ms(), group.threads(), event);
            return (group.lane(), cost);
        }
        let mut max_cost_ms = f64::INFINITY;
        if group.cost.samples >= LEARNING.min_samples {
            max_cost_ms = DEMOTION_FACTOR * self.level.demotion_factor * group.cost.mean_ms;
        }
        let estimate_ms = group.cost.weigh_estimate(event);
        let learned_ms = estimate_ms.min(max_cost_ms);
        group.cost.learn_cost(learned_ms, LEARNING.mean);
        let is_demoted = estimate_ms > max_cost_ms;
        let lane = if is_demoted { Lane::Low } else { group.lane() };
        let work_ms = estimate_ms * group.cost.work_factor;
        (lane, QueryCost::estimated(estimate_ms, work_ms, event))
    }

    /// Over its quota, and above all others' use of theirs: when all send more, nobody is singled out.
    fn is_over_quota(&mut self, tenant: &str) -> bool {
        let tenant = self.interner.tenants.index(tenant);
        let quota_use = self.tenants.count(tenant, self.now_ms, QUOTA_SPAN_MS);
        quota_use.own > QUOTA_SLACK * quota_use.all.max(1.0)
    }

    /// No time for a run even at its best, or, for a client that gives little, for one as answers come of
    /// late: it would end late more often than not, and keep others from completing in time.
    fn is_hopeless(&self, query: QueryIndex) -> bool {
        let group = self.group_of(query);
        let time_left_ms = self.time_left_ms(query);
        let mut slowdown = group.slowdown.best;
        if time_left_ms < SHORT_WAIT_FRACTION * group.settings.usual_wait_ms {
            slowdown = group.slowdown.usual;
        }
        group.ideal_run_time_ms(self.queries[query].cost) * slowdown.exp() > time_left_ms
    }
}
