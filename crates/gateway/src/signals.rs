//! Signals of the operating system.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

use dotterelhoist_fleet::journal::Event;

use crate::journal;

/// A future that ends when the process is asked to stop. A request to read the settings anew is
/// noted: what a running daemon needs of them does not change while it runs.
///
/// # Errors
///
/// Returns the error of the system.
pub fn stop_requested() -> std::io::Result<impl std::future::Future<Output = ()>> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    Ok(async move {
        while let Some(Ok(signal)) = signals.next().await {
            if signal != Signal::Hup {
                return;
            }
            journal::write(&Event::new(108, "settings noted", "process", "signal=hup"));
        }
    })
}
