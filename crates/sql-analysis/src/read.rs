//! What a shape shows: the parser is given the shape's text, under each dialect that is told, and what it finds is
//! set against the words. Both must agree for a proof.

use crate::lexer::{Kind, Lexed};
use crate::rules::{Dialect, Settings};
use crate::{words, Class, Effect, Reading};
use sqlparser::ast::{
    BinaryOperator, Expr, FunctionArguments, GroupByExpr, InTarget, JoinOperator, LimitClause,
    ObjectName, Query, Select, SetExpr, Statement, TableFactor, TableObject, Visit, Visitor,
};
use sqlparser::dialect::{AnsiDialect, GenericDialect, MySqlDialect, PostgreSqlDialect};
use sqlparser::parser::Parser;
use sqlparser::tokenizer::{Location, Token, TokenWithSpan};
use std::collections::BTreeSet;
use std::ops::ControlFlow;

/// The parser's own bound on how deep it descends.
const MAX_DEEP: usize = 48;
/// Names of tables that are kept.
const MAX_TABLES: usize = 64;
/// Of an error's text so much is kept.
const MAX_ERROR: usize = 160;

/// What the grammar shows of a statement with its subqueries.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Features {
    pub joins: u32,
    pub tables: u32,
    pub subqueries: u32,
    pub windows: u32,
    pub grouped: bool,
    pub distinct: bool,
    pub aggregated: bool,
    pub united: bool,
    pub ordered: bool,
    pub limited: bool,
    pub recursive: bool,
    /// A column is set equal to a literal or to one of a list, where all rows must pass.
    pub pointed: bool,
    pub filtered: bool,
}

/// What one dialect's grammar makes of it.
struct Found {
    effect: Effect,
    why: Option<String>,
    reads: BTreeSet<String>,
    writes: BTreeSet<String>,
    features: Features,
    statements: usize,
    /// Names that brackets may follow without a call: of common table expressions and aliases with columns.
    aliases: BTreeSet<String>,
}

pub fn read(lexed: &Lexed, settings: &Settings) -> Reading {
    let mut error = lexed.doubt.map(|doubt| doubt.says().to_owned());
    let mut found: Option<Found> = None;
    let parsable = !matches!(
        lexed.doubt,
        Some(
            crate::Unproven::NotText
                | crate::Unproven::TooLong
                | crate::Unproven::TooComplex
                | crate::Unproven::Unterminated
        )
    );
    if lexed.text.is_empty() {
        error.get_or_insert_with(|| "it is empty".into());
    } else if parsable {
        let mut first_error = None;
        let tokens = tokens_of(lexed);
        if tokens.is_none() {
            first_error = Some("it holds a mark that no grammar has".to_owned());
        }
        // The forgiving grammar is asked only where none of a real engine takes the statement.
        let (forgiving, real): (Vec<Dialect>, Vec<Dialect>) = settings
            .dialects
            .iter()
            .partition(|dialect| **dialect == Dialect::Generic);
        let mut before: Option<Vec<Statement>> = None;
        for dialect in real.into_iter().chain(forgiving) {
            let Some(tokens) = tokens
                .as_ref()
                .filter(|_| dialect != Dialect::Generic || found.is_none())
            else {
                continue;
            };
            match parse(tokens, dialect) {
                // What two grammars read alike is looked through once.
                Ok(statements) if before.as_ref() == Some(&statements) => {}
                Ok(statements) => {
                    let next = find(&statements, settings);
                    found = Some(match found {
                        Some(earlier) => earlier.and(next),
                        None => next,
                    });
                    before = Some(statements);
                }
                Err(e) => drop(first_error.get_or_insert(e)),
            }
        }
        if found.is_none() {
            error = error.or(first_error);
        }
    }
    let effect = match &found {
        // Words alone: what begins a change or names one may be one.
        None => Effect::Unknown,
        Some(found) if found.effect != Effect::ReadOnly => {
            error = error.or_else(|| found.why.clone());
            found.effect
        }
        Some(found) => match unproven(lexed, found, settings) {
            Some(why) => {
                error.get_or_insert(why);
                Effect::Unknown
            }
            None if lexed.doubt.is_some() => Effect::Unknown,
            None => Effect::ReadOnly,
        },
    };
    let features = found
        .as_ref()
        .map_or_else(Features::default, |found| found.features);
    let class = match effect {
        Effect::NonIdempotent => Class::Load,
        Effect::Unknown => Class::Unknown,
        Effect::ReadOnly => settings
            .rules
            .iter()
            .find(|rule| rule.holds(&features))
            .map_or(Class::LookUp, |rule| rule.class),
    };
    let (cost, memory) = settings.prices.of(class, &features);
    if let Some(error) = &mut error {
        let end = (0..=MAX_ERROR.min(error.len()))
            .rev()
            .find(|at| error.is_char_boundary(*at))
            .unwrap_or(0);
        error.truncate(end);
    }
    // A mutating statement that was read is no error.
    let error = error.filter(|_| effect != Effect::NonIdempotent || lexed.doubt.is_some());
    let (reads, writes) = found.map_or_else(Default::default, |found| (found.reads, found.writes));
    let names = |names: BTreeSet<String>| names.into_iter().take(MAX_TABLES).collect();
    Reading {
        class,
        effect,
        reads: names(reads),
        writes: names(writes),
        features,
        error,
        cost,
        memory,
    }
}

fn parse(tokens: &[TokenWithSpan], dialect: Dialect) -> Result<Vec<Statement>, String> {
    let dialect: &dyn sqlparser::dialect::Dialect = match dialect {
        Dialect::Generic => &GenericDialect {},
        Dialect::Ansi => &AnsiDialect {},
        Dialect::PostgreSql => &PostgreSqlDialect {},
        Dialect::MySql => &MySqlDialect {},
    };
    let parser = Parser::new(dialect).with_recursion_limit(MAX_DEEP);
    let statements = parser
        .with_tokens_with_locations(tokens.to_vec())
        .parse_statements();
    match statements {
        Ok(all) if all.is_empty() => Err("it is empty".into()),
        Ok(all) => Ok(all),
        // Places are those of the shape, and of no use to whoever sent the statement.
        Err(e) => Err(e
            .to_string()
            .split(" at Line")
            .next()
            .unwrap_or("")
            .to_owned()),
    }
}

/// The shape's tokens as the parser takes them: it splits no text of its own, so that what it reads is what the lexer
/// read. None where the lexer kept a mark that no grammar has.
fn tokens_of(lexed: &Lexed) -> Option<Vec<TokenWithSpan>> {
    let mut tokens = Vec::with_capacity(lexed.spans.len() + 1);
    for (n, span) in lexed.spans.iter().enumerate() {
        let text = &lexed.text[span.from as usize..span.to as usize];
        let token = match span.kind {
            Kind::Word => Token::make_word(text, None),
            Kind::Quoted => {
                let (quote, inside) = (text.chars().next()?, text.get(1..text.len() - 1)?);
                Token::make_word(inside, Some(quote))
            }
            Kind::Literal if text == "0" => Token::Number("0".into(), false),
            Kind::Literal => Token::SingleQuotedString("?".into()),
            Kind::Mark => mark_of(text)?,
        };
        // A word's place is its number among the tokens.
        let at = Location::new(1, n as u64 + 1);
        tokens.push(TokenWithSpan::at(token, at, Location::new(1, n as u64 + 2)));
    }
    Some(tokens)
}

fn mark_of(text: &str) -> Option<Token> {
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
        "{" => Token::LBrace,
        "}" => Token::RBrace,
        _ => return None,
    })
}

/// Why the words bar a proof that the grammar would give.
fn unproven(lexed: &Lexed, found: &Found, settings: &Settings) -> Option<String> {
    if lexed.tells_of_change {
        return Some("a word tells of a change".into());
    }
    let token = |n: usize| {
        lexed
            .spans
            .get(n)
            .map(|span| &lexed.text[span.from as usize..span.to as usize])
    };
    let mut begins = true;
    for (n, span) in lexed.spans.iter().enumerate() {
        let word = token(n).unwrap_or("");
        if begins && word != ";" {
            if !words::begins_reading(word) || span.kind == Kind::Quoted {
                return Some(format!("it begins with {word}"));
            }
            begins = false;
        }
        begins |= word == ";" && span.kind == Kind::Mark;
        // Some grammars forgive a comma too many; no engine that does was promised.
        if word == "," && span.kind == Kind::Mark {
            let next = token(n + 1).unwrap_or("");
            if matches!(
                next,
                "" | ")" | "from" | "where" | "group" | "order" | "having" | "limit" | ";" | ","
            ) {
                return Some("a comma stands before nothing".into());
            }
        }
        // FOR SHARE, FOR KEY SHARE, IN SHARE MODE: rows or tables are locked.
        let before = n.checked_sub(1).and_then(token).unwrap_or("");
        if word == "share" && span.kind == Kind::Word && matches!(before, "for" | "key" | "in") {
            return Some("rows are locked".into());
        }
        let named = matches!(span.kind, Kind::Word | Kind::Quoted);
        if !named || token(n + 1) != Some("(") {
            continue;
        }
        let plain = span.kind == Kind::Word;
        if plain && before != "." && (words::calls_nothing(word) || words::is_type(word)) {
            continue;
        }
        let name = called(lexed, n);
        let effect = effect_of_call(&name, settings);
        // A name given to a table may stand before a bracket, but not the name of what has effects.
        let alias = effect == Effect::Unknown && found.aliases.contains(&name);
        if effect != Effect::ReadOnly && !alias {
            return Some(format!("function {name} is not known to have no effect"));
        }
    }
    None
}

/// The name of a call that ends at token `n`, with what stands before its dots.
fn called(lexed: &Lexed, n: usize) -> String {
    let token = |n: usize| &lexed.text[lexed.spans[n].from as usize..lexed.spans[n].to as usize];
    let plain = |n: usize| match lexed.spans[n].kind {
        Kind::Quoted => token(n).trim_matches(['"', '`']).to_owned(),
        _ => token(n).to_owned(),
    };
    let mut name = plain(n);
    let mut at = n;
    while at >= 2
        && token(at - 1) == "."
        && matches!(lexed.spans[at - 2].kind, Kind::Word | Kind::Quoted)
    {
        at -= 2;
        name = format!("{}.{name}", plain(at));
    }
    name
}

/// Whether a function has effects, by its name as called.
fn effect_of_call(name: &str, settings: &Settings) -> Effect {
    let told = |list: &[String]| list.iter().any(|known| known == name);
    // With a schema before it, a function of a known name with effects is still one.
    let last = name.rsplit('.').next().unwrap_or(name);
    if told(&settings.effect_functions)
        || settings.effect_functions.iter().any(|known| known == last)
    {
        Effect::NonIdempotent
    } else if told(&settings.pure_functions) {
        Effect::ReadOnly
    } else if words::WITH_EFFECT
        .binary_search(&last.to_ascii_lowercase().as_str())
        .is_ok()
    {
        Effect::NonIdempotent
    } else if words::PURE.binary_search(&name).is_ok() {
        Effect::ReadOnly
    } else {
        Effect::Unknown
    }
}

/// A name as shapes tell it: unquoted parts are in lower case already.
fn name_of(name: &ObjectName) -> String {
    let part = |part: &sqlparser::ast::ObjectNamePart| {
        part.as_ident()
            .map_or_else(|| part.to_string(), |ident| ident.value.clone())
    };
    name.0.iter().map(part).collect::<Vec<_>>().join(".")
}

impl Found {
    /// Both grammars hold: the worse effect, the features of the first.
    fn and(mut self, other: Found) -> Found {
        if other.effect > self.effect
            || other.statements != self.statements && self.effect == Effect::ReadOnly
        {
            self.effect = other.effect.max(Effect::Unknown);
            self.why = other
                .why
                .or(Some("dialects take it for different statements".into()));
        }
        self.reads.extend(other.reads);
        self.writes.extend(other.writes);
        // An alias of one dialect alone may be a call of another.
        self.aliases.retain(|alias| other.aliases.contains(alias));
        self
    }

    fn worse(&mut self, effect: Effect, why: impl FnOnce() -> String) {
        if effect > self.effect {
            self.effect = effect;
            self.why = Some(why());
        }
    }
}

fn find(statements: &[Statement], settings: &Settings) -> Found {
    let mut finder = Finder {
        settings,
        ctes: BTreeSet::new(),
        found: Found {
            effect: Effect::ReadOnly,
            why: None,
            reads: BTreeSet::new(),
            writes: BTreeSet::new(),
            features: Features::default(),
            statements: statements.len(),
            aliases: BTreeSet::new(),
        },
    };
    for statement in statements {
        finder.statement(statement, true);
        let _ = statement.visit(&mut finder);
    }
    let Finder {
        mut found, ctes, ..
    } = finder;
    found
        .reads
        .retain(|name| !ctes.contains(name) && !found.writes.contains(name));
    found.features.tables = (found.reads.len() + found.writes.len()) as u32;
    found.features.subqueries = found.features.subqueries.saturating_sub(1);
    found
}

struct Finder<'a> {
    settings: &'a Settings,
    ctes: BTreeSet<String>,
    found: Found,
}

impl Finder<'_> {
    fn writes(&mut self, name: &ObjectName) {
        self.found.writes.insert(name_of(name));
    }

    /// What a statement is of itself. `outer`: it stands alone and not within another.
    fn statement(&mut self, statement: &Statement, outer: bool) {
        let changes = |finder: &mut Self, what: &str| {
            finder
                .found
                .worse(Effect::NonIdempotent, || what.to_owned())
        };
        match statement {
            Statement::Query(query) => {
                if outer {
                    self.pointed(query);
                }
            }
            // What is explained is not run, unless it is analysed: then it is visited like any other.
            Statement::Explain {
                analyze,
                options,
                statement,
                ..
            } => {
                let told = options
                    .iter()
                    .flatten()
                    .any(|o| o.name.value.eq_ignore_ascii_case("analyze"));
                if !(*analyze || told || matches!(**statement, Statement::Query(_))) {
                    // It is harmless, but then its words tell of a change, and words have the last say.
                    self.found
                        .worse(Effect::Unknown, || "what is explained is no query".into());
                }
            }
            Statement::ExplainTable { .. }
            | Statement::ShowColumns { .. }
            | Statement::ShowTables { .. } => {}
            Statement::ShowVariable { variable } if variable.len() <= 2 => {}
            Statement::Insert(insert) => {
                changes(self, "it inserts");
                if let TableObject::TableName(name) = &insert.table {
                    self.writes(name);
                }
            }
            Statement::Update(update) => {
                changes(self, "it updates");
                if let TableFactor::Table { name, .. } = &update.table.relation {
                    self.writes(name);
                }
            }
            Statement::Delete(delete) => {
                changes(self, "it deletes");
                delete.tables.iter().for_each(|name| self.writes(name));
                let from = match &delete.from {
                    sqlparser::ast::FromTable::WithFromKeyword(from)
                    | sqlparser::ast::FromTable::WithoutKeyword(from) => from,
                };
                if let (true, Some(TableFactor::Table { name, .. })) = (
                    delete.tables.is_empty(),
                    from.first().map(|from| &from.relation),
                ) {
                    self.writes(name);
                }
            }
            Statement::Merge(merge) => {
                changes(self, "it merges");
                if let TableFactor::Table { name, .. } = &merge.table {
                    self.writes(name);
                }
            }
            Statement::Truncate(truncate) => {
                changes(self, "it truncates");
                truncate
                    .table_names
                    .iter()
                    .for_each(|target| self.writes(&target.name));
            }
            Statement::CreateTable(create) => {
                changes(self, "it creates a table");
                self.writes(&create.name);
            }
            Statement::CreateView(create) => {
                changes(self, "it creates a view");
                self.writes(&create.name);
            }
            Statement::Drop { names, .. } => {
                changes(self, "it drops");
                names.iter().for_each(|name| self.writes(name));
            }
            Statement::AlterTable(alter) => {
                changes(self, "it alters a table");
                self.writes(&alter.name);
            }
            Statement::CreateIndex(_) => changes(self, "it creates an index"),
            Statement::Copy { source, to, .. } => {
                if let (false, sqlparser::ast::CopySource::Table { table_name, .. }) = (*to, source)
                {
                    changes(self, "it copies into a table");
                    self.writes(table_name);
                } else {
                    self.found.worse(Effect::Unknown, || "it copies out".into());
                }
            }
            other => {
                let text = other.to_string();
                let word = text.split(' ').next().unwrap_or("").to_owned();
                self.found.worse(Effect::Unknown, || {
                    format!("{word} is not known to only read")
                });
            }
        }
    }

    fn call(&mut self, name: &str) {
        match effect_of_call(name, self.settings) {
            Effect::ReadOnly => {}
            Effect::NonIdempotent => self.found.worse(Effect::NonIdempotent, || {
                format!("function {name} changes something")
            }),
            Effect::Unknown => {
                self.found.worse(Effect::Unknown, || {
                    format!("function {name} is not known to have no effect")
                });
            }
        }
    }

    /// Whether the outermost query asks for rows by a column's value.
    fn pointed(&mut self, query: &Query) {
        let mut body = &*query.body;
        while let SetExpr::Query(inner) = body {
            body = &inner.body;
        }
        let SetExpr::Select(select) = body else {
            return;
        };
        let mut all = select.selection.as_ref();
        while let Some(condition) = all {
            let (this, rest) = match condition {
                Expr::BinaryOp {
                    left,
                    op: BinaryOperator::And,
                    right,
                } => (&**right, Some(&**left)),
                Expr::Nested(inner) => {
                    all = Some(inner);
                    continue;
                }
                other => (other, None),
            };
            self.found.features.pointed |= points(this);
            all = rest;
        }
    }
}

fn points(condition: &Expr) -> bool {
    let column = |e: &Expr| matches!(e, Expr::Identifier(_) | Expr::CompoundIdentifier(_));
    let value = |e: &Expr| matches!(e, Expr::Value(_) | Expr::TypedString(_));
    match condition {
        Expr::Nested(inner) => points(inner),
        Expr::BinaryOp {
            left,
            op: BinaryOperator::Eq,
            right,
        } => column(left) && value(right) || value(left) && column(right),
        Expr::In {
            expr,
            target: InTarget::List(list),
            negated,
            ..
        } => !negated && column(expr) && list.iter().all(value),
        _ => false,
    }
}

impl Visitor for Finder<'_> {
    type Break = ();

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        self.statement(statement, false);
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        let f = &mut self.found.features;
        f.subqueries += 1;
        f.ordered |= query.order_by.is_some();
        f.limited |= query.fetch.is_some()
            || match &query.limit_clause {
                Some(LimitClause::LimitOffset { limit, .. }) => limit.is_some(),
                Some(LimitClause::OffsetCommaLimit { .. }) => true,
                None => false,
            };
        f.united |= matches!(*query.body, SetExpr::SetOperation { .. });
        if let Some(with) = &query.with {
            f.recursive |= with.recursive;
            for cte in &with.cte_tables {
                self.ctes.insert(cte.alias.name.value.clone());
                if !cte.alias.columns.is_empty() {
                    self.found.aliases.insert(cte.alias.name.value.clone());
                }
            }
        }
        if !query.locks.is_empty() {
            self.found
                .worse(Effect::NonIdempotent, || "rows are locked".into());
        }
        if query.for_clause.is_some() || query.settings.is_some() || query.format_clause.is_some() {
            self.found.worse(Effect::Unknown, || {
                "it has a clause that is not known to only read".into()
            });
        }
        if !query.pipe_operators.is_empty() {
            self.found
                .worse(Effect::Unknown, || "pipe operators are not read".into());
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        if let Some(into) = &select.into {
            self.found
                .worse(Effect::NonIdempotent, || "it selects into a table".into());
            self.found
                .writes
                .extend(into.targets.iter().map(ToString::to_string));
        }
        let f = &mut self.found.features;
        f.distinct |= select.distinct.is_some();
        f.grouped |= match &select.group_by {
            GroupByExpr::All(_) => true,
            GroupByExpr::Expressions(by, modifiers) => !by.is_empty() || !modifiers.is_empty(),
        };
        f.filtered |= select.selection.is_some();
        f.limited |= select.top.is_some();
        f.joins += select.from.len().saturating_sub(1) as u32;
        for from in &select.from {
            f.joins += from.joins.len() as u32;
            // A condition of a join over all pairs keeps rows out as one of WHERE does.
            f.filtered |= from
                .joins
                .iter()
                .any(|join| matches!(join.join_operator, JoinOperator::Semi(_)));
        }
        if !select.lateral_views.is_empty()
            || !select.connect_by.is_empty()
            || select.value_table_mode.is_some()
        {
            self.found.worse(Effect::Unknown, || {
                "it has a clause that is not known to only read".into()
            });
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<()> {
        self.found.reads.insert(name_of(relation));
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        match factor {
            TableFactor::Table {
                name,
                args,
                alias,
                with_hints,
                ..
            } => {
                if args.is_some() {
                    self.call(&name_of(name));
                }
                if !with_hints.is_empty() {
                    self.found
                        .worse(Effect::Unknown, || "table hints are not read".into());
                }
                if let Some(alias) = alias.as_ref().filter(|alias| !alias.columns.is_empty()) {
                    self.found.aliases.insert(alias.name.value.clone());
                }
            }
            TableFactor::Derived { alias, .. } => {
                if let Some(alias) = alias.as_ref().filter(|alias| !alias.columns.is_empty()) {
                    self.found.aliases.insert(alias.name.value.clone());
                }
            }
            TableFactor::NestedJoin { .. } => {}
            TableFactor::UNNEST { alias, .. } => {
                if let Some(alias) = alias.as_ref().filter(|alias| !alias.columns.is_empty()) {
                    self.found.aliases.insert(alias.name.value.clone());
                }
            }
            TableFactor::Function { name, .. } => self.call(&name_of(name)),
            _ => self
                .found
                .worse(Effect::Unknown, || "it reads from what is no table".into()),
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::Function(function) => {
                let name = name_of(&function.name);
                self.found.features.windows += u32::from(function.over.is_some());
                self.found.features.aggregated |=
                    function.over.is_none() && words::aggregates(&name);
                if !matches!(function.parameters, FunctionArguments::None)
                    || function.uses_odbc_syntax
                {
                    self.found.worse(Effect::Unknown, || {
                        format!("function {name} is called in a way not known")
                    });
                }
                self.call(&name);
            }
            Expr::BinaryOp { op, .. } => {
                let known = !matches!(
                    op,
                    BinaryOperator::Assignment
                        | BinaryOperator::Custom(_)
                        | BinaryOperator::PGCustomBinaryOperator(_)
                );
                if !known {
                    self.found
                        .worse(Effect::Unknown, || "an operator is not known".into());
                }
            }
            Expr::In {
                target: InTarget::Table { .. },
                ..
            } => {
                self.found
                    .worse(Effect::Unknown, || "it reads from what is no table".into());
            }
            _ => {}
        }
        ControlFlow::Continue(())
    }
}
