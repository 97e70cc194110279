//! Playing a scenario: before the release, through its faults, and until its end.

use super::supervisor::Supervisor;
use super::{VirtualFleet, NEW_VERSION, OLD_VERSION, RELEASE_NUMBER, STEP_MS};
use crate::fleet::scenario::Fault;
use crate::fleet::FleetReport;
use tansymux_coordination::ReleaseStage;
use tansymux_rollout::message::{Answer, Command};

/// How long before the release members of `crash_before_release` crash (ms).
const CRASH_LEAD_MS: f64 = 36_000.0;
/// How long before its begin the release is requested (ms).
const REQUEST_LEAD_MS: f64 = 2000.0;
/// Operators look after a halted release once this long after the last fault (ms), and then so often.
const OPERATORS_RETURN_MS: f64 = 3000.0;
const OPERATOR_CHECK_MS: u64 = 5000;
/// A run goes on for this long after the last fault, also when all is released (ms).
const MIN_CALM_MS: f64 = 1000.0;
/// Waiting supervisors that a failed run's message shows.
const SHOWN_WAITING: usize = 5;

impl VirtualFleet {
    /// Plays the whole scenario.
    pub fn run(mut self) -> FleetReport {
        self.run_until(|_| false);
        self.report
    }

    /// Plays the scenario until its end, or until `done` says so.
    pub fn run_until(&mut self, done: impl Fn(&VirtualFleet) -> bool) {
        self.prepare_release();
        let bytes_before = self.network.bytes_sent;
        let from_ms = self.now_ms;
        let mut events = self.scenario.events.clone().into_iter().peekable();
        while self.since_release_ms() < self.scenario.lasts {
            while let Some(event) = events.next_if(|event| self.since_release_ms() >= event.at) {
                self.apply_fault(event.what);
            }
            self.step();
            self.record_progress();
            self.attend_release();
            let calm = self.since_release_ms() > self.report.last_fault_ms + MIN_CALM_MS
                && events.peek().is_none();
            if calm && self.report.completed_after_ms.is_some() || done(self) {
                break;
            }
        }
        self.report.released = self.released_count();
        let lasted_s = (self.now_ms - from_ms) / 1000.0;
        let bytes = self.network.bytes_sent - bytes_before;
        self.report.bytes_per_s = bytes as f64 / lasted_s / self.members.len() as f64;
        self.check_completed_in_time();
    }

    fn since_release_ms(&self) -> f64 {
        self.now_ms - self.release_at_ms
    }

    fn step_until(&mut self, time_ms: f64) {
        while self.now_ms < time_ms {
            self.step();
        }
    }

    /// Plays up to the release's begin, and requests it.
    fn prepare_release(&mut self) {
        self.step_until(self.release_at_ms - CRASH_LEAD_MS);
        for n in std::mem::take(&mut self.crash_before_release) {
            self.stop_member(n, f64::INFINITY);
        }
        self.step_until(self.release_at_ms - REQUEST_LEAD_MS);
        self.request_release();
        if let Some(second) = self.second_release {
            let command = Command::Release {
                number: second.number,
                to: NEW_VERSION + 1,
                from: OLD_VERSION,
            };
            self.issue_command(second.at, command);
        }
        self.step_until(self.release_at_ms);
    }

    fn request_release(&mut self) {
        let command = Command::Release {
            number: RELEASE_NUMBER,
            to: NEW_VERSION,
            from: OLD_VERSION,
        };
        self.issue_command(0, command);
    }

    /// Records when the release halted first and when it was complete.
    fn record_progress(&mut self) {
        let since_ms = self.since_release_ms();
        if self.report.halted_after_ms.is_none() && self.halt_reason().is_some() {
            self.report.halted_after_ms = Some(since_ms);
        }
        if self.released_count() == self.members.len() && self.report.completed_after_ms.is_none() {
            self.report.completed_after_ms = Some(since_ms);
        }
    }

    fn is_operator_check_due(&self) -> bool {
        self.operators_resume && (self.now_ms as u64) % OPERATOR_CHECK_MS < STEP_MS as u64
    }

    /// Once the faults are over, operators resume what the fleet halted by itself, and request the release again where
    /// all who knew of it have lost their memory.
    fn attend_release(&mut self) {
        let faults_over = self.since_release_ms() > self.report.last_fault_ms + OPERATORS_RETURN_MS;
        if !faults_over || !self.is_operator_check_due() {
            return;
        }
        let resumed = self.resume_if_halted();
        if !resumed && self.leader().is_some() && self.stage().is_none() {
            self.request_release();
        }
    }

    fn check_completed_in_time(&mut self) {
        let limit_ms = self.report.last_fault_ms + self.scenario.done_within;
        let in_time = self
            .report
            .completed_after_ms
            .is_some_and(|completed_ms| completed_ms <= limit_ms);
        if self.scenario.done_within <= 0.0 || in_time {
            return;
        }
        let waiting: Vec<Answer> = self
            .supervisors
            .iter()
            .filter_map(|supervisor| match supervisor {
                Supervisor::AwaitingLease { lease, .. } => Some(lease.last_answer()),
                _ => None,
            })
            .take(SHOWN_WAITING)
            .collect();
        self.report.violations.push(format!(
            "not all released {:.0} s after the last fault: {} of {}, stage {:?}, halt {:?}, {waiting:?}; n{:?} leads: {}",
            self.scenario.done_within / 1000.0,
            self.report.released,
            self.report.members,
            self.stage(),
            self.halt_reason(),
            self.leader(),
            self.diagnostics()
        ));
    }

    /// Plays on without further faults (ms).
    pub fn run_for(&mut self, lasts_ms: f64) {
        let end_ms = self.now_ms + lasts_ms;
        while self.now_ms < end_ms {
            self.step();
            if self.is_operator_check_due() {
                self.resume_if_halted();
            }
        }
    }

    /// Requests the rollback; whether all run the old version again within that time (ms).
    pub fn roll_back(&mut self, within_ms: f64) -> bool {
        self.apply_fault(Fault::Back { at: 0 });
        let end_ms = self.now_ms + within_ms;
        while self.now_ms < end_ms {
            self.step();
            if self.released_count() == self.members.len()
                && self.stage() == Some(ReleaseStage::RolledBack)
            {
                return true;
            }
        }
        false
    }
}
