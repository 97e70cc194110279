//! The shape builder: appends tokens, and folds a list of literals to one literal and rows of literals to one row.

use super::token::{Token, TokenKind};
use crate::keywords::KeywordClass;

/// The placeholder of a string or parameter.
pub(super) const STRING_PLACEHOLDER: &[u8] = b"'?'";
/// The placeholder of a number.
pub(super) const NUMBER_PLACEHOLDER: &[u8] = b"0";

/// A position in the shape, to which it can be truncated.
#[derive(Debug, Clone, Copy)]
struct Position {
    text_bytes: usize,
    tokens: usize,
}

/// Whether the last tokens are a row that contains only literals, as in `values (1, 2), (3, 4)`.
#[derive(Debug, Clone, Copy, Default)]
enum RowState {
    #[default]
    None,
    /// The shape ends with a row, whose end is at this position.
    Closed(Position),
    /// The shape ends with a comma after a row, whose end is at this position.
    Comma(Position),
}

/// An open parenthesis that contains only literals so far.
#[derive(Debug, Clone, Copy)]
struct LiteralList {
    /// The end of the first literal, if there is one.
    first_literal_end: Option<Position>,
    /// The end of the previous row, if this list is not the first row.
    previous_row_end: Option<Position>,
}

/// The shape written so far.
#[derive(Debug, Default)]
pub(super) struct ShapeBuilder {
    pub text: Vec<u8>,
    pub tokens: Vec<Token>,
    pub parenthesis_depth: usize,
    pub operator_count: usize,
    pub has_effect_keyword: bool,
    row_state: RowState,
    list: Option<LiteralList>,
}

impl ShapeBuilder {
    /// Clears the shape, but keeps the allocated buffers.
    pub fn reset(&mut self) {
        self.text.clear();
        self.tokens.clear();
        self.parenthesis_depth = 0;
        self.operator_count = 0;
        self.has_effect_keyword = false;
        self.end_list();
    }

    /// Appends a token unchanged, and returns the offset of its first byte.
    fn push(&mut self, token: &[u8], kind: TokenKind) -> usize {
        if !self.text.is_empty() {
            self.text.push(b' ');
        }
        let start = self.text.len();
        self.text.extend_from_slice(token);
        self.tokens.push(Token {
            start: start as u32,
            end: self.text.len() as u32,
            kind,
        });
        start
    }

    /// Appends a quoted name with its quotes.
    pub fn push_quoted_name(&mut self, name: &[u8]) {
        self.end_list();
        self.push(name, TokenKind::QuotedName);
    }

    /// Appends an operator.
    pub fn push_operator(&mut self, operator: &[u8]) {
        self.end_list();
        self.push(operator, TokenKind::Punctuation);
    }

    /// Appends a literal's placeholder.
    pub fn push_literal(&mut self, placeholder: &[u8]) {
        self.row_state = RowState::None;
        let follows_comma = self.last_is(b",");
        self.push(placeholder, TokenKind::Literal);
        self.fold_literal(follows_comma);
    }

    /// Appends a word in lower case.
    pub fn push_identifier(&mut self, word: &[u8]) {
        let follows_dot = self.last_is(b".");
        let follows_comma = self.last_is(b",");
        let start = self.push(word, TokenKind::Word);
        self.text[start..].make_ascii_lowercase();
        let word = &self.text[start..];
        // Within a list these keywords count as literals.
        let is_listed_value = self.list.is_some() && matches!(word, b"null" | b"true" | b"false");
        match KeywordClass::of(word) {
            KeywordClass::Effect => self.has_effect_keyword |= !follows_dot,
            KeywordClass::Chaining => self.operator_count += 1,
            KeywordClass::Other => {}
        }
        if is_listed_value {
            self.row_state = RowState::None;
            self.fold_literal(follows_comma);
        } else {
            self.end_list();
        }
    }

    /// Appends a punctuation character.
    pub fn push_punctuation(&mut self, character: u8) {
        match character {
            b'(' => self.open_parenthesis(),
            b')' => self.close_parenthesis(),
            b',' => {
                self.row_state = match self.row_state {
                    RowState::Closed(end) => RowState::Comma(end),
                    _ => RowState::None,
                };
                self.push(b",", TokenKind::Punctuation);
            }
            _ => {
                self.operator_count += usize::from(character == b'[');
                self.push_operator(&[character]);
            }
        }
    }

    fn open_parenthesis(&mut self) {
        self.parenthesis_depth += 1;
        let previous_row_end = match self.row_state {
            RowState::Comma(end) => Some(end),
            _ => None,
        };
        let may_be_list =
            previous_row_end.is_some() || self.last_is(b"in") || self.last_is(b"values");
        self.row_state = RowState::None;
        self.push(b"(", TokenKind::Punctuation);
        self.list = may_be_list.then_some(LiteralList {
            first_literal_end: None,
            previous_row_end,
        });
    }

    fn close_parenthesis(&mut self) {
        self.parenthesis_depth = self.parenthesis_depth.saturating_sub(1);
        let list = self.list.take();
        self.push(b")", TokenKind::Punctuation);
        let Some(list) = list.filter(|list| list.first_literal_end.is_some()) else {
            self.row_state = RowState::None;
            return;
        };
        if let Some(previous_row_end) = list.previous_row_end {
            self.truncate_to(previous_row_end);
        }
        self.row_state = RowState::Closed(self.position());
    }

    /// Keeps only the first literal of a list: removes the last appended literal and the comma before it.
    fn fold_literal(&mut self, follows_comma: bool) {
        let position = self.position();
        let Some(list) = &mut self.list else { return };
        match list.first_literal_end {
            None => list.first_literal_end = Some(position),
            Some(first_literal_end) if follows_comma => self.truncate_to(first_literal_end),
            Some(_) => self.list = None,
        }
    }

    /// Stops folding the current list and rows. Called for every token that is not a literal, comma or parenthesis.
    fn end_list(&mut self) {
        self.row_state = RowState::None;
        self.list = None;
    }

    /// Appends the missing closing quote of a quoted name to the text, but not to the token. Only
    /// `Unproven::Unterminated` distinguishes the shape from that of the terminated name.
    pub fn terminate_quoted_name(&mut self, quote: u8) {
        self.text.push(quote);
    }

    /// Truncates the text to `max_bytes` and appends a hash of the unread input, so that statements that differ only in
    /// the unread input have different shapes. The shape counts as one with an effect keyword, since the unread input
    /// may contain one.
    pub fn finish_with_hash(&mut self, max_bytes: usize, unread: &[u8]) {
        self.text.truncate(max_bytes);
        let last_ascii = self.text.iter().rposition(u8::is_ascii);
        self.text.truncate(last_ascii.map_or(0, |index| index + 1));
        let hash = fnv1a(unread);
        self.text
            .extend_from_slice(format!(" {hash:016x}").as_bytes());
        self.has_effect_keyword = true;
    }

    fn position(&self) -> Position {
        Position {
            text_bytes: self.text.len(),
            tokens: self.tokens.len(),
        }
    }

    fn truncate_to(&mut self, position: Position) {
        self.text.truncate(position.text_bytes);
        self.tokens.truncate(position.tokens);
    }

    /// The last token's text and kind.
    pub fn last(&self) -> Option<(&[u8], TokenKind)> {
        let token = self.tokens.last()?;
        let text = &self.text[token.start as usize..token.end as usize];
        Some((text, token.kind))
    }

    /// Whether the last token has this text and is not a quoted name.
    pub fn last_is(&self, expected: &[u8]) -> bool {
        match self.last() {
            Some((text, kind)) => text == expected && kind != TokenKind::QuotedName,
            None => false,
        }
    }

    /// Whether the last token is a word or quoted name.
    pub fn last_is_name(&self) -> bool {
        match self.last() {
            Some((_, kind)) => matches!(kind, TokenKind::Word | TokenKind::QuotedName),
            None => false,
        }
    }

    /// Whether the last token may end a value, so that a following sign is an operator and not part of a number.
    pub fn last_ends_value(&self) -> bool {
        match self.last() {
            None => true,
            Some((text, TokenKind::Punctuation)) => matches!(text, b")" | b"]" | b"*"),
            Some(_) => true,
        }
    }
}

/// Initial value of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The 64-bit FNV-1a hash.
fn fnv1a(bytes: &[u8]) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    }
    hash
}
