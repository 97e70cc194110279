//! Quotas of a recovering zone: members share a ramp step by demand, and each quota expires.

use crate::MemberId;
use std::collections::BTreeMap;

/// Maximum number of members with quotas.
const MAX_HOLDERS: usize = 1024;
/// Maximum number of unexpired grants per member. Each grant is smaller than the previous one.
const MAX_GRANTS_PER_MEMBER: usize = 16;
/// Fraction of a ramp step that members share evenly. They share the rest by demand. A member without demand thus
/// gets a small quota, with which it can find out that it needs more.
const EVEN_FRACTION: f64 = 0.2;
/// Lifetime of a demand that is not reported again, in quota terms.
const DEMAND_TERMS: f64 = 2.0;

/// An unexpired quota of a member.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Grant {
    quota: f64,
    expires_ms: f64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Demand {
    threads: f64,
    reported_ms: f64,
}

/// A member's request for its quota of a recovering zone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaRequest {
    /// The member.
    pub member: MemberId,
    /// The member's demand (threads).
    pub demand: f64,
    /// Limit on the sum of all quotas, as a fraction of full use.
    pub total: f64,
    /// Term of the quota (ms), which starts at the member's request.
    pub term_ms: f64,
    /// Maximum relative difference between the rates of two clocks.
    pub clock_skew: f64,
}

/// The quotas of one zone, granted by the leader.
#[derive(Debug, Clone, Default)]
pub struct RampQuotas {
    grants: BTreeMap<MemberId, Vec<Grant>>,
    demands: BTreeMap<MemberId, Demand>,
}

impl RampQuotas {
    /// The sum over all members of their largest quota. Quotas that expired are removed at the next
    /// [`RampQuotas::request`] and count until then.
    pub fn granted_total(&self) -> f64 {
        self.grants
            .values()
            .map(|grants| largest_quota(grants))
            .sum()
    }

    /// Grants a quota that does not raise [`RampQuotas::granted_total`] above `request.total`. At the leader its term
    /// starts now and is extended by the clock skew. At the member it started with the request.
    pub fn request(&mut self, request: &QuotaRequest, now_ms: f64) -> f64 {
        self.drop_expired(now_ms, DEMAND_TERMS * request.term_ms);
        if !self.record_demand(request, now_ms) {
            return 0.0;
        }
        let own_quota = match self.grants.get(&request.member) {
            Some(grants) => largest_quota(grants),
            None => 0.0,
        };
        // The member's unexpired quota is part of the total. Only an increase has to fit into the unused part.
        let unused = (request.total - self.granted_total()).max(0.0);
        let quota = self.fair_quota(request).min(own_quota + unused);
        if quota > 0.0 {
            let expires_ms = now_ms + request.term_ms * (1.0 + request.clock_skew);
            let grants = self.grants.entry(request.member).or_default();
            add_grant(grants, Grant { quota, expires_ms });
        }
        quota
    }

    fn drop_expired(&mut self, now_ms: f64, demand_lifetime_ms: f64) {
        for grants in self.grants.values_mut() {
            grants.retain(|grant| now_ms < grant.expires_ms);
        }
        self.grants.retain(|_, grants| !grants.is_empty());
        self.demands
            .retain(|_, demand| now_ms - demand.reported_ms < demand_lifetime_ms);
    }

    /// Stores the member's demand. Returns false if there are too many members.
    fn record_demand(&mut self, request: &QuotaRequest, now_ms: f64) -> bool {
        if self.demands.len() >= MAX_HOLDERS && !self.demands.contains_key(&request.member) {
            return false;
        }
        let threads = if request.demand.is_finite() {
            request.demand.max(0.0)
        } else {
            0.0
        };
        self.demands.insert(
            request.member,
            Demand {
                threads,
                reported_ms: now_ms,
            },
        );
        true
    }

    /// The member's share of the total by its demand, regardless of the quotas of other members.
    fn fair_quota(&self, request: &QuotaRequest) -> f64 {
        let demand_sum: f64 = self.demands.values().map(|demand| demand.threads).sum();
        let even_share = request.total * EVEN_FRACTION / self.demands.len() as f64;
        let demand_share = if demand_sum > 0.0 {
            let own_demand = self.demands[&request.member].threads;
            request.total * (1.0 - EVEN_FRACTION) * own_demand / demand_sum
        } else {
            0.0
        };
        even_share + demand_share
    }
}

fn largest_quota(grants: &[Grant]) -> f64 {
    grants.iter().map(|grant| grant.quota).fold(0.0, f64::max)
}

/// Adds a grant to a member's unexpired grants, which are ordered from the largest quota to the smallest.
fn add_grant(grants: &mut Vec<Grant>, new: Grant) {
    // The new grant replaces all grants that are not larger, and takes the latest of their expiry times.
    let expires_ms = grants
        .iter()
        .filter(|grant| grant.quota <= new.quota)
        .map(|grant| grant.expires_ms)
        .fold(new.expires_ms, f64::max);
    grants.retain(|grant| grant.quota > new.quota);
    let is_full = grants.len() >= MAX_GRANTS_PER_MEMBER;
    match grants.last_mut() {
        // A full list has no place for the new grant. The last grant, which is larger, is extended to cover it.
        Some(last) if is_full => last.expires_ms = last.expires_ms.max(expires_ms),
        _ => grants.push(Grant {
            quota: new.quota,
            expires_ms,
        }),
    }
}
