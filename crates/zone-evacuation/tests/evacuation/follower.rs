//! A member's use of zones with the leader's decisions, and without contact to the leader.

use crate::leader::{EAST, WEST};
use crate::recovering;
use tansymux_zone_evacuation::{
    EvacuationFollower, FollowerEvent, QuotaGrant, Reason, Stage, ZoneStatus, ZoneUse,
};

/// A quota under decision 7, with a term of 3 s and no clock skew.
fn east_quota(quota: f64, requested_ms: f64) -> FollowerEvent<'static> {
    FollowerEvent::QuotaReceived(QuotaGrant {
        zone: EAST,
        decision_number: 7,
        quota,
        requested_ms,
        term_ms: 3000.0,
        clock_skew: 0.0,
    })
}

#[test]
fn member_without_leader_contact_closes_a_zone_when_its_quota_expires_and_later_decides_locally() {
    let mut follower = EvacuationFollower::new(WEST, 30_000.0, 0.0);
    // Just after the start, other zones are closed and the member decides locally on its own zone.
    assert_eq!(
        (
            follower.zone_use(EAST, 100.0),
            follower.zone_use(WEST, 100.0)
        ),
        (ZoneUse::Closed, ZoneUse::LocalDecision)
    );
    assert_eq!(follower.zone_use(EAST, 2600.0), ZoneUse::LocalDecision);
    follower.handle(FollowerEvent::DecisionsReceived(&[]), 3000.0);
    assert_eq!(follower.zone_use(EAST, 3000.0), ZoneUse::LocalDecision);
    follower.handle(
        FollowerEvent::DecisionsReceived(&[(EAST, recovering(2, 7)), (WEST, recovering(2, 8))]),
        4000.0,
    );
    assert_eq!(
        (
            follower.zone_use(EAST, 4000.0),
            follower.zone_use(WEST, 4000.0)
        ),
        (ZoneUse::Closed, ZoneUse::LocalDecision)
    );
    follower.handle(east_quota(0.2, 3900.0), 4000.0);
    assert_eq!(follower.zone_use(EAST, 4000.0), ZoneUse::Fraction(0.2));
    // A delayed reply to an earlier request changes nothing.
    follower.handle(east_quota(0.9, 3000.0), 4000.0);
    assert_eq!(follower.zone_use(EAST, 4000.0), ZoneUse::Fraction(0.2));
    // After a pause of the process the quota has expired.
    assert_eq!(follower.zone_use(EAST, 24_000.0), ZoneUse::Closed);
    assert_eq!(follower.zone_use(EAST, 34_100.0), ZoneUse::LocalDecision);
    // A decision that arrives out of order is ignored.
    let evacuated = ZoneStatus {
        stage: Stage::Evacuated,
        step: 0,
        decision_number: 9,
        reason: Reason::Lost,
    };
    follower.handle(
        FollowerEvent::DecisionsReceived(&[(EAST, evacuated)]),
        35_000.0,
    );
    follower.handle(
        FollowerEvent::DecisionsReceived(&[(EAST, recovering(2, 7))]),
        35_100.0,
    );
    assert_eq!(follower.zone_use(EAST, 35_100.0), ZoneUse::Closed);
}
