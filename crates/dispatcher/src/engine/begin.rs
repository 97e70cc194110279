//! Obtains the guard's permit for a request before its first byte is written. Every attempt passes [`RequestGate`].

use super::abandon::Abandoner;
use super::channel::Channel;
use super::engine_table::EngineTable;
use crate::clock::Clock;
use crate::query_registry::{AttemptBegin, AttemptKey, QueryRegistry};
use std::rc::Rc;

/// Obtains the guard's permit for each request before it is written.
pub(super) struct RequestGate {
    registry: Rc<QueryRegistry>,
    clock: Clock,
    engines: Rc<EngineTable>,
    abandoner: Rc<Abandoner>,
}

impl RequestGate {
    /// Creates a gate for the connections in `engines`.
    pub fn new(
        registry: Rc<QueryRegistry>,
        clock: Clock,
        engines: Rc<EngineTable>,
        abandoner: Rc<Abandoner>,
    ) -> Self {
        RequestGate {
            registry,
            clock,
            engines,
            abandoner,
        }
    }

    /// Releases the connection's next request that the guard permits, and withdraws the requests that it refuses. Only
    /// one request is released per write, because the next request needs its own permit after the socket has accepted
    /// the bytes before it. Returns the attempt whose request was released, if any.
    pub fn begin_next(&self, channel: &Channel) -> Option<AttemptKey> {
        loop {
            let now_ms = self.clock.now();
            let mut connection = channel.connection.borrow_mut();
            let (id, attempt) = connection.next_to_begin()?;
            let key = AttemptKey {
                query_id: attempt.query_id,
                attempt: attempt.number,
                engine_id: channel.engine_id,
            };
            let begin = AttemptBegin {
                connection: channel.id,
                deadline_ms: attempt.deadline_ms,
                start_by_ms: attempt.start_by_ms,
            };
            let permit = self.engines.with_facts(channel, |endpoint| {
                self.registry.may_begin(&key, &begin, endpoint, now_ms)
            });
            match permit {
                Ok(permit) => {
                    connection.begin(&id, &permit);
                    return Some(key);
                }
                Err(refusal) => {
                    drop(connection);
                    self.registry.on_begin_refused(&key, refusal);
                    self.abandoner.abandon(channel, &id, refusal.outcome());
                }
            }
        }
    }
}
