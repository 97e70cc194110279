//! Runs a scenario: the time before the release, the release with its faults, and the checks at the end.

use super::settings::member_id;
use super::{VirtualFleet, NEW_VERSION, OLD_VERSION, RELEASE_NUMBER, STEP_MS};
use crate::fleet::scenario::Fault;
use crate::fleet::FleetReport;
use tansymux_coordination::ReleaseStage;
use tansymux_rollout::message::{Answer, Command};

/// Time before the release at which the members in `crash_before_release` crash (ms).
const CRASH_LEAD_MS: f64 = 36_000.0;
/// Time before the start of the release at which it is requested (ms).
const REQUEST_LEAD_MS: f64 = 2000.0;
/// Time after the last fault before operators start to check on the release (ms).
const OPERATORS_RETURN_MS: f64 = 3000.0;
/// Interval of the operators' checks on a release (ms).
const OPERATOR_CHECK_MS: u64 = 5000;
/// Minimum duration of a run after the last fault, also if the release is complete (ms).
const MIN_CALM_MS: f64 = 1000.0;
/// Maximum number of waiting supervisors whose last answer a violation shows.
const SHOWN_WAITING: usize = 5;

impl VirtualFleet {
    /// Runs the scenario until its end.
    pub fn run(mut self) -> FleetReport {
        self.run_until(|_| false);
        self.environment.report
    }

    /// Runs the scenario until its end, or until `done` returns true.
    pub fn run_until(&mut self, done: impl Fn(&VirtualFleet) -> bool) {
        self.prepare_release();
        let bytes_before = self.environment.network.bytes_sent();
        let start_ms = self.environment.now_ms;
        let mut events = self
            .environment
            .scenario
            .events
            .clone()
            .into_iter()
            .peekable();
        while self.since_release_ms() < self.environment.scenario.lasts {
            while let Some(event) = events.next_if(|event| self.since_release_ms() >= event.at) {
                self.inject(event.what);
            }
            self.step();
            self.record_progress();
            self.check_release();
            let report = &self.environment.report;
            let is_calm = self.since_release_ms() > report.last_fault_ms + MIN_CALM_MS
                && events.peek().is_none();
            if is_calm && report.completed_after_ms.is_some() || done(self) {
                break;
            }
        }
        self.environment.report.released = self.released_count();
        let duration_s = (self.environment.now_ms - start_ms) / 1000.0;
        let bytes = self.environment.network.bytes_sent() - bytes_before;
        self.environment.report.bytes_per_s = bytes as f64 / duration_s / self.members.len() as f64;
        self.check_completed_in_time();
    }

    fn since_release_ms(&self) -> f64 {
        self.environment.now_ms - self.release_at_ms
    }

    fn step_until(&mut self, time_ms: f64) {
        while self.environment.now_ms < time_ms {
            self.step();
        }
    }

    /// Runs until the start of the release, and requests the release.
    fn prepare_release(&mut self) {
        self.step_until(self.release_at_ms - CRASH_LEAD_MS);
        for member in std::mem::take(&mut self.crash_before_release) {
            self.members.member_mut(member).stop(f64::INFINITY);
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

    /// Records the times of the release's first halt and of its completion.
    fn record_progress(&mut self) {
        let since_ms = self.since_release_ms();
        let is_halted = self.halt_reason().is_some();
        let is_complete = self.released_count() == self.members.len();
        let report = &mut self.environment.report;
        if is_halted {
            report.halted_after_ms.get_or_insert(since_ms);
        }
        if is_complete {
            report.completed_after_ms.get_or_insert(since_ms);
        }
    }

    fn is_operator_check_due(&self) -> bool {
        self.operators_resume
            && (self.environment.now_ms as u64) % OPERATOR_CHECK_MS < STEP_MS as u64
    }

    /// Acts for the operators once the faults are over: resumes the release if it is halted, and requests it again if
    /// all members that knew of it have lost their state.
    fn check_release(&mut self) {
        let last_fault_ms = self.environment.report.last_fault_ms;
        let faults_over = self.since_release_ms() > last_fault_ms + OPERATORS_RETURN_MS;
        if !faults_over || !self.is_operator_check_due() {
            return;
        }
        let resumed = self.resume_if_halted();
        if !resumed && self.members.leader().is_some() && self.stage().is_none() {
            self.request_release();
        }
    }

    /// Resumes the release if the leader reports that it is halted. Returns whether it was halted.
    fn resume_if_halted(&mut self) -> bool {
        let halt = self
            .members
            .leader_quorum()
            .and_then(tansymux_rollout::active_halt);
        let Some(halt) = halt else {
            return false;
        };
        let number = halt.number;
        self.issue_command(0, Command::Resume { number });
        true
    }

    fn check_completed_in_time(&mut self) {
        let report = &self.environment.report;
        let done_within_ms = self.environment.scenario.done_within;
        let limit_ms = report.last_fault_ms + done_within_ms;
        let in_time = report
            .completed_after_ms
            .is_some_and(|completed_ms| completed_ms <= limit_ms);
        if done_within_ms <= 0.0 || in_time {
            return;
        }
        let waiting: Vec<Answer> = self
            .supervisors
            .answers_to_waiting()
            .take(SHOWN_WAITING)
            .collect();
        let description = format!(
            "not all released {:.0} s after the last fault: {} of {}, stage {:?}, halt {:?}, {waiting:?}; n{:?} leads: {}",
            done_within_ms / 1000.0,
            report.released,
            report.members,
            self.stage(),
            self.halt_reason(),
            self.members.leader(),
            self.diagnostics()
        );
        self.environment.record_violation(description);
    }

    /// Runs for `duration_ms` without further faults. Operators still resume a halted release, if they do in this run.
    pub fn run_for(&mut self, duration_ms: f64) {
        let end_ms = self.environment.now_ms + duration_ms;
        while self.environment.now_ms < end_ms {
            self.step();
            if self.is_operator_check_due() {
                self.resume_if_halted();
            }
        }
    }

    /// Requests the rollback. Returns whether it completes within `within_ms`, with all members on the old version.
    pub fn roll_back(&mut self, within_ms: f64) -> bool {
        self.inject(Fault::Back { at: 0 });
        let end_ms = self.environment.now_ms + within_ms;
        while self.environment.now_ms < end_ms {
            self.step();
            if self.released_count() == self.members.len()
                && self.stage() == Some(ReleaseStage::RolledBack)
            {
                return true;
            }
        }
        false
    }

    /// Issues commands that declare these members permanently lost, and resumes the release if it is halted.
    pub fn forget_members(&mut self, members: &[usize]) {
        for member in members {
            let id = member_id(*member);
            self.issue_command(0, Command::Forget { id });
        }
        self.resume_if_halted();
    }
}
