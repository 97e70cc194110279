//! Keywords that the analysis recognizes independently of the grammar.

#[cfg(test)]
mod tests;

/// The class of a word, for checks that are independent of the grammar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KeywordClass {
    /// A keyword that, unquoted and not after a dot, occurs in no read-only statement. It reveals a change of data even
    /// in a construct that the parser accepts as harmless or skips.
    Effect,
    /// A keyword that repeats in chains, as in `a and b and c`. Each occurrence may make the syntax tree one level
    /// deeper.
    Chaining,
    /// Any other word.
    Other,
}

impl KeywordClass {
    /// Lengths of all words of the classes except [`KeywordClass::Other`].
    const KEYWORD_LENGTHS: std::ops::RangeInclusive<usize> = 2..=9;

    /// The class of a word in lower case.
    pub fn of(word: &[u8]) -> Self {
        if !Self::KEYWORD_LENGTHS.contains(&word.len()) {
            return KeywordClass::Other;
        }
        match word {
            b"insert" | b"update" | b"delete" | b"merge" | b"into" | b"truncate" | b"drop"
            | b"alter" | b"create" | b"grant" | b"revoke" | b"lock" | b"outfile" | b"dumpfile"
            | b"upsert" => KeywordClass::Effect,
            b"and" | b"or" | b"union" | b"except" | b"intersect" | b"is" | b"in" | b"like"
            | b"between" | b"at" | b"not" | b"collate" | b"ilike" | b"similar" | b"join" => {
                KeywordClass::Chaining
            }
            _ => KeywordClass::Other,
        }
    }
}

/// Whether a read-only statement may begin with this word or parenthesis.
pub(crate) fn starts_read_only_statement(word: &str) -> bool {
    matches!(
        word,
        "select" | "with" | "values" | "table" | "explain" | "describe" | "desc" | "show" | "("
    )
}

/// Whether an opening parenthesis after this word belongs to a keyword or to the size of a type, and does not begin a
/// function call.
pub(crate) fn precedes_parenthesis_without_call(word: &str) -> bool {
    NON_FUNCTION_KEYWORDS.binary_search(&word).is_ok() || SIZED_TYPES.binary_search(&word).is_ok()
}

/// Keywords that may precede a parenthesis without a call. Sorted for binary search.
pub(crate) const NON_FUNCTION_KEYWORDS: &[&str] = &[
    "all",
    "analyze",
    "and",
    "any",
    "array",
    "as",
    "between",
    "by",
    "case",
    "cube",
    "distinct",
    "else",
    "end",
    "escape",
    "except",
    "exists",
    "explain",
    "filter",
    "from",
    "group",
    "having",
    "ilike",
    "in",
    "intersect",
    "interval",
    "is",
    "join",
    "key",
    "lateral",
    "like",
    "limit",
    "materialized",
    "not",
    "offset",
    "on",
    "or",
    "over",
    "partition",
    "qualify",
    "recursive",
    "rollup",
    "row",
    "select",
    "sets",
    "some",
    "then",
    "top",
    "union",
    "using",
    "values",
    "when",
    "where",
    "window",
    "with",
];

/// Types that take a size in parentheses. Sorted for binary search.
pub(crate) const SIZED_TYPES: &[&str] = &[
    "bigint",
    "binary",
    "bit",
    "char",
    "character",
    "dec",
    "decimal",
    "float",
    "int",
    "numeric",
    "smallint",
    "time",
    "timestamp",
    "varbinary",
    "varchar",
    "varying",
];
