//! The group of tables that a statement reads or writes: the number behind the underscore in the name of its schema,
//! found by words alone, so that it is known for statements that no parser takes, too. Strings, comments and the
//! schema `staging` do not count.

/// Words behind which a table stands.
const BEFORE_TABLE: [&str; 8] = [
    "from", "join", "into", "update", "table", "only", "copy", "using",
];

#[derive(Debug, Clone, Copy, PartialEq)]
enum Token<'a> {
    Name(&'a [u8]),
    Mark(u8),
}

/// The tokens of a statement, without strings and comments. What does not end runs to the end.
struct Tokens<'a>(&'a [u8]);

impl<'a> Tokens<'a> {
    fn skip_to(&mut self, from: usize, end: &[u8]) {
        let rest = &self.0[from.min(self.0.len())..];
        let found = rest.windows(end.len()).position(|at| at == end);
        self.0 = found.map_or(&[], |at| &rest[at + end.len()..]);
    }

    /// The inside of what is quoted by `quote`; a doubled one does not end it.
    fn quoted(&mut self, quote: u8) -> &'a [u8] {
        let text = &self.0[1..];
        let mut at = 0;
        while at < text.len() {
            if text[at] == quote {
                if text.get(at + 1) != Some(&quote) {
                    break;
                }
                at += 1;
            }
            at += 1;
        }
        self.0 = text.get(at + 1..).unwrap_or(&[]);
        &text[..at.min(text.len())]
    }
}

impl<'a> Iterator for Tokens<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        let is_name = |b: &u8| b.is_ascii_alphanumeric() || *b == b'_' || *b == b'$' || *b >= 128;
        loop {
            let first = *self.0.first()?;
            match (first, self.0.get(1)) {
                (b'\'', _) => drop(self.quoted(b'\'')),
                (b'-', Some(b'-')) => self.skip_to(2, b"\n"),
                (b'/', Some(b'*')) => self.skip_to(2, b"*/"),
                (b'"' | b'`', _) => return Some(Token::Name(self.quoted(first))),
                _ if is_name(&first) => {
                    let end = self
                        .0
                        .iter()
                        .position(|b| !is_name(b))
                        .unwrap_or(self.0.len());
                    let (name, rest) = self.0.split_at(end);
                    self.0 = rest;
                    return Some(Token::Name(name));
                }
                _ => {
                    self.0 = &self.0[1..];
                    if !first.is_ascii_whitespace() {
                        return Some(Token::Mark(first));
                    }
                }
            }
        }
    }
}

/// The number behind the last underscore of a schema's name.
fn number_of(schema: &[u8]) -> Option<u32> {
    let at = schema.iter().rposition(|&b| b == b'_')?;
    let digits = schema
        .get(at + 1..)
        .filter(|_| at > 0 && !schema.eq_ignore_ascii_case(b"staging"))?;
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}

/// The group of tables, by a table's place if one stands where tables do, else by any name with a schema.
pub fn table_group(statement: &[u8]) -> Option<u32> {
    let mut tokens = Tokens(statement).peekable();
    let (mut at_table, mut in_list, mut anywhere) = (false, false, None);
    while let Some(token) = tokens.next() {
        match token {
            Token::Mark(b',') if in_list => at_table = true,
            Token::Mark(b'(') if at_table => {}
            Token::Mark(_) => at_table = false,
            Token::Name(name) => {
                if tokens.peek() == Some(&Token::Mark(b'.')) {
                    tokens.next();
                    // A name with a catalogue before it: the schema is the one before the last dot.
                    let mut schema = name;
                    while let Some(&Token::Name(next)) = tokens.peek() {
                        tokens.next();
                        if tokens.peek() != Some(&Token::Mark(b'.')) {
                            break;
                        }
                        tokens.next();
                        schema = next;
                    }
                    let group = number_of(schema);
                    if at_table && group.is_some() {
                        return group;
                    }
                    anywhere = anywhere.or(group);
                    at_table = false;
                    continue;
                }
                let word = |known: &str| name.eq_ignore_ascii_case(known.as_bytes());
                at_table = BEFORE_TABLE.iter().any(|known| word(known));
                // Behind a table's alias a comma brings the next table; another clause ends the list.
                let ends = [
                    "where", "group", "order", "set", "values", "select", "on", "having", "limit",
                ];
                in_list = at_table || in_list && !ends.iter().any(|known| word(known));
            }
        }
    }
    anywhere
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_group_is_the_number_of_the_schema_that_is_read_or_written() {
        let cases: [(&str, Option<u32>); 14] = [
            (
                "SELECT day, count(*) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day",
                Some(17),
            ),
            (
                "select 'from sales_3.x', a.b_2 from \"sales_18\".\"or\"\"ders\" a",
                Some(18),
            ),
            (
                "-- from sales_1.x\nSELECT /* from sales_2.x */ 1 FROM s_19 . t",
                Some(19),
            ),
            (
                "INSERT INTO sales_20.orders SELECT * FROM staging.orders_9",
                Some(20),
            ),
            (
                "INSERT INTO staging.orders_9 SELECT * FROM sales_21.orders",
                Some(21),
            ),
            ("SELECT t_4.x FROM staging.y t_4, sales_22.orders", Some(22)),
            (
                "SELECT 'it''s from sales_1.x' FROM cat.sales_23.orders",
                Some(23),
            ),
            ("UPDATE sales_24.o SET a = 1", Some(24)),
            (
                "SELECT * FROM (SELECT 1 FROM sales_25.o) x JOIN staging.o_1 y ON 1 = 1",
                Some(25),
            ),
            ("CALL sales_26.refresh()", Some(26)),
            ("SELECT 1 FROM orders_7", None),
            ("SELECT '", None),
            ("/* sales_1.x", None),
            ("SELECT * FROM sales_99999999999.o", None),
        ];
        for (statement, group) in cases {
            assert_eq!(table_group(statement.as_bytes()), group, "{statement}");
        }
    }

    #[test]
    fn no_bytes_make_it_panic() {
        let whole = b"SELECT \"a_1\".b, 'x''y' FROM /* c */ s_17.o -- d\n, \xff_2.q";
        for from in 0..whole.len() {
            for to in from..=whole.len() {
                table_group(&whole[from..to]);
            }
        }
    }
}
