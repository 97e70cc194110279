//! The effect of a statement by its kind. `visitor` checks its subqueries and calls.

use super::reason::Reason;
use super::visitor::SyntaxSearch;
use crate::Effect;
use sqlparser::ast::{
    CopySource, Delete, FromTable, ObjectName, Statement, TableFactor, TableObject,
};

impl SyntaxSearch<'_> {
    /// Records the effect of a statement, top-level or nested in another, and the tables that it writes.
    pub(super) fn check_statement(&mut self, statement: &Statement) {
        match statement {
            Statement::Query(_)
            | Statement::ExplainTable { .. }
            | Statement::ShowColumns { .. }
            | Statement::ShowTables { .. } => {}
            Statement::ShowVariable { variable } if variable.len() <= 2 => {}
            Statement::Explain { .. } => self.check_explain(statement),
            Statement::Insert(_)
            | Statement::Update(_)
            | Statement::Delete(_)
            | Statement::Merge(_)
            | Statement::Truncate(_)
            | Statement::Copy { .. } => self.check_data_change(statement),
            Statement::CreateTable(_)
            | Statement::CreateView(_)
            | Statement::CreateIndex(_)
            | Statement::AlterTable(_)
            | Statement::Drop { .. } => self.check_definition(statement),
            other => self.raise_unknown_statement(other),
        }
    }

    fn raise_unknown_statement(&mut self, statement: &Statement) {
        let text = statement.to_string();
        let first_word = text.split(' ').next().unwrap_or("").to_owned();
        self.findings
            .raise(Effect::Unknown, Reason::UnknownStatement(first_word));
    }

    fn raise_change(&mut self, statement: &'static str) {
        self.findings
            .raise(Effect::NonIdempotent, Reason::ChangesData(statement));
    }

    /// Checks an EXPLAIN. The engine executes the explained statement only with ANALYZE, but the visitor visits it, and
    /// so records its effect, in either case.
    fn check_explain(&mut self, explain: &Statement) {
        let Statement::Explain {
            analyze,
            options,
            statement,
            ..
        } = explain
        else {
            return;
        };
        let is_analyzed = *analyze
            || options
                .iter()
                .flatten()
                .any(|option| option.name.value.eq_ignore_ascii_case("analyze"));
        if !is_analyzed && !matches!(**statement, Statement::Query(_)) {
            // Such an EXPLAIN has no effects, but contains the words of a statement with effects.
            self.findings
                .raise(Effect::Unknown, Reason::ExplainsNoQuery);
        }
    }

    fn check_data_change(&mut self, statement: &Statement) {
        match statement {
            Statement::Insert(insert) => {
                self.raise_change("INSERT");
                if let TableObject::TableName(name) = &insert.table {
                    self.add_written(name);
                }
            }
            Statement::Update(update) => {
                self.raise_change("UPDATE");
                self.add_written_factor(&update.table.relation);
            }
            Statement::Delete(delete) => self.check_delete(delete),
            Statement::Merge(merge) => {
                self.raise_change("MERGE");
                self.add_written_factor(&merge.table);
            }
            Statement::Truncate(truncate) => {
                self.raise_change("TRUNCATE");
                for target in &truncate.table_names {
                    self.add_written(&target.name);
                }
            }
            Statement::Copy { source, to, .. } => match source {
                CopySource::Table { table_name, .. } if !*to => {
                    self.raise_change("COPY");
                    self.add_written(table_name);
                }
                _ => self.findings.raise(Effect::Unknown, Reason::CopyOut),
            },
            _ => {}
        }
    }

    fn check_delete(&mut self, delete: &Delete) {
        self.raise_change("DELETE");
        for name in &delete.tables {
            self.add_written(name);
        }
        let (FromTable::WithFromKeyword(from) | FromTable::WithoutKeyword(from)) = &delete.from;
        if delete.tables.is_empty() {
            if let Some(first) = from.first() {
                self.add_written_factor(&first.relation);
            }
        }
    }

    fn check_definition(&mut self, statement: &Statement) {
        match statement {
            Statement::CreateTable(create) => {
                self.raise_change("CREATE TABLE");
                self.add_written(&create.name);
            }
            Statement::CreateView(create) => {
                self.raise_change("CREATE VIEW");
                self.add_written(&create.name);
            }
            Statement::CreateIndex(_) => self.raise_change("CREATE INDEX"),
            Statement::AlterTable(alter) => {
                self.raise_change("ALTER TABLE");
                self.add_written(&alter.name);
            }
            Statement::Drop { names, .. } => {
                self.raise_change("DROP");
                for name in names {
                    self.add_written(name);
                }
            }
            _ => {}
        }
    }

    fn add_written_factor(&mut self, factor: &TableFactor) {
        if let TableFactor::Table { name, .. } = factor {
            self.add_written(name);
        }
    }

    fn add_written(&mut self, name: &ObjectName) {
        let name = super::visitor::name_of(name);
        self.findings.tables_written.insert(name);
    }
}
