//! The log: `tracing` events on standard error, as text or JSON lines, rate limited for each call site.
//!
//! Level, format and rate may change while the program runs. Lines that the rate limit suppresses are counted; the next
//! line of the call site is preceded by their number, and [`finish`] reports the remaining numbers at the end.

use crate::cli::{Common, LogFormat, LogLevel};
use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicU8, Ordering::Relaxed};
use std::time::Instant;
use tansymux_operator_config::schema;
use tracing::callsite::Identifier;
use tracing::level_filters::LevelFilter;
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_subscriber::fmt::format::{Compact, DefaultFields, Format, Json, Writer};
use tracing_subscriber::fmt::time::{FormatTime, SystemTime};
use tracing_subscriber::fmt::{self, FmtContext, FormatEvent};
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::Layer;

/// Index in `LEVELS` of the least serious level that is written.
static LEVEL: AtomicU8 = AtomicU8::new(2);
/// Whether lines are JSON objects.
static JSON: AtomicBool = AtomicBool::new(false);
/// Sustained lines a second of one call site.
static LINES_PER_SECOND: AtomicU32 = AtomicU32::new(5);
/// Burst: lines that one call site may write at once.
static BURST_LINES: AtomicU32 = AtomicU32::new(20);
/// Lines that were suppressed since the start, of all call sites.
static SUPPRESSED: AtomicU64 = AtomicU64::new(0);

/// Levels, the most serious first.
const LEVELS: [Level; 4] = [Level::ERROR, Level::WARN, Level::INFO, Level::DEBUG];

/// The token bucket of one call site.
struct RateLimit {
    /// Lines that may be written now.
    tokens: f64,
    refilled_at: Instant,
    /// Lines suppressed since the call site's last written line.
    suppressed: u64,
    callsite: &'static Metadata<'static>,
}

thread_local! {
    static RATE_LIMITS: RefCell<HashMap<Identifier, RateLimit>> = RefCell::default();
}

/// Takes a token of the call site's bucket, or counts a suppressed line.
fn try_acquire(callsite: &'static Metadata<'static>, now: Instant) -> bool {
    let burst = f64::from(BURST_LINES.load(Relaxed));
    let rate = f64::from(LINES_PER_SECOND.load(Relaxed));
    RATE_LIMITS.with_borrow_mut(|limits| {
        let limit = limits
            .entry(callsite.callsite())
            .or_insert_with(|| RateLimit {
                tokens: burst,
                refilled_at: now,
                suppressed: 0,
                callsite,
            });
        let elapsed_s = now
            .saturating_duration_since(limit.refilled_at)
            .as_secs_f64();
        limit.tokens = (limit.tokens + elapsed_s * rate).min(burst);
        limit.refilled_at = now;
        if limit.tokens < 1.0 {
            limit.suppressed += 1;
            SUPPRESSED.fetch_add(1, Relaxed);
            return false;
        }
        limit.tokens -= 1.0;
        true
    })
}

/// The number of lines suppressed since the call site's last written line. Resets it.
fn take_suppressed(callsite: &Metadata) -> u64 {
    RATE_LIMITS.with_borrow_mut(|limits| {
        limits
            .get_mut(&callsite.callsite())
            .map_or(0, |limit| std::mem::take(&mut limit.suppressed))
    })
}

/// Lines that the rate limit suppressed since the start, of all call sites.
pub fn suppressed_lines() -> u64 {
    SUPPRESSED.load(Relaxed)
}

/// The current level.
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
        try_acquire(event.metadata(), Instant::now())
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(LevelFilter::from_level(current_level()))
    }
}

/// Writes an event in the current format, preceded by the number of suppressed lines of its call site.
struct LineFormat {
    text: Format<Compact>,
    json: Format<Json>,
}

/// Writes a line with the number of suppressed lines of a call site.
fn write_suppressed(writer: &mut Writer<'_>, callsite: &Metadata, count: u64) -> std::fmt::Result {
    let file = callsite.file().unwrap_or("");
    let line = callsite.line().unwrap_or(0);
    if JSON.load(Relaxed) {
        write!(writer, "{{\"timestamp\":\"")?;
        SystemTime.format_time(writer)?;
        return writeln!(
            writer,
            "\",\"level\":\"WARN\",\"fields\":{{\"message\":\"lines left out\",\"lines\":{count},\
             \"place\":\"{file}:{line}\"}}}}"
        );
    }
    SystemTime.format_time(writer)?;
    writeln!(
        writer,
        "  WARN lines left out lines={count} place={file}:{line}"
    )
}

impl<S: Subscriber + for<'a> LookupSpan<'a>> FormatEvent<S, DefaultFields> for LineFormat {
    fn format_event(
        &self,
        context: &FmtContext<'_, S, DefaultFields>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> std::fmt::Result {
        let suppressed = take_suppressed(event.metadata());
        if suppressed > 0 {
            write_suppressed(&mut writer, event.metadata(), suppressed)?;
        }
        if JSON.load(Relaxed) {
            return self.json.format_event(context, writer, event);
        }
        self.text.format_event(context, writer, event)
    }
}

/// Starts the log with its defaults. A second call changes nothing.
pub fn init() {
    let format = LineFormat {
        text: fmt::format().with_target(false).compact(),
        json: fmt::format()
            .with_target(false)
            .json()
            .with_current_span(false)
            .with_span_list(false),
    };
    let layer = fmt::layer()
        .with_ansi(false)
        .event_format(format)
        .with_writer(std::io::stderr)
        .with_filter(LevelAndRateFilter);
    // The only error is that a subscriber is already set.
    let _ = tracing::subscriber::set_global_default(tracing_subscriber::registry().with(layer));
}

/// Applies the flags, else the operators' file, else its defaults.
pub fn configure(common: &Common, definition: Option<&schema::Log>) {
    let definition = definition.copied().unwrap_or_default();
    let level = match common.log_level {
        Some(LogLevel::Error) => 0,
        Some(LogLevel::Warn) => 1,
        Some(LogLevel::Info) => 2,
        Some(LogLevel::Debug) => 3,
        None => definition.level() as u8 - schema::log::Level::Error as u8,
    };
    let level = level.min(3);
    let json = match common.log_format {
        Some(format) => format == LogFormat::Json,
        None => definition.format() == schema::log::Format::Json,
    };
    JSON.store(json, Relaxed);
    LINES_PER_SECOND.store(definition.lines_a_second(), Relaxed);
    BURST_LINES.store(definition.lines_at_once(), Relaxed);
    if LEVEL.swap(level, Relaxed) != level {
        tracing::callsite::rebuild_interest_cache();
    }
}

/// Reports the suppressed lines of call sites that wrote no further line. Called at the end of the program.
pub fn finish() {
    let mut unreported = Vec::new();
    RATE_LIMITS.with_borrow_mut(|limits| {
        for limit in limits.values_mut().filter(|limit| limit.suppressed > 0) {
            unreported.push((std::mem::take(&mut limit.suppressed), limit.callsite));
        }
    });
    for (count, callsite) in unreported {
        let mut line = String::new();
        if write_suppressed(&mut Writer::new(&mut line), callsite, count).is_ok() {
            eprint!("{line}");
        }
    }
}

#[cfg(test)]
mod tests;
