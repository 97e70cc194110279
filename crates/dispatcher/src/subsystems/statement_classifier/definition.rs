//! Converts `statements` of the operators' file into the configuration of the analysis.

use tansymux_operator_config::schema::statements::Dialect as SchemaDialect;
use tansymux_operator_config::schema::{self, Class as SchemaClass};
use tansymux_sql_analysis::{BaseCosts, Class, Config, CostModelConfig, Dialect, Rule};

/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;

/// Returns the configuration of the analysis. Keys that the file omits have their defaults.
pub fn analysis_settings(definition: &schema::Statements) -> Config {
    let mut config = Config::default();
    if !definition.dialect.is_empty() {
        config.dialects = definition.dialect().map(dialect).collect();
    }
    if !definition.rule.is_empty() {
        config.rules = definition.rule.iter().map(rule).collect();
    }
    config.pure_functions = lower_case(&definition.pure_function);
    config.effect_functions = lower_case(&definition.effect_function);
    config.base_costs = base_costs(&definition.estimate.unwrap_or_default());
    let cache = definition.cache.unwrap_or_default();
    config.max_shapes = cache.shapes() as usize;
    config.max_shape_bytes = cache.bytes() as usize;
    config.max_learned_costs = cache.costs() as usize;
    let learning = definition.learning.unwrap_or_default();
    config.cost_model = CostModelConfig {
        half_confidence_samples: learning.half_sure(),
        half_life_ms: learning.half_life_s() * MS_PER_S,
        shift_after: learning.shift_after(),
        max_step_factor: learning.most_step(),
    };
    config
}

fn dialect(dialect: SchemaDialect) -> Dialect {
    match dialect {
        SchemaDialect::Generic => Dialect::Generic,
        SchemaDialect::Ansi => Dialect::Ansi,
        SchemaDialect::Postgresql => Dialect::PostgreSql,
        SchemaDialect::Mysql => Dialect::MySql,
    }
}

/// Returns the names in lower case: function names are compared in lower case.
fn lower_case<C: FromIterator<String>>(names: &[String]) -> C {
    names.iter().map(|name| name.to_ascii_lowercase()).collect()
}

fn base_costs(estimate: &schema::Estimate) -> BaseCosts {
    BaseCosts {
        cost_ms: [
            estimate.look_up_ms(),
            estimate.report_ms(),
            estimate.load_ms(),
            estimate.unknown_ms(),
        ],
        memory_mb: [
            estimate.look_up_mb(),
            estimate.report_mb(),
            estimate.load_mb(),
            estimate.unknown_mb(),
        ],
        join_factor: estimate.a_join(),
        window_factor: estimate.a_window(),
        order_factor: estimate.an_order(),
        unfiltered_factor: estimate.no_filter(),
    }
}

fn rule(definition: &schema::Rule) -> Rule {
    Rule {
        class: match definition.class() {
            SchemaClass::LookUp => Class::LookUp,
            SchemaClass::Report => Class::Report,
            SchemaClass::Load => Class::Load,
        },
        min_joins: definition.least_joins(),
        min_tables: definition.least_tables(),
        min_subqueries: definition.least_subqueries(),
        grouped: definition.grouped,
        distinct: definition.distinct,
        aggregated: definition.aggregated,
        windowed: definition.windowed,
        set_operation: definition.united,
        ordered: definition.ordered,
        limited: definition.limited,
        recursive: definition.recursive,
        point_lookup: definition.pointed,
        filtered: definition.filtered,
        reads_tables: definition.reads,
    }
}
