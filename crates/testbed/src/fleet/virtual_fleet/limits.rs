//! The limits in force: how many dispatchers may be out, and whether the release is halted. A lease that is granted
//! against a limit is a violation once the limit has had time to reach every supervisor.

use super::environment::Environment;

/// Time after a new limit or a halt during which a lease granted without knowledge of it is not a violation, on good
/// links (ms).
const PROPAGATION_GOOD_LINKS_MS: f64 = 1000.0;
/// The same time on lossy links (ms).
const PROPAGATION_LOSSY_LINKS_MS: f64 = 7000.0;

/// The limits against which granted restart leases are checked.
pub(super) struct LimitsInForce {
    /// Maximum number of dispatchers allowed out at the same time.
    max_out: usize,
    /// Time from which `max_out` applies (true ms).
    max_out_since_ms: f64,
    /// Time at which an operator's halt was confirmed (true ms); `None` while the release may proceed.
    halted_since_ms: Option<f64>,
    /// Time after a change during which a lease granted without knowledge of it is not a violation (ms).
    propagation_ms: f64,
}

impl LimitsInForce {
    /// The limits at the start of a run.
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

    /// Sets the maximum number of dispatchers out from `now_ms` on.
    pub fn set_max_out(&mut self, max_out: usize, now_ms: f64) {
        self.max_out = max_out;
        self.max_out_since_ms = now_ms;
    }

    /// Records that an operator's halt was confirmed at `now_ms`.
    pub fn confirm_halt(&mut self, now_ms: f64) {
        self.halted_since_ms.get_or_insert(now_ms);
    }

    /// Records that the release may proceed, because an operator requested its resumption or its rollback.
    pub fn lift_halt(&mut self) {
        self.halted_since_ms = None;
    }

    /// Records a violation if a lease granted now, with `out` dispatchers out, exceeds the limit or ignores a halt.
    pub fn check_grant(&self, out: usize, environment: &mut Environment) {
        let now_ms = environment.now_ms;
        let is_known = |since_ms: f64| now_ms > since_ms + self.propagation_ms;
        if out + 1 > self.max_out && is_known(self.max_out_since_ms) {
            environment.record_violation(format!(
                "restart lease granted with {out} dispatchers out, {} are allowed",
                self.max_out
            ));
        }
        if self.halted_since_ms.is_some_and(is_known) {
            environment.record_violation("restart lease granted after a halt".into());
        }
    }
}
