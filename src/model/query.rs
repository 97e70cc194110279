//! A query in flight.

use crate::events::QueryArrived;
use crate::model::{Attempt, EngineIndex, GroupIndex};
use crate::settings::{Effect, MAX_ATTEMPTS};

/// The lane in which a query runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Lane {
    /// The lane of short queries, which are never rejected because engines are busy.
    Fast,
    /// The lane of loads, parallel queries and demoted queries, which is subject to the concurrency limits.
    Low,
}

/// A query in flight.
#[derive(Debug, Clone)]
pub(crate) struct Query {
    pub(crate) id: u64,
    pub(crate) group: GroupIndex,
    pub(crate) lane: Lane,
    /// The effect of the query's statement, which may be stricter than the effect of its group.
    pub(crate) effect: Effect,
    /// The client's deadline (ms).
    pub(crate) deadline_ms: f64,
    /// Slot of the key's queue, if the query has an ordering key.
    pub(crate) key: Option<u32>,
    /// The set of tables that the query uses, as a number.
    pub(crate) tables: u32,
    /// The tenant was over its quota when the query arrived.
    pub(crate) is_over_quota: bool,
    pub(crate) cost: QueryCost,
    /// The query has its final answer, or its client disconnected.
    pub(crate) is_over: bool,
    /// The attempt in flight was cancelled in order to run the query elsewhere.
    pub(crate) is_migrating: bool,
    pub(crate) attempts: Attempts,
}

/// The resources that a query is expected to need.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QueryCost {
    /// The estimate (thread time, ms), or the group's usual cost if the query has no estimate.
    pub(crate) estimate_ms: f64,
    /// The query arrived without an estimate.
    pub(crate) has_no_estimate: bool,
    /// Work that placement assumes (ms): the estimate corrected by reported usage; without an estimate, a nominal 1 ms
    /// for each thread.
    pub(crate) work_ms: f64,
    /// Estimated memory (MB).
    pub(crate) memory_mb: f64,
    /// Confidence in the estimate, from 0 to 1.
    pub(crate) confidence: f64,
}

impl QueryCost {
    /// The cost of a query whose estimate has already been discounted by its confidence.
    pub(crate) fn estimated(estimate_ms: f64, work_ms: f64, event: &QueryArrived) -> Self {
        QueryCost {
            estimate_ms,
            has_no_estimate: false,
            work_ms,
            memory_mb: event.memory_mb,
            confidence: event.statement.confidence,
        }
    }

    /// The cost of a query without an estimate.
    pub(crate) fn without_estimate(usual_cost_ms: f64, threads: f64, event: &QueryArrived) -> Self {
        QueryCost {
            has_no_estimate: true,
            ..QueryCost::estimated(usual_cost_ms, threads, event)
        }
    }
}

impl Query {
    /// A query that has just arrived, without an ordering key.
    pub(crate) fn new(
        event: &QueryArrived,
        group: GroupIndex,
        lane: Lane,
        effect: Effect,
        cost: QueryCost,
    ) -> Self {
        Query {
            id: event.query_id,
            group,
            lane,
            effect,
            deadline_ms: event.deadline_ms,
            key: None,
            tables: event.tables,
            is_over_quota: false,
            cost,
            is_over: false,
            is_migrating: false,
            attempts: Attempts::default(),
        }
    }

    /// Whether the query can be removed: it is over and has no attempt in flight.
    pub(crate) fn is_done(&self) -> bool {
        self.is_over && self.in_flight().is_none()
    }

    /// Whether the query needs no periodic check, because it is over or migrating.
    pub(crate) fn is_over_or_migrating(&self) -> bool {
        self.is_over || self.is_migrating
    }

    /// Whether any attempt of the query was sent to an engine.
    pub(crate) fn has_tried(&self, engine: EngineIndex) -> bool {
        self.attempts
            .all()
            .iter()
            .any(|attempt| attempt.engine == engine)
    }

    /// The index of the attempt in flight, if there is one.
    pub(crate) fn in_flight(&self) -> Option<usize> {
        self.attempts
            .all()
            .iter()
            .position(|attempt| attempt.in_flight)
    }

    /// The attempt in flight, if there is one.
    pub(crate) fn attempt_in_flight(&self) -> Option<&Attempt> {
        self.attempts.all().iter().find(|attempt| attempt.in_flight)
    }

    /// The first attempt that may have run.
    pub(crate) fn first_attempt_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts
            .all()
            .iter()
            .find(|attempt| attempt.may_have_run)
    }

    /// Whether the query has no side effects, so that running it twice is harmless.
    pub(crate) fn is_read_only(&self) -> bool {
        self.effect == Effect::ReadOnly
    }
}

/// A query's attempts, at most [`MAX_ATTEMPTS`].
#[derive(Debug, Clone, Default)]
pub(crate) struct Attempts {
    count: usize,
    slots: [Attempt; MAX_ATTEMPTS],
}

impl Attempts {
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    pub(crate) fn all(&self) -> &[Attempt] {
        &self.slots[..self.count]
    }

    /// # Panics
    /// If there are [`MAX_ATTEMPTS`] already. The settings allow no more than that.
    pub(crate) fn push(&mut self, attempt: Attempt) {
        self.slots[self.count] = attempt;
        self.count += 1;
    }

    /// The attempt with this index, if it is in flight.
    pub(crate) fn in_flight_mut(&mut self, index: usize) -> Option<&mut Attempt> {
        self.slots
            .get_mut(index)
            .filter(|attempt| attempt.in_flight)
    }

    /// Marks an attempt as cancelled. Returns false if it was already marked.
    pub(crate) fn set_cancelled(&mut self, index: usize) -> bool {
        !std::mem::replace(&mut self.slots[index].cancelled, true)
    }
}
