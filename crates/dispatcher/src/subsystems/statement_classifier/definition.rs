//! Turns `statements` of the operators' file into the settings of the analysis.

use tansymux_operator_config::schema::statements::Dialect as SchemaDialect;
use tansymux_operator_config::schema::{self, Class as SchemaClass};
use tansymux_sql_analysis::{Class, Dialect, Learning, Prices, Rule, Settings};

/// The settings of the analysis; what the file does not give takes its default.
pub fn analysis_settings(definition: &schema::Statements) -> Settings {
    let mut settings = Settings::default();
    if !definition.dialect.is_empty() {
        settings.dialects = definition.dialect().map(dialect).collect();
    }
    if !definition.rule.is_empty() {
        settings.rules = definition.rule.iter().map(rule).collect();
    }
    settings.pure_functions = lower_case(&definition.pure_function);
    settings.effect_functions = lower_case(&definition.effect_function);
    settings.prices = prices(&definition.estimate.unwrap_or_default());
    let cache = definition.cache.unwrap_or_default();
    settings.max_shapes = cache.shapes() as usize;
    settings.max_bytes = cache.bytes() as usize;
    settings.max_costs = cache.costs() as usize;
    let learning = definition.learning.unwrap_or_default();
    settings.learning = Learning {
        half_sure: learning.half_sure(),
        half_life: learning.half_life_s() * 1000.0,
        shift_after: learning.shift_after(),
        max_step: learning.most_step(),
    };
    settings
}

fn dialect(dialect: SchemaDialect) -> Dialect {
    match dialect {
        SchemaDialect::Generic => Dialect::Generic,
        SchemaDialect::Ansi => Dialect::Ansi,
        SchemaDialect::Postgresql => Dialect::PostgreSql,
        SchemaDialect::Mysql => Dialect::MySql,
    }
}

/// Names of functions are compared in lower case.
fn lower_case<C: FromIterator<String>>(names: &[String]) -> C {
    names.iter().map(|name| name.to_ascii_lowercase()).collect()
}

fn prices(estimate: &schema::Estimate) -> Prices {
    Prices {
        cost: [
            estimate.look_up_ms(),
            estimate.report_ms(),
            estimate.load_ms(),
            estimate.unknown_ms(),
        ],
        memory: [
            estimate.look_up_mb(),
            estimate.report_mb(),
            estimate.load_mb(),
            estimate.unknown_mb(),
        ],
        a_join: estimate.a_join(),
        a_window: estimate.a_window(),
        an_order: estimate.an_order(),
        no_filter: estimate.no_filter(),
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
        united: definition.united,
        ordered: definition.ordered,
        limited: definition.limited,
        recursive: definition.recursive,
        pointed: definition.pointed,
        filtered: definition.filtered,
        reads: definition.reads,
    }
}
