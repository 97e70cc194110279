//! Words that tell of effects, and functions that are known to have none or some.

/// Words that stand in no statement that only reads, wherever they stand unquoted and behind no dot. This check is
/// apart from the grammar: a construct that the parser takes for harmless, or a name it passes over, is still
/// caught by its word.
pub fn tells_of_change(word: &[u8]) -> bool {
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

/// Words that chain: each may put what stands before it one level down in the grammar's tree.
pub fn chains(word: &[u8]) -> bool {
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

/// Words with which a statement that only reads may begin.
pub fn begins_reading(word: &str) -> bool {
    matches!(
        word,
        "select" | "with" | "values" | "table" | "explain" | "describe" | "desc" | "show" | "("
    )
}

/// Words behind which an opening bracket calls no function.
pub fn calls_nothing(word: &str) -> bool {
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

/// Types that take sizes in brackets.
pub fn is_type(word: &str) -> bool {
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

/// Functions without effects, by the names that the common engines share. Sorted: they are looked up by halving.
pub const PURE: &[&str] = &[
    "abs",
    "acos",
    "age",
    "approx_count_distinct",
    "approx_percentile",
    "array_agg",
    "array_length",
    "array_to_string",
    "ascii",
    "asin",
    "atan",
    "atan2",
    "avg",
    "bit_and",
    "bit_length",
    "bit_or",
    "bool_and",
    "bool_or",
    "btrim",
    "cast",
    "ceil",
    "ceiling",
    "char_length",
    "character_length",
    "chr",
    "coalesce",
    "concat",
    "concat_ws",
    "convert",
    "corr",
    "cos",
    "cot",
    "count",
    "covar_pop",
    "covar_samp",
    "cube",
    "cume_dist",
    "curdate",
    "current_date",
    "current_time",
    "current_timestamp",
    "date",
    "date_add",
    "date_diff",
    "date_format",
    "date_part",
    "date_sub",
    "date_trunc",
    "datediff",
    "day",
    "dayofmonth",
    "dayofweek",
    "dayofyear",
    "degrees",
    "dense_rank",
    "every",
    "exp",
    "extract",
    "first_value",
    "floor",
    "format",
    "from_unixtime",
    "generate_series",
    "greatest",
    "group_concat",
    "grouping",
    "hour",
    "if",
    "ifnull",
    "initcap",
    "instr",
    "isnull",
    "json_agg",
    "json_array_length",
    "json_build_object",
    "json_extract",
    "json_object",
    "json_value",
    "jsonb_agg",
    "jsonb_array_length",
    "jsonb_build_object",
    "lag",
    "last_value",
    "lcase",
    "lead",
    "least",
    "left",
    "length",
    "listagg",
    "ln",
    "localtime",
    "localtimestamp",
    "locate",
    "log",
    "log10",
    "log2",
    "lower",
    "lpad",
    "ltrim",
    "make_date",
    "max",
    "md5",
    "median",
    "min",
    "minute",
    "mod",
    "mode",
    "month",
    "now",
    "nth_value",
    "ntile",
    "nullif",
    "nvl",
    "octet_length",
    "overlay",
    "percent_rank",
    "percentile_cont",
    "percentile_disc",
    "pi",
    "position",
    "pow",
    "power",
    "quarter",
    "radians",
    "rank",
    "regexp_like",
    "regexp_matches",
    "regexp_replace",
    "regexp_substr",
    "regr_slope",
    "repeat",
    "replace",
    "reverse",
    "right",
    "rollup",
    "round",
    "row_number",
    "rpad",
    "rtrim",
    "second",
    "sign",
    "sin",
    "split_part",
    "sqrt",
    "stddev",
    "stddev_pop",
    "stddev_samp",
    "strftime",
    "string_agg",
    "strpos",
    "substr",
    "substring",
    "sum",
    "tan",
    "timediff",
    "timestampdiff",
    "to_char",
    "to_date",
    "to_number",
    "to_timestamp",
    "translate",
    "trim",
    "trunc",
    "truncate_date",
    "try_cast",
    "ucase",
    "unix_timestamp",
    "unnest",
    "upper",
    "var_pop",
    "var_samp",
    "variance",
    "week",
    "weekday",
    "width_bucket",
    "year",
];

/// Functions that are known to change something: sequences, locks, sessions, other servers, files.
pub const WITH_EFFECT: &[&str] = &[
    "currval",
    "dblink",
    "dblink_exec",
    "get_lock",
    "last_insert_id",
    "lo_create",
    "lo_export",
    "lo_from_bytea",
    "lo_import",
    "lo_put",
    "lo_unlink",
    "load_file",
    "nextval",
    "pg_advisory_lock",
    "pg_advisory_lock_shared",
    "pg_advisory_unlock",
    "pg_advisory_unlock_all",
    "pg_advisory_unlock_shared",
    "pg_advisory_xact_lock",
    "pg_advisory_xact_lock_shared",
    "pg_cancel_backend",
    "pg_create_restore_point",
    "pg_drop_replication_slot",
    "pg_notify",
    "pg_reload_conf",
    "pg_rotate_logfile",
    "pg_switch_wal",
    "pg_terminate_backend",
    "pg_try_advisory_lock",
    "pg_try_advisory_lock_shared",
    "pg_try_advisory_xact_lock",
    "pg_try_advisory_xact_lock_shared",
    "query_to_xml",
    "release_all_locks",
    "release_lock",
    "set_config",
    "setval",
    "txid_current",
];

/// Functions that make one value of many rows.
pub fn aggregates(name: &str) -> bool {
    matches!(
        name,
        "count"
            | "sum"
            | "avg"
            | "min"
            | "max"
            | "array_agg"
            | "string_agg"
            | "group_concat"
            | "listagg"
            | "json_agg"
            | "jsonb_agg"
            | "stddev"
            | "stddev_pop"
            | "stddev_samp"
            | "variance"
            | "var_pop"
            | "var_samp"
            | "median"
            | "mode"
            | "percentile_cont"
            | "percentile_disc"
            | "approx_count_distinct"
            | "approx_percentile"
            | "bool_and"
            | "bool_or"
            | "every"
            | "corr"
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_lists_are_sorted_and_share_no_name() {
        for list in [PURE, WITH_EFFECT] {
            assert!(list.is_sorted_by(|a, b| a < b));
        }
        assert!(!PURE
            .iter()
            .any(|name| WITH_EFFECT.binary_search(name).is_ok()));
    }
}
