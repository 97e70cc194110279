//! Counts of statements since the start.

use std::cell::Cell;
use std::fmt::Write;
use tansymux_sql_analysis::CacheCounts;

/// Counts of statements since the start.
#[derive(Debug, Default)]
pub(super) struct StatementCounters {
    /// Statements of queries that named no class.
    unclassed: Cell<u64>,
    /// Of the unclassed statements, those that could not be classified.
    unknown: Cell<u64>,
    /// Statements of a read-only class that are not proven read-only.
    pub(super) understated: Cell<u64>,
    /// Statements whose class differs from the one that the query named.
    other_class: Cell<u64>,
}

impl StatementCounters {
    /// Counts a statement without a class. `is_unknown`: it could not be classified.
    pub fn count_unclassed(&self, is_unknown: bool) {
        increment(&self.unclassed);
        if is_unknown {
            increment(&self.unknown);
        }
    }

    /// Counts a statement of a read-only class that is not proven read-only.
    pub fn count_understated(&self) {
        increment(&self.understated);
    }

    /// Counts a statement whose class differs from the one that the query named.
    pub fn count_other_class(&self) {
        increment(&self.other_class);
    }

    /// Appends a line for each counter, those of the analysis included.
    pub fn write(&self, analysis: &CacheCounts, text: &mut String) {
        for (name, count) in [
            ("statements_bare", self.unclassed.get()),
            ("statements_unknown", self.unknown.get()),
            ("statements_milder_class_named", self.understated.get()),
            ("statements_other_class_named", self.other_class.get()),
            ("statement_hits", analysis.hits),
            ("statement_misses", analysis.misses),
            ("statement_collisions", analysis.collisions),
            ("statement_shapes", analysis.shapes as u64),
            ("statement_shape_bytes", analysis.bytes),
            ("statement_costs", analysis.learned_costs as u64),
        ] {
            // Writing to a String cannot fail.
            let _ = writeln!(text, "{name} {count}");
        }
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
