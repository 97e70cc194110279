//! Classification of SQL statements by their shape.
//!
//! Owns: the shape of a statement's text (`lexer`), its analysis (`analyzer`), its class by rules (`rules`), its
//! estimated cost (`cost_model`), and a bounded cache of analyses (`shape_cache`). It does no I/O, reads no clock and
//! draws no random numbers: its inputs are bytes and times, its outputs analyses and estimates. It never decides where
//! a query runs: class, effect and estimate are inputs of the admission controller, which decides that.
//!
//! Invariants, tested in `tests/hard_cases/`:
//! - a statement is read-only only if that is proven: any ambiguity, any unknown function and any word that could begin
//!   a change of data makes its effect unknown or non-idempotent;
//! - a proof for a shape holds for every statement of that shape, because the parser receives the shape and not the
//!   statement;
//! - time and stack are bounded for any input.
//!
//! Start reading at [`StatementAnalyzer::analyze`].

mod analyzer;
mod config;
mod cost_model;
mod features;
mod functions;
mod keywords;
mod lexer;
mod rules;
mod shape_cache;
mod table_group;

pub use config::{BaseCost, BaseCosts, Config, CostModelConfig, Dialect};
pub use cost_model::{Estimate, Execution, ExecutionOutcome};
pub use features::Features;
pub use lexer::{Lexer, Shape, Token, TokenKind, Unproven};
pub use rules::Rule;
pub use shape_cache::CacheCounts;
pub use table_group::table_group;

use cost_model::{CostModel, PriorCost};
use shape_cache::ShapeCache;
use siphasher::sip128::{Hasher128, SipHasher13};
use std::hash::Hasher;
use std::rc::Rc;

/// The class of a statement, by its text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Class {
    /// Reads few rows.
    LookUp,
    /// Reads many rows, or aggregates them.
    Report,
    /// Changes data or locks rows.
    Load,
    /// Neither proven read-only nor known to change data.
    Unknown,
}

impl Class {
    /// All classes, in the order of [`BaseCosts`]' arrays.
    pub const ALL: [Class; 4] = [Class::LookUp, Class::Report, Class::Load, Class::Unknown];

    /// The printed name of the class.
    pub fn name(self) -> &'static str {
        match self {
            Class::LookUp => "look-up",
            Class::Report => "report",
            Class::Load => "load",
            Class::Unknown => "unknown",
        }
    }
}

/// Whether a statement changes data or other state, such as sequences, locks or sessions. Ordered by severity: the most
/// severe of several effects applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Effect {
    /// Proven to change nothing, by the words and by the grammar of each configured dialect that accepts the statement.
    ReadOnly,
    /// Not proven. The rules for non-idempotent statements apply.
    Unknown,
    /// Known to change data or other state.
    NonIdempotent,
}

impl Effect {
    /// The printed name of the effect.
    pub fn name(self) -> &'static str {
        match self {
            Effect::ReadOnly => "read-only",
            Effect::Unknown => "unknown",
            Effect::NonIdempotent => "mutating",
        }
    }
}

/// The analysis of all statements of a shape.
#[derive(Debug, Clone, PartialEq)]
pub struct Analysis {
    /// The class.
    pub class: Class,
    /// The effect.
    pub effect: Effect,
    /// Names of the tables read and not written, in lower case except for quoted parts.
    pub tables_read: Vec<String>,
    /// Names of the tables written, in the same form.
    pub tables_written: Vec<String>,
    /// The syntactic features.
    pub features: Features,
    /// The reason why the statement could not be parsed or proven read-only. For [`Effect::NonIdempotent`], only a
    /// lexical reason is given.
    pub reason: Option<String>,
    /// Work (ms on one core) by class and features alone.
    pub cost_ms: f64,
    /// Memory (MB) by class and features alone.
    pub memory_mb: f64,
}

/// A statement's analysis, with the keyed hash of its shape.
#[derive(Debug, Clone)]
pub struct AnalyzedStatement {
    /// The hash of the statement's shape.
    pub shape_id: u128,
    /// The analysis of the statement's shape.
    pub analysis: Rc<Analysis>,
    /// Whether the analysis came from the cache.
    pub is_cache_hit: bool,
}

/// Analyzes statements, caches the analyses of their shapes, and learns their costs.
pub struct StatementAnalyzer {
    config: Config,
    hash_key: [u8; 16],
    lexer: Lexer,
    cache: ShapeCache,
    cost_model: CostModel,
}

impl StatementAnalyzer {
    /// An analyzer with an empty cache. `hash_key` is a random secret of this process, so that nobody can construct
    /// shapes with equal hashes.
    pub fn new(config: Config, hash_key: [u8; 16]) -> Self {
        StatementAnalyzer {
            lexer: Lexer::default(),
            cache: ShapeCache::new(config.max_shapes, config.max_shape_bytes),
            cost_model: CostModel::new(config.cost_model, config.max_learned_costs),
            config,
            hash_key,
        }
    }

    /// Replaces the configuration. Cached analyses are dropped. Learned costs are kept, since they depend on the shape
    /// and not on the rules. Analyses that callers still hold do not change.
    pub fn reconfigure(&mut self, config: Config) {
        self.cache.reset(config.max_shapes, config.max_shape_bytes);
        self.cost_model
            .reconfigure(config.cost_model, config.max_learned_costs);
        self.config = config;
    }

    /// The configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Analyzes a statement; any bytes are accepted. Takes time proportional to the statement's length, plus a bounded
    /// time if its shape is not cached.
    pub fn analyze(&mut self, statement: &[u8]) -> AnalyzedStatement {
        let shape = self.lexer.lex(statement);
        let shape_id = shape_id(&shape, &self.hash_key);
        if let Some(analysis) = self.cache.get(shape_id, &shape) {
            return AnalyzedStatement {
                shape_id,
                analysis,
                is_cache_hit: true,
            };
        }
        let analysis = Rc::new(analyzer::analyze(&shape, &self.config));
        self.cache.insert(shape_id, &shape, &analysis);
        AnalyzedStatement {
            shape_id,
            analysis,
            is_cache_hit: false,
        }
    }

    /// The estimated cost of an analyzed statement at `now_ms`.
    pub fn estimate(&mut self, statement: &AnalyzedStatement, now_ms: f64) -> Estimate {
        let analysis = &statement.analysis;
        let prior = PriorCost {
            class: analysis.class,
            cost_ms: analysis.cost_ms,
        };
        self.cost_model
            .estimate(statement.shape_id, prior, analysis.memory_mb, now_ms)
    }

    /// Records a completed or interrupted attempt in the cost model. `shape_id`, `class` and `cost_ms` are those of the
    /// analysis at the start of the attempt, even if the rules have changed since.
    pub fn record_execution(
        &mut self,
        shape_id: u128,
        class: Class,
        cost_ms: f64,
        execution: &Execution,
    ) {
        let prior = PriorCost { class, cost_ms };
        self.cost_model.record(shape_id, prior, execution);
    }

    /// Cache hits and misses, and the sizes of the cache and of the cost model.
    pub fn counts(&self) -> CacheCounts {
        CacheCounts {
            learned_costs: self.cost_model.len(),
            ..self.cache.counts()
        }
    }
}

/// The keyed hash of a shape. It includes the reason why the shape is unproven, since shapes with the same text may
/// differ in it.
fn shape_id(shape: &Shape, hash_key: &[u8; 16]) -> u128 {
    let mut hasher = SipHasher13::new_with_key(hash_key);
    hasher.write(shape.text.as_bytes());
    hasher.write_u8(shape.unproven.map_or(0, |reason| reason as u8 + 1));
    hasher.finish128().as_u128()
}
