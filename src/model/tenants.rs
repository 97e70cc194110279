//! The rates of tenants against their quotas.

use crate::interner::NameInterner;
use crate::settings::TenantSettings;

/// Each tenant's quota at this dispatcher, and its decaying count of queries.
#[derive(Debug, Default)]
pub(crate) struct TenantRates {
    tenants: Vec<TenantRate>,
    /// When the counts were last decayed (ms).
    updated_ms: f64,
}

#[derive(Debug)]
struct TenantRate {
    /// Queries a millisecond.
    quota: f64,
    count: f64,
}

/// Rates as multiples of quotas.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct QuotaUse {
    /// The tenant's own rate against its quota.
    pub(crate) own: f64,
    /// All tenants' rates against all quotas.
    pub(crate) all: f64,
}

impl TenantRates {
    /// Each dispatcher has an even share of every quota.
    pub(crate) fn new(
        settings: &[TenantSettings],
        dispatchers: f64,
        names: &mut NameInterner,
    ) -> Self {
        let mut tenants = Vec::new();
        for tenant in settings {
            names.index(&tenant.name);
            tenants.push(TenantRate {
                quota: tenant.quota_per_s / 1000.0 / dispatchers,
                count: 0.0,
            });
        }
        TenantRates {
            tenants,
            updated_ms: 0.0,
        }
    }

    /// Counts a query of a tenant; rates are over the last `span_ms`. A tenant without a quota uses none of it.
    pub(crate) fn count(&mut self, tenant: u32, now_ms: f64, span_ms: f64) -> QuotaUse {
        let remaining = ((self.updated_ms - now_ms) / span_ms).exp();
        self.updated_ms = now_ms;
        for tenant in &mut self.tenants {
            tenant.count *= remaining;
        }
        let Some(tenant) = self.tenants.get_mut(tenant as usize) else {
            return QuotaUse::default();
        };
        tenant.count += 1.0;
        let own = tenant.count / tenant.quota;
        let mut all_quotas = 0.0;
        let mut all_counts = 0.0;
        for tenant in &self.tenants {
            all_quotas += tenant.quota;
            all_counts += tenant.count;
        }
        QuotaUse {
            own: own / span_ms,
            all: all_counts / all_quotas / span_ms,
        }
    }
}
