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

/// A loss in silence counts for this many: it costs a client its whole wait, where a reset costs one retry.
const SILENT_LOSS_WEIGHT: f64 = 3.0;
/// Losses in silence within this time (ms) are one: they were under way together.
const SAME_LOSS_MS: f64 = 2_000.0;
/// Each further loss in silence without a reuse that succeeded doubles the time for which losses count, so often.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Successes from which on an idle time counts as proven.
const PROVEN_REUSES: f64 = 0.5;
/// A trial of a longer idle time than was proven is over after this time (ms), if nothing is heard of it.
const TRIAL_MS: f64 = 2_000.0;

/// What became of a connection that was reused after it had idled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReuseOutcome {
    /// The engine answered on it.
    Answered,
    /// It ended before it brought any answer.
    Lost,
    /// Nothing came on it, neither an answer nor an end, while its engine answered on another.
    LostInSilence,
}

/// Estimator of the longest safe idle time: decaying counts of reused connections by the time they had idled.
#[derive(Debug, Default)]
pub struct KeepAlive {
    answered: [f64; BUCKETS],
    lost: [f64; BUCKETS],
    /// When the counts were last decayed.
    decayed_at_ms: f64,
    /// Losses in silence since a reuse after as long an idle time last succeeded, and when and where the last was.
    silent_losses: u32,
    last_silent_loss_ms: f64,
    silent_bucket: usize,
    /// Since when a connection is tried that idled for longer than was proven.
    trial_since_ms: Option<f64>,
}

fn bucket_of(idle_ms: f64) -> usize {
    let doublings = (idle_ms / MIN_IDLE_MS).max(1.0).log2();
    (doublings as usize).min(BUCKETS - 1)
}

impl KeepAlive {
    fn decay(&mut self, now_ms: f64) {
        let elapsed_ms = (now_ms - self.decayed_at_ms).max(0.0);
        let doublings = self
            .silent_losses
            .saturating_sub(1)
            .min(MAX_BACKOFF_DOUBLINGS);
        let loss_decay_ms = DECAY_MS * f64::from(1 << doublings);
        self.decayed_at_ms = now_ms.max(self.decayed_at_ms);
        let factor = (-elapsed_ms / DECAY_MS).exp();
        self.answered.iter_mut().for_each(|count| *count *= factor);
        let factor = (-elapsed_ms / loss_decay_ms).exp();
        self.lost.iter_mut().for_each(|count| *count *= factor);
    }

    /// A connection that had idled for `idle_ms` was reused, with this outcome.
    pub fn record(&mut self, now_ms: f64, idle_ms: f64, outcome: ReuseOutcome) {
        self.decay(now_ms);
        let bucket = bucket_of(idle_ms);
        if idle_ms > self.proven_idle_ms() {
            self.trial_since_ms = None;
        }
        match outcome {
            ReuseOutcome::Answered => {
                self.answered[bucket] += 1.0;
                if bucket >= self.silent_bucket {
                    self.silent_losses = 0;
                }
            }
            ReuseOutcome::Lost => self.lost[bucket] += 1.0,
            ReuseOutcome::LostInSilence => self.record_silent_loss(now_ms, bucket),
        }
    }

    fn record_silent_loss(&mut self, now_ms: f64, bucket: usize) {
        let is_same = self.silent_losses > 0 && now_ms - self.last_silent_loss_ms < SAME_LOSS_MS;
        if !is_same {
            self.silent_losses += 1;
            self.silent_bucket = bucket;
        }
        self.last_silent_loss_ms = now_ms;
        self.silent_bucket = self.silent_bucket.min(bucket);
        self.lost[bucket] += SILENT_LOSS_WEIGHT;
    }

    /// Whether connections were lost in silence, and none has been reused since after as long an idle time.
    pub fn has_silent_losses(&self) -> bool {
        self.silent_losses > 0
    }

    /// A connection that had idled for `idle_ms` is reused. One that idled for longer than was proven is a trial, and
    /// others of its kind wait for what becomes of it.
    pub fn begin_reuse(&mut self, now_ms: f64, idle_ms: f64) {
        if idle_ms > self.proven_idle_ms() {
            self.trial_since_ms = Some(now_ms);
        }
    }

    /// How long (ms) a connection may idle to be reused now: [`KeepAlive::max_idle_ms`], or less while a trial of a longer
    /// idle time is under way.
    pub fn trusted_idle_ms(&mut self, now_ms: f64) -> f64 {
        let max_idle_ms = self.max_idle_ms(now_ms);
        let is_trial = |since_ms: &f64| now_ms - since_ms < TRIAL_MS;
        match self.trial_since_ms.filter(is_trial) {
            Some(_) => max_idle_ms.min(self.proven_idle_ms()),
            None => max_idle_ms,
        }
    }

    /// The longest idle time (ms) after which connections were reused with success of late.
    fn proven_idle_ms(&self) -> f64 {
        let mut answered = 0.0;
        for bucket in (0..BUCKETS).rev() {
            answered += self.answered[bucket];
            if answered >= PROVEN_REUSES {
                return MIN_IDLE_MS * f64::from(2 << bucket);
            }
        }
        MIN_IDLE_MS
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
