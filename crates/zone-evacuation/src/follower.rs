//! A member's side: what it makes of the leader's decisions and quotas, and of not hearing them.

use crate::{Stage, ZoneId, ZoneStatus, MAX_ZONES};
use std::collections::BTreeMap;

/// After a start, other zones are closed until a message of the leader arrives, for this long at the most (ms): a member that
/// knows no decisions does not know which zones to avoid.
const STARTUP_CLOSED_MS: f64 = 2500.0;

/// How a zone may be used from here.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ZoneUse {
    /// The dispatcher's own judgement decides.
    LocalDecision,
    /// Nothing new is sent there.
    Closed,
    /// This fraction of the zone's full use.
    Fraction(f64),
}

/// A quota as the leader granted it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaGrant {
    /// The returning zone.
    pub zone: ZoneId,
    /// The decision that the quota belongs to.
    pub decision_number: u32,
    /// Fraction of the zone's full use.
    pub quota: f64,
    /// When this member asked for it (ms): its term is counted from here.
    pub requested_ms: f64,
    /// How long it may be used (ms).
    pub term_ms: f64,
    /// Largest relative difference between the rates of two clocks.
    pub clock_skew: f64,
}

/// What a follower reacts to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FollowerEvent<'a> {
    /// The status of all zones that are not in full use, as the leader knows them.
    DecisionsReceived(&'a [(ZoneId, ZoneStatus)]),
    /// A quota of a returning zone. One that belongs to another decision than the zone's current one is ignored.
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

/// One member's view of evacuations.
#[derive(Debug, Clone)]
pub struct EvacuationFollower {
    own_zone: ZoneId,
    started_ms: f64,
    /// When the leader's last message arrived.
    leader_contact_ms: f64,
    autonomy_after_ms: f64,
    zones: BTreeMap<ZoneId, KnownZone>,
}

impl EvacuationFollower {
    /// A member of `own_zone` that just started; for `autonomy_after_ms` see [`crate::Config`].
    pub fn new(own_zone: ZoneId, autonomy_after_ms: f64, now_ms: f64) -> Self {
        EvacuationFollower {
            own_zone,
            started_ms: now_ms,
            leader_contact_ms: f64::NEG_INFINITY,
            autonomy_after_ms,
            zones: BTreeMap::new(),
        }
    }

    /// Takes what the leader sent.
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
            // A decision that was overtaken on its way has a lower number.
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
        // The quota requested last holds, also if it is smaller: the leader relies on it only after the term.
        if expires_ms >= known.quota_expires_ms {
            known.quota = grant.quota.clamp(0.0, 1.0);
            known.quota_expires_ms = expires_ms;
        }
    }

    /// How a zone may be used now.
    pub fn zone_use(&self, zone: ZoneId, now_ms: f64) -> ZoneUse {
        // Members inside a zone go on using it.
        if zone == self.own_zone {
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
        let never_heard_leader = self.leader_contact_ms == f64::NEG_INFINITY;
        if never_heard_leader && now_ms - self.started_ms < STARTUP_CLOSED_MS {
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
    pub fn leader_silent_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.leader_contact_ms.max(self.started_ms)
    }
}

/// Whether a decision's number comes before another one's; they wrap around.
fn is_older(number: u32, than: u32) -> bool {
    number.wrapping_sub(than) > u32::MAX / 2
}
