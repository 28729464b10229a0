//! Log lines: one JSON object per line on standard output.
//!
//! A thread of its own writes the lines, which it receives through a bounded queue, so that logging
//! never blocks. If the queue is full, a line is dropped; the next line that fits has the number of
//! dropped lines in its field `dropped`.

use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};

use dotterelhoist_fleet::journal::Event;
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::Record;

/// Lines that may wait to be written; further lines are dropped.
const MAX_QUEUED_LINES: usize = 2048;

/// Formats lines and passes them to the thread that writes them. The text of a record must be a
/// JSON object; its fields are written after `time`, `level` and `dropped`.
struct Queue {
    lines: SyncSender<String>,
    /// Lines dropped since the last line that fitted into the queue.
    dropped: AtomicU64,
}

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let text = record.args().to_string();
        let time = now.format_rfc3339();
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let dropped_field =
            if dropped > 0 { format!(r#""dropped":{dropped},"#) } else { String::new() };
        let fields = text.strip_prefix('{').unwrap_or("}");
        let line =
            format!(r#"{{"time":"{time}","level":"{}",{dropped_field}{fields}"#, record.level());
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Installs the logger and starts the thread that writes the lines.
///
/// # Errors
///
/// Returns the error of the logging library if the logger can't be installed.
pub fn open() -> Result<LoggerHandle, FlexiLoggerError> {
    let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
    std::thread::spawn(move || write_lines(&queue));
    let queue = Queue { lines, dropped: AtomicU64::new(0) };
    Logger::try_with_str("info")?.log_to_writer(Box::new(queue)).start()
}

/// Logs an event: as a warning if the last two digits of its code are 11 to 19, else as
/// information.
pub fn write(event: &Event) {
    let line = serde_json::to_string(event).unwrap_or_default();
    match event.code % 100 {
        11..=19 => log::warn!("{line}"),
        _ => log::info!("{line}"),
    }
}

/// Writes lines until the queue or standard output is closed.
fn write_lines(lines: &Receiver<String>) {
    let mut stdout = std::io::stdout();
    while let Ok(line) = lines.recv() {
        if writeln!(stdout, "{line}").is_err() {
            return;
        }
    }
}
