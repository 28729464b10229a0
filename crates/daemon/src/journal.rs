//! The log lines that the daemon writes to standard error for operators.

use std::sync::OnceLock;

use dotterelhoist_core::journal::{Event, Level};
use dotterelhoist_settings as settings;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::Record;
use serde::Serialize;

/// Format of log lines, set by the first call of [`start`].
static FORMAT: OnceLock<settings::Format> = OnceLock::new();

/// Fields of a JSON log line that describe an event.
#[derive(Serialize)]
struct JsonLine<'a> {
    code: u16,
    message: String,
    #[serde(flatten)]
    event: &'a Event,
}

/// Starts the logger, which writes to standard error. Log lines of the HTTP and I/O libraries are
/// suppressed.
pub(crate) fn start(logging: &settings::Logging) -> Result<LoggerHandle, FlexiLoggerError> {
    FORMAT.get_or_init(|| logging.format);
    let spec = format!("{0}, async_h1=off, polling=off, async_io=off", logging.level);
    Logger::try_with_str(spec)?.log_to_stderr().format(format_line).start()
}

/// Logs an event with its code and message, in JSON format also with its fields.
pub(crate) fn write(event: &Event) {
    let level = match event.level() {
        Level::Error => log::Level::Error,
        Level::Warn => log::Level::Warn,
        Level::Info => log::Level::Info,
        Level::Debug => log::Level::Debug,
    };
    if !log::log_enabled!(level) {
        return;
    }
    if FORMAT.get() == Some(&settings::Format::Json) {
        let line = JsonLine { code: event.code(), message: event.to_string(), event };
        log::log!(level, "{}", serde_json::to_string(&line).unwrap_or_default());
        return;
    }
    log::log!(level, "E{:03} {event}", event.code());
}

/// Formats a record with time and level. In JSON format, a message that begins with `{` is an event
/// that [`write()`] has already encoded, so its fields are inserted as they are.
fn format_line(
    target: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let time = now.format_rfc3339();
    let level = record.level();
    if FORMAT.get() != Some(&settings::Format::Json) {
        return write!(target, "{time} {level:5} {}", record.args());
    }
    let text = record.args().to_string();
    if let Some(fields) = text.strip_prefix('{') {
        return write!(target, r#"{{"time":"{time}","level":"{level}",{fields}"#);
    }
    let message = serde_json::to_string(&text).unwrap_or_default();
    write!(target, r#"{{"time":"{time}","level":"{level}","message":{message}}}"#)
}
