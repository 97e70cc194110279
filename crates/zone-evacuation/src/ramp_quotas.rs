//! Quotas of a returning zone: a ramp step is shared among members by demand, and each quota expires.

use crate::MemberId;
use std::collections::BTreeMap;

/// Members that can hold quotas.
const MAX_HOLDERS: usize = 1024;
/// Unexpired grants kept for each member, each smaller than the one before.
const MAX_GRANTS_PER_MEMBER: usize = 16;
/// Fraction of a step that is shared evenly, the rest by demand: a member without a quota can still find out that it
/// needs more.
const EVEN_FRACTION: f64 = 0.2;
/// Demand that was not repeated for this many quota terms is forgotten.
const DEMAND_TERMS: f64 = 2.0;

/// A quota that a member may still hold.
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

/// A member asks for its quota of a returning zone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaRequest {
    /// The member that asks.
    pub member: MemberId,
    /// What it could use (threads).
    pub demand: f64,
    /// The fraction of full use that all members together may take.
    pub total: f64,
    /// How long the member may use the quota, counted from when it asked.
    pub term_ms: f64,
    /// Largest relative difference between the rates of two clocks.
    pub clock_skew: f64,
}

/// The quotas of one zone, as the leader has granted them.
#[derive(Debug, Clone, Default)]
pub struct RampQuotas {
    grants: BTreeMap<MemberId, Vec<Grant>>,
    demands: BTreeMap<MemberId, Demand>,
}

impl RampQuotas {
    /// The sum of what members may hold at this moment: of each member the largest quota that has not expired.
    pub fn granted_total(&self) -> f64 {
        self.grants
            .values()
            .map(|grants| largest_quota(grants))
            .sum()
    }

    /// Grants a quota, so that [`RampQuotas::granted_total`] does not exceed `request.total` through it. The leader
    /// counts its term from now, lengthened by the clock skew; the member counts it from when it asked.
    pub fn request(&mut self, request: &QuotaRequest, now_ms: f64) -> f64 {
        self.forget_expired(now_ms, DEMAND_TERMS * request.term_ms);
        if !self.note_demand(request, now_ms) {
            return 0.0;
        }
        let held = match self.grants.get(&request.member) {
            Some(grants) => largest_quota(grants),
            None => 0.0,
        };
        // What the member holds already is counted; anything above that must be free.
        let free = (request.total - self.granted_total()).max(0.0);
        let quota = self.fair_quota(request).min(held + free);
        if quota > 0.0 {
            let expires_ms = now_ms + request.term_ms * (1.0 + request.clock_skew);
            let grants = self.grants.entry(request.member).or_default();
            add_grant(grants, Grant { quota, expires_ms });
        }
        quota
    }

    fn forget_expired(&mut self, now_ms: f64, demand_lifetime_ms: f64) {
        for grants in self.grants.values_mut() {
            grants.retain(|grant| now_ms < grant.expires_ms);
        }
        self.grants.retain(|_, grants| !grants.is_empty());
        self.demands
            .retain(|_, demand| now_ms - demand.reported_ms < demand_lifetime_ms);
    }

    /// Notes what the member could use; false where there are too many members.
    fn note_demand(&mut self, request: &QuotaRequest, now_ms: f64) -> bool {
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

    /// The member's share of the total by its demand, whatever the others hold.
    fn fair_quota(&self, request: &QuotaRequest) -> f64 {
        let demand_sum: f64 = self.demands.values().map(|demand| demand.threads).sum();
        let even = request.total * EVEN_FRACTION / self.demands.len() as f64;
        let by_demand = if demand_sum > 0.0 {
            let own_demand = self.demands[&request.member].threads;
            request.total * (1.0 - EVEN_FRACTION) * own_demand / demand_sum
        } else {
            0.0
        };
        even + by_demand
    }
}

fn largest_quota(grants: &[Grant]) -> f64 {
    grants.iter().map(|grant| grant.quota).fold(0.0, f64::max)
}

/// Adds a grant to a member's unexpired ones, which stay ordered from the largest to the smallest.
fn add_grant(grants: &mut Vec<Grant>, new: Grant) {
    // A grant that is no larger need not be kept beside the new one, but its time counts.
    let expires_ms = grants
        .iter()
        .filter(|grant| grant.quota <= new.quota)
        .map(|grant| grant.expires_ms)
        .fold(new.expires_ms, f64::max);
    grants.retain(|grant| grant.quota > new.quota);
    let is_full = grants.len() >= MAX_GRANTS_PER_MEMBER;
    match grants.last_mut() {
        // Counted as the larger quota that it replaces, and never as less.
        Some(last) if is_full => last.expires_ms = last.expires_ms.max(expires_ms),
        _ => grants.push(Grant {
            quota: new.quota,
            expires_ms,
        }),
    }
}
