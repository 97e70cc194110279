//! Searches syntax trees for effects, tables and features.

use super::findings::Findings;
use super::point_lookup::is_point_lookup;
use super::reason::Reason;
use crate::config::Config;
use crate::functions::{effect_of_function, is_aggregate};
use crate::Effect;
use sqlparser::ast::{
    BinaryOperator, Expr, Function, FunctionArguments, GroupByExpr, InTarget, JoinOperator,
    LimitClause, ObjectName, Query, Select, SetExpr, Statement, TableAlias, TableFactor, Visit,
    Visitor, With,
};
use std::collections::BTreeSet;
use std::ops::ControlFlow;

/// Findings in all statements of a text, parsed in one dialect.
pub(super) fn search(statements: &[Statement], config: &Config) -> Findings {
    let mut search = SyntaxSearch {
        config,
        common_table_names: BTreeSet::new(),
        findings: Findings::new(statements.len()),
    };
    for statement in statements {
        search.check_statement(statement);
        if let Statement::Query(query) = statement {
            search.findings.features.point_lookup |= is_point_lookup(query);
        }
        let _ = statement.visit(&mut search);
    }
    search.finish()
}

/// The dotted name without quotes. The shape already has unquoted parts in lower case.
pub(super) fn name_of(name: &ObjectName) -> String {
    let mut parts = Vec::with_capacity(name.0.len());
    for part in &name.0 {
        parts.push(match part.as_ident() {
            Some(identifier) => identifier.value.clone(),
            None => part.to_string(),
        });
    }
    parts.join(".")
}

/// The visitor of one dialect's syntax trees.
pub(super) struct SyntaxSearch<'a> {
    config: &'a Config,
    common_table_names: BTreeSet<String>,
    pub findings: Findings,
}

impl SyntaxSearch<'_> {
    fn finish(self) -> Findings {
        let common_table_names = self.common_table_names;
        let mut findings = self.findings;
        let tables_written = &findings.tables_written;
        findings
            .tables_read
            .retain(|name| !common_table_names.contains(name) && !tables_written.contains(name));
        let table_count = findings.tables_read.len() + findings.tables_written.len();
        findings.features.tables = table_count as u32;
        // The count includes the outermost query.
        findings.features.subqueries = findings.features.subqueries.saturating_sub(1);
        findings
    }

    fn raise_unknown(&mut self, reason: Reason) {
        self.findings.raise(Effect::Unknown, reason);
    }

    /// Records the effect of a function call.
    fn check_call(&mut self, name: String) {
        match effect_of_function(&name, self.config) {
            Effect::ReadOnly => {}
            Effect::NonIdempotent => {
                let reason = Reason::EffectFunction(name);
                self.findings.raise(Effect::NonIdempotent, reason);
            }
            Effect::Unknown => self.raise_unknown(Reason::UnknownFunction(name)),
        }
    }

    fn check_function(&mut self, function: &Function) {
        let name = name_of(&function.name);
        let is_window = function.over.is_some();
        self.findings.features.windows += u32::from(is_window);
        self.findings.features.aggregated |= !is_window && is_aggregate(&name);
        let has_parameters = !matches!(function.parameters, FunctionArguments::None);
        if has_parameters || function.uses_odbc_syntax {
            self.raise_unknown(Reason::UnknownCall(name.clone()));
        }
        self.check_call(name);
    }

    fn add_common_tables(&mut self, with: &With) {
        self.findings.features.recursive |= with.recursive;
        for table in &with.cte_tables {
            self.common_table_names
                .insert(table.alias.name.value.clone());
            self.add_alias(Some(&table.alias));
        }
    }

    /// Records an alias with a column list: a parenthesis after such an alias does not begin a function call.
    fn add_alias(&mut self, alias: Option<&TableAlias>) {
        if let Some(alias) = alias.filter(|alias| !alias.columns.is_empty()) {
            self.findings
                .column_aliases
                .insert(alias.name.value.clone());
        }
    }
}

/// Whether a query has LIMIT or FETCH.
fn is_limited(query: &Query) -> bool {
    let has_limit = match &query.limit_clause {
        Some(LimitClause::LimitOffset { limit, .. }) => limit.is_some(),
        Some(LimitClause::OffsetCommaLimit { .. }) => true,
        None => false,
    };
    has_limit || query.fetch.is_some()
}

fn is_grouped(select: &Select) -> bool {
    match &select.group_by {
        GroupByExpr::All(_) => true,
        GroupByExpr::Expressions(expressions, modifiers) => {
            !expressions.is_empty() || !modifiers.is_empty()
        }
    }
}

impl Visitor for SyntaxSearch<'_> {
    type Break = ();

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        self.check_statement(statement);
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        let features = &mut self.findings.features;
        features.subqueries += 1;
        features.ordered |= query.order_by.is_some();
        features.limited |= is_limited(query);
        features.set_operation |= matches!(*query.body, SetExpr::SetOperation { .. });
        if let Some(with) = &query.with {
            self.add_common_tables(with);
        }
        if !query.locks.is_empty() {
            self.findings
                .raise(Effect::NonIdempotent, Reason::RowsLocked);
        }
        let has_unknown_clause =
            query.for_clause.is_some() || query.settings.is_some() || query.format_clause.is_some();
        if has_unknown_clause {
            self.raise_unknown(Reason::UnknownClause);
        }
        if !query.pipe_operators.is_empty() {
            self.raise_unknown(Reason::PipeOperators);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        if let Some(into) = &select.into {
            self.findings
                .raise(Effect::NonIdempotent, Reason::SelectInto);
            let targets = into.targets.iter().map(ToString::to_string);
            self.findings.tables_written.extend(targets);
        }
        let features = &mut self.findings.features;
        features.distinct |= select.distinct.is_some();
        features.grouped |= is_grouped(select);
        features.filtered |= select.selection.is_some();
        features.limited |= select.top.is_some();
        features.joins += select.from.len().saturating_sub(1) as u32;
        for from in &select.from {
            features.joins += from.joins.len() as u32;
            // A semi join excludes rows as a WHERE clause does.
            features.filtered |= from
                .joins
                .iter()
                .any(|join| matches!(join.join_operator, JoinOperator::Semi(_)));
        }
        let has_unknown_clause = !select.lateral_views.is_empty()
            || !select.connect_by.is_empty()
            || select.value_table_mode.is_some();
        if has_unknown_clause {
            self.raise_unknown(Reason::UnknownClause);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<()> {
        self.findings.tables_read.insert(name_of(relation));
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
                    self.check_call(name_of(name));
                }
                if !with_hints.is_empty() {
                    self.raise_unknown(Reason::TableHints);
                }
                self.add_alias(alias.as_ref());
            }
            TableFactor::Derived { alias, .. } | TableFactor::UNNEST { alias, .. } => {
                self.add_alias(alias.as_ref());
            }
            TableFactor::NestedJoin { .. } => {}
            TableFactor::Function { name, .. } => self.check_call(name_of(name)),
            _ => self.raise_unknown(Reason::UnknownSource),
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::Function(function) => self.check_function(function),
            Expr::BinaryOp {
                op:
                    BinaryOperator::Assignment
                    | BinaryOperator::Custom(_)
                    | BinaryOperator::PGCustomBinaryOperator(_),
                ..
            } => self.raise_unknown(Reason::UnknownOperator),
            Expr::In {
                target: InTarget::Table { .. },
                ..
            } => self.raise_unknown(Reason::UnknownSource),
            _ => {}
        }
        ControlFlow::Continue(())
    }
}
