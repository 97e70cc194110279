//! Parses a request's head and body into a query that the registry can admit: checks each field, looks up the tenant
//! and the resource group, and sets the deadline.

use super::admission_limits::AdmissionLimits;
use super::http::Head;
use super::protocol::{RequestField, QUERY_PATH};
use super::request_error::RequestError;
use crate::query_registry::{QueryRequest, RequestKeys};
use crate::subsystems::statement_classifier::{ClassifiedStatement, StatementClassifier};
use tansymux::events::StatementTraits;
use tansymux::settings;
use tansymux_sql_analysis::table_group;

/// Number of hex digits of a query's id, by the protocol.
const ID_DIGITS: usize = 16;
/// Maximum number of hex digits of an idempotency key, by the protocol: 128 bits.
const MAX_IDEMPOTENCY_KEY_DIGITS: usize = 32;
/// Maximum number of hex digits of an ordering key, by the protocol: 64 bits.
const MAX_ORDERING_KEY_DIGITS: usize = 16;
/// Minimum wait (ms) that a request may declare.
const MIN_WAIT_MS: f64 = 1.0;
/// Time (ms) by which a query's deadline precedes the end of its client's wait, so that the answer arrives in time. At
/// most half of the wait.
const ANSWER_MARGIN_MS: f64 = 10.0;
/// Number of the table set of a statement whose tables are unknown.
const UNKNOWN_TABLES: u32 = u32::MAX;

/// The fields of a query's request, checked.
#[derive(Debug)]
pub struct ParsedRequest<'a> {
    id: &'a str,
    /// The resource group that the path names; `None` on the path of queries without one, set in the operators' file.
    named_group: Option<&'a str>,
    tenant: &'a str,
    statement: &'a [u8],
    received_ms: f64,
    deadline_ms: f64,
    /// The client's estimate of thread time (ms); 0 if it sent none.
    cost_ms: f64,
    /// The client's estimate of memory (MB); 0 if it sent none.
    memory_mb: f64,
    tables: u32,
    keys: RequestKeys<'a>,
}

impl<'a> ParsedRequest<'a> {
    /// Checks a request whose last byte arrived at `received_ms`. Requests that no engine could run are refused here,
    /// so that they do not affect what the admission controller learns.
    ///
    /// # Errors
    /// A field is missing, malformed or outside the limits, the resource group or the tenant is unknown, or the
    /// statement is not text. The first error found is returned.
    pub fn parse(
        limits: &'a AdmissionLimits,
        head: &Head<'a>,
        body: &'a [u8],
        received_ms: f64,
    ) -> Result<Self, RequestError> {
        let id = parse_id(head.id)?;
        let wait_ms = parse_number(head.wait_ms, limits.max_wait_ms)
            .filter(|ms| *ms >= MIN_WAIT_MS)
            .ok_or(RequestError::InvalidField(RequestField::WaitMs))?;
        let cost_ms = parse_number(head.cost_ms, limits.max_cost_ms)
            .ok_or(RequestError::InvalidField(RequestField::CostMs))?;
        let memory_mb = parse_number(head.memory_mb, limits.max_memory_mb)
            .ok_or(RequestError::InvalidField(RequestField::MemoryMb))?;
        let keys = parse_keys(head)?;
        let named_group = parse_group(limits, head.path)?;
        let tenant = parse_tenant(limits, head.tenant.unwrap_or(""))?;
        check_statement(body)?;
        Ok(ParsedRequest {
            id,
            named_group,
            tenant,
            statement: body,
            received_ms,
            deadline_ms: received_ms + (wait_ms - ANSWER_MARGIN_MS).max(wait_ms / 2.0),
            cost_ms,
            memory_mb,
            tables: table_group(body).unwrap_or(UNKNOWN_TABLES),
            keys,
        })
    }

    /// Analyses the statement, if the operators' file enables the analysis. If the path names a resource group, the
    /// analysis checks the statement against it, instead of choosing a group and estimating the cost.
    pub fn classify(&self, classifier: &StatementClassifier) -> Option<ClassifiedStatement> {
        match self.named_group {
            Some(group) => classifier.check(group, self.id, self.statement),
            None => classifier.classify(self.statement, self.received_ms),
        }
    }

    /// The query, with the results of its statement's analysis.
    ///
    /// # Errors
    /// Neither the path nor the analysis names a resource group.
    pub fn into_query<'q>(
        self,
        limits: &AdmissionLimits,
        analysis: Option<&'q ClassifiedStatement>,
    ) -> Result<QueryRequest<'q>, RequestError>
    where
        'a: 'q,
    {
        let analysed_group = analysis.and_then(|analysis| analysis.group.as_deref());
        let resource_group = self
            .named_group
            .or(analysed_group)
            .ok_or(RequestError::Unknown)?;
        let mut traits = analysis.map_or(StatementTraits::UNKNOWN, |analysis| analysis.traits);
        if self.cost_ms > 0.0 {
            traits.confidence = 1.0;
        }
        // Estimates of the analysis are used only if the path names no resource group, and where the client sent none.
        let estimates = analysis.filter(|_| self.named_group.is_none());
        let estimated_cost_ms = estimates.map_or(0.0, |analysis| analysis.cost_ms);
        let estimated_memory_mb = estimates.map_or(0.0, |analysis| analysis.memory_mb);
        Ok(QueryRequest {
            id: self.id,
            resource_group,
            tenant: self.tenant,
            statement: self.statement,
            received_ms: self.received_ms,
            deadline_ms: self.deadline_ms,
            estimated_cost_ms: declared_or(self.cost_ms, estimated_cost_ms.min(limits.max_cost_ms)),
            memory_mb: declared_or(
                self.memory_mb,
                estimated_memory_mb.min(limits.max_memory_mb),
            ),
            tables: self.tables,
            traits,
            shape: analysis.map(|analysis| analysis.shape),
            keys: self.keys,
        })
    }
}

/// The number that the client declared, or `fallback` if it declared none.
fn declared_or(declared: f64, fallback: f64) -> f64 {
    if declared > 0.0 {
        declared
    } else {
        fallback
    }
}

fn parse_id(id: Option<&str>) -> Result<&str, RequestError> {
    id.filter(|id| id.len() == ID_DIGITS && is_hex(id))
        .ok_or(RequestError::InvalidField(RequestField::QueryId))
}

/// Parses a number from 0 to `max`; 0 if the field is missing, `None` if it is invalid.
fn parse_number(value: Option<&str>, max: f64) -> Option<f64> {
    let Some(value) = value else {
        return Some(0.0);
    };
    let number: f64 = value.parse().ok()?;
    (number.is_finite() && number >= 0.0 && number <= max).then_some(number)
}

/// Parses both keys, which must be hex digits: they are forwarded to the engine unchanged, in a list of fields that a
/// comma or an equals sign would corrupt.
fn parse_keys<'a>(head: &Head<'a>) -> Result<RequestKeys<'a>, RequestError> {
    let is_key =
        |key: &str, max_digits: usize| !key.is_empty() && key.len() <= max_digits && is_hex(key);
    let idempotency_key = head.idempotency_key;
    if idempotency_key.is_some_and(|key| !is_key(key, MAX_IDEMPOTENCY_KEY_DIGITS)) {
        return Err(RequestError::InvalidField(RequestField::IdempotencyKey));
    }
    let ordering_key = head.ordering_key;
    if ordering_key.is_some_and(|key| !is_key(key, MAX_ORDERING_KEY_DIGITS)) {
        return Err(RequestError::InvalidField(RequestField::OrderingKey));
    }
    Ok(RequestKeys {
        idempotency_key,
        ordering_key,
    })
}

fn is_hex(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// The resource group that the path names; `None` if the path is not below [`QUERY_PATH`].
fn parse_group<'a>(
    limits: &AdmissionLimits,
    path: &'a str,
) -> Result<Option<&'a str>, RequestError> {
    let Some(group) = path.strip_prefix(QUERY_PATH) else {
        return Ok(None);
    };
    if !limits.resource_groups.iter().any(|known| known == group) {
        return Err(RequestError::UnknownResourceGroup);
    }
    Ok(Some(group))
}

/// The tenant's name as in the settings; empty if the settings name no tenants.
fn parse_tenant<'a>(limits: &'a AdmissionLimits, name: &str) -> Result<&'a str, RequestError> {
    if limits.tenants.is_empty() {
        return Ok("");
    }
    let mut tenants = limits.tenants.iter();
    tenants
        .find(|known| settings::matches_name(known, name))
        .map(String::as_str)
        .ok_or(RequestError::UnknownTenant)
}

fn check_statement(body: &[u8]) -> Result<(), RequestError> {
    let malformed = RequestError::StatementNotText;
    let text = std::str::from_utf8(body).map_err(|_| malformed)?;
    if text.trim().is_empty() || text.contains('\0') {
        return Err(malformed);
    }
    Ok(())
}
