//! Silent connections: which of them are lost, and which others may be lost with them.

use super::connection::{CloseReason, IdleReuse};
use super::engine_entry::SuspectedReuse;
use super::engine_table::EngineTable;
use super::idle_reuse::ReuseTracker;
use super::settings::MIN_SILENCE_MS;
use crate::clock::Clock;
use std::rc::Rc;

/// A connection whose reuse was abandoned before any frame arrived counts as lost if its engine sends a frame on another
/// connection within this time (ms).
const SUSPICION_MS: f64 = 2000.0;

/// Which idle connections are suspected along with a silent one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SilenceScope {
    /// Those of the engine itself.
    Engine,
    /// Those of all engines of its zone.
    Zone,
}

/// Detects connections that are lost without a reset.
pub(super) struct SilenceDetector {
    engines: Rc<EngineTable>,
    reuses: Rc<ReuseTracker>,
    clock: Clock,
}

impl SilenceDetector {
    /// A detector for the connections in `engines`.
    pub fn new(engines: Rc<EngineTable>, reuses: Rc<ReuseTracker>, clock: Clock) -> Self {
        SilenceDetector {
            engines,
            reuses,
            clock,
        }
    }

    /// Handles a connection whose reuse after idling was abandoned before any frame arrived. It counts as lost if its engine
    /// sent a frame on another connection since the reuse, or sends one within [`SUSPICION_MS`]: the engine or a middlebox
    /// had dropped the connection.
    pub fn on_silent_reuse(&self, engine_id: u64, reuse: IdleReuse) {
        let since_ms = self.clock.now();
        let is_lost = self.engines.with_mut(engine_id, |engine| {
            let is_lost = engine.has_frame_since(reuse.sent_ms);
            if !is_lost {
                engine.suspect(SuspectedReuse { reuse, since_ms });
            }
            is_lost
        });
        if is_lost == Some(true) {
            self.reuses.record_silent_loss(engine_id, reuse);
        }
    }

    /// A frame arrived from an engine: a suspected reuse counts as lost.
    pub fn on_frame(&self, engine_id: u64, now_ms: f64) {
        let suspected = self
            .engines
            .with_mut(engine_id, |engine| engine.on_frame(now_ms));
        let Some(suspected) = suspected.flatten() else {
            return;
        };
        if now_ms - suspected.since_ms < SUSPICION_MS {
            self.reuses.record_silent_loss(engine_id, suspected.reuse);
        }
    }

    /// A connection to an engine came up, so the engine is reachable. Where connections were lost in silence before, one
    /// that was reused after idling and has been silent since counts as lost as well, and closes.
    pub fn on_reachable(&self, engine_id: u64) {
        if !self.reuses.has_silent_losses() {
            return;
        }
        let now_ms = self.clock.now();
        let channels = self
            .engines
            .with(engine_id, |engine| engine.channels().to_vec());
        for channel in channels.iter().flatten() {
            let mut connection = channel.connection.borrow_mut();
            if let Some(reuse) = connection.take_silent_reuse(now_ms, MIN_SILENCE_MS) {
                connection.close(CloseReason::ForgottenByEngine);
                channel.notify.notify();
                self.reuses.record_silent_loss(engine_id, reuse);
            }
        }
    }

    /// Handles an engine that accepts no new connections: connections that were reused after idling and have been
    /// silent since count as lost, and close.
    pub fn on_unreachable(&self, engine_id: u64) {
        self.retire_idle(engine_id, SilenceScope::Zone);
        self.engines.with(engine_id, |engine| {
            for channel in engine.channels() {
                let mut connection = channel.connection.borrow_mut();
                if connection.is_reused_in_silence() {
                    connection.close(CloseReason::EngineUnreachable);
                    channel.notify.notify();
                }
            }
        });
    }

    /// Retires idle connections that may be lost like a silent one of `engine_id`. The next attempts open new
    /// connections and so show whether the engines are reachable.
    pub fn retire_idle(&self, engine_id: u64, scope: SilenceScope) {
        let zone = self
            .engines
            .with(engine_id, |engine| engine.zone().to_owned());
        let Some(zone) = zone else {
            return;
        };
        self.engines.for_each(|engine| {
            let is_affected = match scope {
                SilenceScope::Engine => engine.engine_id() == engine_id,
                SilenceScope::Zone => engine.engine_id() == engine_id || engine.zone() == zone,
            };
            if !is_affected {
                return;
            }
            for channel in engine.channels() {
                if channel.is_idle() {
                    channel.retire();
                }
            }
        });
    }
}

#[cfg(test)]
mod tests;
