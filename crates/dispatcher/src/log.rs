//! The log: `tracing` events on standard error, as text or JSON lines, rate limited per call site.
//!
//! Level, format and rate may change while the program runs. Lines that the rate limit suppresses are counted. The
//! count is written before the next line of the call site; [`finish`] writes the remaining counts when the program
//! ends.

mod line_format;
mod rate_limit;

pub use rate_limit::suppressed_lines;

use crate::cli::{GlobalArgs, LogFormat, LogLevel};
use line_format::{set_json, write_suppressed, LineFormat};
use rate_limit::LineKind;
use std::sync::atomic::{AtomicU8, Ordering::Relaxed};
use std::time::Instant;
use tansymux_operator_config::schema;
use tracing::level_filters::LevelFilter;
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_subscriber::fmt;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::Layer;

/// Index in `LEVELS` of the minimum level.
static LEVEL: AtomicU8 = AtomicU8::new(2);

/// Levels, the most severe first.
const LEVELS: [Level; 4] = [Level::ERROR, Level::WARN, Level::INFO, Level::DEBUG];

/// The current minimum level.
fn current_level() -> Level {
    LEVELS[usize::from(LEVEL.load(Relaxed))]
}

/// Filters events by their level and by their call site's rate limit.
struct LevelAndRateFilter;

impl<S: Subscriber> Filter<S> for LevelAndRateFilter {
    fn enabled(&self, callsite: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        *callsite.level() <= current_level()
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        rate_limit::try_acquire(event.metadata(), LineKind::of(event), Instant::now())
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(LevelFilter::from_level(current_level()))
    }
}

/// Starts the log with its defaults. A second call has no effect.
pub fn init() {
    let layer = fmt::layer()
        .with_ansi(false)
        .event_format(LineFormat::new())
        .with_writer(std::io::stderr)
        .with_filter(LevelAndRateFilter);
    // The only error is that a subscriber is already set.
    let _ = tracing::subscriber::set_global_default(tracing_subscriber::registry().with(layer));
}

/// Applies the flags; for settings without a flag, `config` (`log` of the operators' file) or its defaults.
pub fn configure(common: &GlobalArgs, config: Option<&schema::Log>) {
    let config = config.copied().unwrap_or_default();
    set_json(match common.log_format {
        Some(format) => format == LogFormat::Json,
        None => config.format() == schema::log::Format::Json,
    });
    rate_limit::configure(config.lines_a_second(), config.lines_at_once());
    let level = level_index(common.log_level, &config);
    if LEVEL.swap(level, Relaxed) != level {
        tracing::callsite::rebuild_interest_cache();
    }
}

/// Index in `LEVELS` of the minimum level: that of the flag, or by default that of the operators' file.
fn level_index(flag: Option<LogLevel>, config: &schema::Log) -> u8 {
    let level = match flag {
        Some(LogLevel::Error) => 0,
        Some(LogLevel::Warn) => 1,
        Some(LogLevel::Info) => 2,
        Some(LogLevel::Debug) => 3,
        None => config.level() as u8 - schema::log::Level::Error as u8,
    };
    level.min(3)
}

/// Writes the count of suppressed lines of each call site that has written no line since. Called when the program ends.
pub fn finish() {
    for (count, callsite) in rate_limit::take_all_suppressed() {
        let mut line = String::new();
        if write_suppressed(&mut Writer::new(&mut line), callsite, count).is_ok() {
            eprint!("{line}");
        }
    }
}
