//! The second part of the read-only proof: a check of the shape's words that is independent of the grammar. The parser
//! skips constructs that it does not model, and this check ignores structure, so both are unlikely to miss the same
//! effect.

use super::findings::Findings;
use super::reason::Reason;
use crate::config::Config;
use crate::functions::effect_of_function;
use crate::keywords::{precedes_parenthesis_without_call, starts_read_only_statement};
use crate::lexer::{Shape, Token, TokenKind};
use crate::Effect;

/// The reason why the shape's words do not prove the statement read-only; `None` if they do.
pub(super) fn unproven_reason(
    shape: &Shape,
    findings: &Findings,
    config: &Config,
) -> Option<Reason> {
    if shape.has_effect_keyword {
        return Some(Reason::EffectKeyword);
    }
    let mut starts_statement = true;
    for (index, token) in shape.tokens.iter().enumerate() {
        let text = shape.token_text(token);
        if starts_statement && text != ";" {
            if !starts_read_only_statement(text) || token.kind == TokenKind::QuotedName {
                return Some(Reason::FirstWord(text.to_owned()));
            }
            starts_statement = false;
        }
        starts_statement |= text == ";" && token.kind == TokenKind::Punctuation;
        if is_trailing_comma(shape, index, token) {
            return Some(Reason::TrailingComma);
        }
        if is_share_lock(shape, index, token) {
            return Some(Reason::RowsLocked);
        }
        if let Some(reason) = unproven_call_reason(shape, index, token, findings, config) {
            return Some(reason);
        }
    }
    None
}

/// Whether the token is a comma without a following item. Some dialects accept such a comma, but not every engine does.
fn is_trailing_comma(shape: &Shape, index: usize, token: &Token) -> bool {
    if token.kind != TokenKind::Punctuation || shape.token_text(token) != "," {
        return false;
    }
    matches!(
        shape.text_at(Some(index + 1)),
        "" | ")" | "from" | "where" | "group" | "order" | "having" | "limit" | ";" | ","
    )
}

/// Whether the token is part of a lock of rows or tables: FOR SHARE, FOR KEY SHARE, IN SHARE MODE.
fn is_share_lock(shape: &Shape, index: usize, token: &Token) -> bool {
    token.kind == TokenKind::Word
        && shape.token_text(token) == "share"
        && matches!(shape.text_at(index.checked_sub(1)), "for" | "key" | "in")
}

/// The reason why the token may be the name in a call with effects; `None` if it is not.
fn unproven_call_reason(
    shape: &Shape,
    index: usize,
    token: &Token,
    findings: &Findings,
    config: &Config,
) -> Option<Reason> {
    let is_name = matches!(token.kind, TokenKind::Word | TokenKind::QuotedName);
    if !is_name || shape.text_at(Some(index + 1)) != "(" {
        return None;
    }
    let is_qualified = shape.text_at(index.checked_sub(1)) == ".";
    if token.kind == TokenKind::Word && !is_qualified {
        let word = shape.token_text(token);
        if precedes_parenthesis_without_call(word) {
            return None;
        }
    }
    let name = qualified_name(shape, index);
    match effect_of_function(&name, config) {
        Effect::ReadOnly => None,
        // An alias with a column list may precede a parenthesis, unless it has the name of a function with effects.
        Effect::Unknown if findings.column_aliases.contains(&name) => None,
        Effect::Unknown | Effect::NonIdempotent => Some(Reason::UnknownFunction(name)),
    }
}

/// The qualified name that ends with the token at `index`.
fn qualified_name(shape: &Shape, index: usize) -> String {
    let mut name = unquoted(shape, index);
    let mut first = index;
    while first >= 2 && shape.text_at(Some(first - 1)) == "." {
        let qualifier = first - 2;
        let is_name = matches!(
            shape.tokens[qualifier].kind,
            TokenKind::Word | TokenKind::QuotedName
        );
        if !is_name {
            break;
        }
        first = qualifier;
        name = format!("{}.{name}", unquoted(shape, first));
    }
    name
}

fn unquoted(shape: &Shape, index: usize) -> String {
    let token = &shape.tokens[index];
    let text = shape.token_text(token);
    match token.kind {
        TokenKind::QuotedName => text.trim_matches(['"', '`']).to_owned(),
        _ => text.to_owned(),
    }
}
