//! The member's side: the use of zones by the leader's decisions and quotas, or by local decisions.

use crate::{Stage, ZoneId, ZoneStatus, MAX_ZONES};
use std::collections::BTreeMap;

/// Time after the start for which other zones are closed if no message from the leader has arrived (ms). In this time
/// the member does not know which zones to avoid.
const STARTUP_CLOSED_MS: f64 = 2500.0;

/// The permitted use of a zone by a member.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ZoneUse {
    /// The member decides locally.
    LocalDecision,
    /// The member starts no new attempts in the zone.
    Closed,
    /// The member may use up to this fraction of the zone's full use.
    Fraction(f64),
}

/// A quota that the leader granted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaGrant {
    /// The recovering zone.
    pub zone: ZoneId,
    /// The decision that the quota belongs to.
    pub decision_number: u32,
    /// Fraction of the zone's full use.
    pub quota: f64,
    /// Time of this member's request (ms), at which the term starts.
    pub requested_ms: f64,
    /// Term of the quota (ms).
    pub term_ms: f64,
    /// Maximum relative difference between the rates of two clocks.
    pub clock_skew: f64,
}

/// An input of a follower.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FollowerEvent<'a> {
    /// The statuses that the leader has for all zones that are not in full use.
    DecisionsReceived(&'a [(ZoneId, ZoneStatus)]),
    /// A quota of a recovering zone. It is ignored if it does not belong to the zone's current decision.
    QuotaReceived(QuotaGrant),
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct KnownZone {
    status: ZoneStatus,
    quota: f64,
    quota_expires_ms: f64,
}

impl KnownZone {
    fn drop_quota(&mut self) {
        self.quota = 0.0;
        self.quota_expires_ms = f64::NEG_INFINITY;
    }
}

/// A member's view of evacuations.
#[derive(Debug, Clone)]
pub struct EvacuationFollower {
    local_zone: ZoneId,
    started_ms: f64,
    /// Time of the leader's last message (ms).
    leader_contact_ms: f64,
    autonomy_after_ms: f64,
    zones: BTreeMap<ZoneId, KnownZone>,
}

impl EvacuationFollower {
    /// Creates the view of a member of `local_zone` that has just started. For `autonomy_after_ms` see
    /// [`crate::Config`].
    pub fn new(local_zone: ZoneId, autonomy_after_ms: f64, now_ms: f64) -> Self {
        EvacuationFollower {
            local_zone,
            started_ms: now_ms,
            leader_contact_ms: f64::NEG_INFINITY,
            autonomy_after_ms,
            zones: BTreeMap::new(),
        }
    }

    /// Handles a message from the leader.
    pub fn handle(&mut self, event: FollowerEvent<'_>, now_ms: f64) {
        match event {
            FollowerEvent::DecisionsReceived(statuses) => self.on_decisions(statuses, now_ms),
            FollowerEvent::QuotaReceived(grant) => self.on_quota(&grant),
        }
    }

    fn on_decisions(&mut self, statuses: &[(ZoneId, ZoneStatus)], now_ms: f64) {
        self.leader_contact_ms = now_ms;
        self.zones
            .retain(|zone, _| statuses.iter().any(|(listed, _)| listed == zone));
        for (zone, status) in statuses.iter().take(MAX_ZONES) {
            let known = self.zones.entry(*zone).or_insert(KnownZone {
                status: *status,
                quota: 0.0,
                quota_expires_ms: f64::NEG_INFINITY,
            });
            // A lower number shows that the decision arrived out of order.
            if is_older(status.decision_number, known.status.decision_number) {
                continue;
            }
            if known.status.stage != status.stage {
                known.drop_quota();
            }
            known.status = *status;
        }
    }

    fn on_quota(&mut self, grant: &QuotaGrant) {
        let Some(known) = self.zones.get_mut(&grant.zone) else {
            return;
        };
        if known.status.decision_number != grant.decision_number {
            return;
        }
        let expires_ms = grant.requested_ms + grant.term_ms * (1.0 - grant.clock_skew);
        // The most recently requested quota applies, even if it is smaller. The leader counts the larger quota until
        // its term ends.
        if expires_ms >= known.quota_expires_ms {
            known.quota = grant.quota.clamp(0.0, 1.0);
            known.quota_expires_ms = expires_ms;
        }
    }

    /// The permitted use of a zone at `now_ms`.
    pub fn zone_use(&self, zone: ZoneId, now_ms: f64) -> ZoneUse {
        // Members inside a zone continue to use it.
        if zone == self.local_zone {
            return ZoneUse::LocalDecision;
        }
        let Some(known) = self.zones.get(&zone) else {
            return self.use_of_unknown_zone(now_ms);
        };
        if now_ms - self.leader_contact_ms > self.autonomy_after_ms {
            return ZoneUse::LocalDecision;
        }
        let has_quota = now_ms < known.quota_expires_ms && known.quota > 0.0;
        match known.status.stage {
            Stage::Recovering if has_quota => ZoneUse::Fraction(known.quota),
            Stage::Recovering | Stage::Evacuated => ZoneUse::Closed,
        }
    }

    fn use_of_unknown_zone(&self, now_ms: f64) -> ZoneUse {
        let has_no_leader_contact = self.leader_contact_ms == f64::NEG_INFINITY;
        if has_no_leader_contact && now_ms - self.started_ms < STARTUP_CLOSED_MS {
            ZoneUse::Closed
        } else {
            ZoneUse::LocalDecision
        }
    }

    /// All zones that are not in full use, as the leader last reported them.
    pub fn statuses(&self) -> impl Iterator<Item = (ZoneId, ZoneStatus)> + '_ {
        self.zones.iter().map(|(zone, known)| (*zone, known.status))
    }

    /// Time since the leader's last message, or since the start (ms).
    pub fn time_since_leader_contact_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.leader_contact_ms.max(self.started_ms)
    }
}

/// Whether the decision number `number` precedes `other`. Decision numbers wrap around.
fn is_older(number: u32, other: u32) -> bool {
    number.wrapping_sub(other) > u32::MAX / 2
}
