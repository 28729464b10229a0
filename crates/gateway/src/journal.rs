//! Log lines: one JSON object a line on standard output.
//!
//! Lines go through a bounded queue to a thread of their own. Nothing waits for it: a line that finds
//! the queue full is dropped, and the number of dropped lines is said with the next line that fits.

use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};

use dotterelhoist_fleet::journal::Event;
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::Record;

/// Lines that may wait to be written.
const LINES_MAX: usize = 2048;

/// Hands lines to the thread that writes them.
struct Queue {
    lines: SyncSender<String>,
    dropped: AtomicU64,
}

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let text = record.args().to_string();
        let time = now.format_rfc3339();
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let lost = if dropped > 0 { format!(r#""dropped":{dropped},"#) } else { String::new() };
        let fields = text.strip_prefix('{').unwrap_or("}");
        let line = format!(r#"{{"time":"{time}","level":"{}",{lost}{fields}"#, record.level());
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Starts writing log lines.
///
/// # Errors
///
/// Returns the error of the logging library.
pub fn open() -> Result<LoggerHandle, FlexiLoggerError> {
    let (lines, queue) = sync_channel(LINES_MAX);
    std::thread::spawn(move || write_lines(&queue));
    let queue = Queue { lines, dropped: AtomicU64::new(0) };
    Logger::try_with_str("info")?.log_to_writer(Box::new(queue)).start()
}

/// Writes an event.
pub fn write(event: &Event) {
    let line = serde_json::to_string(event).unwrap_or_default();
    match event.code % 100 {
        11..=19 => log::warn!("{line}"),
        _ => log::info!("{line}"),
    }
}

fn write_lines(lines: &Receiver<String>) {
    let mut stdout = std::io::stdout();
    while let Ok(line) = lines.recv() {
        if writeln!(stdout, "{line}").is_err() {
            return;
        }
    }
}
