//! Keywords: which occur only in statements with effects, chain operands, or may precede a bracket without a call.

/// Whether a word, unquoted and not after a dot, occurs in no read-only statement. This check is independent of the
/// grammar: a construct that the parser takes for harmless, or a name that it skips, is still caught by its word.
pub(crate) fn is_effect_keyword(word: &[u8]) -> bool {
    matches!(
        word,
        b"insert"
            | b"update"
            | b"delete"
            | b"merge"
            | b"into"
            | b"truncate"
            | b"drop"
            | b"alter"
            | b"create"
            | b"grant"
            | b"revoke"
            | b"lock"
            | b"outfile"
            | b"dumpfile"
            | b"upsert"
    )
}

/// Whether a word is an operator that chains: each occurrence may push the operand before it one level down in the
/// syntax tree.
pub(crate) fn is_chaining_keyword(word: &[u8]) -> bool {
    matches!(
        word,
        b"and"
            | b"or"
            | b"union"
            | b"except"
            | b"intersect"
            | b"is"
            | b"in"
            | b"like"
            | b"between"
            | b"at"
            | b"not"
            | b"collate"
            | b"ilike"
            | b"similar"
            | b"join"
    )
}

/// Whether a read-only statement may begin with a word.
pub(crate) fn starts_read_only_statement(word: &str) -> bool {
    matches!(
        word,
        "select" | "with" | "values" | "table" | "explain" | "describe" | "desc" | "show" | "("
    )
}

/// Whether an opening bracket after this word is not a function call.
pub(crate) fn is_non_function_keyword(word: &str) -> bool {
    matches!(
        word,
        "in" | "and"
            | "or"
            | "not"
            | "values"
            | "over"
            | "from"
            | "select"
            | "where"
            | "on"
            | "as"
            | "using"
            | "exists"
            | "any"
            | "all"
            | "some"
            | "join"
            | "union"
            | "except"
            | "intersect"
            | "by"
            | "when"
            | "then"
            | "else"
            | "case"
            | "with"
            | "filter"
            | "group"
            | "having"
            | "lateral"
            | "distinct"
            | "between"
            | "like"
            | "ilike"
            | "is"
            | "limit"
            | "offset"
            | "explain"
            | "sets"
            | "rollup"
            | "cube"
            | "partition"
            | "array"
            | "row"
            | "materialized"
            | "interval"
            | "recursive"
            | "window"
            | "qualify"
            | "top"
            | "escape"
            | "end"
            | "analyze"
            | "key"
    )
}

/// Whether a word is a type that takes a size in brackets.
pub(crate) fn is_sized_type(word: &str) -> bool {
    matches!(
        word,
        "char"
            | "varchar"
            | "character"
            | "varying"
            | "decimal"
            | "numeric"
            | "float"
            | "time"
            | "timestamp"
            | "bit"
            | "varbinary"
            | "binary"
            | "int"
            | "bigint"
            | "smallint"
            | "dec"
    )
}
