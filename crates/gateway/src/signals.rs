//! Signals of the operating system.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

use dotterelhoist_fleet::journal::Event;

use crate::journal;

/// Installs signal handlers and returns a future that completes on `SIGTERM` or `SIGINT`. `SIGHUP`,
/// the request to reload the settings, is only logged: the settings that a running daemon uses do
/// not change while it runs.
///
/// # Errors
///
/// Returns the error of the operating system if the handlers can't be installed.
pub fn stop_requested() -> std::io::Result<impl std::future::Future<Output = ()>> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    Ok(async move {
        while let Some(Ok(signal)) = signals.next().await {
            if signal != Signal::Hup {
                return;
            }
            journal::write(&Event::new(108, "settings reload ignored", "process", "signal=hup"));
        }
    })
}
