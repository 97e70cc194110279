//! Detection of connections that are lost without a reset: the engine or a middlebox has dropped them, and no frame
//! arrives on them any more. Other idle connections to the same engine or zone may be lost for the same reason.

use super::connection::{CloseReason, IdleReuse};
use super::engine_entry::SuspectedReuse;
use super::engine_table::EngineTable;
use super::idle_reuse::ReuseTracker;
use super::settings::MIN_SILENCE_MS;
use crate::clock::Clock;
use std::rc::Rc;

/// Time (ms) after the attempt on a reused connection was abandoned, within which a frame on another connection to the
/// engine shows that the reused connection was lost.
const SUSPICION_WINDOW_MS: f64 = 2000.0;

/// The idle connections that are retired along with a silent one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SilenceScope {
    /// Idle connections to the same engine.
    Engine,
    /// Idle connections to all engines of its zone.
    Zone,
}

/// Detects connections that are lost without a reset.
pub(super) struct SilenceDetector {
    engines: Rc<EngineTable>,
    reuse_tracker: Rc<ReuseTracker>,
    clock: Clock,
}

impl SilenceDetector {
    /// A detector for the connections in `engines` that reports losses to `reuse_tracker`.
    pub fn new(engines: Rc<EngineTable>, reuse_tracker: Rc<ReuseTracker>, clock: Clock) -> Self {
        SilenceDetector {
            engines,
            reuse_tracker,
            clock,
        }
    }

    /// Handles a connection that was reused after idling, and whose attempt was abandoned before any frame arrived.
    /// If its engine has sent a frame on another connection since the reuse, or sends one within
    /// [`SUSPICION_WINDOW_MS`], the connection counts as lost: the engine or a middlebox had dropped it.
    pub fn on_silent_reuse(&self, engine_id: u64, reuse: IdleReuse) {
        let abandoned_ms = self.clock.now();
        let is_lost = self.engines.with_mut(engine_id, |engine| {
            let is_lost = engine.has_frame_since(reuse.sent_ms);
            if !is_lost {
                engine.set_suspected_reuse(SuspectedReuse {
                    reuse,
                    abandoned_ms,
                });
            }
            is_lost
        });
        if is_lost == Some(true) {
            self.reuse_tracker.record_silent_loss(engine_id, reuse);
        }
    }

    /// Handles a frame from an engine. A suspected reuse that was abandoned less than [`SUSPICION_WINDOW_MS`] ago
    /// counts as lost.
    pub fn on_frame(&self, engine_id: u64, now_ms: f64) {
        let suspected = self
            .engines
            .with_mut(engine_id, |engine| engine.on_frame(now_ms));
        let Some(suspected) = suspected.flatten() else {
            return;
        };
        if now_ms - suspected.abandoned_ms < SUSPICION_WINDOW_MS {
            self.reuse_tracker
                .record_silent_loss(engine_id, suspected.reuse);
        }
    }

    /// Handles a new connection to an engine, which shows that the engine is reachable. If connections were lost
    /// silently before, other connections to the engine that have been silent since their reuse after idling, for
    /// longer than [`MIN_SILENCE_MS`], count as lost and are closed.
    pub fn on_reachable(&self, engine_id: u64) {
        if !self.reuse_tracker.has_silent_losses() {
            return;
        }
        let now_ms = self.clock.now();
        let channels = self
            .engines
            .with(engine_id, |engine| engine.channels().to_vec());
        for channel in channels.iter().flatten() {
            let mut connection = channel.connection.borrow_mut();
            if let Some(reuse) = connection.take_silent_reuse(now_ms, MIN_SILENCE_MS) {
                connection.close(CloseReason::SilentAfterReuse);
                channel.notify.notify();
                self.reuse_tracker.record_silent_loss(engine_id, reuse);
            }
        }
    }

    /// Handles an engine that accepts no new connections. Closes the connections to it that have been silent since
    /// their reuse after idling, and retires the idle connections to all engines of its zone.
    pub fn on_unreachable(&self, engine_id: u64) {
        self.retire_idle(engine_id, SilenceScope::Zone);
        self.engines.with(engine_id, |engine| {
            for channel in engine.channels() {
                let mut connection = channel.connection.borrow_mut();
                if connection.is_silent_since_reuse() {
                    connection.close(CloseReason::EngineUnreachable);
                    channel.notify.notify();
                }
            }
        });
    }

    /// Retires the idle connections that may be lost like a silent connection to `engine_id`. The next attempts open
    /// new connections, which shows whether the engines are reachable.
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
