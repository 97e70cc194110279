//! When the engines started, on the program's clock. The list tells it in Unix time.

use crate::clock::WallClock;
use rustc_hash::FxHashMap;

/// A change is in the name service's answers this long (ms) after it happened (protocol: 1.5 s, and half a second to ask).
const ANNOUNCED_WITHIN_MS: f64 = 2000.0;

/// A start as it was told, and when that was.
#[derive(Debug, Clone, Copy)]
struct Start {
    unix_ms: f64,
    at_ms: f64,
}

/// The starts of engines. Each is translated when it is first told, and stays as it is: a later step of the wall clock
/// would give the same stamp another meaning.
#[derive(Debug, Default)]
pub struct EngineStarts {
    /// None: Unix times count as times of the program's clock.
    wall_clock: Option<WallClock>,
    starts: FxHashMap<u64, Start>,
    /// When a list last came (ms).
    last_list_ms: f64,
}

impl EngineStarts {
    /// Starts are translated from now on.
    pub fn set_wall_clock(&mut self, wall_clock: WallClock) {
        self.wall_clock = Some(wall_clock);
    }

    /// A list was accepted, or confirmed. An engine that a later one has and this one has not, or with another start, has
    /// started since, but for the time that it takes to announce it: whatever this machine's wall clock says.
    pub fn on_list(&mut self) {
        if let Some(wall_clock) = &self.wall_clock {
            self.last_list_ms = wall_clock.now_ms();
        }
    }

    /// Looks whether the wall clock was stepped.
    pub fn observe_wall_clock(&mut self) {
        if let Some(wall_clock) = &mut self.wall_clock {
            wall_clock.observe();
        }
    }

    /// When an engine started (ms), by the Unix time that the list tells.
    pub fn translate(&mut self, engine_id: u64, unix_ms: f64) -> f64 {
        let Some(wall_clock) = &mut self.wall_clock else {
            return unix_ms;
        };
        match self.starts.get(&engine_id) {
            Some(known) if known.unix_ms == unix_ms => known.at_ms,
            _ => {
                let earliest_ms = self.last_list_ms - ANNOUNCED_WITHIN_MS;
                let at_ms = wall_clock.translate_past(unix_ms).max(earliest_ms);
                self.starts.insert(engine_id, Start { unix_ms, at_ms });
                at_ms
            }
        }
    }

    /// Forgets all engines but these.
    pub fn retain(&mut self, is_kept: impl Fn(u64) -> bool) {
        self.starts.retain(|engine_id, _| is_kept(*engine_id));
    }
}
