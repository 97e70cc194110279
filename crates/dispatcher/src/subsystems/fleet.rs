//! The fleet in the program: its datagrams in and out, this dispatcher's reports, and the engines that the fleet has
//! drained. What is agreed on is decided in `tansymux-rollout` and `tansymux-coordination`.
//!
//! [`FleetService::run`] is the task on the socket; everything else is called by the driver.

mod engine_watch;

use crate::clock::Clock;
use crate::net::{receive_datagram, send_datagram, uninterrupted};
use crate::query_registry::{EndpointEntry, QueryRegistry};
use async_io::{Async, Timer};
use engine_watch::EngineWatch;
use futures_lite::future;
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

/// How often (ms) this dispatcher's report is put together.
const REPORT_INTERVAL_MS: f64 = 200.0;
/// Datagrams that are read at a time, before answers to them go out.
const MAX_RECEIVE_BATCH: usize = 128;
/// Longest datagram that is read, in bytes; messages of the fleet are shorter.
const MAX_DATAGRAM_BYTES: usize = 512;
/// Pause after an error of the socket, so that a lasting one does not take all processor time.
const ERROR_PAUSE: Duration = Duration::from_millis(20);
/// Environment variable with the restart lease (in hex) under which the program is started.
const TURN_VARIABLE: &str = "TANSYMUX_TURN";

/// Why the fleet's part could not start.
#[derive(Debug, thiserror::Error)]
pub enum FleetStartError {
    /// `fleet` is there without all its required keys.
    #[error("fleet: a required key is missing")]
    Incomplete,
    /// `fleet.listen` cannot be used.
    #[error("fleet.listen is {value:?}, allowed is an address with a port")]
    InvalidListen {
        /// What stands in the file.
        value: String,
    },
    /// The address cannot be bound.
    #[error("fleet.listen {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
}

/// What the driver knows of this dispatcher, for its report.
#[derive(Debug, Clone, Copy)]
pub struct LoadReport {
    /// Fraction of its descriptors that is in use.
    pub descriptors_used: f64,
    /// Threads that its queries use on engines.
    pub threads_in_flight: f64,
}

/// This dispatcher as a member of a fleet.
pub struct FleetService {
    member: RefCell<FleetNode>,
    socket: Async<UdpSocket>,
    clock: Clock,
    registry: Rc<QueryRegistry>,
    evidence: RefCell<EngineOutcomes>,
    /// When an engine counts as bad; none where engines are not ejected.
    ejection: Cell<Option<FailureThreshold>>,
    zone: u32,
    version: Cell<u32>,
    engines: RefCell<EngineWatch>,
    last_report_ms: Cell<f64>,
    /// Whether this member led at the last report; none before the first.
    was_leader: Cell<Option<bool>>,
    datagrams_sent: Cell<u64>,
    datagrams_received: Cell<u64>,
}

impl FleetService {
    /// None where the operators' file defines no fleet.
    ///
    /// # Errors
    /// A required key is missing, or the address cannot be bound.
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
        let mut member_settings =
            tansymux_operator_config::fleet_config(definition, lease_of_start())
                .ok_or(FleetStartError::Incomplete)?;
        let zone = settings.local_zone.as_deref().map_or(0, name_hash);
        if let Some((own_zone, _)) = &mut member_settings.zones {
            *own_zone = zone;
        }
        let address = listen_address(definition)?;
        let socket = bind(address).map_err(|source| FleetStartError::Bind { address, source })?;
        let now_ms = clock.now();
        let seed = incarnation_seed(seed, now_ms);
        let service = Rc::new(FleetService {
            member: RefCell::new(FleetNode::new(&member_settings, now_ms, seed)),
            socket,
            clock,
            registry,
            evidence: RefCell::default(),
            ejection: Cell::new(ejection_settings(definition)),
            zone,
            version: Cell::new(version_number(definition)),
            engines: RefCell::new(EngineWatch::new(settings.clone())),
            last_report_ms: Cell::new(f64::NEG_INFINITY),
            was_leader: Cell::default(),
            datagrams_sent: Cell::default(),
            datagrams_received: Cell::default(),
        });
        let counted = service.clone();
        let counters = &service.registry.counters;
        counters
            .extra_reports
            .borrow_mut()
            .push(Box::new(move |text| counted.write_counters(text)));
        Ok(Some(service))
    }

    /// Applies what of `fleet` may change while the program runs; the rest waits for the next start.
    pub fn reconfigure(&self, definition: Option<&schema::Fleet>) {
        let Some(definition) = definition else {
            tracing::warn!("fleet kept as it was: the operators' file defines none any more");
            return;
        };
        let Some(settings) = tansymux_operator_config::fleet_config(definition, 0) else {
            tracing::warn!("fleet kept as it was: a required key is missing");
            return;
        };
        self.ejection.set(ejection_settings(definition));
        self.version.set(version_number(definition));
        let zones = settings.zones.map(|(_, zones)| zones);
        self.member
            .borrow_mut()
            .set_config(settings.rollout, settings.keys, zones);
    }

    /// Receives and sends datagrams until it is dropped.
    pub async fn run(self: Rc<Self>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let wake_ms = self.send_due();
            let datagram = async { Some(receive_datagram(&self.socket, &mut buffer).await) };
            let timer = async {
                Timer::at(self.clock.instant(wake_ms)).await;
                None
            };
            match future::or(datagram, timer).await {
                Some(Ok((count, from))) => {
                    self.receive(from, &buffer[..count]);
                    self.receive_pending(&mut buffer);
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

    /// Takes what else has arrived, up to a batch.
    fn receive_pending(&self, buffer: &mut [u8]) {
        for _ in 1..MAX_RECEIVE_BATCH {
            let socket = self.socket.get_ref();
            let Ok((count, from)) = uninterrupted(|| socket.recv_from(buffer)) else {
                return;
            };
            self.receive(from, &buffer[..count]);
        }
    }

    fn receive(&self, from: SocketAddr, datagram: &[u8]) {
        self.datagrams_received
            .set(self.datagrams_received.get() + 1);
        self.member.borrow_mut().handle(
            FleetEvent::DatagramReceived { from, datagram },
            self.clock.now(),
        );
    }

    /// Sends what is due. Gives the time (ms) at which something will be due next.
    fn send_due(&self) -> f64 {
        let mut member = self.member.borrow_mut();
        let now_ms = self.clock.now();
        while let Some(FleetAction::Send { to, datagram }) = member.poll(now_ms) {
            match send_datagram(&self.socket, &datagram, to) {
                Ok(_) => self.datagrams_sent.set(self.datagrams_sent.get() + 1),
                // Counts as lost on its way: the protocol sends again what matters.
                Err(error) => tracing::debug!(%to, %error, "fleet datagram not sent"),
            }
        }
        member.next_poll_ms()
    }

    /// What this dispatcher observed of zones, for the fleet. `isolated`: it is cut off itself.
    pub fn report_zones(&self, evidence: Vec<ZoneEvidence>, isolated: bool) {
        self.member.borrow_mut().observe_zones(evidence, isolated);
    }

    /// How a zone may be used, as the fleet agreed.
    pub fn zone_use(&self, zone: &str) -> ZoneUse {
        self.member.borrow().use_of(name_hash(zone))
    }

    /// Whether the fleet evacuates zones and returns to them as a whole.
    pub fn coordinates_zones(&self) -> bool {
        self.member.borrow().zones().is_some()
    }

    /// Leaves the fleet: tells the other members at once.
    pub fn leave(&self) {
        self.member
            .borrow_mut()
            .handle(FleetEvent::LeaveRequested, self.clock.now());
        self.send_due();
    }

    /// Counts an attempt's end as evidence for or against its engine, where engines may be ejected.
    pub fn on_attempt_ended(&self, event: &AttemptEnded, now_ms: f64) {
        if self.ejection.get().is_none() {
            return;
        }
        let is_failure = match event.outcome {
            Outcome::Completed => false,
            Outcome::Error | Outcome::Reset | Outcome::Timeout | Outcome::NoConnection => true,
            Outcome::Full | Outcome::Cancelled | Outcome::NotSent | Outcome::Withdrawn => return,
        };
        self.evidence
            .borrow_mut()
            .record(event.engine_id, is_failure, now_ms);
    }

    /// Merges entries of an endpoint list, and marks those that the fleet has drained as draining, whatever the list
    /// says.
    pub fn on_endpoints(&self, entries: &mut [EndpointEntry]) {
        let mut member = self.member.borrow_mut();
        self.engines.borrow_mut().merge(entries, &mut member);
    }

    /// Reports how this dispatcher does, every [`REPORT_INTERVAL_MS`]. Gives the engines that the fleet has drained or
    /// released since the last time, as endpoint entries.
    pub fn tick(&self, now_ms: f64, load: LoadReport) -> Vec<EndpointEntry> {
        if now_ms - self.last_report_ms.get() < REPORT_INTERVAL_MS {
            return Vec::new();
        }
        self.last_report_ms.set(now_ms);
        let report = self.own_report(now_ms, load);
        let mut member = self.member.borrow_mut();
        member.set_status(report);
        self.log_leadership(member.role());
        self.engines.borrow_mut().changes(now_ms, &member)
    }

    /// Logs that this member became the leader, or ceased to be. `term` is the round of the ballot that it knows of.
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

    /// What this dispatcher reports of itself. Counts go as they are, modulo 2^32: the leader takes differences.
    fn own_report(&self, now_ms: f64, load: LoadReport) -> MemberStatus {
        let counters = &self.registry.counters;
        let good = counters.completed.get() as u32;
        let not_good = counters.failed.get() + counters.rejected.get();
        let bad = self.ejection.get().and_then(|threshold| {
            self.evidence
                .borrow_mut()
                .failing_engine(&threshold, now_ms)
        });
        MemberStatus {
            zone: self.zone,
            version: self.version.get(),
            utilization: load.descriptors_used,
            threads: load.threads_in_flight,
            succeeded: good,
            total: good.wrapping_add(not_good as u32),
            failing_engine: bad,
        }
    }

    /// Lines for the counters.
    pub fn write_counters(&self, text: &mut String) {
        let member = self.member.borrow();
        let agent = member.agent();
        let leads = matches!(member.role(), Some(Role::Leader(_)));
        let recalls = matches!(member.role(), Some(Role::Quarantined { .. }));
        let leader_known = agent.leader(self.clock.now()).is_some();
        let zones_out = member
            .zones()
            .map_or(0, |zones| zones.follower.statuses().count());
        for (name, value) in [
            ("fleet_members", member.detector().present_count() as u64),
            ("fleet_leads", u64::from(leads)),
            ("fleet_recalls", u64::from(recalls)),
            ("fleet_leader_known", u64::from(leader_known)),
            ("fleet_halted", u64::from(agent.halt().is_some())),
            (
                "fleet_engines_out",
                member.unavailable_engine_count() as u64,
            ),
            ("fleet_zones_out", zones_out as u64),
            ("fleet_datagrams_sent", self.datagrams_sent.get()),
            ("fleet_datagrams_heard", self.datagrams_received.get()),
        ] {
            // Writing to a String cannot fail.
            let _ = writeln!(text, "{name} {value}");
        }
    }
}

/// The restart lease that the environment names, 0 for none.
fn lease_of_start() -> u64 {
    let Ok(lease) = std::env::var(TURN_VARIABLE) else {
        return 0;
    };
    u64::from_str_radix(lease.trim(), 16).unwrap_or(0)
}

/// The seed of the decisions comes from the platform, and may be the same at the next start. What tells one life of a
/// member from the next may not.
fn incarnation_seed(seed: u64, now_ms: f64) -> u64 {
    seed ^ (now_ms * 1000.0) as u64 ^ u64::from(std::process::id()) << 32
}

fn listen_address(definition: &schema::Fleet) -> Result<SocketAddr, FleetStartError> {
    let listen = definition.listen();
    listen.parse().map_err(|_| FleetStartError::InvalidListen {
        value: listen.to_owned(),
    })
}

fn ejection_settings(definition: &schema::Fleet) -> Option<FailureThreshold> {
    let ejection = definition.ejection.as_ref()?;
    Some(FailureThreshold {
        min_attempts: ejection.ends(),
        failure_fraction: ejection.part(),
    })
}

/// The version that this member reports: the one of the operators' file, else the program's.
fn version_number(definition: &schema::Fleet) -> u32 {
    let version = definition.version.as_deref();
    name_hash(version.unwrap_or(env!("CARGO_PKG_VERSION")))
}
