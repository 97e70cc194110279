//! The rates of tenants against their quotas.

use crate::interner::NameInterner;
use crate::settings::Settings;

/// Time over which tenants' rates are taken (ms).
const RATE_SPAN_MS: f64 = 2000.0;
/// Factor by which a tenant's use of its quota may exceed all tenants' use of all quotas.
const QUOTA_SLACK: f64 = 1.35;

/// Each tenant's quota at this dispatcher, and its decaying count of queries.
#[derive(Debug, Default)]
pub(crate) struct TenantQuotas {
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
struct QuotaUse {
    /// The tenant's rate against its quota.
    own: f64,
    /// All tenants' rates against all quotas.
    all: f64,
}

impl TenantQuotas {
    /// The quotas of the settings. Each dispatcher has an even share of every quota.
    pub(crate) fn new(settings: &Settings, names: &mut NameInterner) -> Self {
        let mut tenants = Vec::new();
        for tenant in &settings.tenants {
            names.index(&tenant.name);
            tenants.push(TenantRate {
                quota: tenant.quota_per_s / 1000.0 / settings.dispatchers,
                count: 0.0,
            });
        }
        TenantQuotas {
            tenants,
            updated_ms: 0.0,
        }
    }

    /// Records a query of a tenant, and returns whether the tenant exceeds its quota by more than all tenants together
    /// exceed the sum of quotas. When all tenants send more, none is singled out.
    pub(crate) fn record_query(&mut self, tenant: u32, now_ms: f64) -> bool {
        let quota_use = self.count(tenant, now_ms);
        quota_use.own > QUOTA_SLACK * quota_use.all.max(1.0)
    }

    /// Counts a query of a tenant. A tenant without a quota uses none of it.
    fn count(&mut self, tenant: u32, now_ms: f64) -> QuotaUse {
        let remaining = ((self.updated_ms - now_ms) / RATE_SPAN_MS).exp();
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
            own: own / RATE_SPAN_MS,
            all: all_counts / all_quotas / RATE_SPAN_MS,
        }
    }
}
