//! Wire formats on blocking sockets: the client protocol (HTTP) and the engine protocol (arrays of bulk strings).

use std::io::{BufRead, Write};

/// Header field of a rejection: the time after which the client may retry (ms).
pub const RETRY_AFTER_FIELD: &str = "Srv-Wait-Ms";

/// A complete HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The status line and the header fields, including the empty line.
    pub head: String,
    /// The body.
    pub body: String,
}

/// Reads an HTTP response. Returns none if it is malformed or the connection closes before the response is complete.
pub fn read_response(from: &mut impl BufRead) -> Option<HttpResponse> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        (from.read_line(&mut head).ok()? > 0).then_some(())?;
    }
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = field(&head, "Content-Length")?.parse().ok()?;
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some(HttpResponse {
        status,
        head,
        body: String::from_utf8(body).ok()?,
    })
}

/// Returns the value of a header field; the case of its name is ignored.
pub fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines()
        .find_map(|line| {
            line.split_once(':')
                .filter(|(key, _)| key.eq_ignore_ascii_case(name))
        })
        .map(|(_, value)| value.trim())
}

/// Reads an array of bulk strings. Returns none at the end of the stream or if the input is malformed.
pub fn read_frame(from: &mut impl BufRead) -> Option<Vec<String>> {
    let mut number = |prefix: &str| {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        line.trim_end().strip_prefix(prefix)?.parse::<usize>().ok()
    };
    let count = number("*")?;
    let mut parts = Vec::new();
    for _ in 0..count {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        let length: usize = line.trim_end().strip_prefix('$')?.parse().ok()?;
        let mut part = vec![0; length + 2];
        from.read_exact(&mut part).ok()?;
        parts.push(String::from_utf8(part[..length].to_vec()).ok()?);
    }
    Some(parts)
}

/// Writes an array of bulk strings. Returns whether the write succeeded.
pub fn write_frame(to: &mut impl Write, parts: &[&str]) -> bool {
    let bulk = |part: &&str| format!("${}\r\n{part}\r\n", part.len());
    let text = format!("*{}\r\n", parts.len()) + &parts.iter().map(bulk).collect::<String>();
    to.write_all(text.as_bytes()).is_ok()
}

/// Returns the value of a name in a list of the form `name=value,name=value`.
pub fn list_value<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields
        .split(',')
        .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
        .map(|(_, value)| value)
}
