//! Reads and writes RESP arrays of bulk strings. Pure functions over bytes.

pub const MAX_PARTS: usize = 8;
/// A page holds 6,000 bytes at most.
pub const MAX_PART: usize = 8 * 1024;
const MAX_DIGITS: usize = 8;

/// The parts of one array, borrowed from the bytes it came in.
#[derive(Debug, PartialEq)]
pub struct Frame<'a> {
    parts: [&'a [u8]; MAX_PARTS],
    count: usize,
    /// Bytes that the array takes.
    pub size: usize,
}

impl<'a> Frame<'a> {
    pub fn parts(&self) -> &[&'a [u8]] {
        &self.parts[..self.count]
    }

    /// The `i`-th part, empty if there is none.
    pub fn part(&self, i: usize) -> &'a [u8] {
        self.parts().get(i).copied().unwrap_or(b"")
    }
}

/// A number between `mark` and a line end; its value and where the next line begins.
fn number(bytes: &[u8], at: usize, mark: u8) -> Result<Option<(usize, usize)>, &'static str> {
    let rest = &bytes[at.min(bytes.len())..];
    match rest.first() {
        None => return Ok(None),
        Some(&first) if first != mark => return Err("not an array of bulk strings"),
        Some(_) => {}
    }
    let digits = rest[1..].iter().take_while(|b| b.is_ascii_digit()).count();
    if digits > MAX_DIGITS {
        return Err("a length is too long");
    }
    match rest.get(1 + digits..) {
        Some([b'\r', b'\n', ..]) if digits > 0 => {
            let text =
                std::str::from_utf8(&rest[1..=digits]).map_err(|_| "a length is no number")?;
            let value = text.parse().map_err(|_| "a length is no number")?;
            Ok(Some((value, at + digits + 3)))
        }
        Some([] | [b'\r']) => Ok(None),
        _ => Err("a length is no number"),
    }
}

/// The array at the start of `bytes`; none while it has not come whole.
pub fn parse(bytes: &[u8]) -> Result<Option<Frame<'_>>, &'static str> {
    let Some((count, mut at)) = number(bytes, 0, b'*')? else {
        return Ok(None);
    };
    if count > MAX_PARTS {
        return Err("an array has too many parts");
    }
    let mut parts: [&[u8]; MAX_PARTS] = [b""; MAX_PARTS];
    for part in &mut parts[..count] {
        let Some((length, start)) = number(bytes, at, b'$')? else {
            return Ok(None);
        };
        if length > MAX_PART {
            return Err("a bulk string is too long");
        }
        let end = start + length;
        match bytes.get(end..) {
            Some([b'\r', b'\n', ..]) => {}
            None | Some([] | [b'\r']) => return Ok(None),
            Some(_) => return Err("a bulk string does not end where it should"),
        }
        *part = &bytes[start..end];
        at = end + 2;
    }
    Ok(Some(Frame {
        parts,
        count,
        size: at,
    }))
}

/// Writes an array of `parts`, or its beginning where `more` is the length of a last part that follows.
pub fn write(to: &mut Vec<u8>, parts: &[&[u8]], more: Option<usize>) {
    to.extend_from_slice(format!("*{}\r\n", parts.len() + usize::from(more.is_some())).as_bytes());
    for part in parts {
        to.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        to.extend_from_slice(part);
        to.extend_from_slice(b"\r\n");
    }
    if let Some(length) = more {
        to.extend_from_slice(format!("${length}\r\n").as_bytes());
    }
}

/// The value of `name` in a list of fields `name=value,name=value`.
pub fn field<'a>(fields: &'a [u8], name: &str) -> Option<&'a str> {
    let text = std::str::from_utf8(fields).ok()?;
    text.split(',')
        .find_map(|pair| pair.split_once('=').filter(|(n, _)| *n == name))
        .map(|(_, value)| value)
}

#[cfg(test)]
mod tests;
