//! One dispatcher of the virtual fleet: its process, if one runs, and its clocks.

use super::environment::Environment;
use super::settings::member_address;
use super::OLD_VERSION;
use rand::RngExt;
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use tansymux_coordination::Role;
use tansymux_rollout::{FleetAction, FleetEvent, FleetNode, MemberStatus};

/// Maximum interval between two polls of a member (ms).
const MAX_POLL_INTERVAL_MS: f64 = 250.0;
/// Capacity of a stalled process's socket buffer (datagrams). Further datagrams are lost.
const SOCKET_BUFFER_DATAGRAMS: usize = 200;
/// Mean time between two polls of a member (s), from which the number of requests per poll is computed.
const REQUEST_INTERVAL_S: f64 = 0.25;
/// Probability that a poll counts requests. Such a poll counts a burst: the requests of 1 / `BURST_PROBABILITY` polls.
const BURST_PROBABILITY: f64 = 0.5;

/// The rate and success of the requests to a member.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestLoad {
    pub requests_per_s: f64,
    /// Fraction of the requests that succeed.
    pub success: f64,
}

/// A dispatcher with the true state of its process.
pub(super) struct Member {
    index: usize,
    /// The process's fleet node; `None` while the process is down.
    fleet: Option<FleetNode>,
    /// Rate of the host's and the process's clock relative to true time.
    clock_rate: f64,
    /// Reading of the process's clock at true time 0 (ms).
    process_offset_ms: f64,
    /// Reading of the host's clock at true time 0 (ms). Supervisors and operators use this clock. A restart of the
    /// process does not change it.
    host_offset_ms: f64,
    version: u32,
    /// End of the current or last stall (true ms).
    stalled_until_ms: f64,
    /// Time of the process's next start (true ms); `None` while it runs.
    restart_at_ms: Option<f64>,
    /// Time of the next poll (true ms).
    next_poll_ms: f64,
    /// Datagrams that a stalled process has not read yet.
    queued_datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// The restart lease under which the process is started next.
    lease_at_start: u64,
    requests_ok: u32,
    requests: u32,
}

impl Member {
    /// A member whose start is due at once, with clocks drawn from `rng`.
    pub fn new(index: usize, rng: &mut Pcg32) -> Self {
        Member {
            index,
            fleet: None,
            clock_rate: rng.random_range(0.995..1.005),
            process_offset_ms: rng.random_range(0.0..1e12),
            host_offset_ms: rng.random_range(0.0..1e12),
            version: OLD_VERSION,
            stalled_until_ms: 0.0,
            restart_at_ms: Some(0.0),
            next_poll_ms: 0.0,
            queued_datagrams: Vec::new(),
            lease_at_start: 0,
            requests_ok: 0,
            requests: 0,
        }
    }

    /// Whether the member's process is up.
    pub fn is_running(&self) -> bool {
        self.fleet.is_some()
    }

    /// The fleet node of the member's process, while it is up.
    pub fn fleet(&self) -> Option<&FleetNode> {
        self.fleet.as_ref()
    }

    /// Mutable access to the fleet node of the member's process, while it is up.
    pub fn fleet_mut(&mut self) -> Option<&mut FleetNode> {
        self.fleet.as_mut()
    }

    /// The version that the member runs, or runs once it is started.
    pub fn version(&self) -> u32 {
        self.version
    }

    /// The restart lease under which the process is started next.
    pub fn lease_at_start(&self) -> u64 {
        self.lease_at_start
    }

    /// Whether the member runs and considers itself the leader.
    pub fn is_leader(&self) -> bool {
        let Some(fleet) = &self.fleet else {
            return false;
        };
        matches!(fleet.role(), Some(Role::Leader(_)))
            && fleet
                .quorum()
                .and_then(|quorum| quorum.leader_since_ms())
                .is_some()
    }

    /// The reading of the process's clock at a true time (ms).
    pub fn process_clock_ms(&self, true_ms: f64) -> f64 {
        self.process_offset_ms + true_ms * self.clock_rate
    }

    /// The reading of the host's clock at a true time (ms).
    pub fn host_clock_ms(&self, true_ms: f64) -> f64 {
        self.host_offset_ms + true_ms * self.clock_rate
    }

    /// The true time at which the process's clock reads `process_ms` (ms).
    fn true_ms(&self, process_ms: f64) -> f64 {
        (process_ms - self.process_offset_ms) / self.clock_rate
    }

    /// The true duration of a span of the host's clock (ms).
    pub fn true_span_ms(&self, host_span_ms: f64) -> f64 {
        host_span_ms / self.clock_rate
    }

    /// Whether the process is down and its next start is due.
    pub fn is_start_due(&self, now_ms: f64) -> bool {
        self.restart_at_ms
            .is_some_and(|restart_at_ms| now_ms >= restart_at_ms)
    }

    /// Sets the time of the process's next start (true ms).
    pub fn start_at(&mut self, at_ms: f64) {
        self.restart_at_ms = Some(at_ms);
    }

    /// Shifts the process's clock. A restarted process has a clock unrelated to that of its predecessor.
    pub fn shift_process_clock(&mut self, shift_ms: f64) {
        self.process_offset_ms += shift_ms;
    }

    /// Starts a process with this fleet node.
    pub fn start(&mut self, fleet: FleetNode, now_ms: f64) {
        self.fleet = Some(fleet);
        self.restart_at_ms = None;
        self.next_poll_ms = now_ms;
        self.stalled_until_ms = 0.0;
        self.requests_ok = 0;
        self.requests = 0;
        self.lease_at_start = 0;
        self.queued_datagrams.clear();
    }

    /// Stops the process and schedules its restart at `restart_at_ms`.
    pub fn stop(&mut self, restart_at_ms: f64) {
        self.fleet = None;
        self.restart_at_ms = Some(restart_at_ms);
    }

    /// Stops the process and schedules its restart on another version under a restart lease.
    pub fn restart_on(&mut self, version: u32, lease: u64, restart_at_ms: f64) {
        self.version = version;
        self.lease_at_start = lease;
        self.stop(restart_at_ms);
    }

    /// Stalls the process until `until_ms`.
    pub fn stall(&mut self, until_ms: f64) {
        self.stalled_until_ms = until_ms;
    }

    /// Delivers a datagram to the process, if it runs; a stalled process reads it later.
    pub fn deliver(&mut self, source: SocketAddr, bytes: Vec<u8>, now_ms: f64) {
        if self.is_running() && now_ms < self.stalled_until_ms {
            if self.queued_datagrams.len() < SOCKET_BUFFER_DATAGRAMS {
                self.queued_datagrams.push((source, bytes));
            }
            return;
        }
        let process_ms = self.process_clock_ms(now_ms);
        if let Some(fleet) = &mut self.fleet {
            let event = FleetEvent::DatagramReceived {
                from: source,
                datagram: &bytes,
            };
            fleet.handle(event, process_ms);
            self.next_poll_ms = self.next_poll_ms.min(now_ms);
        }
    }

    /// Polls the process if it runs, is not stalled and is due. `load`: the load under which it has run since its last
    /// poll.
    pub fn poll(&mut self, load: RequestLoad, environment: &mut Environment) {
        let now_ms = environment.now_ms;
        if now_ms < self.stalled_until_ms || now_ms < self.next_poll_ms {
            return;
        }
        let process_ms = self.process_clock_ms(now_ms);
        let Some(fleet) = &mut self.fleet else {
            return;
        };
        for (from, bytes) in std::mem::take(&mut self.queued_datagrams) {
            let event = FleetEvent::DatagramReceived {
                from,
                datagram: &bytes,
            };
            fleet.handle(event, process_ms);
        }
        self.serve_requests(load, &mut environment.rng);
        self.report_status(environment.scenario.zones);
        self.send_due_datagrams(process_ms, environment);
    }

    /// Draws and counts the requests that the member has answered since its last poll.
    fn serve_requests(&mut self, load: RequestLoad, rng: &mut Pcg32) {
        let requests_per_poll = load.requests_per_s * REQUEST_INTERVAL_S;
        if requests_per_poll > 0.0 && rng.random::<f64>() < BURST_PROBABILITY {
            for _ in 0..(requests_per_poll / BURST_PROBABILITY) as u32 {
                self.requests += 1;
                self.requests_ok += u32::from(rng.random::<f64>() < load.success);
            }
        }
    }

    fn report_status(&mut self, zones: usize) {
        let status = MemberStatus {
            zone: (self.index % zones) as u32 + 1,
            version: self.version,
            succeeded: self.requests_ok,
            total: self.requests,
            ..MemberStatus::default()
        };
        if let Some(fleet) = &mut self.fleet {
            fleet.set_status(status);
        }
    }

    fn send_due_datagrams(&mut self, process_ms: f64, environment: &mut Environment) {
        let Some(fleet) = &mut self.fleet else {
            return;
        };
        let datagrams = due_datagrams(fleet, process_ms);
        let next_ms = fleet.next_poll_ms();
        let now_ms = environment.now_ms;
        self.next_poll_ms = self
            .true_ms(next_ms)
            .clamp(now_ms, now_ms + MAX_POLL_INTERVAL_MS);
        self.send_all(datagrams, environment);
    }

    /// Announces the member's departure to the other members, if its process runs.
    pub fn leave(&mut self, environment: &mut Environment) {
        let process_ms = self.process_clock_ms(environment.now_ms);
        let Some(fleet) = &mut self.fleet else {
            return;
        };
        fleet.handle(FleetEvent::LeaveRequested, process_ms);
        let datagrams = due_datagrams(fleet, process_ms);
        self.send_all(datagrams, environment);
    }

    fn send_all(&self, datagrams: Vec<(SocketAddr, Vec<u8>)>, environment: &mut Environment) {
        for (to, bytes) in datagrams {
            environment.send_datagram(self.index, member_address(self.index), to, bytes);
        }
    }
}

/// All datagrams that a member sends when its process's clock reads `process_ms`.
fn due_datagrams(fleet: &mut FleetNode, process_ms: f64) -> Vec<(SocketAddr, Vec<u8>)> {
    let mut datagrams = Vec::new();
    while let Some(FleetAction::Send { to, datagram }) = fleet.poll(process_ms) {
        datagrams.push((to, datagram));
    }
    datagrams
}
