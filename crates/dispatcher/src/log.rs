//! The log: `tracing` events on standard error, as text or JSON lines, at a bounded rate for each place in the code.
//! Level, form and rate may change while the program runs.

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

/// What is in force: the number of the level in `LEVELS`, whether lines are JSON, and the rate of each place.
static LEVEL: AtomicU8 = AtomicU8::new(2);
static JSON: AtomicBool = AtomicBool::new(false);
static LINES_A_SECOND: AtomicU32 = AtomicU32::new(5);
static LINES_AT_ONCE: AtomicU32 = AtomicU32::new(20);
/// All lines that were left out since the start.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

const LEVELS: [Level; 4] = [Level::ERROR, Level::WARN, Level::INFO, Level::DEBUG];

/// What a place in the code may still write, when that was reckoned, and what it left out since its last line.
struct Allowance {
    lines: f64,
    at: Instant,
    left_out: u64,
    place: &'static Metadata<'static>,
}

thread_local! {
    static ALLOWANCES: RefCell<HashMap<Identifier, Allowance>> = RefCell::default();
}

/// Whether a line of this place may be written now.
fn allowed(place: &'static Metadata<'static>, now: Instant) -> bool {
    let at_once = f64::from(LINES_AT_ONCE.load(Relaxed));
    ALLOWANCES.with_borrow_mut(|all| {
        let fresh = || Allowance {
            lines: at_once,
            at: now,
            left_out: 0,
            place,
        };
        let a = all.entry(place.callsite()).or_insert_with(fresh);
        let since = now.saturating_duration_since(a.at).as_secs_f64();
        a.lines = (a.lines + since * f64::from(LINES_A_SECOND.load(Relaxed))).min(at_once);
        a.at = now;
        if a.lines < 1.0 {
            a.left_out += 1;
            LEFT_OUT.fetch_add(1, Relaxed);
            return false;
        }
        a.lines -= 1.0;
        true
    })
}

/// How many lines this place left out since it last wrote one.
fn take_left_out(place: &Metadata) -> u64 {
    let take = |a: &mut Allowance| std::mem::take(&mut a.left_out);
    ALLOWANCES.with_borrow_mut(|all| all.get_mut(&place.callsite()).map_or(0, take))
}

/// Lines left out since the start, in all places.
pub fn left_out() -> u64 {
    LEFT_OUT.load(Relaxed)
}

struct Gate;

impl<S: Subscriber> Filter<S> for Gate {
    fn enabled(&self, place: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        *place.level() <= LEVELS[usize::from(LEVEL.load(Relaxed))]
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        allowed(event.metadata(), Instant::now())
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(LevelFilter::from_level(
            LEVELS[usize::from(LEVEL.load(Relaxed))],
        ))
    }
}

/// Writes an event in the form that is in force, behind a line on what its place left out.
struct Lines {
    text: Format<Compact>,
    json: Format<Json>,
}

impl Lines {
    fn left_out(writer: &mut Writer<'_>, place: &Metadata, count: u64) -> std::fmt::Result {
        let (file, line) = (place.file().unwrap_or(""), place.line().unwrap_or(0));
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
}

impl<S: Subscriber + for<'a> LookupSpan<'a>> FormatEvent<S, DefaultFields> for Lines {
    fn format_event(
        &self,
        context: &FmtContext<'_, S, DefaultFields>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> std::fmt::Result {
        let left_out = take_left_out(event.metadata());
        if left_out > 0 {
            Lines::left_out(&mut writer, event.metadata(), left_out)?;
        }
        if JSON.load(Relaxed) {
            return self.json.format_event(context, writer, event);
        }
        self.text.format_event(context, writer, event)
    }
}

/// Begins to write the log. Called once; a second call changes nothing.
pub fn begin() {
    let lines = Lines {
        text: fmt::format().with_target(false).compact(),
        json: fmt::format()
            .with_target(false)
            .json()
            .with_current_span(false)
            .with_span_list(false),
    };
    let layer = fmt::layer()
        .with_ansi(false)
        .event_format(lines)
        .with_writer(std::io::stderr);
    let all = tracing_subscriber::registry().with(layer.with_filter(Gate));
    let _ = tracing::subscriber::set_global_default(all);
}

/// Takes on what the flags say, else the operators' file, else its defaults.
pub fn set(common: &Common, told: Option<&schema::Log>) {
    let told = told.copied().unwrap_or_default();
    let level = match common.log_level {
        Some(LogLevel::Error) => 0,
        Some(LogLevel::Warn) => 1,
        Some(LogLevel::Info) => 2,
        Some(LogLevel::Debug) => 3,
        None => told.level() as u8 - schema::log::Level::Error as u8,
    };
    let json = match common.log_format {
        Some(format) => format == LogFormat::Json,
        None => told.format() == schema::log::Format::Json,
    };
    JSON.store(json, Relaxed);
    LINES_A_SECOND.store(told.lines_a_second(), Relaxed);
    LINES_AT_ONCE.store(told.lines_at_once(), Relaxed);
    if LEVEL.swap(level.min(3), Relaxed) != level.min(3) {
        tracing::callsite::rebuild_interest_cache();
    }
}

/// At the end: what was left out and no later line has told.
pub fn end() {
    let untold: Vec<(u64, &'static Metadata<'static>)> = ALLOWANCES.with_borrow_mut(|all| {
        let untold = all.values_mut().filter(|a| a.left_out > 0);
        untold
            .map(|a| (std::mem::take(&mut a.left_out), a.place))
            .collect()
    });
    for (count, place) in untold {
        let mut line = String::new();
        if Lines::left_out(&mut Writer::new(&mut line), place, count).is_ok() {
            eprint!("{line}");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    /// Two places of this test.
    fn places() -> Vec<&'static Metadata<'static>> {
        thread_local! {
            static SEEN: RefCell<Vec<&'static Metadata<'static>>> = RefCell::default();
        }
        struct Notes;
        impl<S: Subscriber> Layer<S> for Notes {
            fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
                SEEN.with_borrow_mut(|seen| seen.push(event.metadata()));
            }
        }
        let all = tracing_subscriber::registry().with(Notes);
        tracing::subscriber::with_default(all, || {
            tracing::info!("one");
            tracing::info!("other");
        });
        SEEN.take()
    }

    #[test]
    fn a_flood_from_one_place_is_cut_and_counted_and_hides_no_other() {
        let places = places();
        let (one, other, now) = (places[0], places[1], Instant::now());
        let before = left_out();
        let written = (0..1000).filter(|_| allowed(one, now)).count();
        assert_eq!(written, 20);
        assert!(allowed(other, now));
        assert_eq!(
            (left_out() - before, take_left_out(one), take_left_out(one)),
            (980, 980, 0)
        );
        let later = now + Duration::from_secs(1);
        assert_eq!((0..1000).filter(|_| allowed(one, later)).count(), 5);
        assert_eq!(take_left_out(other), 0);
    }
}
