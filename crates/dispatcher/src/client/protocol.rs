//! Names of the client protocol: paths, header fields, statuses and error codes, mapped to the terms of this code.

/// The path prefix of queries; the name of the resource group follows.
pub const QUERY_PATH: &str = "/invoke/";
/// The path of the health page.
pub const HEALTH_PATH: &str = "/_health";
/// The path of the counters page.
pub const COUNTERS_PATH: &str = "/_counters";
/// The path of the service levels page.
pub const LEVELS_PATH: &str = "/_levels";
/// The path prefix of the service levels page for a client that waits for a change; the version that it has follows.
pub const LEVELS_AFTER_PATH: &str = "/_levels?after=";
/// The path of the zones page.
pub const ZONES_PATH: &str = "/_halls";

/// The response header field with the time (ms) that the client should wait before a retry.
pub const RETRY_AFTER_FIELD: &str = "Srv-Wait-Ms";

/// Error code: the request was rejected, and the client may retry it.
pub const TRY_LATER: &str = "TryLater";
/// Error code: no such path or resource group.
pub const UNKNOWN: &str = "Unknown";

/// Body of the response for a rejected query, which the client may retry.
pub const REJECTED_BODY: &str = "{\"error\":\"TryLater\"}";
/// Body of the response for a failed query, which the client must not retry unchanged.
pub const FAILED_BODY: &str = "{\"error\":\"Killed\"}";

/// A header field of a query's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestField {
    /// The query's id.
    QueryId,
    /// How long (ms) the client waits for the answer.
    WaitMs,
    /// The tenant.
    Tenant,
    /// Estimated thread time (ms).
    CostMs,
    /// Estimated memory (MB).
    MemoryMb,
    /// The idempotency key.
    IdempotencyKey,
    /// The ordering key.
    OrderingKey,
}

impl RequestField {
    /// All fields.
    const ALL: [RequestField; 7] = [
        RequestField::QueryId,
        RequestField::WaitMs,
        RequestField::Tenant,
        RequestField::CostMs,
        RequestField::MemoryMb,
        RequestField::IdempotencyKey,
        RequestField::OrderingKey,
    ];

    /// The field of this name, ignoring case; `None` for names that the protocol does not define.
    pub fn parse(name: &str) -> Option<Self> {
        let mut fields = Self::ALL.into_iter();
        fields.find(|field| name.eq_ignore_ascii_case(field.as_str()))
    }

    /// The field's name.
    pub const fn as_str(self) -> &'static str {
        match self {
            RequestField::QueryId => "Req-Id",
            RequestField::WaitMs => "Req-Wait-Ms",
            RequestField::Tenant => "Req-Owner",
            RequestField::CostMs => "Req-Cost",
            RequestField::MemoryMb => "X-Need-Mb",
            RequestField::IdempotencyKey => "Req-Token",
            RequestField::OrderingKey => "Req-Key",
        }
    }
}

/// The HTTP status of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u16)]
pub enum Status {
    /// The request succeeded.
    Ok = 200,
    /// The request is malformed.
    BadRequest = 400,
    /// The tenant is unknown.
    Forbidden = 403,
    /// The path or the resource group is unknown.
    NotFound = 404,
    /// A status page was requested with a method other than GET.
    MethodNotAllowed = 405,
    /// The request was not complete in time.
    RequestTimeout = 408,
    /// A query with the same id is in flight, or was submitted to an engine before.
    Conflict = 409,
    /// The statement is too long.
    ContentTooLarge = 413,
    /// The query was rejected, and may be retried.
    TooManyRequests = 429,
    /// The head is too long, or has too many fields.
    HeaderFieldsTooLarge = 431,
    /// The query failed.
    InternalServerError = 500,
    /// The request uses an unsupported feature of HTTP.
    NotImplemented = 501,
    /// The dispatcher has no capacity for the request, or is draining.
    ServiceUnavailable = 503,
    /// The request is not HTTP/1.0 or HTTP/1.1.
    VersionNotSupported = 505,
}

impl Status {
    /// The status code.
    pub const fn code(self) -> u16 {
        self as u16
    }

    /// The reason phrase of the status line.
    pub const fn reason_phrase(self) -> &'static str {
        match self {
            Status::Ok => "OK",
            Status::BadRequest => "Bad Request",
            Status::Forbidden => "Forbidden",
            Status::NotFound => "Not Found",
            Status::MethodNotAllowed => "Method Not Allowed",
            Status::RequestTimeout => "Request Timeout",
            Status::Conflict => "Conflict",
            Status::ContentTooLarge => "Content Too Large",
            Status::TooManyRequests => "Too Many Requests",
            Status::HeaderFieldsTooLarge => "Request Header Fields Too Large",
            Status::InternalServerError => "Internal Server Error",
            Status::NotImplemented => "Not Implemented",
            Status::ServiceUnavailable => "Service Unavailable",
            Status::VersionNotSupported => "HTTP Version Not Supported",
        }
    }
}

#[cfg(test)]
mod tests;
