//! Tenants' quotas.

use super::START_MS;
use crate::interner::NameInterner;
use crate::model::TenantQuotas;
use crate::settings::{Settings, TenantSettings};

/// Quotas of 100 queries per second for each of two tenants, at the only dispatcher.
fn two_tenants() -> TenantQuotas {
    let tenant = |name: &str| TenantSettings {
        name: name.to_owned(),
        quota_per_s: 100.0,
    };
    let settings = Settings {
        dispatchers: 1.0,
        tenants: vec![tenant("a"), tenant("b")],
        ..Settings::default()
    };
    TenantQuotas::new(&settings, &mut NameInterner::default())
}

/// Whether tenant 0 is over its quota after 10 s at these rates (queries per second).
fn is_over_quota(rates: [u32; 2]) -> bool {
    let mut quotas = two_tenants();
    let mut is_over = false;
    for second in 0..10 {
        for tenant in [1, 0] {
            for query in 0..rates[tenant as usize] {
                let fraction = f64::from(query) / f64::from(rates[tenant as usize]);
                let now_ms = START_MS + 1000.0 * (f64::from(second) + fraction);
                is_over = quotas.record_query(Some(tenant), now_ms);
            }
        }
    }
    is_over
}

#[test]
fn tenant_far_above_its_quota_is_over_quota() {
    assert!(is_over_quota([300, 50]));
    assert!(!is_over_quota([80, 50]));
}

#[test]
fn no_tenant_is_over_quota_if_all_exceed_their_quotas_alike() {
    assert!(!is_over_quota([300, 300]));
}

#[test]
fn tenant_without_a_quota_is_never_over_quota() {
    let mut quotas = two_tenants();
    for _ in 0..10_000 {
        assert!(!quotas.record_query(None, START_MS));
    }
}
