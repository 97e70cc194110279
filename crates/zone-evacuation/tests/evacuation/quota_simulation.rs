//! Simulation of members that request quotas of a recovering zone over a lossy network. Members are paused, killed and
//! restarted; their clocks have different rates.

use crate::leader::{EAST, WEST};
use crate::recovering;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tansymux_zone_evacuation::{
    Config, EvacuationFollower, FollowerEvent, QuotaGrant, QuotaRequest, RampQuotas, ZoneUse,
};

/// Resolution of virtual time (ms).
const STEP_MS: f64 = 20.0;
/// Length of a run (ms).
const DURATION_MS: f64 = 60_000.0;
/// Interval of a member's requests (ms).
const REQUEST_MS: f64 = 1000.0;

/// The event at which the term of a quota starts at a member.
#[derive(Clone, Copy, PartialEq)]
pub enum TermStart {
    /// The request, as specified.
    Request,
    /// The arrival of the reply. The member then uses the quota for too long.
    Reply,
}

/// The leader's reply, with a quota. Times are by the member's clock.
struct Reply {
    decision_number: u32,
    quota: f64,
    requested_ms: f64,
}

/// A message in flight. Its arrival time is by the simulation's clock.
struct InFlight {
    arrival_ms: f64,
    member: usize,
    content: Content,
}

enum Content {
    /// A request to the leader. The time is by the member's clock.
    Request { requested_ms: f64 },
    /// A reply to the member.
    Reply(Reply),
}

struct Member {
    follower: EvacuationFollower,
    /// Rate of the member's clock.
    clock_rate: f64,
    demand: f64,
    paused_until_ms: f64,
    next_request_ms: f64,
    /// Replies that have arrived but are not handled yet, including those that arrived during a pause.
    received: Vec<Reply>,
}

/// The result of a run.
#[derive(Clone, Copy)]
pub struct QuotaUse {
    /// Maximum excess of the sum of all quotas, each by its member's clock, over the largest ramp step of the last
    /// term.
    pub overrun: f64,
    /// Maximum fraction of a ramp step that was in use.
    pub used_fraction: f64,
}

/// A leader's quotas, its members and the network between them.
pub struct QuotaSimulation {
    config: Config,
    rng: Pcg32,
    is_lossy: bool,
    term_start: TermStart,
    quotas: RampQuotas,
    members: Vec<Member>,
    in_flight: Vec<InFlight>,
    step: u8,
    decision_number: u32,
    /// Times (ms) and ramp fractions within the last term.
    recent_fractions: Vec<(f64, f64)>,
    now_ms: f64,
}

impl QuotaSimulation {
    pub fn new(seed: u64, members: usize, term_start: TermStart) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let members = (0..members).map(|n| Member::new(n, &mut rng)).collect();
        QuotaSimulation {
            config: Config {
                quota_term_ms: 3000.0,
                clock_skew: 0.02,
                ..Config::default()
            },
            rng,
            is_lossy: seed.is_multiple_of(2),
            term_start,
            quotas: RampQuotas::default(),
            members,
            in_flight: Vec::new(),
            step: 0,
            decision_number: 1,
            recent_fractions: Vec::new(),
            now_ms: 0.0,
        }
    }

    pub fn run(mut self) -> QuotaUse {
        let mut overrun = 0.0_f64;
        let mut used_fraction = 0.0_f64;
        while self.now_ms < DURATION_MS {
            self.now_ms += STEP_MS;
            self.maybe_change_step();
            let fraction = self.config.ramp_fraction(self.step);
            self.recent_fractions.push((self.now_ms, fraction));
            // Covers the term of a quota at the leader, which is extended by the clock skew, with a margin.
            let window_ms = self.config.quota_term_ms * 1.06 + STEP_MS;
            let now_ms = self.now_ms;
            self.recent_fractions
                .retain(|(at_ms, _)| now_ms - at_ms <= window_ms);
            for member in 0..self.members.len() {
                self.run_member(member);
            }
            self.deliver();
            let held_sum = self.held_total();
            let limit = self
                .recent_fractions
                .iter()
                .map(|(_, fraction)| *fraction)
                .fold(0.0, f64::max);
            overrun = overrun.max(held_sum - limit);
            used_fraction = used_fraction.max(held_sum / fraction);
        }
        QuotaUse {
            overrun,
            used_fraction,
        }
    }

    fn maybe_change_step(&mut self) {
        if !self.rng.random_bool(0.004) {
            return;
        }
        self.step = if self.rng.random_bool(0.3) {
            self.step / 2
        } else {
            (self.step + 1).min(8)
        };
        self.decision_number += 1;
    }

    fn run_member(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let member = &mut self.members[index];
        if self.rng.random_bool(0.0005) {
            member.paused_until_ms = now_ms + self.rng.random_range(500.0..20_000.0);
        }
        if self.rng.random_bool(0.0003) {
            // The member is killed and restarts without its state. Its clock continues.
            member.follower = EvacuationFollower::new(WEST, 1e9, now_ms * member.clock_rate);
            member.received.clear();
        }
        if now_ms < member.paused_until_ms {
            return;
        }
        let member_now_ms = now_ms * member.clock_rate;
        for reply in std::mem::take(&mut member.received) {
            member.handle_reply(
                &reply,
                self.step,
                self.term_start,
                &self.config,
                member_now_ms,
            );
        }
        if now_ms >= member.next_request_ms {
            member.next_request_ms = now_ms + REQUEST_MS;
            let delay_ms = self.draw_delay_ms();
            if !(self.is_lossy && self.rng.random_bool(0.3)) {
                self.in_flight.push(InFlight {
                    arrival_ms: now_ms + delay_ms,
                    member: index,
                    content: Content::Request {
                        requested_ms: member_now_ms,
                    },
                });
            }
        }
    }

    fn draw_delay_ms(&mut self) -> f64 {
        if self.is_lossy && self.rng.random_bool(0.05) {
            10_000.0
        } else {
            self.rng.random_range(0.0..80.0)
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let in_flight = std::mem::take(&mut self.in_flight);
        let (due, rest): (Vec<_>, Vec<_>) = in_flight
            .into_iter()
            .partition(|message| message.arrival_ms <= now_ms);
        self.in_flight = rest;
        for message in due {
            match message.content {
                Content::Request { requested_ms } => self.send_reply(message.member, requested_ms),
                Content::Reply(reply) => self.members[message.member].received.push(reply),
            }
        }
    }

    fn send_reply(&mut self, member: usize, requested_ms: f64) {
        let request = QuotaRequest {
            member: member as u64,
            demand: self.members[member].demand,
            total: self.config.ramp_fraction(self.step),
            term_ms: self.config.quota_term_ms,
            clock_skew: self.config.clock_skew,
        };
        let quota = self.quotas.request(&request, self.now_ms);
        let delay_ms = self.draw_delay_ms();
        self.in_flight.push(InFlight {
            arrival_ms: self.now_ms + delay_ms,
            member,
            content: Content::Reply(Reply {
                decision_number: self.decision_number,
                quota,
                requested_ms,
            }),
        });
    }

    /// The sum of all quotas, each by its member's clock.
    fn held_total(&self) -> f64 {
        self.members
            .iter()
            .map(|member| {
                let member_now_ms = self.now_ms * member.clock_rate;
                match member.follower.zone_use(EAST, member_now_ms) {
                    ZoneUse::Fraction(fraction) => fraction,
                    ZoneUse::LocalDecision | ZoneUse::Closed => 0.0,
                }
            })
            .sum()
    }
}

impl Member {
    fn new(index: usize, rng: &mut Pcg32) -> Self {
        Member {
            follower: EvacuationFollower::new(WEST, 1e9, 0.0),
            clock_rate: rng.random_range(0.991..1.009),
            // Some members have ten times the mean demand.
            demand: if index.is_multiple_of(10) {
                10.0
            } else {
                rng.random_range(0.0..2.0)
            },
            paused_until_ms: 0.0,
            next_request_ms: rng.random_range(0.0..1000.0),
            received: Vec::new(),
        }
    }

    fn handle_reply(
        &mut self,
        reply: &Reply,
        step: u8,
        term_start: TermStart,
        config: &Config,
        member_now_ms: f64,
    ) {
        let statuses = [(EAST, recovering(step, reply.decision_number))];
        let decisions = FollowerEvent::DecisionsReceived(&statuses);
        self.follower.handle(decisions, member_now_ms);
        let grant = QuotaGrant {
            zone: EAST,
            decision_number: reply.decision_number,
            quota: reply.quota,
            requested_ms: match term_start {
                TermStart::Request => reply.requested_ms,
                TermStart::Reply => member_now_ms,
            },
            term_ms: config.quota_term_ms,
            clock_skew: config.clock_skew,
        };
        self.follower
            .handle(FollowerEvent::QuotaReceived(grant), member_now_ms);
    }
}
