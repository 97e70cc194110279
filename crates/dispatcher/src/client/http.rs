//! HTTP/1.1: parses the heads of requests in place, and writes the heads of answers. Pure functions over bytes.

use super::request_error::RequestError;

/// Bytes of a request's head at most: a bound on memory.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Bytes of a request's body at most: a bound on memory.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Header fields of a request at most: a bound on the work for one.
const MAX_FIELDS: usize = 64;
/// Bytes of line ends that are skipped ahead of a request line (RFC 9112, section 2.2).
const MAX_LEADING_LINE_ENDS: usize = 4;
/// What ends a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A request's head, borrowed from the bytes that it came in. Fields that the protocol does not name are ignored.
#[derive(Debug, PartialEq)]
pub struct Head<'a> {
    /// The method, in letters as they came.
    pub method: &'a str,
    /// The path with its query string.
    pub path: &'a str,
    /// The connection may go on after the answer.
    pub keep_alive: bool,
    /// `Req-Id`: the query's id.
    pub id: Option<&'a str>,
    /// `Req-Wait-Ms`: how long (ms) the client waits for its answer.
    pub wait_ms: Option<&'a str>,
    /// `Req-Owner`: the tenant.
    pub owner: Option<&'a str>,
    /// `Req-Cost`: estimated thread time (ms).
    pub cost_ms: Option<&'a str>,
    /// `X-Need-Mb`: estimated memory (MB).
    pub memory_mb: Option<&'a str>,
    /// `Req-Token`: the idempotency key.
    pub idempotency_key: Option<&'a str>,
    /// `Req-Key`: the ordering key.
    pub ordering_key: Option<&'a str>,
    /// Bytes of the head, with its last line end.
    pub head_len: usize,
    /// Bytes of the body behind it.
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
            owner: None,
            cost_ms: None,
            memory_mb: None,
            idempotency_key: None,
            ordering_key: None,
            head_len,
            body_len: 0,
        }
    }

    /// Bytes of the request, head and body.
    pub fn request_len(&self) -> usize {
        self.head_len + self.body_len
    }

    /// The field of the protocol by this name, in any case of letters; `None` for all others.
    fn field_mut(&mut self, name: &str) -> Option<&mut Option<&'a str>> {
        let fields = [
            ("req-id", &mut self.id),
            ("req-wait-ms", &mut self.wait_ms),
            ("req-owner", &mut self.owner),
            ("req-cost", &mut self.cost_ms),
            ("x-need-mb", &mut self.memory_mb),
            ("req-token", &mut self.idempotency_key),
            ("req-key", &mut self.ordering_key),
        ];
        fields
            .into_iter()
            .find(|(known, _)| name.eq_ignore_ascii_case(known))
            .map(|(_, field)| field)
    }
}

/// Parses the head at the start of `bytes`; `None` while it is not complete.
///
/// # Errors
/// The head is malformed, too long, or asks for what is not supported.
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
            return Err(RequestError::new(431, "the head is too long"));
        }
        return Ok(None);
    };
    let text = std::str::from_utf8(&searched[..head_end])
        .map_err(|_| RequestError::new(400, "the head is not text"))?;
    let mut lines = text.split("\r\n");
    let request_line = RequestLine::parse(lines.next().unwrap_or(""))?;
    let mut head = Head::new(&request_line, skipped + head_end + HEAD_END.len());
    let mut content_length = None;
    for (count, line) in lines.enumerate() {
        let (name, value) = parse_field(line, count)?;
        apply_field(&mut head, &mut content_length, name, value)?;
    }
    head.body_len = content_length.unwrap_or(0);
    if head.body_len > MAX_BODY_BYTES {
        return Err(RequestError::new(413, "the statement is too long"));
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
            return Err(RequestError::new(
                400,
                "the request line is not three words",
            ));
        };
        let keep_alive = match version {
            "HTTP/1.1" => true,
            "HTTP/1.0" => false,
            _ => return Err(RequestError::new(505, "the version is not HTTP/1.1")),
        };
        let is_method = !method.is_empty() && method.bytes().all(|b| b.is_ascii_alphabetic());
        if !is_method || !path.starts_with('/') {
            return Err(RequestError::new(
                400,
                "the request line has no method or path",
            ));
        }
        Ok(RequestLine {
            method,
            path,
            keep_alive,
        })
    }
}

/// Name and value of a header field that has `count` others before it.
fn parse_field(line: &str, count: usize) -> Result<(&str, &str), RequestError> {
    let (name, value) = line
        .split_once(':')
        .ok_or(RequestError::new(400, "a field has no colon"))?;
    if count >= MAX_FIELDS {
        return Err(RequestError::new(431, "there are too many fields"));
    }
    if name.is_empty() || name.bytes().any(|byte| byte <= b' ' || byte == 127) {
        return Err(RequestError::new(400, "a field's name is not a word"));
    }
    let value = value.trim_matches([' ', '\t']);
    let is_control = |byte: u8| byte < b' ' && byte != b'\t' || byte == 127;
    if value.bytes().any(is_control) {
        return Err(RequestError::new(400, "a field's value is not text"));
    }
    Ok((name, value))
}

/// Puts a header field to its place in the head.
fn apply_field<'a>(
    head: &mut Head<'a>,
    content_length: &mut Option<usize>,
    name: &str,
    value: &'a str,
) -> Result<(), RequestError> {
    if name.eq_ignore_ascii_case("content-length") {
        if content_length.replace(parse_length(value)?).is_some() {
            return Err(RequestError::new(400, "Content-Length is told twice"));
        }
    } else if name.eq_ignore_ascii_case("transfer-encoding") {
        return Err(RequestError::new(501, "Transfer-Encoding is not taken"));
    } else if name.eq_ignore_ascii_case("connection") {
        let close = has_token(value, "close");
        head.keep_alive = !close && (head.keep_alive || has_token(value, "keep-alive"));
    } else if let Some(field) = head.field_mut(name) {
        if field.replace(value).is_some() {
            return Err(RequestError::new(400, "a field is told twice"));
        }
    }
    Ok(())
}

/// The value of a `Content-Length`: digits only, where `parse` alone would take a sign.
fn parse_length(value: &str) -> Result<usize, RequestError> {
    let malformed = RequestError::new(400, "Content-Length");
    if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(malformed);
    }
    value.parse().map_err(|_| malformed)
}

/// Whether a list of words with commas between them holds `token`, in any case of letters.
fn has_token(list: &str, token: &str) -> bool {
    list.split(',')
        .any(|word| word.trim().eq_ignore_ascii_case(token))
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        505 => "HTTP Version Not Supported",
        _ => "Bad Request",
    }
}

/// The head of an answer with a body of `body_len` bytes. `retry_after_ms` tells the client how long to stay away.
pub fn answer_head(
    status: u16,
    body_len: usize,
    keep_alive: bool,
    retry_after_ms: Option<u64>,
) -> Vec<u8> {
    let mut head = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\nContent-Length: {body_len}\r\n",
        reason_phrase(status)
    );
    if let Some(retry_after_ms) = retry_after_ms {
        head += &format!("Srv-Wait-Ms: {retry_after_ms}\r\n");
    }
    if !keep_alive {
        head += "Connection: close\r\n";
    }
    head += "\r\n";
    head.into_bytes()
}

#[cfg(test)]
mod tests;
