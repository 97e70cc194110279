//! Estimates how long a connection to an engine may idle and still be reused.
//! Performs no I/O and reads no clock.
//!
//! The engine or a middlebox may drop idle connections without a reset. A request written to such a connection is
//! lost, and the dispatcher cannot know whether it ran. Opening a connection for every attempt would avoid that, but
//! the fleet would open as many connections as it sends attempts. The true idle limit is unknown, so it is estimated
//! from the outcomes of reused connections.

/// Idle time (ms) below which a connection is always reused, even for attempts with side effects.
pub const MIN_TRUSTED_IDLE_MS: f64 = 50.0;
/// Number of idle-time buckets. The upper bound of the first is twice [`MIN_TRUSTED_IDLE_MS`], and doubles with each
/// bucket.
const BUCKETS: usize = 12;
/// Time constant (ms) of the exponential decay of counts. Old outcomes are forgotten because a middlebox may have been
/// replaced, and a reset may have concerned a single process.
const DECAY_MS: f64 = 10_000.0;
/// Prior count of successful reuses, so that connections are trusted before there is any evidence.
const PRIOR_REUSED: f64 = 5.0;
/// Prior count of lost reuses.
const PRIOR_LOST: f64 = 0.25;
/// Maximum fraction of lost reuses at which an idle time is still trusted. A loss costs one retry of a query that may
/// be retried, which is about as much as the connections that would be opened otherwise.
const MAX_LOST_FRACTION: f64 = 0.1;

/// Weight of a silent loss. It may cost a client its entire waiting time, whereas a reset costs one retry.
const SILENT_LOSS_WEIGHT: f64 = 3.0;
/// Silent losses less than this time (ms) apart count as one incident: their requests were in flight together.
const SILENT_LOSS_MERGE_MS: f64 = 2_000.0;
/// Maximum number of doublings of the time constant by which lost reuses decay: one for each incident of silent losses
/// after the first, until a reuse succeeds.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Minimum (decayed) count of successful reuses for which an idle time counts as proven.
const MIN_PROVEN_REUSES: f64 = 0.5;
/// Time (ms) after which a trial of an idle time above the proven one ends without an outcome.
const MAX_TRIAL_MS: f64 = 2_000.0;

/// The outcome of the reuse of an idle connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReuseOutcome {
    /// The engine answered on the connection.
    Answered,
    /// The connection closed before any reply.
    Lost,
    /// The connection received neither a reply nor a close, while the engine answered on another one: a silent loss.
    LostSilently,
}

/// Estimator of the longest safe idle time, from decaying counts of the outcomes of reuses in buckets of idle time.
#[derive(Debug, Default)]
pub struct KeepAlive {
    /// Count of successful reuses per bucket.
    answered: [f64; BUCKETS],
    /// Weighted count of lost reuses per bucket.
    lost: [f64; BUCKETS],
    /// When the counts were last decayed (ms).
    last_decay_ms: f64,
    /// Number of incidents of silent losses since a reuse last succeeded in `lowest_silent_loss_bucket` or above.
    silent_losses: u32,
    /// When the last silent loss was recorded (ms).
    last_silent_loss_ms: f64,
    /// The lowest bucket of the silent losses of the last incident.
    lowest_silent_loss_bucket: usize,
    /// Start (ms) of the current trial of an idle time above the proven one; `None` if there is no trial.
    trial_since_ms: Option<f64>,
}

fn bucket_of(idle_ms: f64) -> usize {
    let doublings = (idle_ms / MIN_TRUSTED_IDLE_MS).max(1.0).log2();
    (doublings as usize).min(BUCKETS - 1)
}

impl KeepAlive {
    fn decay(&mut self, now_ms: f64) {
        let elapsed_ms = (now_ms - self.last_decay_ms).max(0.0);
        let doublings = self
            .silent_losses
            .saturating_sub(1)
            .min(MAX_BACKOFF_DOUBLINGS);
        let loss_decay_ms = DECAY_MS * f64::from(1 << doublings);
        self.last_decay_ms = now_ms.max(self.last_decay_ms);
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
                if bucket >= self.lowest_silent_loss_bucket {
                    self.silent_losses = 0;
                }
            }
            ReuseOutcome::Lost => self.lost[bucket] += 1.0,
            ReuseOutcome::LostSilently => self.record_silent_loss(now_ms, bucket),
        }
    }

    fn record_silent_loss(&mut self, now_ms: f64, bucket: usize) {
        let is_same_incident =
            self.silent_losses > 0 && now_ms - self.last_silent_loss_ms < SILENT_LOSS_MERGE_MS;
        if !is_same_incident {
            self.silent_losses += 1;
            self.lowest_silent_loss_bucket = bucket;
        }
        self.last_silent_loss_ms = now_ms;
        self.lowest_silent_loss_bucket = self.lowest_silent_loss_bucket.min(bucket);
        self.lost[bucket] += SILENT_LOSS_WEIGHT;
    }

    /// Whether connections were lost silently, and no reuse after an idle time as long as in the last incident has
    /// succeeded since.
    pub fn has_silent_losses(&self) -> bool {
        self.silent_losses > 0
    }

    /// Records that a connection that had idled for `idle_ms` is reused. If that is longer than the proven idle time,
    /// a trial begins: until its outcome is known or [`MAX_TRIAL_MS`] have passed, no other connection is reused
    /// after more than the proven idle time.
    pub fn begin_reuse(&mut self, now_ms: f64, idle_ms: f64) {
        if idle_ms > self.proven_idle_ms() {
            self.trial_since_ms = Some(now_ms);
        }
    }

    /// Maximum idle time (ms) after which a connection is reused now: [`KeepAlive::max_idle_ms`], limited to the
    /// proven idle time during a trial.
    pub fn trusted_idle_ms(&mut self, now_ms: f64) -> f64 {
        let max_idle_ms = self.max_idle_ms(now_ms);
        let is_in_progress = |since_ms: &f64| now_ms - since_ms < MAX_TRIAL_MS;
        match self.trial_since_ms.filter(is_in_progress) {
            Some(_) => max_idle_ms.min(self.proven_idle_ms()),
            None => max_idle_ms,
        }
    }

    /// The longest idle time (ms) after which recent reuses succeeded; at least [`MIN_TRUSTED_IDLE_MS`].
    fn proven_idle_ms(&self) -> f64 {
        let mut answered = 0.0;
        for bucket in (0..BUCKETS).rev() {
            answered += self.answered[bucket];
            if answered >= MIN_PROVEN_REUSES {
                return MIN_TRUSTED_IDLE_MS * f64::from(2 << bucket);
            }
        }
        MIN_TRUSTED_IDLE_MS
    }

    /// Maximum idle time (ms) after which a connection is reused: at least [`MIN_TRUSTED_IDLE_MS`], infinite without
    /// evidence of a limit.
    ///
    /// A loss counts against its idle time and all longer ones. A success counts for its idle time and all shorter
    /// ones.
    pub fn max_idle_ms(&mut self, now_ms: f64) -> f64 {
        self.decay(now_ms);
        // Count of losses up to the current bucket, and of successes from it on.
        let mut lost = 0.0;
        let mut answered = self.answered.iter().sum::<f64>();
        let mut max_idle_ms = MIN_TRUSTED_IDLE_MS;
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
