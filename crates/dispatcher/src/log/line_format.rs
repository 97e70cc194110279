//! The format of log lines, text or JSON, and the line with a count of suppressed lines.

use super::rate_limit::take_suppressed;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::fmt::format::{Compact, DefaultFields, Format, Json, Writer};
use tracing_subscriber::fmt::time::{FormatTime, SystemTime};
use tracing_subscriber::fmt::{self, FmtContext, FormatEvent};
use tracing_subscriber::registry::LookupSpan;

/// Whether lines are JSON objects.
static JSON: AtomicBool = AtomicBool::new(false);

/// Sets whether lines are JSON objects or text.
pub(super) fn set_json(json: bool) {
    JSON.store(json, Relaxed);
}

/// Writes an event in the current format, after the count of suppressed lines of its call site.
pub(super) struct LineFormat {
    text: Format<Compact>,
    json: Format<Json>,
}

impl LineFormat {
    /// Both formats, without targets and spans.
    pub fn new() -> Self {
        LineFormat {
            text: fmt::format().with_target(false).compact(),
            json: fmt::format()
                .with_target(false)
                .json()
                .with_current_span(false)
                .with_span_list(false),
        }
    }
}

/// Writes a line with the count of suppressed lines of a call site.
pub(super) fn write_suppressed(
    writer: &mut Writer<'_>,
    callsite: &Metadata,
    count: u64,
) -> std::fmt::Result {
    let file = callsite.file().unwrap_or("");
    let line = callsite.line().unwrap_or(0);
    if JSON.load(Relaxed) {
        write!(writer, "{{\"timestamp\":\"")?;
        SystemTime.format_time(writer)?;
        return writeln!(
            writer,
            "\",\"level\":\"WARN\",\"fields\":{{\"message\":\"log lines suppressed\",\"lines\":{count},\
             \"place\":\"{file}:{line}\"}}}}"
        );
    }
    SystemTime.format_time(writer)?;
    writeln!(
        writer,
        "  WARN log lines suppressed lines={count} place={file}:{line}"
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
