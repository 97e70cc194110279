//! The query rates of tenants, compared with their quotas.

use crate::interner::NameInterner;
use crate::settings::Settings;

/// Time constant of the tenants' decaying query counts (ms).
const RATE_DECAY_MS: f64 = 2000.0;
/// Factor by which a tenant's use of its quota may exceed the use of all quotas by all tenants.
const QUOTA_SLACK: f64 = 1.35;

/// This dispatcher's share of each tenant's quota, and a decaying count of the tenant's queries.
#[derive(Debug, Default)]
pub(crate) struct TenantQuotas {
    tenants: Vec<TenantRate>,
    /// When the counts were last decayed (ms).
    updated_ms: f64,
}

#[derive(Debug)]
struct TenantRate {
    /// This dispatcher's share of the quota (queries per ms).
    quota: f64,
    /// Decaying count of queries.
    count: f64,
}

/// Query rates as multiples of quotas.
#[derive(Debug, Clone, Copy, Default)]
struct QuotaUse {
    /// One tenant's rate as a multiple of its quota.
    own: f64,
    /// The rate of all tenants as a multiple of the sum of their quotas.
    all: f64,
}

impl TenantQuotas {
    /// The quotas in the settings. Each dispatcher has an even share of every quota.
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

    /// Records a query of a tenant, `None` if the settings do not name it, and returns whether the tenant is over its
    /// quota.
    ///
    /// A tenant is over its quota if its use of the quota exceeds [`QUOTA_SLACK`] times the use of all quotas, and
    /// [`QUOTA_SLACK`] itself. If all tenants exceed their quotas alike, none is over its quota.
    pub(crate) fn record_query(&mut self, tenant: Option<u32>, now_ms: f64) -> bool {
        let quota_use = self.count_query(tenant, now_ms);
        quota_use.own > QUOTA_SLACK * quota_use.all.max(1.0)
    }

    /// Counts a query of a tenant. The use is 0 for a tenant without a quota.
    fn count_query(&mut self, tenant: Option<u32>, now_ms: f64) -> QuotaUse {
        let remaining = ((self.updated_ms - now_ms) / RATE_DECAY_MS).exp();
        self.updated_ms = now_ms;
        for tenant in &mut self.tenants {
            tenant.count *= remaining;
        }
        let tenant = tenant.and_then(|tenant| self.tenants.get_mut(tenant as usize));
        let Some(tenant) = tenant else {
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
            own: own / RATE_DECAY_MS,
            all: all_counts / all_quotas / RATE_DECAY_MS,
        }
    }
}
