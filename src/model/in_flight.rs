//! Attempts and queries begin and end: what each of them changes in the records.

use crate::events::{AttemptEnded, NoteKind, ProgressNote};
use crate::model::{Attempt, Control, EngineIndex, GroupIndex, Lane, Query, QueryCost, QueryIndex};
use crate::zone_plan::Reservation;

/// The amount of a note of a wait that says that it is for a load.
const WAITS_FOR_LOAD: f64 = 2.0;

/// An attempt that has just ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClosedAttempt {
    pub(crate) query: QueryIndex,
    pub(crate) engine: EngineIndex,
    pub(crate) group: GroupIndex,
    pub(crate) lane: Lane,
    pub(crate) key: Option<u32>,
    pub(crate) cost: QueryCost,
    pub(crate) attempt: Attempt,
}

/// A note of progress that has just been recorded.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RecordedProgress {
    pub(crate) engine: EngineIndex,
    pub(crate) group: GroupIndex,
    pub(crate) cost: QueryCost,
    /// How long the whole takes by the notes (ms); 0 where they do not tell yet.
    pub(crate) run_time_ms: f64,
    /// They did not tell before.
    pub(crate) is_first: bool,
}

impl Control {
    /// Adds a query.
    pub(crate) fn insert_query(&mut self, query: Query, key: Option<u64>) -> QueryIndex {
        let query_id = query.id;
        let index = QueryIndex(self.queries.insert(query));
        self.interner.queries.insert(query_id, index.0);
        self.queries[index].key = key.map(|key| self.key_queues.join(key, index, self.now_ms));
        index
    }

    /// Removes a query, and returns the first that waits for its key.
    pub(crate) fn remove_query(&mut self, index: QueryIndex) -> Option<QueryIndex> {
        let query = self.queries.remove(index.0);
        self.interner.queries.remove(&query.id);
        let key = query.key?;
        self.key_queues.leave(key, index);
        self.key_queues.first(key)
    }

    /// Records an attempt that is about to go out.
    pub(crate) fn open_attempt(
        &mut self,
        query: QueryIndex,
        engine_index: EngineIndex,
        reservation: Reservation,
        is_warming_up: bool,
    ) -> Attempt {
        let query = &mut self.queries[query];
        let group = &self.groups[query.group];
        let engine = &mut self.engines[engine_index];
        if query.attempts.count() > 0 {
            self.retry_budget.record_retry(self.now_ms);
        }
        if is_warming_up {
            engine.warm_up.record(self.now_ms, group.usual_work_ms());
        }
        let memory_mb = query.cost.memory_mb * group.cost.memory_factor;
        let mut attempt = Attempt::new(engine_index, self.now_ms, query.cost.work_ms, memory_mb);
        attempt.reservation = reservation;
        attempt.is_trial = engine.health.begin_attempt(self.now_ms);
        let locks = group
            .settings
            .is_load
            .then_some((query.tables, query.deadline_ms));
        engine
            .load
            .add(&attempt, query.lane, group.threads(), locks);
        query.attempts.push(attempt);
        self.peer_load.is_changed |= query.lane == Lane::Low;
        attempt
    }

    /// Takes an ended attempt out of what is in flight; none where it is not in flight, or not known.
    pub(crate) fn close_attempt(&mut self, event: &AttemptEnded) -> Option<ClosedAttempt> {
        let index = self.find_query(event.query_id)?;
        let engine = self.find_engine(event.engine_id)?;
        let query = &mut self.queries[index];
        let attempt = query.attempts.in_flight_mut(event.attempt)?;
        attempt.in_flight = false;
        attempt.may_have_run = !event.outcome.never_ran();
        let attempt = *attempt;
        let group = &self.groups[query.group];
        let locked = group.settings.is_load.then_some(query.tables);
        self.engines[engine]
            .load
            .remove(&attempt, query.lane, group.threads(), locked);
        if query.is_migrating {
            query.is_migrating = false;
            self.retry_budget.finish_migration();
        }
        query.is_over |= event.answer_delivered;
        self.peer_load.is_changed |= query.lane == Lane::Low;
        Some(ClosedAttempt {
            query: index,
            engine,
            group: query.group,
            lane: query.lane,
            key: query.key,
            cost: query.cost,
            attempt,
        })
    }

    /// Whether a query is over or migrating, or there is none at this place.
    pub(crate) fn is_settled(&self, index: QueryIndex) -> bool {
        let query = self.queries.get(index.0);
        query.is_none_or(Query::is_settled)
    }

    /// Counts a query as migrating until its attempt has ended.
    pub(crate) fn begin_migration(&mut self, query: QueryIndex) {
        self.retry_budget.begin_migration();
        self.queries[query].is_migrating = true;
    }

    /// Records an engine's note. After one of a wait for a load its tables are assumed to be locked for `lock_ms`.
    pub(crate) fn record_note(
        &mut self,
        event: &ProgressNote,
        lock_ms: f64,
    ) -> Option<RecordedProgress> {
        let index = self.find_query(event.query_id)?;
        let query = &mut self.queries[index];
        let attempt = query.attempts.in_flight_mut(event.attempt)?;
        let engine = &mut self.engines[attempt.engine];
        let progress = &mut attempt.progress;
        progress.last_note_ms = self.now_ms;
        engine.health.record_signal(self.now_ms);
        if event.kind == NoteKind::Waiting {
            progress.is_waiting = true;
            if event.amount == WAITS_FOR_LOAD {
                let lock = (query.tables, self.now_ms + lock_ms);
                engine.load.locked_tables.push(lock);
            }
        }
        if event.kind != NoteKind::Progress {
            return None;
        }
        let is_first = progress.run_time_ms().is_none();
        progress.record(self.now_ms, event.amount.clamp(0.0, 1.0));
        Some(RecordedProgress {
            engine: attempt.engine,
            group: query.group,
            cost: query.cost,
            run_time_ms: progress.run_time_ms().unwrap_or(0.0),
            is_first,
        })
    }
}
