//! Reads HTTP/1.1 requests in place and writes the heads of answers. Pure functions over bytes.

pub const MAX_HEAD: usize = 8 * 1024;
pub const MAX_BODY: usize = 64 * 1024;
const MAX_FIELDS: usize = 64;

/// A head, borrowed from the bytes it came in. Fields that the protocol does not name are passed over.
#[derive(Debug, PartialEq)]
pub struct Head<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub keep_alive: bool,
    pub id: Option<&'a str>,
    pub wait_ms: Option<&'a str>,
    pub owner: Option<&'a str>,
    pub cost: Option<&'a str>,
    pub memory_mb: Option<&'a str>,
    pub token: Option<&'a str>,
    pub key: Option<&'a str>,
    /// Bytes of the head, and of the body behind it.
    pub size: usize,
    pub length: usize,
}

/// A request that can't be read, and the status that says so; the connection ends with it.
#[derive(Debug, PartialEq)]
pub struct Wrong {
    pub status: u16,
    pub what: &'static str,
}

const fn wrong(status: u16, what: &'static str) -> Wrong {
    Wrong { status, what }
}

/// The head at the start of `bytes`; none while it has not come whole.
pub fn parse(bytes: &[u8]) -> Result<Option<Head<'_>>, Wrong> {
    // A line end or two before the request line is passed over (RFC 9112, 2.2).
    let blank = bytes
        .iter()
        .take(4)
        .take_while(|b| matches!(b, b'\r' | b'\n'))
        .count();
    let shown = &bytes[blank..bytes.len().min(MAX_HEAD)];
    let Some(end) = shown.windows(4).position(|four| four == b"\r\n\r\n") else {
        return if bytes.len() >= MAX_HEAD {
            Err(wrong(431, "the head is too long"))
        } else {
            Ok(None)
        };
    };
    let text =
        std::str::from_utf8(&shown[..end]).map_err(|_| wrong(400, "the head is not text"))?;
    let mut lines = text.split("\r\n");
    let mut words = lines.next().unwrap_or("").split(' ');
    let (method, path, version) = (words.next(), words.next(), words.next());
    let (Some(method), Some(path), Some(version), None) = (method, path, version, words.next())
    else {
        return Err(wrong(400, "the request line is not three words"));
    };
    let keep_alive = match version {
        "HTTP/1.1" => true,
        "HTTP/1.0" => false,
        _ => return Err(wrong(505, "the version is not HTTP/1.1")),
    };
    if method.is_empty()
        || !method.bytes().all(|b| b.is_ascii_alphabetic())
        || !path.starts_with('/')
    {
        return Err(wrong(400, "the request line has no method or path"));
    }
    let mut head = Head {
        method,
        path,
        keep_alive,
        id: None,
        wait_ms: None,
        owner: None,
        cost: None,
        memory_mb: None,
        token: None,
        key: None,
        size: blank + end + 4,
        length: 0,
    };
    let mut length = None;
    for (count, line) in lines.enumerate() {
        let (name, value) = line
            .split_once(':')
            .ok_or(wrong(400, "a field has no colon"))?;
        if count >= MAX_FIELDS {
            return Err(wrong(431, "there are too many fields"));
        }
        if name.is_empty() || name.bytes().any(|b| b <= b' ' || b == 127) {
            return Err(wrong(400, "a field's name is not a word"));
        }
        let value = value.trim_matches([' ', '\t']);
        if value.bytes().any(|b| b < b' ' && b != b'\t' || b == 127) {
            return Err(wrong(400, "a field's value is not text"));
        }
        let is = |known: &str| name.eq_ignore_ascii_case(known);
        if is("content-length") {
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            let told: usize = Some(value)
                .filter(|_| digits)
                .and_then(|v| v.parse().ok())
                .ok_or(wrong(400, "Content-Length"))?;
            if length.replace(told).is_some() {
                return Err(wrong(400, "Content-Length is told twice"));
            }
        } else if is("transfer-encoding") {
            return Err(wrong(501, "Transfer-Encoding is not taken"));
        } else if is("connection") {
            let says = |word: &str| {
                value
                    .split(',')
                    .any(|one| one.trim().eq_ignore_ascii_case(word))
            };
            head.keep_alive = !says("close") && (head.keep_alive || says("keep-alive"));
        } else {
            let place = match () {
                () if is("req-id") => &mut head.id,
                () if is("req-wait-ms") => &mut head.wait_ms,
                () if is("req-owner") => &mut head.owner,
                () if is("req-cost") => &mut head.cost,
                () if is("x-need-mb") => &mut head.memory_mb,
                () if is("req-token") => &mut head.token,
                () if is("req-key") => &mut head.key,
                () => continue,
            };
            if place.replace(value).is_some() {
                return Err(wrong(400, "a field is told twice"));
            }
        }
    }
    head.length = length.unwrap_or(0);
    if head.length > MAX_BODY {
        return Err(wrong(413, "the statement is too long"));
    }
    Ok(Some(head))
}

fn reason(status: u16) -> &'static str {
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

/// The head of an answer; `wait_ms` tells the client how long to stay away.
pub fn answer_head(status: u16, length: usize, keep_alive: bool, wait_ms: Option<u64>) -> Vec<u8> {
    let mut head = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n",
        reason(status)
    );
    if let Some(wait_ms) = wait_ms {
        head += &format!("Srv-Wait-Ms: {wait_ms}\r\n");
    }
    if !keep_alive {
        head += "Connection: close\r\n";
    }
    head += "\r\n";
    head.into_bytes()
}

#[cfg(test)]
mod tests;
