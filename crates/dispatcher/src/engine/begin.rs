//! Begins: the guard's permit for the first byte of a request.

use super::channel::Channel;
use super::pool::EnginePool;
use crate::guard::{BeginPermit, BeginRefusal};
use crate::query_registry::AttemptKey;
use tansymux::events::Outcome;

impl EnginePool {
    /// Asks the guard whether the next request may begin to go out, and takes back those that may not. One at a time goes
    /// into a write: the next one waits for its own permit, and for the socket to be rid of the bytes before it.
    pub(super) fn begin_next(&self, channel: &Channel) -> Option<AttemptKey> {
        loop {
            let now_ms = self.clock.now();
            let mut connection = channel.connection.borrow_mut();
            let (id, attempt) = connection.next_to_begin()?;
            let key = AttemptKey {
                query_id: attempt.query_id,
                attempt: attempt.number,
                engine_id: channel.engine_id,
            };
            let limits = (attempt.deadline_ms, attempt.start_by_ms);
            let permit = self.ask_guard(channel, &key, limits, now_ms);
            match permit {
                Ok(permit) => {
                    connection.begin(&id, &permit);
                    return Some(key);
                }
                Err(refusal) => {
                    drop(connection);
                    self.registry.on_begin_refused(&key, refusal);
                    self.abandon(channel, &id, Outcome::Withdrawn);
                }
            }
        }
    }

    fn ask_guard(
        &self,
        channel: &Channel,
        key: &AttemptKey,
        (deadline_ms, start_by_ms): (f64, f64),
        now_ms: f64,
    ) -> Result<BeginPermit, BeginRefusal> {
        let engines = self.engines.borrow();
        let engine = engines.get(&channel.engine_id);
        let endpoint = engine.map(|engine| engine.facts(channel));
        self.registry
            .may_begin(key, deadline_ms, start_by_ms, endpoint, now_ms)
    }
}
