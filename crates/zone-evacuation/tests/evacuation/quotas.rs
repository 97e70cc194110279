//! Quotas: shared by demand, with a sum of at most the ramp step.

use crate::quota_simulation::{QuotaSimulation, TermStart};
use crate::recovering;
use proptest::prelude::*;
use tansymux_zone_evacuation::codec::{self, LeaderReply, ZoneEntry};
use tansymux_zone_evacuation::{
    Evidence, MemberReport, QuotaRequest, RampQuotas, Reachability, ZoneId,
};

#[test]
fn quotas_of_all_members_never_exceed_the_ramp_step() {
    let mut best = 0.0_f64;
    for seed in 0..60 {
        let members = if seed % 3 == 0 { 100 } else { 9 };
        let found = QuotaSimulation::new(seed, members, TermStart::Request).run();
        assert!(found.overrun <= 1e-9, "seed {seed}: {} over", found.overrun);
        best = best.max(found.used_fraction);
    }
    // The ramp step is used.
    assert!(best > 0.8, "{best}");
}

#[test]
fn quota_check_detects_members_that_count_their_term_from_the_answer() {
    let overrun = |seed| {
        let simulation = QuotaSimulation::new(seed, 9, TermStart::Answer);
        simulation.run().overrun
    };
    assert!((0..10).any(|seed| overrun(seed) > 1e-9));
}

/// A request with a total of one half, a term of 3 s and no clock skew.
fn request_of_half(member: u64, demand: f64) -> QuotaRequest {
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
    let mut last = [0.0; 3];
    for second in 0..20 {
        for (n, demand) in [10.0, 1.0, 1.0].into_iter().enumerate() {
            let now = f64::from(second) * 1000.0 + n as f64;
            last[n] = quotas.request(&request_of_half(n as u64, demand), now);
        }
    }
    assert!(
        last[0] > 5.0 * last[1] && last.iter().sum::<f64>() > 0.45,
        "{last:?}"
    );
    // The first member is dead: its share goes to the others after a term and the lifetime of its demand.
    let mut rest = [0.0; 2];
    for second in 20..40 {
        for (n, at) in [(1, 0), (2, 1)] {
            let now = f64::from(second) * 1000.0;
            rest[at] = quotas.request(&request_of_half(n, 1.0), now);
        }
    }
    assert!(rest.iter().sum::<f64>() > 0.45, "{rest:?}");
}

proptest! {
    #[test]
    fn no_input_bytes_make_the_decoders_panic_and_encoded_values_are_decoded(bytes in proptest::collection::vec(any::<u8>(), 0..260), zone: ZoneId, successes: u16, threads in 0.0_f32..1e6) {
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
    fn quotas_requested_in_any_order_never_exceed_the_total(asks in proptest::collection::vec((0_u64..6, 0.0_f64..10.0, 0.0_f64..900.0), 1..200), all in 0.05_f64..1.0) {
        let (mut quotas, mut now) = (RampQuotas::default(), 0.0);
        for (id, demand, passed) in asks {
            now += passed;
            let request = QuotaRequest { member: id, demand, total: all, term_ms: 3000.0, clock_skew: 0.02 };
            let share = quotas.request(&request, now);
            prop_assert!(share >= 0.0 && quotas.granted_total() <= all + 1e-9);
        }
    }
}
