//! Start times of engines on the program's clock. The endpoint list has them in Unix time.

use crate::clock::WallClock;
use rustc_hash::FxHashMap;

/// Maximum delay (ms) from a change of the endpoint list to the first answer that shows it: 1.5 s by the protocol,
/// and 0.5 s for polling.
const MAX_ANNOUNCE_DELAY_MS: f64 = 2000.0;

/// The start time of an engine, as announced (`unix_ms`) and on the program's clock (`at_ms`).
#[derive(Debug, Clone, Copy)]
struct Start {
    unix_ms: f64,
    at_ms: f64,
}

/// The start times of engines. Each is translated when it is first announced, and does not change afterwards: a later
/// step of the wall clock would change the translation of the same timestamp.
#[derive(Debug, Default)]
pub struct EngineStarts {
    /// The wall clock. Without it, Unix times are used as times of the program's clock.
    wall_clock: Option<WallClock>,
    /// By engine number.
    starts: FxHashMap<u64, Start>,
    /// Time (ms) at which a list was last accepted or confirmed.
    last_confirmed_ms: f64,
}

impl EngineStarts {
    /// Sets the wall clock by which start times are translated from now on.
    pub fn set_wall_clock(&mut self, wall_clock: WallClock) {
        self.wall_clock = Some(wall_clock);
    }

    /// Records that a list was accepted or confirmed now. A start time that first appears in a later list is not
    /// earlier than this list by more than [`MAX_ANNOUNCE_DELAY_MS`], whatever this machine's wall clock shows.
    pub fn on_list_confirmed(&mut self) {
        if let Some(wall_clock) = &self.wall_clock {
            self.last_confirmed_ms = wall_clock.now_ms();
        }
    }

    /// Checks whether the wall clock was stepped.
    pub fn observe_wall_clock(&mut self) {
        if let Some(wall_clock) = &mut self.wall_clock {
            wall_clock.observe();
        }
    }

    /// Translates an engine's start time from Unix time (ms) to the program's clock.
    pub fn translate(&mut self, engine_id: u64, unix_ms: f64) -> f64 {
        let Some(wall_clock) = &mut self.wall_clock else {
            return unix_ms;
        };
        match self.starts.get(&engine_id) {
            Some(known) if known.unix_ms == unix_ms => known.at_ms,
            _ => {
                let earliest_ms = self.last_confirmed_ms - MAX_ANNOUNCE_DELAY_MS;
                let at_ms = wall_clock.translate_past(unix_ms).max(earliest_ms);
                self.starts.insert(engine_id, Start { unix_ms, at_ms });
                at_ms
            }
        }
    }

    /// Forgets the engines for which `is_kept` is false.
    pub fn retain(&mut self, is_kept: impl Fn(u64) -> bool) {
        self.starts.retain(|engine_id, _| is_kept(*engine_id));
    }
}
