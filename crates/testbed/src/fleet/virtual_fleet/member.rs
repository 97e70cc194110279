//! One dispatcher's place in the virtual fleet: its process, if one runs, and its clocks.

use super::settings::member_address;
use super::{VirtualFleet, NEW_VERSION, OLD_VERSION};
use rand::RngExt;
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use tansymux_coordination::disruption_budget::Unit;
use tansymux_coordination::Role;
use tansymux_rollout::{FleetAction, FleetEvent, FleetNode, MemberStatus};

/// Engine ids start here, so that they differ from any other number.
pub(super) const FIRST_ENGINE_ID: u64 = 1000;
/// A member is polled at least this often (ms).
const MAX_POLL_INTERVAL_MS: f64 = 250.0;

/// A dispatcher's process, as it truly is.
pub(super) struct Member {
    /// The fleet object of the process; none while it is down.
    pub fleet: Option<FleetNode>,
    /// Speed of the host's clock against the true one.
    clock_rate: f64,
    /// What the process's clock read at true time 0.
    process_offset_ms: f64,
    /// The same of the host's clock, which supervisors and operators read: a restart of the process does not change it.
    host_offset_ms: f64,
    pub version: u32,
    pub stalled_until_ms: f64,
    /// When the process is started again; none while it runs.
    pub restart_at_ms: Option<f64>,
    pub next_poll_ms: f64,
    /// Datagrams that a stalled process has not read yet.
    pub queued_datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// The restart lease that the next start is told.
    pub lease_at_start: u64,
    requests_ok: u32,
    requests: u32,
}

impl Member {
    /// A member that is to be started at once, with clocks drawn from `rng`.
    pub fn new(rng: &mut Pcg32) -> Self {
        Member {
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

    /// Whether it runs and holds the leader's role by its own account.
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

    /// The process's clock at a true time.
    pub fn process_clock_ms(&self, true_ms: f64) -> f64 {
        self.process_offset_ms + true_ms * self.clock_rate
    }

    /// The host's clock at a true time.
    pub fn host_clock_ms(&self, true_ms: f64) -> f64 {
        self.host_offset_ms + true_ms * self.clock_rate
    }

    /// The true time at which the process's clock reads `process_ms`.
    fn true_ms(&self, process_ms: f64) -> f64 {
        (process_ms - self.process_offset_ms) / self.clock_rate
    }

    /// How long a span of the host's clock truly lasts (ms).
    pub fn true_span_ms(&self, host_span_ms: f64) -> f64 {
        host_span_ms / self.clock_rate
    }
}

/// Everything that a member sends at a time of its process's clock.
pub(super) fn due_datagrams(fleet: &mut FleetNode, process_ms: f64) -> Vec<(SocketAddr, Vec<u8>)> {
    let mut datagrams = Vec::new();
    while let Some(FleetAction::Send { to, datagram }) = fleet.poll(process_ms) {
        datagrams.push((to, datagram));
    }
    datagrams
}

impl VirtualFleet {
    pub(super) fn start_member(&mut self, n: usize) {
        let settings = self.member_settings(n);
        let seed = self.rng.random();
        // A new process reads another clock and does not know what the one before read.
        self.members[n].process_offset_ms += self.rng.random_range(-1e6..1e6);
        let process_ms = self.members[n].process_clock_ms(self.now_ms);
        let mut fleet = FleetNode::new(&settings, process_ms, seed);
        fleet.set_engines(&self.engine_units());
        let member = &mut self.members[n];
        member.fleet = Some(fleet);
        member.restart_at_ms = None;
        member.next_poll_ms = self.now_ms;
        member.stalled_until_ms = 0.0;
        member.requests_ok = 0;
        member.requests = 0;
        member.lease_at_start = 0;
        member.queued_datagrams.clear();
    }

    fn engine_units(&self) -> Vec<Unit> {
        (0..self.scenario.engines)
            .map(|engine| Unit {
                id: FIRST_ENGINE_ID + engine as u64,
                zone: (engine % 2) as u32,
                version: 0,
                available: true,
                capacity: 8.0,
            })
            .collect()
    }

    /// Ends a member's process; it is started again after `down_ms`.
    pub(super) fn stop_member(&mut self, n: usize, down_ms: f64) {
        self.members[n].fleet = None;
        self.members[n].restart_at_ms = Some(self.now_ms + down_ms);
    }

    /// Lets a member's process work, where it runs, is not stalled and has something due.
    pub(super) fn poll_member(&mut self, n: usize) {
        let now_ms = self.now_ms;
        let member = &mut self.members[n];
        if now_ms < member.stalled_until_ms || now_ms < member.next_poll_ms {
            return;
        }
        let process_ms = member.process_clock_ms(now_ms);
        let Some(fleet) = &mut member.fleet else {
            return;
        };
        for (from, bytes) in std::mem::take(&mut member.queued_datagrams) {
            let event = FleetEvent::DatagramReceived {
                from,
                datagram: &bytes,
            };
            fleet.handle(event, process_ms);
        }
        self.serve_requests(n);
        let zone = (n % self.scenario.zones) as u32 + 1;
        let member = &mut self.members[n];
        let Some(fleet) = &mut member.fleet else {
            return;
        };
        fleet.set_status(MemberStatus {
            zone,
            version: member.version,
            succeeded: member.requests_ok,
            total: member.requests,
            ..MemberStatus::default()
        });
        let datagrams = due_datagrams(fleet, process_ms);
        let next_ms = fleet.next_poll_ms();
        member.next_poll_ms = member
            .true_ms(next_ms)
            .clamp(now_ms, now_ms + MAX_POLL_INTERVAL_MS);
        for (to, bytes) in datagrams {
            self.send_datagram(n, member_address(n), to, bytes);
        }
    }

    /// Requests that a member has answered since it was polled last, by the quality of its version.
    fn serve_requests(&mut self, n: usize) {
        let quality = self.quality;
        let since_release_ms = self.now_ms - self.release_at_ms;
        let member = &mut self.members[n];
        let degraded =
            member.version == NEW_VERSION && since_release_ms >= quality.degraded_after_ms;
        let success = if degraded {
            quality.new_success
        } else {
            quality.old_success
        };
        let requests_per_poll = quality.requests_per_s * 0.25;
        if requests_per_poll > 0.0 && self.rng.random::<f64>() < 0.5 {
            for _ in 0..(2.0 * requests_per_poll) as u32 {
                member.requests += 1;
                member.requests_ok += u32::from(self.rng.random::<f64>() < success);
            }
        }
    }
}
