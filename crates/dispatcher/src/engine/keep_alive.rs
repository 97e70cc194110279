//! How long a connection to an engine may idle and still be reused. No I/O, no clock.
//!
//! The engine, or a middlebox, may drop idle connections without a reset. A request that is then written is lost, and it
//! is unknown whether it ran. Opening a connection for every attempt would avoid that, but the fleet would open as many
//! connections as it sends attempts. The true idle limit is unknown, so it is estimated from the outcomes of reused
//! connections.

/// Idle time (ms) below which a connection is always reused, also for attempts with side effects.
pub const MIN_IDLE_MS: f64 = 50.0;
/// Number of idle-time buckets. Each is twice as wide as the one before; the first ends at twice [`MIN_IDLE_MS`].
const BUCKETS: usize = 12;
/// Time constant (ms) of the decay of counts: a middlebox may be replaced, and a reset may concern a single process.
const DECAY_MS: f64 = 10_000.0;
/// Prior count of successful reuses: connections are trusted at first.
const PRIOR_REUSED: f64 = 5.0;
/// Prior count of lost reuses.
const PRIOR_LOST: f64 = 0.25;
/// A longer idle time is trusted while less than this fraction of reuses is lost. A loss costs one retry of a query
/// that may be retried: about as much as the connections that would be opened otherwise.
const MAX_LOST_FRACTION: f64 = 0.1;

/// Weight of a loss in silence. It may cost a client all of its waiting time, where a reset costs one retry.
const SILENT_LOSS_WEIGHT: f64 = 3.0;
/// Losses in silence within this time (ms) count as one: the requests were in flight together.
const SAME_LOSS_MS: f64 = 2_000.0;
/// Maximum number of times that the decay time of losses doubles: once for each loss in silence after the first, until a
/// reuse succeeds.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Minimum count of successful reuses for which an idle time counts as proven.
const PROVEN_REUSES: f64 = 0.5;
/// A trial of an idle time above the proven one ends after this time (ms) if it has no outcome until then.
const TRIAL_MS: f64 = 2_000.0;

/// The outcome of the reuse of an idle connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReuseOutcome {
    /// The engine answered on it.
    Answered,
    /// The connection closed before any reply.
    Lost,
    /// Neither a reply nor a close arrived, while the engine answered on another connection.
    LostInSilence,
}

/// Estimator of the longest safe idle time: decaying counts of reused connections by the time they had idled.
#[derive(Debug, Default)]
pub struct KeepAlive {
    answered: [f64; BUCKETS],
    lost: [f64; BUCKETS],
    /// When the counts were last decayed.
    decayed_at_ms: f64,
    /// Losses in silence since the last successful reuse after as long an idle time.
    silent_losses: u32,
    /// When the last loss in silence was recorded (ms).
    last_silent_loss_ms: f64,
    /// The lowest bucket of these losses.
    silent_bucket: usize,
    /// Start (ms) of the current trial of an idle time above the proven one.
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

    /// Records the outcome of the reuse of a connection that had idled for `idle_ms`.
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

    /// Whether connections were lost in silence, and no reuse after as long an idle time has succeeded since.
    pub fn has_silent_losses(&self) -> bool {
        self.silent_losses > 0
    }

    /// Records that a connection that had idled for `idle_ms` is reused. An idle time above the proven one is a trial:
    /// until its outcome is known, no other connection is reused after an idle time above the proven one.
    pub fn begin_reuse(&mut self, now_ms: f64, idle_ms: f64) {
        if idle_ms > self.proven_idle_ms() {
            self.trial_since_ms = Some(now_ms);
        }
    }

    /// Longest idle time (ms) after which a connection is reused now: [`KeepAlive::max_idle_ms`], or the proven idle time
    /// during a trial of a longer one.
    pub fn trusted_idle_ms(&mut self, now_ms: f64) -> f64 {
        let max_idle_ms = self.max_idle_ms(now_ms);
        let is_trial = |since_ms: &f64| now_ms - since_ms < TRIAL_MS;
        match self.trial_since_ms.filter(is_trial) {
            Some(_) => max_idle_ms.min(self.proven_idle_ms()),
            None => max_idle_ms,
        }
    }

    /// The longest idle time (ms) after which recent reuses succeeded.
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

    /// Longest idle time (ms) after which a connection is reused: at least [`MIN_IDLE_MS`], infinite without evidence of a
    /// limit.
    ///
    /// A loss counts against its idle time and all longer ones, a success for its idle time and all shorter ones.
    pub fn max_idle_ms(&mut self, now_ms: f64) -> f64 {
        self.decay(now_ms);
        // Losses up to the current bucket, and successes from it on.
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
