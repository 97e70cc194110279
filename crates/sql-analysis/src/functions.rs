//! Built-in lists of functions with effects and of functions without effects.

use crate::config::Config;
use crate::Effect;

#[cfg(test)]
mod tests;

/// Functions without effects, under the names that common engines share. Sorted for binary search.
pub(crate) const PURE_FUNCTIONS: &[&str] = &[
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

/// Functions that change, or depend on, sequences, locks, sessions, other servers or files. Sorted for binary search.
pub(crate) const EFFECT_FUNCTIONS: &[&str] = &[
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

/// Whether a function aggregates rows.
pub(crate) fn is_aggregate(name: &str) -> bool {
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

/// The effect of a function by the name in the call; [`Effect::Unknown`] if no list has the function.
pub(crate) fn effect_of_function(name: &str, config: &Config) -> Effect {
    // A call qualified with a schema has the effects of the unqualified function. It is pure only if the qualified name
    // is listed, since a schema may define its own function under a built-in name.
    let unqualified = name.rsplit('.').next().unwrap_or(name);
    let is_listed = |list: &[String], name: &str| list.iter().any(|listed| listed == name);
    if is_listed(&config.effect_functions, name) || is_listed(&config.effect_functions, unqualified)
    {
        return Effect::NonIdempotent;
    }
    if is_listed(&config.pure_functions, name) {
        return Effect::ReadOnly;
    }
    let lower_case = unqualified.to_ascii_lowercase();
    if EFFECT_FUNCTIONS.binary_search(&lower_case.as_str()).is_ok() {
        return Effect::NonIdempotent;
    }
    if PURE_FUNCTIONS.binary_search(&name).is_ok() {
        return Effect::ReadOnly;
    }
    Effect::Unknown
}
