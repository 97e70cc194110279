//! Runs this dispatcher as a member of its fleet: exchanges datagrams with the other members, reports the dispatcher's
//! status, and drains the engines that the fleet takes out of service. The fleet's decisions are made in
//! `tansymux-rollout` and `tansymux-coordination`.
//!
//! [`FleetService::run`] is the task that serves the socket. The driver ([`crate::dispatcher`]) calls the other
//! methods.
//!
//! | file | concern |
//! | --- | --- |
//! | `definition` | settings from the operators' file and the environment |
//! | `socket` | UDP socket and datagram counters |
//! | `engine_watch` | endpoint list and drained engines |

mod definition;
mod engine_watch;
mod socket;

use crate::clock::Clock;
use crate::query_registry::{EndpointEntry, QueryRegistry};
use async_io::{Async, Timer};
use definition::{
    failure_threshold, incarnation_seed, listen_address, member_config, version_hash,
};
use engine_watch::EngineWatch;
use futures_lite::future;
use socket::{FleetSocket, MAX_DATAGRAM_BYTES};
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;
use tansymux::events::{AttemptEnded, Outcome};
use tansymux::settings::Settings;
use tansymux_coordination::Role;
use tansymux_operator_config::{name_hash, schema};
use tansymux_rollout::engine_outcomes::{EngineOutcomes, FailureThreshold};
use tansymux_rollout::{FleetAction, FleetEvent, FleetNode, MemberStatus};
use tansymux_zone_evacuation::{Evidence as ZoneEvidence, ZoneUse};

/// Interval (ms) between this dispatcher's status reports.
const REPORT_INTERVAL_MS: f64 = 200.0;
/// Maximum number of datagrams received before replies are sent.
const MAX_RECEIVE_BATCH: usize = 128;
/// Pause after a receive error, so that a persistent error does not cause a busy loop.
const ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Error that prevents the start of the fleet service.
#[derive(Debug, thiserror::Error)]
pub enum FleetStartError {
    /// A required key of `fleet` is missing or malformed.
    #[error("fleet: a required key is missing or malformed")]
    Incomplete,
    /// `fleet.listen` is not an address with a port.
    #[error("fleet.listen is {value:?}, allowed is an address with a port")]
    InvalidListen {
        /// The value in the file.
        value: String,
    },
    /// The address cannot be bound.
    #[error("fleet.listen {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
}

/// Load of this dispatcher, as reported to the fleet.
#[derive(Debug, Clone, Copy)]
pub struct LoadReport {
    /// Fraction of the descriptor limit that is in use.
    pub descriptors_used_fraction: f64,
    /// Engine threads used by this dispatcher's queries in flight.
    pub threads_in_flight: f64,
}

/// This dispatcher as a member of a fleet.
pub struct FleetService {
    member: RefCell<FleetNode>,
    socket: FleetSocket,
    clock: Clock,
    registry: Rc<QueryRegistry>,
    engine_outcomes: RefCell<EngineOutcomes>,
    /// Failures at which an engine is an outlier; `None` while outlier detection is off.
    failure_threshold: Cell<Option<FailureThreshold>>,
    zone_hash: u32,
    version_hash: Cell<u32>,
    engines: RefCell<EngineWatch>,
    last_report_ms: Cell<f64>,
    /// Whether this member was the leader at the last report; `None` before the first report.
    was_leader: Cell<Option<bool>>,
}

impl FleetService {
    /// Joins the fleet. Returns `None` if the operators' file defines no fleet. `bind` binds the address of
    /// `fleet.listen`.
    ///
    /// # Errors
    /// A required key is missing or malformed, `fleet.listen` is invalid, or its address cannot be bound.
    pub fn start(
        definition: Option<&schema::Fleet>,
        settings: &Rc<Settings>,
        clock: Clock,
        registry: Rc<QueryRegistry>,
        seed: u64,
        bind: impl FnOnce(SocketAddr) -> io::Result<Async<UdpSocket>>,
    ) -> Result<Option<Rc<Self>>, FleetStartError> {
        let Some(definition) = definition else {
            return Ok(None);
        };
        let zone_hash = settings.local_zone.as_deref().map_or(0, name_hash);
        let member_config = member_config(definition, zone_hash)?;
        let address = listen_address(definition)?;
        let socket = bind(address).map_err(|source| FleetStartError::Bind { address, source })?;
        let now_ms = clock.now();
        let seed = incarnation_seed(seed, now_ms);
        let service = Rc::new(FleetService {
            member: RefCell::new(FleetNode::new(&member_config, now_ms, seed)),
            socket: FleetSocket::new(socket),
            clock,
            registry,
            engine_outcomes: RefCell::default(),
            failure_threshold: Cell::new(failure_threshold(definition)),
            zone_hash,
            version_hash: Cell::new(version_hash(definition)),
            engines: RefCell::new(EngineWatch::new(settings.clone())),
            last_report_ms: Cell::new(f64::NEG_INFINITY),
            was_leader: Cell::default(),
        });
        service.clone().register_counters();
        Ok(Some(service))
    }

    /// Adds the fleet's counters to the registry's report.
    fn register_counters(self: Rc<Self>) {
        let registry = self.registry.clone();
        let mut reports = registry.counters.extra_reports.borrow_mut();
        reports.push(Box::new(move |text| self.write_counters(text)));
    }

    /// Applies the keys of `fleet` that can change at run time: those of the version, ejection, disruption budgets and
    /// releases, the keys that sign datagrams, and zone evacuation if it was defined at the start. Changes of other
    /// keys take effect at the next start.
    pub fn reconfigure(&self, definition: Option<&schema::Fleet>) {
        let Some(definition) = definition else {
            tracing::warn!("operators' file defines no fleet, keeping the previous definition");
            return;
        };
        let Some(config) = tansymux_operator_config::fleet_config(definition, 0) else {
            tracing::warn!("fleet not reconfigured: a required key is missing or malformed");
            return;
        };
        self.failure_threshold.set(failure_threshold(definition));
        self.version_hash.set(version_hash(definition));
        let zones = config.zones.map(|zones| zones.config);
        self.member
            .borrow_mut()
            .set_config(config.rollout, config.keys, zones);
    }

    /// Receives and sends datagrams until the future is dropped.
    pub async fn run(self: Rc<Self>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let wake_ms = self.send_due();
            let received = async { Some(self.socket.receive(&mut buffer).await) };
            let timer = async {
                Timer::at(self.clock.instant(wake_ms)).await;
                None
            };
            match future::or(received, timer).await {
                Some(Ok((length, from))) => {
                    self.handle_datagram(from, &buffer[..length]);
                    self.handle_pending_datagrams(&mut buffer);
                }
                Some(Err(error)) => {
                    tracing::warn!(%error, "fleet datagram not received");
                    Timer::after(ERROR_PAUSE).await;
                }
                None => {}
            }
            future::yield_now().await;
        }
    }

    /// Handles the datagrams that are already queued on the socket. The caller has handled the first datagram of the
    /// batch of up to [`MAX_RECEIVE_BATCH`].
    fn handle_pending_datagrams(&self, buffer: &mut [u8]) {
        for _ in 1..MAX_RECEIVE_BATCH {
            let Ok((length, from)) = self.socket.try_receive(buffer) else {
                return;
            };
            self.handle_datagram(from, &buffer[..length]);
        }
    }

    fn handle_datagram(&self, from: SocketAddr, datagram: &[u8]) {
        self.socket.count_received();
        let event = FleetEvent::DatagramReceived { from, datagram };
        self.member.borrow_mut().handle(event, self.clock.now());
    }

    /// Sends the datagrams that are due. Returns the earliest time (ms) at which another datagram may be due.
    fn send_due(&self) -> f64 {
        let mut member = self.member.borrow_mut();
        let now_ms = self.clock.now();
        while let Some(FleetAction::Send { to, datagram }) = member.poll(now_ms) {
            self.socket.send(&datagram, to);
        }
        member.next_poll_ms()
    }

    /// Reports this dispatcher's evidence on zones to the fleet. `isolated`: this dispatcher reaches no zone, so it is
    /// itself cut off.
    pub fn report_zones(&self, evidence: Vec<ZoneEvidence>, isolated: bool) {
        self.member.borrow_mut().observe_zones(evidence, isolated);
    }

    /// Returns the fleet's decision on the use of a zone.
    pub fn zone_use(&self, zone: &str) -> ZoneUse {
        self.member.borrow().zone_use(name_hash(zone))
    }

    /// Whether the fleet coordinates zone evacuation and recovery.
    pub fn coordinates_zones(&self) -> bool {
        self.member.borrow().zones().is_some()
    }

    /// Leaves the fleet and notifies the other members immediately.
    pub fn leave(&self) {
        self.member
            .borrow_mut()
            .handle(FleetEvent::LeaveRequested, self.clock.now());
        self.send_due();
    }

    /// Records an attempt's outcome for outlier detection, unless outlier detection is off.
    pub fn on_attempt_ended(&self, event: &AttemptEnded, now_ms: f64) {
        if self.failure_threshold.get().is_none() {
            return;
        }
        let is_failure = match event.outcome {
            Outcome::Completed => false,
            Outcome::Error | Outcome::Reset | Outcome::Timeout | Outcome::NoConnection => true,
            Outcome::Full | Outcome::Cancelled | Outcome::NotSent | Outcome::Withdrawn => return,
        };
        self.engine_outcomes
            .borrow_mut()
            .record(event.engine_id, is_failure, now_ms);
    }

    /// Applies an endpoint list update. Sets the state of ready entries to `Draining` if the fleet has drained their
    /// engines.
    pub fn on_endpoints(&self, entries: &mut [EndpointEntry]) {
        let mut member = self.member.borrow_mut();
        self.engines.borrow_mut().merge(entries, &mut member);
    }

    /// Updates this dispatcher's status report every [`REPORT_INTERVAL_MS`]. Returns the endpoint entries of engines
    /// that the fleet has drained, or whose drain it has ended, since the last report.
    pub fn tick(&self, now_ms: f64, load: LoadReport) -> Vec<EndpointEntry> {
        if now_ms - self.last_report_ms.get() < REPORT_INTERVAL_MS {
            return Vec::new();
        }
        self.last_report_ms.set(now_ms);
        let status = self.member_status(now_ms, load);
        let mut member = self.member.borrow_mut();
        member.set_status(status);
        self.log_leadership(member.role());
        self.engines.borrow_mut().take_changes(now_ms, &member)
    }

    /// Logs whether this member is the leader, at the first report and at each change. `term` is the round of the
    /// ballot that this member knows.
    fn log_leadership(&self, role: Option<Role>) {
        let is_leader = matches!(role, Some(Role::Leader(_)));
        if self.was_leader.replace(Some(is_leader)) == Some(is_leader) {
            return;
        }
        let term = match role {
            Some(Role::Leader(ballot) | Role::Follower(ballot)) => Some(ballot.round),
            Some(Role::Candidate | Role::Quarantined { .. }) | None => None,
        };
        tracing::info!(is_leader, term, "leadership changed");
    }

    /// Returns this dispatcher's status report. Query counts wrap at 2^32: the leader uses only their differences.
    fn member_status(&self, now_ms: f64, load: LoadReport) -> MemberStatus {
        let counters = &self.registry.counters;
        let succeeded = counters.completed.get() as u32;
        let unsuccessful = counters.failed.get() + counters.rejected.get();
        let failing_engine = self.failure_threshold.get().and_then(|threshold| {
            let mut outcomes = self.engine_outcomes.borrow_mut();
            outcomes.failing_engine(&threshold, now_ms)
        });
        MemberStatus {
            zone: self.zone_hash,
            version: self.version_hash.get(),
            utilization: load.descriptors_used_fraction,
            threads: load.threads_in_flight,
            succeeded,
            total: succeeded.wrapping_add(unsuccessful as u32),
            failing_engine,
        }
    }

    /// Appends one line per counter.
    pub fn write_counters(&self, text: &mut String) {
        let member = self.member.borrow();
        let agent = member.agent();
        let is_leader = matches!(member.role(), Some(Role::Leader(_)));
        let is_quarantined = matches!(member.role(), Some(Role::Quarantined { .. }));
        let leader_known = agent.leader(self.clock.now()).is_some();
        let evacuated_zones = member
            .zones()
            .map_or(0, |zones| zones.follower.statuses().count());
        for (name, value) in [
            ("fleet_members", member.detector().present_count() as u64),
            ("fleet_leads", u64::from(is_leader)),
            ("fleet_recalls", u64::from(is_quarantined)),
            ("fleet_leader_known", u64::from(leader_known)),
            ("fleet_halted", u64::from(agent.halt().is_some())),
            (
                "fleet_engines_out",
                member.unavailable_engine_count() as u64,
            ),
            ("fleet_zones_out", evacuated_zones as u64),
            ("fleet_datagrams_sent", self.socket.sent()),
            ("fleet_datagrams_heard", self.socket.received()),
        ] {
            // Writing to a String cannot fail.
            let _ = writeln!(text, "{name} {value}");
        }
    }
}
