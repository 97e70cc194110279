//! Tests of quotas: members share a ramp step by demand, and the sum of their quotas does not exceed it.

use crate::quota_simulation::{QuotaSimulation, TermStart};
use crate::recovering;
use proptest::prelude::*;
use tansymux_zone_evacuation::codec::{self, LeaderReply, ZoneEntry};
use tansymux_zone_evacuation::{
    Evidence, MemberReport, QuotaRequest, RampQuotas, Reachability, ZoneId,
};

#[test]
fn quotas_of_all_members_never_exceed_the_ramp_step() {
    let mut max_used_fraction = 0.0_f64;
    for seed in 0..60 {
        let members = if seed % 3 == 0 { 100 } else { 9 };
        let result = QuotaSimulation::new(seed, members, TermStart::Request).run();
        assert!(
            result.overrun <= 1e-9,
            "seed {seed}: quotas exceed the ramp step by {}",
            result.overrun
        );
        max_used_fraction = max_used_fraction.max(result.used_fraction);
    }
    // The check is meaningful only if members use most of a ramp step.
    assert!(max_used_fraction > 0.8, "{max_used_fraction}");
}

#[test]
fn quota_check_detects_members_that_start_their_term_at_the_reply() {
    let overrun = |seed| {
        let simulation = QuotaSimulation::new(seed, 9, TermStart::Reply);
        simulation.run().overrun
    };
    assert!((0..10).any(|seed| overrun(seed) > 1e-9));
}

/// A request with a total of one half, a term of 3 s and no clock skew.
fn half_step_request(member: u64, demand: f64) -> QuotaRequest {
    QuotaRequest {
        member,
        demand,
        total: 0.5,
        term_ms: 3000.0,
        clock_skew: 0.0,
    }
}

#[test]
fn quotas_follow_demand_and_unused_quota_is_granted_again() {
    let mut quotas = RampQuotas::default();
    let mut latest_quotas = [0.0; 3];
    for second in 0..20 {
        for (n, demand) in [10.0, 1.0, 1.0].into_iter().enumerate() {
            let now_ms = f64::from(second) * 1000.0 + n as f64;
            latest_quotas[n] = quotas.request(&half_step_request(n as u64, demand), now_ms);
        }
    }
    assert!(
        latest_quotas[0] > 5.0 * latest_quotas[1] && latest_quotas.iter().sum::<f64>() > 0.45,
        "{latest_quotas:?}"
    );
    // The first member sends no more requests. Its share is granted to the others once its quota and its demand have
    // expired.
    let mut remaining_quotas = [0.0; 2];
    for second in 20..40 {
        for (member, index) in [(1, 0), (2, 1)] {
            let now_ms = f64::from(second) * 1000.0;
            remaining_quotas[index] = quotas.request(&half_step_request(member, 1.0), now_ms);
        }
    }
    assert!(
        remaining_quotas.iter().sum::<f64>() > 0.45,
        "{remaining_quotas:?}"
    );
}

proptest! {
    #[test]
    fn decoders_do_not_panic_on_any_bytes_and_decode_encoded_values(bytes in proptest::collection::vec(any::<u8>(), 0..260), zone: ZoneId, successes: u16, threads in 0.0_f32..1e6) {
        let _ = codec::decode_report(&bytes);
        let _ = codec::decode_reply(&bytes);
        let evidence = Evidence { zone, reachability: Reachability::Recovering, threads, successes, failures: 3 };
        let report = MemberReport { session: 5, sequence_number: zone, is_isolated: true, zones: vec![evidence; 3] };
        prop_assert_eq!(codec::decode_report(&codec::encode_report(&report)), Ok(report));
        let entry = ZoneEntry { zone, status: recovering(3, 9), quota: threads };
        let reply = LeaderReply { sequence_number: 4, zones: vec![entry] };
        prop_assert_eq!(codec::decode_reply(&codec::encode_reply(&reply)), Ok(reply));
        let longest = MemberReport { zones: vec![evidence; 99], ..MemberReport::default() };
        prop_assert!(codec::encode_report(&longest).len() <= 200);
    }

    #[test]
    fn quotas_requested_in_any_order_never_exceed_the_total(requests in proptest::collection::vec((0_u64..6, 0.0_f64..10.0, 0.0_f64..900.0), 1..200), max_total in 0.05_f64..1.0) {
        let (mut quotas, mut now_ms) = (RampQuotas::default(), 0.0);
        for (id, demand, elapsed_ms) in requests {
            now_ms += elapsed_ms;
            let request = QuotaRequest { member: id, demand, total: max_total, term_ms: 3000.0, clock_skew: 0.02 };
            let quota = quotas.request(&request, now_ms);
            prop_assert!(quota >= 0.0 && quotas.granted_total() <= max_total + 1e-9);
        }
    }
}
