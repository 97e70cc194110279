//! Findings in the syntax trees of one dialect, or of several dialects combined.

use super::reason::Reason;
use crate::{Effect, Features};
use std::collections::BTreeSet;

/// Effect, tables and features of statements.
#[derive(Debug)]
pub(super) struct Findings {
    pub effect: Effect,
    /// The reason why the effect is not [`Effect::ReadOnly`].
    pub reason: Option<Reason>,
    pub tables_read: BTreeSet<String>,
    pub tables_written: BTreeSet<String>,
    pub features: Features,
    pub statement_count: usize,
    /// Aliases with a column list, of tables and common table expressions. A parenthesis after such an alias does not
    /// begin a function call.
    pub column_aliases: BTreeSet<String>,
}

impl Findings {
    /// No findings in `statement_count` statements.
    pub fn new(statement_count: usize) -> Self {
        Findings {
            effect: Effect::ReadOnly,
            reason: None,
            tables_read: BTreeSet::new(),
            tables_written: BTreeSet::new(),
            features: Features::default(),
            statement_count,
            column_aliases: BTreeSet::new(),
        }
    }

    /// Raises the effect to a more severe one and records its reason. Does nothing if `effect` is not more severe.
    pub fn raise(&mut self, effect: Effect, reason: Reason) {
        if effect > self.effect {
            self.effect = effect;
            self.reason = Some(reason);
        }
    }

    /// Combines the findings of two dialects: the more severe effect, the tables of both, the aliases that both have,
    /// and the features of `self`. If the dialects disagree on the number of statements, the effect is at least
    /// [`Effect::Unknown`].
    pub fn combine(mut self, other: Findings) -> Findings {
        let statement_counts_differ = other.statement_count != self.statement_count;
        if other.effect > self.effect || statement_counts_differ && self.effect == Effect::ReadOnly
        {
            self.effect = other.effect.max(Effect::Unknown);
            self.reason = other.reason.or(Some(Reason::DialectsDisagree));
        }
        self.tables_read.extend(other.tables_read);
        self.tables_written.extend(other.tables_written);
        // An alias in one dialect may be a function call in the other.
        self.column_aliases
            .retain(|alias| other.column_aliases.contains(alias));
        self
    }
}
