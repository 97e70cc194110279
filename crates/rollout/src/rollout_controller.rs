//! The rollout controller: runs on the fleet's leader, and decides on restart leases, drains, ejections and releases.
//!
//! Its own state is soft. A new leader rebuilds it from reports of members for [`RolloutConfig::settle_ms`] before it
//! grants anything; what has to last is in the quorum records.

mod commands;
mod fleet_state;
mod maintenance;
mod release_progress;

use crate::canary_analysis::{AnalysisResult, CanaryAnalysis, Group, RequestCount};
use crate::message::Report;
use crate::rollout_config::RolloutConfig;
use crate::rollout_plan::Release;
use std::collections::{BTreeMap, BTreeSet};
use tansymux_coordination::disruption_budget::{HaltReason, Unit};
use tansymux_coordination::{
    Id, Proposal, QuorumNode, RecordValue, UnitKind, HALT_KEY, RELEASE_KEY,
};
use tansymux_membership::MemberState;

/// A member whose records differ in this many reports in a row is asked for them.
const REPORTS_UNTIL_RECORDS_REQUEST: u32 = 3;
/// Members are asked for their records no more often than this (ms).
const RECORDS_REQUEST_INTERVAL_MS: f64 = 100.0;
/// Members whose state and reports are kept.
const MAX_MEMBERS: usize = 1024;
/// Load and failing engines of a report count for this long (ms). Whether the member is present is membership's
/// decision.
const REPORT_RETENTION_MS: f64 = 10_000.0;
/// A tick may be this much before the leadership began (ms): ticks are whole milliseconds.
const TICK_TOLERANCE_MS: f64 = 1.0;

/// A member's last report.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ReceivedReport {
    report: Report,
    received_ms: f64,
    /// The member was there at this time of the leader's: it echoed a tick of then. A datagram may be late, but a tick
    /// is never echoed before it was sent.
    proven_ms: f64,
}

/// When the last disruption of each kind was granted (ms).
#[derive(Debug, Clone, Copy)]
struct LastGranted {
    dispatcher_ms: f64,
    engine_ms: f64,
}

impl LastGranted {
    fn at(now_ms: f64) -> Self {
        LastGranted {
            dispatcher_ms: now_ms,
            engine_ms: now_ms,
        }
    }

    fn of(&self, kind: UnitKind) -> f64 {
        match kind {
            UnitKind::Dispatcher => self.dispatcher_ms,
            UnitKind::Engine => self.engine_ms,
        }
    }

    fn set(&mut self, kind: UnitKind, now_ms: f64) {
        match kind {
            UnitKind::Dispatcher => self.dispatcher_ms = now_ms,
            UnitKind::Engine => self.engine_ms = now_ms,
        }
    }
}

/// Whether a release goes forward or back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forward,
    Back,
}

/// The release that is analysed.
#[derive(Debug, Clone, Copy)]
struct AnalysedRelease {
    number: u32,
    direction: Direction,
    /// Members that were lost when the analysis began.
    lost_at_start: usize,
}

/// The leader's soft state and its decisions.
#[derive(Debug, Clone)]
pub struct RolloutController {
    config: RolloutConfig,
    /// The leadership of which the state is.
    leader_since_ms: Option<f64>,
    reports: BTreeMap<Id, ReceivedReport>,
    members: BTreeMap<Id, MemberState>,
    engines: Vec<Unit>,
    last_granted: LastGranted,
    analysis: CanaryAnalysis,
    analysis_result: Option<AnalysisResult>,
    analysed_release: Option<AnalysedRelease>,
    /// Since when all canaries are back (ms).
    canaries_since_ms: Option<f64>,
    /// The zone of the present wave.
    current_zone: Option<u32>,
    paused_until_ms: f64,
    /// Members that will not come back, by an operator's command.
    forgotten: BTreeSet<Id>,
    /// By engine: when each dispatcher last found it failing (ms).
    failure_reports: BTreeMap<Id, BTreeMap<Id, f64>>,
    /// How often in a row the records of a member differed.
    differing_reports: BTreeMap<Id, u32>,
    last_records_request_ms: f64,
}

impl RolloutController {
    /// A controller without any knowledge of the fleet.
    pub fn new(config: RolloutConfig) -> Self {
        RolloutController {
            config,
            leader_since_ms: None,
            reports: BTreeMap::new(),
            members: BTreeMap::new(),
            engines: Vec::new(),
            last_granted: LastGranted::at(f64::NEG_INFINITY),
            analysis: CanaryAnalysis::default(),
            analysis_result: None,
            analysed_release: None,
            canaries_since_ms: None,
            current_zone: None,
            paused_until_ms: f64::NEG_INFINITY,
            forgotten: BTreeSet::new(),
            failure_reports: BTreeMap::new(),
            differing_reports: BTreeMap::new(),
            last_records_request_ms: f64::NEG_INFINITY,
        }
    }

    /// Takes over a new configuration. A limit below what is unavailable grants nothing more, and revokes nothing.
    pub fn set_config(&mut self, config: RolloutConfig) {
        self.config = config;
    }

    /// The configuration.
    pub fn config(&self) -> &RolloutConfig {
        &self.config
    }

    /// Takes over all members that membership knows, this one included.
    pub fn set_members(&mut self, members: impl Iterator<Item = (Id, MemberState)>) {
        self.members.clear();
        self.members.extend(members.take(MAX_MEMBERS));
    }

    /// Takes over the engines of this dispatcher's endpoint list.
    pub fn set_engines(&mut self, engines: &[Unit]) {
        self.engines = engines.to_vec();
        self.engines.sort_by_key(|unit| unit.id);
    }

    /// Whether to ask a member for its records, after a report whose digest differed or not.
    ///
    /// What a member still knows after it was sent everything, the voters have lost: by restarts one after the other. A
    /// new leader asks at once, before it decides anything.
    pub fn should_request_records(
        &mut self,
        node: &QuorumNode,
        from: Id,
        differs: bool,
        now_ms: f64,
    ) -> bool {
        if !differs {
            self.differing_reports.remove(&from);
            return false;
        }
        let count = self.differing_reports.entry(from).or_insert(0);
        *count += 1;
        let count = *count;
        let is_new_leader = node
            .leader_since_ms()
            .is_some_and(|since_ms| now_ms - since_ms < self.config.settle_ms);
        let is_due = count >= REPORTS_UNTIL_RECORDS_REQUEST || is_new_leader;
        if !is_due || now_ms - self.last_records_request_ms < RECORDS_REQUEST_INTERVAL_MS {
            return false;
        }
        self.last_records_request_ms = now_ms;
        true
    }

    /// A member's report.
    pub fn on_report(&mut self, node: &QuorumNode, from: Id, report: Report, now_ms: f64) {
        if self.reports.len() >= MAX_MEMBERS && !self.reports.contains_key(&from) {
            return;
        }
        let previous = self.reports.get(&from).copied();
        let proven_ms = self
            .tick_sent_at_ms(report.echoed_tick, now_ms)
            .unwrap_or(f64::NEG_INFINITY);
        // A report that was overtaken by a later one is outdated.
        if previous.is_some_and(|previous| proven_ms < previous.proven_ms) {
            return;
        }
        let received = ReceivedReport {
            report,
            received_ms: now_ms,
            proven_ms,
        };
        self.reports.insert(from, received);
        if let Some(previous) = previous {
            self.count_requests(node, &previous.report, &report, now_ms);
        }
        let is_failing = report.failing_engine != 0 && self.config.ejection_witnesses.is_some();
        if is_failing && self.knows_engine(report.failing_engine) {
            let witnesses = self
                .failure_reports
                .entry(report.failing_engine)
                .or_default();
            witnesses.insert(from, now_ms);
        }
    }

    /// Adds the requests between two reports of one session to the analysis. Reports hold sums, so a lost one loses
    /// nothing.
    fn count_requests(
        &mut self,
        node: &QuorumNode,
        previous: &Report,
        report: &Report,
        now_ms: f64,
    ) {
        let is_same_session = previous.session == report.session && previous.total <= report.total;
        let Some(release) = active_release(node).filter(|_| is_same_session) else {
            return;
        };
        let group = if report.version == release.target_version() {
            Group::Released
        } else {
            Group::Baseline
        };
        let requests = RequestCount {
            succeeded: report.succeeded.wrapping_sub(previous.succeeded),
            total: report.total - previous.total,
        };
        let window = self.analysis_window(now_ms);
        self.analysis.report(window, report.zone, group, requests);
    }

    fn analysis_window(&self, now_ms: f64) -> u64 {
        (now_ms / self.config.plan.analysis.window_ms) as u64
    }

    /// The tick to send now: the low 32 bits of the time (ms).
    pub fn tick(now_ms: f64) -> u32 {
        now_ms.max(0.0) as u64 as u32
    }

    /// When this leader sent a tick (ms); none for one that was sent before it led.
    fn tick_sent_at_ms(&self, tick: u32, now_ms: f64) -> Option<f64> {
        let age_ms = f64::from(RolloutController::tick(now_ms).wrapping_sub(tick));
        let sent_ms = now_ms - age_ms;
        let leader_since_ms = self.leader_since_ms?;
        (sent_ms >= leader_since_ms - TICK_TOLERANCE_MS).then_some(sent_ms)
    }

    /// The zone that a member reported.
    pub fn zone_of(&self, id: Id) -> Option<u32> {
        self.reports.get(&id).map(|received| received.report.zone)
    }

    /// Whether this node leads, and has collected reports for long enough to decide.
    pub fn is_settled_leader(&self, node: &QuorumNode, now_ms: f64) -> bool {
        let is_settled = node
            .leader_since_ms()
            .is_some_and(|since_ms| now_ms - since_ms >= self.config.settle_ms);
        node.is_leader(now_ms) && is_settled
    }

    /// The periodic evaluation: ends leases, records lost members, ejects engines and moves the release on.
    pub fn evaluate(&mut self, node: &mut QuorumNode, now_ms: f64) {
        if node.leader_since_ms() != self.leader_since_ms {
            self.leader_since_ms = node.leader_since_ms();
            self.reset(now_ms);
        }
        if !self.is_settled_leader(node, now_ms) {
            return;
        }
        self.end_disruptions(node, now_ms);
        self.record_lost_members(node, now_ms);
        self.eject_failing_engines(node, now_ms);
        self.evaluate_release(node, now_ms);
    }

    /// Drops what was collected under another leadership, which had other ticks.
    fn reset(&mut self, now_ms: f64) {
        self.reset_analysis();
        self.analysed_release = None;
        self.paused_until_ms = f64::NEG_INFINITY;
        // The previous leader may have granted a disruption just now.
        self.last_granted = LastGranted::at(now_ms);
        self.failure_reports.clear();
        self.differing_reports.clear();
    }

    fn reset_analysis(&mut self) {
        self.analysis = CanaryAnalysis::default();
        self.analysis_result = None;
        self.canaries_since_ms = None;
        self.current_zone = None;
    }
}

/// Proposes records. Where the leader has no room for them now, the next evaluation or the repeated command proposes them
/// again.
pub(crate) fn propose(node: &mut QuorumNode, proposals: &[Proposal], now_ms: f64) {
    let _ = node.propose(proposals, now_ms);
}

/// A halt that is in force.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ActiveHalt {
    /// Its number: resuming has to name it.
    pub number: u32,
    /// Why.
    pub reason: HaltReason,
    /// The leader that wrote it.
    pub by: Id,
}

/// The halt that is in force.
pub fn active_halt(node: &QuorumNode) -> Option<ActiveHalt> {
    match node.active(HALT_KEY)?.record.value {
        RecordValue::Halt { number, by, reason } => Some(ActiveHalt {
            number,
            reason: HaltReason::from_code_lossy(reason),
            by,
        }),
        _ => None,
    }
}

/// The last release.
pub fn active_release(node: &QuorumNode) -> Option<Release> {
    match node.active(RELEASE_KEY)?.record.value {
        RecordValue::Release {
            number,
            to,
            from,
            stage,
        } => Some(Release {
            number,
            to,
            from,
            stage,
        }),
        _ => None,
    }
}

/// The record of a release.
fn release_proposal(release: Release) -> Proposal {
    let value = RecordValue::Release {
        number: release.number,
        to: release.to,
        from: release.from,
        stage: release.stage,
    };
    Proposal::lasting(RELEASE_KEY, value)
}
