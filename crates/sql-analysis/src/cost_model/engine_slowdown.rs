//! The slowdown of each engine over all shapes. It distinguishes a slow engine from a shape that became more expensive,
//! and is updated only by shapes whose cost is known with high confidence.

/// Smoothing factor of a slowdown.
const STEP: f64 = 0.15;
/// Maximum distance of a sample from the slowdown (log ratio). Larger distances are clamped.
const MAX_SAMPLE_DISTANCE: f64 = 0.7;
/// Maximum absolute value of a slowdown (log ratio).
const MAX_SLOWDOWN: f64 = 3.0;
/// Time (ms) in which a slowdown without samples decays to 1/e. Also the maximum age of a recent sample.
const DECAY_MS: f64 = 15_000.0;
/// Maximum number of engines. Above it, the engine with the oldest last sample is removed.
pub(super) const MAX_ENGINES: usize = 1024;

/// The smoothed log ratio of an engine's run times to the shapes' costs.
#[derive(Debug, Clone, Copy)]
struct Slowdown {
    engine_id: u64,
    level: f64,
    updated_at_ms: f64,
}

impl Slowdown {
    fn level_at(&self, now_ms: f64) -> f64 {
        self.level * (-(now_ms - self.updated_at_ms).max(0.0) / DECAY_MS).exp()
    }
}

/// The slowdowns of all engines that have samples.
#[derive(Debug, Default)]
pub(super) struct EngineSlowdowns {
    /// Sorted by engine id.
    slowdowns: Vec<Slowdown>,
    /// Reused buffer for the calculation of the median.
    recent_levels: Vec<f64>,
}

impl EngineSlowdowns {
    /// Number of engines.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.slowdowns.len()
    }

    fn find(&self, engine_id: u64) -> Result<usize, usize> {
        self.slowdowns
            .binary_search_by_key(&engine_id, |slowdown| slowdown.engine_id)
    }

    /// The slowdown (log ratio) of an engine, relative to the lower median of the engines with recent samples: if all
    /// engines became slower together, or if there is only one, no engine counts as slow. 0 if the engine is unknown or
    /// no engine has a recent sample.
    pub fn relative_slowdown(&mut self, engine_id: u64, now_ms: f64) -> f64 {
        let Ok(index) = self.find(engine_id) else {
            return 0.0;
        };
        self.recent_levels.clear();
        for slowdown in &self.slowdowns {
            if now_ms - slowdown.updated_at_ms < DECAY_MS {
                self.recent_levels.push(slowdown.level_at(now_ms));
            }
        }
        if self.recent_levels.is_empty() {
            return 0.0;
        }
        let lower_middle = (self.recent_levels.len() - 1) / 2;
        let (_, median, _) = self
            .recent_levels
            .select_nth_unstable_by(lower_middle, f64::total_cmp);
        self.slowdowns[index].level_at(now_ms) - *median
    }

    /// Adds a sample: the log ratio of a run time to the shape's cost.
    pub fn add(&mut self, engine_id: u64, log_ratio: f64, now_ms: f64) {
        let index = match self.find(engine_id) {
            Ok(index) => index,
            Err(index) => {
                let slowdown = Slowdown {
                    engine_id,
                    level: 0.0,
                    updated_at_ms: now_ms,
                };
                self.slowdowns.insert(index, slowdown);
                index
            }
        };
        let slowdown = &mut self.slowdowns[index];
        let level = slowdown.level_at(now_ms);
        let distance = (log_ratio - level).clamp(-MAX_SAMPLE_DISTANCE, MAX_SAMPLE_DISTANCE);
        let level = level + STEP * distance;
        slowdown.level = level.clamp(-MAX_SLOWDOWN, MAX_SLOWDOWN);
        slowdown.updated_at_ms = now_ms;
        if self.slowdowns.len() > MAX_ENGINES {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let updated_at_ms = |index: &usize| self.slowdowns[*index].updated_at_ms;
        let oldest = (0..self.slowdowns.len())
            .min_by(|left, right| updated_at_ms(left).total_cmp(&updated_at_ms(right)));
        if let Some(index) = oldest {
            self.slowdowns.remove(index);
        }
    }
}
