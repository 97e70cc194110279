//! The table group of a statement: the number after the last underscore in the name of the schema that the statement
//! reads or writes. It is determined without the grammar, so that it is known even if the parser rejects the statement.
//! Strings, comments and the schema `staging` are ignored.

#[cfg(test)]
mod tests;

/// Keywords that precede a table.
const KEYWORDS_BEFORE_TABLE: [&str; 8] = [
    "from", "join", "into", "update", "table", "only", "copy", "using",
];
/// Keywords that end a list of tables.
const KEYWORDS_AFTER_TABLES: [&str; 9] = [
    "where", "group", "order", "set", "values", "select", "on", "having", "limit",
];
/// The schema whose tables belong to no group.
const STAGING_SCHEMA: &[u8] = b"staging";

#[derive(Debug, Clone, Copy, PartialEq)]
enum Token<'a> {
    Name(&'a [u8]),
    Punctuation(u8),
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'$' || !byte.is_ascii()
}

/// The tokens of a statement, without strings and comments. An unterminated string or comment extends to the end.
struct Tokens<'a> {
    unread: &'a [u8],
}

impl<'a> Tokens<'a> {
    /// Skips a comment whose opening has `opening_bytes` bytes and that ends with `terminator`.
    fn skip_comment(&mut self, opening_bytes: usize, terminator: &[u8]) {
        let content = &self.unread[opening_bytes.min(self.unread.len())..];
        let end = content
            .windows(terminator.len())
            .position(|window| window == terminator);
        self.unread = match end {
            Some(end) => &content[end + terminator.len()..],
            None => &[],
        };
    }

    /// Reads a quoted text and returns its content. A doubled quote does not end the text.
    fn take_quoted(&mut self, quote: u8) -> &'a [u8] {
        let content = &self.unread[1..];
        let mut end = 0;
        while end < content.len() {
            if content[end] == quote {
                if content.get(end + 1) != Some(&quote) {
                    break;
                }
                end += 1;
            }
            end += 1;
        }
        self.unread = content.get(end + 1..).unwrap_or(&[]);
        &content[..end.min(content.len())]
    }

    fn take_name(&mut self) -> &'a [u8] {
        let end = self.unread.iter().position(|byte| !is_name_byte(*byte));
        let (name, unread) = self.unread.split_at(end.unwrap_or(self.unread.len()));
        self.unread = unread;
        name
    }
}

impl<'a> Iterator for Tokens<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        loop {
            let first = *self.unread.first()?;
            match (first, self.unread.get(1)) {
                (b'\'', _) => drop(self.take_quoted(b'\'')),
                (b'-', Some(b'-')) => self.skip_comment(2, b"\n"),
                (b'/', Some(b'*')) => self.skip_comment(2, b"*/"),
                (b'"' | b'`', _) => return Some(Token::Name(self.take_quoted(first))),
                _ if is_name_byte(first) => return Some(Token::Name(self.take_name())),
                _ => {
                    self.unread = &self.unread[1..];
                    if !first.is_ascii_whitespace() {
                        return Some(Token::Punctuation(first));
                    }
                }
            }
        }
    }
}

/// The number after the last underscore of a schema's name.
fn group_of_schema(schema: &[u8]) -> Option<u32> {
    if schema.eq_ignore_ascii_case(STAGING_SCHEMA) {
        return None;
    }
    let underscore = schema.iter().rposition(|byte| *byte == b'_')?;
    let digits = &schema[underscore + 1..];
    if underscore == 0 || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}

fn is_keyword(name: &[u8], keywords: &[&str]) -> bool {
    keywords
        .iter()
        .any(|keyword| name.eq_ignore_ascii_case(keyword.as_bytes()))
}

type PeekableTokens<'a> = std::iter::Peekable<Tokens<'a>>;

/// Reads the rest of a qualified name after its first part, `first`, and the dot. Returns the schema, which is the part
/// before the last dot, since a catalog may precede it.
fn take_schema<'a>(first: &'a [u8], tokens: &mut PeekableTokens<'a>) -> &'a [u8] {
    let mut schema = first;
    while let Some(&Token::Name(part)) = tokens.peek() {
        tokens.next();
        if tokens.peek() != Some(&Token::Punctuation(b'.')) {
            break;
        }
        tokens.next();
        schema = part;
    }
    schema
}

/// The table group of a statement: that of the first schema with a group where a table is expected, else of the first
/// schema with a group anywhere.
pub fn table_group(statement: &[u8]) -> Option<u32> {
    let mut tokens = Tokens { unread: statement }.peekable();
    let mut expects_table = false;
    let mut in_table_list = false;
    let mut first_other_group = None;
    while let Some(token) = tokens.next() {
        match token {
            Token::Punctuation(b',') if in_table_list => expects_table = true,
            Token::Punctuation(b'(') if expects_table => {}
            Token::Punctuation(_) => expects_table = false,
            Token::Name(name) if tokens.peek() == Some(&Token::Punctuation(b'.')) => {
                tokens.next();
                let group = group_of_schema(take_schema(name, &mut tokens));
                if expects_table && group.is_some() {
                    return group;
                }
                first_other_group = first_other_group.or(group);
                expects_table = false;
            }
            Token::Name(name) => {
                expects_table = is_keyword(name, &KEYWORDS_BEFORE_TABLE);
                // Within a list of tables, a table follows each comma until another clause begins.
                in_table_list =
                    expects_table || in_table_list && !is_keyword(name, &KEYWORDS_AFTER_TABLES);
            }
        }
    }
    first_other_group
}
