//! Counters of classified and checked statements.

use std::cell::Cell;
use std::fmt::Write;
use tansymux_sql_analysis::CacheCounts;

/// Counts of statements since the start.
#[derive(Debug, Default)]
pub(super) struct StatementCounters {
    /// Statements of queries that name no class.
    unclassed: Cell<u64>,
    /// Statements in `unclassed` that could not be classified.
    unknown: Cell<u64>,
    /// Statements of a read-only class that are not proven read-only.
    pub(super) unproven_read_only: Cell<u64>,
    /// Statements whose class differs from the class that their query names.
    class_mismatches: Cell<u64>,
}

impl StatementCounters {
    /// Counts a statement of a query that names no class. `is_unknown`: the statement could not be classified.
    pub fn count_unclassed(&self, is_unknown: bool) {
        increment(&self.unclassed);
        if is_unknown {
            increment(&self.unknown);
        }
    }

    /// Counts a statement of a read-only class that is not proven read-only.
    pub fn count_unproven_read_only(&self) {
        increment(&self.unproven_read_only);
    }

    /// Counts a statement whose class differs from the class that its query names.
    pub fn count_class_mismatch(&self) {
        increment(&self.class_mismatches);
    }

    /// Appends one line per counter, followed by those of the analysis.
    pub fn write(&self, analysis: &CacheCounts, text: &mut String) {
        for (name, count) in [
            ("statements_bare", self.unclassed.get()),
            ("statements_unknown", self.unknown.get()),
            (
                "statements_milder_class_named",
                self.unproven_read_only.get(),
            ),
            ("statements_other_class_named", self.class_mismatches.get()),
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
