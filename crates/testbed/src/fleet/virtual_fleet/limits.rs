//! The limits that hold in truth: how many dispatchers may be out, and whether the release is halted. A lease that is
//! granted against them is a violation once they had time to reach every supervisor.

use super::environment::Environment;

/// How long after its change a new limit or a halt may still be unknown to a supervisor that has just been granted a
/// lease, on good links (ms).
const PROPAGATION_GOOD_LINKS_MS: f64 = 1000.0;
/// The same where the scenario makes links lossy (ms).
const PROPAGATION_LOSSY_LINKS_MS: f64 = 7000.0;

/// What restart leases are checked against.
pub(super) struct LimitsInForce {
    /// Dispatchers that may be out at a time.
    max_out: usize,
    /// Since when `max_out` holds (true ms).
    max_out_since_ms: f64,
    /// When an operator's halt was confirmed (true ms); none while the release may proceed.
    halted_since_ms: Option<f64>,
    /// How long after a change a lease may still be granted without knowing of it (ms).
    propagation_ms: f64,
}

impl LimitsInForce {
    /// The limits at the begin of a run.
    pub fn new(max_out: usize, has_lossy_links: bool) -> Self {
        LimitsInForce {
            max_out,
            max_out_since_ms: 0.0,
            halted_since_ms: None,
            propagation_ms: if has_lossy_links {
                PROPAGATION_LOSSY_LINKS_MS
            } else {
                PROPAGATION_GOOD_LINKS_MS
            },
        }
    }

    /// From now on so many dispatchers may be out at a time.
    pub fn set_max_out(&mut self, max_out: usize, now_ms: f64) {
        self.max_out = max_out;
        self.max_out_since_ms = now_ms;
    }

    /// An operator's halt was confirmed now.
    pub fn confirm_halt(&mut self, now_ms: f64) {
        self.halted_since_ms.get_or_insert(now_ms);
    }

    /// The release may proceed again: an operator requested its resumption or its rollback.
    pub fn lift_halt(&mut self) {
        self.halted_since_ms = None;
    }

    /// Checks that a lease granted now, with `out` dispatchers out, respects the limit and any halt.
    pub fn check_grant(&self, out: usize, environment: &mut Environment) {
        let now_ms = environment.now_ms;
        let is_known = |since_ms: f64| now_ms > since_ms + self.propagation_ms;
        if out + 1 > self.max_out && is_known(self.max_out_since_ms) {
            environment.record_violation(format!(
                "a turn with {out} out, {} are allowed by now",
                self.max_out
            ));
        }
        if self.halted_since_ms.is_some_and(is_known) {
            environment.record_violation("a turn after a halt".into());
        }
    }
}
