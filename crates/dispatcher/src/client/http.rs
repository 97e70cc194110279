//! HTTP/1.1: parses request heads in place, and encodes response heads. Pure functions over bytes.

use super::protocol::{RequestField, Status, RETRY_AFTER_FIELD};
use super::request_error::RequestError;

/// Maximum size (bytes) of a request's head: a bound on memory.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum size (bytes) of a request's body: a bound on memory.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of header fields of a request: a bound on the work for one request.
const MAX_FIELDS: usize = 64;
/// Maximum number of CR and LF bytes that are skipped before a request line (RFC 9112, section 2.2).
const MAX_LEADING_LINE_ENDS: usize = 4;
/// The empty line at the end of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A request's head, borrowed from the received bytes. Header fields that the protocol does not define are ignored.
#[derive(Debug, PartialEq)]
pub struct Head<'a> {
    /// The method, as received.
    pub method: &'a str,
    /// The path with its query string.
    pub path: &'a str,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    /// `Req-Id`: the query's id.
    pub id: Option<&'a str>,
    /// `Req-Wait-Ms`: how long (ms) the client waits for the answer.
    pub wait_ms: Option<&'a str>,
    /// `Req-Owner`: the tenant.
    pub tenant: Option<&'a str>,
    /// `Req-Cost`: estimated thread time (ms).
    pub cost_ms: Option<&'a str>,
    /// `X-Need-Mb`: estimated memory (MB).
    pub memory_mb: Option<&'a str>,
    /// `Req-Token`: the idempotency key.
    pub idempotency_key: Option<&'a str>,
    /// `Req-Key`: the ordering key.
    pub ordering_key: Option<&'a str>,
    /// Size of the head (bytes), including the empty line at its end.
    pub head_len: usize,
    /// Size of the body (bytes).
    pub body_len: usize,
}

impl<'a> Head<'a> {
    fn new(line: &RequestLine<'a>, head_len: usize) -> Self {
        Head {
            method: line.method,
            path: line.path,
            keep_alive: line.keep_alive,
            id: None,
            wait_ms: None,
            tenant: None,
            cost_ms: None,
            memory_mb: None,
            idempotency_key: None,
            ordering_key: None,
            head_len,
            body_len: 0,
        }
    }

    /// Size of the request (bytes), head and body.
    pub fn request_len(&self) -> usize {
        self.head_len + self.body_len
    }

    /// The slot for a field's value.
    fn value_mut(&mut self, field: RequestField) -> &mut Option<&'a str> {
        match field {
            RequestField::QueryId => &mut self.id,
            RequestField::WaitMs => &mut self.wait_ms,
            RequestField::Tenant => &mut self.tenant,
            RequestField::CostMs => &mut self.cost_ms,
            RequestField::MemoryMb => &mut self.memory_mb,
            RequestField::IdempotencyKey => &mut self.idempotency_key,
            RequestField::OrderingKey => &mut self.ordering_key,
        }
    }
}

/// Parses the head at the start of `bytes`. Returns `None` while the head is incomplete.
///
/// # Errors
/// The head is malformed or too long, announces a body that is too long, or uses an unsupported feature.
pub fn parse(bytes: &[u8]) -> Result<Option<Head<'_>>, RequestError> {
    let skipped = bytes
        .iter()
        .take(MAX_LEADING_LINE_ENDS)
        .take_while(|byte| matches!(byte, b'\r' | b'\n'))
        .count();
    let searched = &bytes[skipped..bytes.len().min(MAX_HEAD_BYTES)];
    let head_end = searched
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END);
    let Some(head_end) = head_end else {
        if bytes.len() >= MAX_HEAD_BYTES {
            return Err(RequestError::HeadTooLong);
        }
        return Ok(None);
    };
    let text = std::str::from_utf8(&searched[..head_end]).map_err(|_| RequestError::HeadNotText)?;
    let mut lines = text.split("\r\n");
    let request_line = RequestLine::parse(lines.next().unwrap_or(""))?;
    let mut head = Head::new(&request_line, skipped + head_end + HEAD_END.len());
    let mut content_length = None;
    for (preceding_fields, line) in lines.enumerate() {
        let (name, value) = parse_field(line, preceding_fields)?;
        apply_field(&mut head, &mut content_length, name, value)?;
    }
    head.body_len = content_length.unwrap_or(0);
    if head.body_len > MAX_BODY_BYTES {
        return Err(RequestError::StatementTooLong);
    }
    Ok(Some(head))
}

/// The first line of a request.
struct RequestLine<'a> {
    method: &'a str,
    path: &'a str,
    keep_alive: bool,
}

impl<'a> RequestLine<'a> {
    fn parse(line: &'a str) -> Result<Self, RequestError> {
        let mut words = line.split(' ');
        let (Some(method), Some(path), Some(version), None) =
            (words.next(), words.next(), words.next(), words.next())
        else {
            return Err(RequestError::MalformedRequestLine);
        };
        let keep_alive = match version {
            "HTTP/1.1" => true,
            "HTTP/1.0" => false,
            _ => return Err(RequestError::UnsupportedVersion),
        };
        let is_method = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_alphabetic());
        if !is_method || !path.starts_with('/') {
            return Err(RequestError::MissingMethodOrPath);
        }
        Ok(RequestLine {
            method,
            path,
            keep_alive,
        })
    }
}

/// Parses a header field into its name and value.
fn parse_field(line: &str, preceding_fields: usize) -> Result<(&str, &str), RequestError> {
    let (name, value) = line.split_once(':').ok_or(RequestError::MissingColon)?;
    if preceding_fields >= MAX_FIELDS {
        return Err(RequestError::TooManyFields);
    }
    if name.is_empty() || name.bytes().any(|byte| byte <= b' ' || byte == 127) {
        return Err(RequestError::MalformedFieldName);
    }
    let value = value.trim_matches([' ', '\t']);
    let is_control = |byte: u8| byte < b' ' && byte != b'\t' || byte == 127;
    if value.bytes().any(is_control) {
        return Err(RequestError::MalformedFieldValue);
    }
    Ok((name, value))
}

/// Applies a header field to `head` or `content_length`.
fn apply_field<'a>(
    head: &mut Head<'a>,
    content_length: &mut Option<usize>,
    name: &str,
    value: &'a str,
) -> Result<(), RequestError> {
    if name.eq_ignore_ascii_case("content-length") {
        if content_length.replace(parse_length(value)?).is_some() {
            return Err(RequestError::DuplicateContentLength);
        }
    } else if name.eq_ignore_ascii_case("transfer-encoding") {
        return Err(RequestError::UnsupportedTransferEncoding);
    } else if name.eq_ignore_ascii_case("connection") {
        let close = has_token(value, "close");
        head.keep_alive = !close && (head.keep_alive || has_token(value, "keep-alive"));
    } else if let Some(field) = RequestField::parse(name) {
        if head.value_mut(field).replace(value).is_some() {
            return Err(RequestError::DuplicateField);
        }
    }
    Ok(())
}

/// Parses the value of a `Content-Length`. Only digits are allowed; `str::parse` alone would accept a plus sign.
fn parse_length(value: &str) -> Result<usize, RequestError> {
    let malformed = RequestError::MalformedContentLength;
    if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(malformed);
    }
    value.parse().map_err(|_| malformed)
}

/// Whether a comma-separated list contains `token`, ignoring case.
fn has_token(list: &str, token: &str) -> bool {
    list.split(',')
        .any(|item| item.trim().eq_ignore_ascii_case(token))
}

/// The head of a response.
pub struct ResponseHead {
    /// The status.
    pub status: Status,
    /// Size of the body (bytes).
    pub body_len: usize,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    /// How long (ms) the client is to wait before it retries.
    pub retry_after_ms: Option<u64>,
}

impl ResponseHead {
    /// Encodes the status line and the header fields.
    pub fn encode(&self) -> Vec<u8> {
        let mut head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            self.status.code(),
            self.status.reason_phrase(),
            self.body_len
        );
        if let Some(retry_after_ms) = self.retry_after_ms {
            head += &format!("{RETRY_AFTER_FIELD}: {retry_after_ms}\r\n");
        }
        if !self.keep_alive {
            head += "Connection: close\r\n";
        }
        head += "\r\n";
        head.into_bytes()
    }
}

#[cfg(test)]
mod tests;
