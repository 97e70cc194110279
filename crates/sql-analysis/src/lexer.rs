//! From bytes to a shape: words in lower case, literals as placeholders, lists of literals as one, comments and
//! blanks gone, one blank between tokens. What engines could read in two ways is not read in one of them: it raises
//! a doubt, and a statement in doubt is never proven to only read.

use crate::words;

/// Tokens, chained operators and brackets within brackets that a statement may have to be parsed: they bound the
/// parser's time, and the stack that a chain takes when it is walked and dropped.
pub const MAX_TOKENS: usize = 4000;
pub const MAX_OPERATORS: usize = 400;
pub const MAX_DEEP: usize = 40;
/// The longest statement that is read; what is longer is in doubt.
pub const MAX_BYTES: usize = 64 * 1024;

/// Why no proof is tried. The first one that is met counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Unproven {
    NotText,
    TooLong,
    TooComplex,
    Unterminated,
    ExecutableComment,
    NestedComment,
    BareLineEnd,
    Dashes,
    HashMark,
    Backslash,
    DollarQuote,
    NotAscii,
    ControlByte,
    Variable,
    Assignment,
    Brace,
    Operator,
    NumberAndWord,
    UnicodeEscape,
}

impl Unproven {
    pub fn says(self) -> &'static str {
        match self {
            Unproven::NotText => "it is not text",
            Unproven::TooLong => "it is too long",
            Unproven::TooComplex => "it has too many tokens, operators or brackets",
            Unproven::Unterminated => "a string, name or comment does not end",
            Unproven::ExecutableComment => "a comment may be executed",
            Unproven::NestedComment => "a comment holds the beginning of another",
            Unproven::BareLineEnd => "a comment holds a carriage return alone",
            Unproven::Dashes => "two dashes without a blank may be a comment or not",
            Unproven::HashMark => "a hash mark may begin a comment or not",
            Unproven::Backslash => "a backslash may be an escape or not",
            Unproven::DollarQuote => "dollar signs may quote or not",
            Unproven::NotAscii => "a letter outside quotes is not ASCII",
            Unproven::ControlByte => "a control byte stands outside quotes",
            Unproven::Variable => "a variable may be set",
            Unproven::Assignment => "something is assigned",
            Unproven::Brace => "a brace stands outside quotes",
            Unproven::Operator => "an operator is not known",
            Unproven::NumberAndWord => "a number runs into a word",
            Unproven::UnicodeEscape => "a quoted text has escapes of its own",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Word,
    /// A name in quotes, with them.
    Quoted,
    Literal,
    Mark,
}

/// A token of the shape: where it stands in its text.
#[derive(Debug, Clone, Copy)]
pub struct Span {
    pub from: u32,
    pub to: u32,
    pub kind: Kind,
}

/// What came of a statement.
#[derive(Debug)]
pub struct Lexed<'a> {
    pub text: &'a str,
    pub doubt: Option<Unproven>,
    pub spans: &'a [Span],
    /// An unquoted word that stands in no statement that only reads.
    pub tells_of_change: bool,
}

/// Where a row of a list of rows ended that held nothing but literals.
#[derive(Debug, Clone, Copy)]
enum Rows {
    No,
    Done(Cut),
    Comma(Cut),
}

#[derive(Debug, Clone, Copy)]
struct Cut {
    text: usize,
    spans: usize,
}

/// A bracket that holds nothing but literals so far.
#[derive(Debug, Clone, Copy)]
struct List {
    /// The end of its first literal, once there is one.
    first: Option<Cut>,
    /// The end of the row before this one, where this one goes on with rows.
    goes_on: Option<Cut>,
}

/// The lexer, with the buffers it uses again.
#[derive(Debug, Default)]
pub struct Lexer {
    text: Vec<u8>,
    spans: Vec<Span>,
}

impl Lexer {
    /// Any bytes; the result is borrowed until the next call.
    pub fn lex(&mut self, statement: &[u8]) -> Lexed<'_> {
        self.text.clear();
        self.spans.clear();
        let cut = &statement[..statement.len().min(MAX_BYTES)];
        let mut run = Run {
            bytes: cut,
            at: 0,
            text: &mut self.text,
            spans: &mut self.spans,
            doubt: None,
            rows: Rows::No,
            list: None,
            depth: 0,
            operators: 0,
            tells_of_change: false,
        };
        if statement.len() > MAX_BYTES {
            run.doubts(Unproven::TooLong);
        }
        if std::str::from_utf8(cut).is_err() && statement.len() <= MAX_BYTES || cut.contains(&0) {
            run.doubts(Unproven::NotText);
        }
        run.all();
        let (doubt, tells_of_change) = (run.doubt, run.tells_of_change);
        // What is no text has no shape of its own: all of it is one.
        let text = std::str::from_utf8(&self.text).unwrap_or_default();
        let spans = if text.is_empty() {
            &[][..]
        } else {
            &self.spans
        };
        Lexed {
            text,
            doubt,
            spans,
            tells_of_change,
        }
    }
}

struct Run<'a> {
    bytes: &'a [u8],
    at: usize,
    text: &'a mut Vec<u8>,
    spans: &'a mut Vec<Span>,
    doubt: Option<Unproven>,
    rows: Rows,
    list: Option<List>,
    depth: usize,
    operators: usize,
    tells_of_change: bool,
}

const OF_WORD: u8 = 1;
const OF_OPERATOR: u8 = 2;

/// What each byte may be part of.
const BYTES: [u8; 256] = {
    let mut bytes = [0; 256];
    let mut b = 0;
    while b < 256 {
        let byte = b as u8;
        if byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'$') || byte >= 128 {
            bytes[b] = OF_WORD;
        }
        if matches!(
            byte,
            b'+' | b'-'
                | b'*'
                | b'/'
                | b'<'
                | b'>'
                | b'='
                | b'~'
                | b'!'
                | b'%'
                | b'^'
                | b'&'
                | b'|'
        ) {
            bytes[b] = OF_OPERATOR;
        }
        b += 1;
    }
    bytes
};

fn of_word(b: u8) -> bool {
    BYTES[usize::from(b)] == OF_WORD
}

fn of_operator(b: u8) -> bool {
    BYTES[usize::from(b)] == OF_OPERATOR
}

const OPERATORS: [&[u8]; 25] = [
    b"+", b"-", b"*", b"/", b"<", b">", b"=", b"%", b"^", b"&", b"|", b"~", b"<=", b">=", b"<>",
    b"!=", b"||", b"->", b"->>", b"=>", b"&&", b"!~", b"~*", b"!~*", b"<=>",
];

impl Run<'_> {
    fn doubts(&mut self, doubt: Unproven) {
        self.doubt.get_or_insert(doubt);
    }

    fn peek(&self, ahead: usize) -> u8 {
        self.bytes.get(self.at + ahead).copied().unwrap_or(0)
    }

    fn all(&mut self) {
        while let Some(&first) = self.bytes.get(self.at) {
            match first {
                b' ' | b'\t' | b'\n' | b'\r' | 12 => self.at += 1,
                b'-' if self.peek(1) == b'-' => self.line_comment(),
                b'/' if self.peek(1) == b'*' => self.comment(),
                b'\'' => self.string(),
                b'"' | b'`' => self.quoted(first),
                b'0'..=b'9' => self.number(),
                b'.' if self.peek(1).is_ascii_digit() && !self.last_is_name() => self.number(),
                b'$' => self.dollar(),
                b'?' => {
                    self.at += 1;
                    self.literal(b"'?'");
                }
                b':' => self.colon(),
                _ if of_word(first) => self.word(),
                _ if of_operator(first) => self.operator(),
                b'(' | b')' | b',' | b'.' | b';' | b'[' | b']' => {
                    self.at += 1;
                    self.mark(first);
                }
                _ => {
                    self.doubts(match first {
                        b'#' => Unproven::HashMark,
                        b'\\' => Unproven::Backslash,
                        b'@' => Unproven::Variable,
                        b'{' | b'}' => Unproven::Brace,
                        _ => Unproven::ControlByte,
                    });
                    self.at += 1;
                    self.mark(first);
                }
            }
            if self.spans.len() > MAX_TOKENS
                || self.operators > MAX_OPERATORS
                || self.depth > MAX_DEEP
            {
                self.doubts(Unproven::TooComplex);
                // The words of the rest still count; its shape does not, since it will not be parsed.
                if self.spans.len() > MAX_TOKENS {
                    self.text.truncate(MAX_BYTES / 4);
                    return self.rest();
                }
            }
        }
    }

    /// What is behind the last token that is kept is only hashed, so that it can't share another one's shape.
    fn rest(&mut self) {
        let cut = self
            .text
            .iter()
            .rposition(|b| *b < 128)
            .map_or(0, |at| at + 1);
        self.text.truncate(cut);
        let rest = &self.bytes[self.at.min(self.bytes.len())..];
        let mut hash = 0xcbf2_9ce4_8422_2325_u64;
        rest.iter()
            .for_each(|b| hash = (hash ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3));
        self.text
            .extend_from_slice(format!(" {hash:016x}").as_bytes());
        self.tells_of_change = true;
    }

    // ---- What is written to the shape ----

    fn put(&mut self, token: &[u8], kind: Kind) {
        if !self.text.is_empty() {
            self.text.push(b' ');
        }
        let from = self.text.len() as u32;
        self.text.extend_from_slice(token);
        self.spans.push(Span {
            from,
            to: self.text.len() as u32,
            kind,
        });
    }

    fn here(&self) -> Cut {
        Cut {
            text: self.text.len(),
            spans: self.spans.len(),
        }
    }

    fn cut(&mut self, to: Cut) {
        self.text.truncate(to.text);
        self.spans.truncate(to.spans);
    }

    fn last(&self) -> Option<(&[u8], Kind)> {
        let span = self.spans.last()?;
        Some((&self.text[span.from as usize..span.to as usize], span.kind))
    }

    fn last_is(&self, token: &[u8]) -> bool {
        self.last()
            .is_some_and(|(last, kind)| last == token && kind != Kind::Quoted)
    }

    fn last_is_name(&self) -> bool {
        self.last()
            .is_some_and(|(_, kind)| matches!(kind, Kind::Word | Kind::Quoted))
    }

    fn literal(&mut self, placeholder: &[u8]) {
        self.rows = Rows::No;
        let behind_comma = self.last_is(b",");
        self.put(placeholder, Kind::Literal);
        self.listed(behind_comma);
    }

    /// Of a list of literals only the first is kept: what was just written goes again, with the comma before it.
    fn listed(&mut self, behind_comma: bool) {
        let here = self.here();
        let Some(list) = &mut self.list else { return };
        match list.first {
            None => list.first = Some(here),
            Some(first) if behind_comma => self.cut(first),
            Some(_) => self.list = None,
        }
    }

    fn mark(&mut self, mark: u8) {
        match mark {
            b'(' => {
                self.depth += 1;
                let goes_on = match self.rows {
                    Rows::Comma(at) => Some(at),
                    _ => None,
                };
                let of_list = goes_on.is_some() || self.last_is(b"in") || self.last_is(b"values");
                self.rows = Rows::No;
                self.put(b"(", Kind::Mark);
                self.list = of_list.then_some(List {
                    first: None,
                    goes_on,
                });
            }
            b')' => {
                self.depth = self.depth.saturating_sub(1);
                let closed = self.list.take();
                if let Some(list) = closed.filter(|list| list.first.is_some()) {
                    self.put(b")", Kind::Mark);
                    if let Some(before) = list.goes_on {
                        self.cut(before);
                    }
                    self.rows = Rows::Done(self.here());
                } else {
                    self.rows = Rows::No;
                    self.put(b")", Kind::Mark);
                }
            }
            b',' => {
                self.rows = match self.rows {
                    Rows::Done(at) => Rows::Comma(at),
                    _ => Rows::No,
                };
                self.put(b",", Kind::Mark);
            }
            _ => {
                (self.rows, self.list) = (Rows::No, None);
                self.operators += usize::from(mark == b'[');
                self.put(&[mark], Kind::Mark);
            }
        }
    }

    // ---- What is read ----

    fn line_comment(&mut self) {
        let behind = self.peek(2);
        if !(behind == 0 || behind.is_ascii_whitespace()) {
            self.doubts(Unproven::Dashes);
        }
        let rest = &self.bytes[self.at..];
        let end = rest.iter().position(|b| *b == b'\n').unwrap_or(rest.len());
        let bare = |at: usize| rest[at] == b'\r' && at + 1 != end;
        if (0..end).any(bare) {
            self.doubts(Unproven::BareLineEnd);
        }
        self.at += end;
    }

    fn comment(&mut self) {
        let inside = &self.bytes[self.at + 2..];
        if matches!(inside.first(), Some(b'!')) || inside.starts_with(b"M!") {
            self.doubts(Unproven::ExecutableComment);
        }
        let Some(end) = inside.windows(2).position(|two| two == b"*/") else {
            self.doubts(Unproven::Unterminated);
            self.at = self.bytes.len();
            return;
        };
        if inside[..end].windows(2).any(|two| two == b"/*") {
            self.doubts(Unproven::NestedComment);
        }
        self.at += 2 + end + 2;
    }

    /// Passes over what is quoted from `self.at`; its inside. A doubled quote does not end it.
    fn inside(&mut self, quote: u8) -> (usize, usize) {
        let from = self.at + 1;
        let mut at = from;
        let mut escaped = false;
        loop {
            match self.bytes.get(at) {
                None => {
                    self.doubts(Unproven::Unterminated);
                    break;
                }
                Some(&b) if b == quote => {
                    escaped |= self.bytes[from..at].last() == Some(&b'\\');
                    if self.bytes.get(at + 1) != Some(&quote) {
                        break;
                    }
                    at += 2;
                }
                Some(_) => at += 1,
            }
        }
        if escaped {
            self.doubts(Unproven::Backslash);
        }
        let to = at.min(self.bytes.len());
        self.at = (at + 1).min(self.bytes.len());
        (from, to)
    }

    fn string(&mut self) {
        self.inside(b'\'');
        // Two strings with nothing but blanks between are one to some.
        if self.last_is(b"'?'") {
            return;
        }
        self.literal(b"'?'");
    }

    fn quoted(&mut self, quote: u8) {
        let start = self.at;
        self.inside(quote);
        self.other();
        let bytes = self.bytes;
        self.put(&bytes[start..self.at], Kind::Quoted);
        if self.bytes[self.at - 1] != quote || self.at - start < 2 {
            // It has no end: the shape's text must have one, or it would be another text.
            self.text.push(quote);
        }
    }

    /// Whatever is neither literal nor comma ends what could be a list of literals.
    fn other(&mut self) {
        (self.rows, self.list) = (Rows::No, None);
    }

    fn number(&mut self) {
        let digits = |run: &mut Self, of: fn(&u8) -> bool| {
            while run.bytes.get(run.at).is_some_and(of) {
                run.at += 1;
            }
        };
        if self.peek(0) == b'0'
            && matches!(self.peek(1), b'x' | b'X')
            && self.peek(2).is_ascii_hexdigit()
        {
            self.at += 2;
            digits(self, u8::is_ascii_hexdigit);
        } else {
            digits(self, u8::is_ascii_digit);
            if self.peek(0) == b'.' {
                self.at += 1;
                digits(self, u8::is_ascii_digit);
            }
            let sign = usize::from(matches!(self.peek(1), b'+' | b'-'));
            if matches!(self.peek(0), b'e' | b'E') && self.peek(1 + sign).is_ascii_digit() {
                self.at += 1 + sign;
                digits(self, u8::is_ascii_digit);
            }
        }
        if of_word(self.peek(0)) {
            self.doubts(Unproven::NumberAndWord);
        }
        self.literal(b"0");
    }

    fn dollar(&mut self) {
        if self.peek(1).is_ascii_digit() {
            self.at += 1;
            while self.peek(0).is_ascii_digit() {
                self.at += 1;
            }
            return self.literal(b"'?'");
        }
        self.doubts(Unproven::DollarQuote);
        let rest = &self.bytes[self.at..];
        let tag = rest[1..]
            .iter()
            .position(|b| !of_word(*b) || *b == b'$')
            .map(|at| &rest[..at + 2]);
        let Some(tag) = tag.filter(|tag| tag.ends_with(b"$")) else {
            self.at += 1;
            return self.mark(b'$');
        };
        match rest[tag.len()..]
            .windows(tag.len())
            .position(|at| at == tag)
        {
            Some(inside) => self.at += 2 * tag.len() + inside,
            None => {
                self.doubts(Unproven::Unterminated);
                self.at = self.bytes.len();
            }
        }
        self.literal(b"'?'");
    }

    fn colon(&mut self) {
        if self.peek(1) == b':' {
            self.at += 2;
            self.operators += 1;
            self.other();
            return self.put(b"::", Kind::Mark);
        }
        if self.peek(1) == b'=' {
            self.doubts(Unproven::Assignment);
        }
        self.at += 1;
        if self.peek(0).is_ascii_alphabetic() {
            while of_word(self.peek(0)) && self.peek(0) < 128 {
                self.at += 1;
            }
            return self.literal(b"'?'");
        }
        self.mark(b':');
    }

    fn word(&mut self) {
        let from = self.at;
        while self.bytes.get(self.at).is_some_and(|b| of_word(*b)) {
            self.at += 1;
        }
        let word = &self.bytes[from..self.at];
        // A prefix of a string: bits, hexadecimal digits, national letters; with escapes where it says so.
        if self.peek(0) == b'\'' && word.len() == 1 {
            match word[0].to_ascii_lowercase() {
                b'b' | b'x' | b'n' => return self.string(),
                b'e' => {
                    let (from, to) = self.inside(b'\'');
                    if self.bytes[from..to].contains(&b'\\') {
                        self.doubts(Unproven::Backslash);
                    }
                    return self.literal(b"'?'");
                }
                _ => {}
            }
        }
        if self.peek(0) == b'\'' && word[0] == b'_' {
            self.doubts(Unproven::UnicodeEscape);
        }
        if self.peek(0) == b'&'
            && matches!(self.peek(1), b'\'' | b'"')
            && word.eq_ignore_ascii_case(b"u")
        {
            self.doubts(Unproven::UnicodeEscape);
        }
        if !word.is_ascii() {
            self.doubts(Unproven::NotAscii);
        }
        let (behind_dot, behind_comma) = (self.last_is(b"."), self.last_is(b","));
        self.put(word, Kind::Word);
        let at = self.spans[self.spans.len() - 1].from as usize;
        self.text[at..].make_ascii_lowercase();
        let word = &self.text[at..];
        // Words that stand for values are as good as literals within a list.
        let value = self.list.is_some() && matches!(word, b"null" | b"true" | b"false");
        if (2..=9).contains(&word.len()) {
            self.tells_of_change |= !behind_dot && words::tells_of_change(word);
            self.operators += usize::from(words::chains(word));
        }
        if value {
            self.rows = Rows::No;
            self.listed(behind_comma);
        } else {
            self.other();
        }
    }

    fn operator(&mut self) {
        let from = self.at;
        while self.bytes.get(self.at).is_some_and(|b| of_operator(*b)) {
            // A comment ends an operator.
            let begins_comment = self.peek(0) == b'-' && self.peek(1) == b'-'
                || self.peek(0) == b'/' && self.peek(1) == b'*';
            if begins_comment && self.at > from {
                break;
            }
            self.at += 1;
        }
        let bytes = self.bytes;
        let run = &bytes[from..self.at];
        self.operators += 1;
        // A sign of a number where a value stands, as in (-1 or = -1.
        let at = self.at;
        let signed = |run: &[u8]| {
            run.len() == 1
                && matches!(run[0], b'-' | b'+')
                && bytes.get(at).is_some_and(u8::is_ascii_digit)
        };
        let behind_value = |last: Option<(&[u8], Kind)>| {
            last.is_none_or(|(last, kind)| kind != Kind::Mark || matches!(last, b")" | b"]" | b"*"))
        };
        if signed(run) && !behind_value(self.last()) {
            return;
        }
        if !OPERATORS.contains(&run) {
            let (operator, sign) = run.split_at(run.len() - 1);
            let splits = matches!(sign, b"-" | b"+")
                && OPERATORS.contains(&operator)
                && operator
                    .iter()
                    .all(|b| matches!(b, b'+' | b'-' | b'*' | b'/' | b'<' | b'>' | b'='));
            if splits && operator != b"-" {
                self.other();
                self.put(operator, Kind::Mark);
                if !signed(sign) {
                    self.put(sign, Kind::Mark);
                }
                return;
            }
            self.doubts(Unproven::Operator);
        }
        self.other();
        self.put(run, Kind::Mark);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn shape(statement: &str) -> String {
        Lexer::default().lex(statement.as_bytes()).text.to_owned()
    }

    #[test]
    fn literals_case_blanks_and_comments_leave_the_shape_and_names_stay() {
        let one = shape(
            "SELECT a, b FROM sales_17.orders WHERE tag = '3f9c' AND n > 17 -- why\n LIMIT 10",
        );
        assert_eq!(
            one,
            "select a , b from sales_17 . orders where tag = '?' and n > 0 limit 0"
        );
        for same in [
            "select A,B from SALES_17.Orders where tag='x''y' and n>1.5e-3 limit 2",
            "select a/* x */, b\nfrom sales_17 .orders where tag = N'q' and n > .5 limit 0x1F",
            "select a,b from sales_17.orders where tag = '' and n >-5 limit 1",
        ] {
            assert_eq!(shape(same), one, "{same}");
        }
        for other in [
            "select a, b from sales_18.orders where tag = 'x' and n > 1 limit 2",
            "select a, c from sales_17.orders where tag = 'x' and n > 1 limit 2",
            "select a, b from sales_17.orders where tag = 'x' or n > 1 limit 2",
            "select a, b from sales_17.orders where tag = 'x' and n >= 1 limit 2",
            "select a, \"B\" from sales_17.orders where tag = 'x' and n > 1 limit 2",
        ] {
            assert_ne!(shape(other), one, "{other}");
        }
    }

    #[test]
    fn lists_of_literals_are_one_whatever_their_length_and_calls_keep_theirs() {
        let one = shape("select * from t where a in (1)");
        assert_eq!(one, "select * from t where a in ( 0 )");
        assert_eq!(shape("select * from t where a in (1, -2,null , 3)"), one);
        let long: Vec<String> = (0..10_000).map(|n| n.to_string()).collect();
        let long = format!("select * from t where a in ({})", long.join(","));
        let mut lexer = Lexer::default();
        let lexed = lexer.lex(long.as_bytes());
        assert_eq!((lexed.text, lexed.doubt), (one.as_str(), None));
        assert_ne!(shape("select f(1)"), shape("select f(1, 2)"));
        assert_ne!(shape("select * from t where a in (1, b)"), one);
        assert_eq!(
            shape("insert into t values (1, 'a'), (2, 'b')"),
            shape("insert into t values (3, 'c')")
        );
        assert_ne!(
            shape("insert into t values (1), (f())"),
            shape("insert into t values (1)")
        );
    }

    #[test]
    fn what_engines_read_in_two_ways_is_in_doubt() {
        let cases = [
            ("select '\\' or 1", Unproven::Backslash),
            ("select 'a\\'' ", Unproven::Unterminated),
            ("select 'a\\''b'", Unproven::Backslash),
            ("select e'a\\n'", Unproven::Backslash),
            ("select 1 # x", Unproven::HashMark),
            ("select 1 --x", Unproven::Dashes),
            ("select 1 -- x\ry\n", Unproven::BareLineEnd),
            ("select /*! 1 */ 2", Unproven::ExecutableComment),
            ("select /*M!100 1 */ 2", Unproven::ExecutableComment),
            ("select /* a /* b */ c */ 2", Unproven::NestedComment),
            ("select $$a$$", Unproven::DollarQuote),
            ("select $x$a$x$", Unproven::DollarQuote),
            ("select 'a", Unproven::Unterminated),
            ("select \"a", Unproven::Unterminated),
            ("select /* a", Unproven::Unterminated),
            ("select $a$ b", Unproven::DollarQuote),
            ("s\u{435}lect 1", Unproven::NotAscii),
            ("\u{feff}select 1", Unproven::NotAscii),
            ("select\u{a0}1", Unproven::NotAscii),
            ("select @a", Unproven::Variable),
            ("select a := 1", Unproven::Assignment),
            ("select {fn x()}", Unproven::Brace),
            ("select 1\u{b}", Unproven::ControlByte),
            ("select a |+ b", Unproven::Operator),
            ("select 1a", Unproven::NumberAndWord),
            ("select u&'\\0041'", Unproven::UnicodeEscape),
            ("select \0", Unproven::NotText),
        ];
        for (statement, doubt) in cases {
            assert_eq!(
                Lexer::default().lex(statement.as_bytes()).doubt,
                Some(doubt),
                "{statement:?}"
            );
        }
        let sure = [
            "select 'a\\n'",
            "select 1 -- x\r\n",
            "select '/*! x */', \"--x\"",
            "select a=-1, b*-c, -d",
        ];
        for statement in sure {
            assert_eq!(
                Lexer::default().lex(statement.as_bytes()).doubt,
                None,
                "{statement:?}"
            );
        }
        assert_eq!(
            Lexer::default().lex(b"select \xff").doubt,
            Some(Unproven::NotText)
        );
    }
}
