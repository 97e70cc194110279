//! How long a connection to an engine may idle and still be reused. No I/O, no clock.
//!
//! The other end, or a middlebox on the way, may close idle connections without a sign, and a request that then goes
//! out is lost without a sign of whether it was read. Opening a connection for every attempt would avoid that, but
//! then a fleet opens more connections than it sends queries. The true idle limit isn't known, so it is estimated:
//! from connections that idled and were reused, and from what became of them.

/// Idle time (ms) below which a connection is always reused, also for what must not be lost.
pub const MIN_IDLE_MS: f64 = 50.0;
/// Number of idle-time buckets. Each is twice as wide as the one before; the first ends at twice [`MIN_IDLE_MS`].
const BUCKETS: usize = 12;
/// Time constant (ms) with which counts decay: a middlebox may be replaced, and a reset may have been one process.
const DECAY_MS: f64 = 10_000.0;
/// Prior of reuses that succeeded: connections are trusted until experience speaks against it.
const PRIOR_REUSED: f64 = 5.0;
/// Prior of reuses that were lost.
const PRIOR_LOST: f64 = 0.25;
/// A longer idle time is trusted while less than this fraction of reuses is lost. A loss costs one retry of a query
/// that may be retried, about as much as the connections that would be opened otherwise.
const MAX_LOST_FRACTION: f64 = 0.1;

/// What became of a connection that was reused after it had idled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReuseOutcome {
    /// The engine answered on it.
    Answered,
    /// It ended before it brought any answer.
    Lost,
}

/// Estimator of the longest safe idle time: decaying counts of reused connections by the time they had idled.
#[derive(Debug, Default)]
pub struct KeepAlive {
    answered: [f64; BUCKETS],
    lost: [f64; BUCKETS],
    /// When the counts were last decayed.
    decayed_at_ms: f64,
}

fn bucket_of(idle_ms: f64) -> usize {
    let doublings = (idle_ms / MIN_IDLE_MS).max(1.0).log2();
    (doublings as usize).min(BUCKETS - 1)
}

impl KeepAlive {
    fn decay(&mut self, now_ms: f64) {
        let factor = ((self.decayed_at_ms - now_ms) / DECAY_MS).min(0.0).exp();
        self.decayed_at_ms = now_ms.max(self.decayed_at_ms);
        for count in self.answered.iter_mut().chain(&mut self.lost) {
            *count *= factor;
        }
    }

    /// A connection that had idled for `idle_ms` was reused, with this outcome.
    pub fn record(&mut self, now_ms: f64, idle_ms: f64, outcome: ReuseOutcome) {
        self.decay(now_ms);
        let counts = match outcome {
            ReuseOutcome::Answered => &mut self.answered,
            ReuseOutcome::Lost => &mut self.lost,
        };
        counts[bucket_of(idle_ms)] += 1.0;
    }

    /// How long (ms) a connection may idle to be reused: [`MIN_IDLE_MS`] or more, infinite where no limit shows.
    ///
    /// A loss after a short idle time counts against all longer ones, a success after a long one for all shorter ones.
    pub fn max_idle_ms(&mut self, now_ms: f64) -> f64 {
        self.decay(now_ms);
        // Losses up to the bucket looked at, and successes from it on.
        let mut lost = 0.0;
        let mut answered = self.answered.iter().sum::<f64>();
        let mut max_idle_ms = MIN_IDLE_MS;
        for bucket in 0..BUCKETS {
            lost += self.lost[bucket];
            let reuses = lost + answered + PRIOR_REUSED;
            if lost + PRIOR_LOST > MAX_LOST_FRACTION * reuses {
                return max_idle_ms;
            }
            answered -= self.answered[bucket];
            max_idle_ms *= 2.0;
        }
        f64::INFINITY
    }
}

#[cfg(test)]
mod tests;
