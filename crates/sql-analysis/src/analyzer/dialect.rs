//! Parses a shape in an SQL dialect. The parser receives the lexer's tokens instead of text, so that both agree on
//! where each token begins and ends.

use super::reason::Reason;
use crate::config::Dialect;
use crate::lexer::{Shape, TokenKind};
use sqlparser::ast::Statement;
use sqlparser::dialect::{AnsiDialect, GenericDialect, MySqlDialect, PostgreSqlDialect};
use sqlparser::parser::Parser;
use sqlparser::tokenizer::{Location, Token, TokenWithSpan};

/// Maximum depth of the parser's recursion.
const MAX_RECURSION: usize = 48;

/// Parses tokens as the statements of a dialect. Tokens without a statement are an error.
pub(super) fn parse(tokens: &[TokenWithSpan], dialect: Dialect) -> Result<Vec<Statement>, Reason> {
    let dialect: &dyn sqlparser::dialect::Dialect = match dialect {
        Dialect::Generic => &GenericDialect {},
        Dialect::Ansi => &AnsiDialect {},
        Dialect::PostgreSql => &PostgreSqlDialect {},
        Dialect::MySql => &MySqlDialect {},
    };
    let mut parser = Parser::new(dialect)
        .with_recursion_limit(MAX_RECURSION)
        .with_tokens_with_locations(tokens.to_vec());
    match parser.parse_statements() {
        Ok(statements) if statements.is_empty() => Err(Reason::Empty),
        Ok(statements) => Ok(statements),
        Err(error) => {
            let message = error.to_string();
            let without_location = message.split(" at Line").next().unwrap_or("");
            Err(Reason::Syntax(without_location.to_owned()))
        }
    }
}

/// Converts the shape's tokens to the parser's; `None` if the parser has no equivalent of one of them. A token's column
/// is its index plus 1.
pub(super) fn parser_tokens(shape: &Shape) -> Option<Vec<TokenWithSpan>> {
    let mut tokens = Vec::with_capacity(shape.tokens.len() + 1);
    for (index, token) in shape.tokens.iter().enumerate() {
        let text = shape.token_text(token);
        let parser_token = match token.kind {
            TokenKind::Word => Token::make_word(text, None),
            TokenKind::QuotedName => {
                let quote = text.chars().next()?;
                let name = text.get(1..text.len() - 1)?;
                Token::make_word(name, Some(quote))
            }
            TokenKind::Literal if text == "0" => Token::Number("0".into(), false),
            TokenKind::Literal => Token::SingleQuotedString("?".into()),
            TokenKind::Punctuation => punctuation(text)?,
        };
        let column = index as u64 + 1;
        let start = Location::new(1, column);
        let end = Location::new(1, column + 1);
        tokens.push(TokenWithSpan::at(parser_token, start, end));
    }
    Some(tokens)
}

/// The parser's token for punctuation or an operator; `None` if the parser has no such token.
fn punctuation(text: &str) -> Option<Token> {
    separator(text).or_else(|| operator(text))
}

fn separator(text: &str) -> Option<Token> {
    Some(match text {
        "(" => Token::LParen,
        ")" => Token::RParen,
        "," => Token::Comma,
        "." => Token::Period,
        ";" => Token::SemiColon,
        "[" => Token::LBracket,
        "]" => Token::RBracket,
        "::" => Token::DoubleColon,
        ":" => Token::Colon,
        "{" => Token::LBrace,
        "}" => Token::RBrace,
        _ => return None,
    })
}

fn operator(text: &str) -> Option<Token> {
    Some(match text {
        "+" => Token::Plus,
        "-" => Token::Minus,
        "*" => Token::Mul,
        "/" => Token::Div,
        "%" => Token::Mod,
        "=" => Token::Eq,
        "<" => Token::Lt,
        ">" => Token::Gt,
        "<=" => Token::LtEq,
        ">=" => Token::GtEq,
        "<>" | "!=" => Token::Neq,
        "||" => Token::StringConcat,
        "->" => Token::Arrow,
        "->>" => Token::LongArrow,
        "=>" => Token::RArrow,
        "<=>" => Token::Spaceship,
        "&&" => Token::Overlap,
        "&" => Token::Ampersand,
        "|" => Token::Pipe,
        "^" => Token::Caret,
        "~" => Token::Tilde,
        "~*" => Token::TildeAsterisk,
        "!~" => Token::ExclamationMarkTilde,
        "!~*" => Token::ExclamationMarkTildeAsterisk,
        "@" => Token::AtSign,
        "#" => Token::Sharp,
        "\\" => Token::Backslash,
        _ => return None,
    })
}
