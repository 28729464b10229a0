//! Signals of the operating system.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use smol::channel::{bounded, Receiver};

/// Installs signal handlers. Returns a future that completes on `SIGTERM` or `SIGINT`, and a channel that
/// gets an item on `SIGHUP`, the request to read the settings again. The signals are handled while the future
/// is polled.
///
/// # Errors
///
/// Returns the error of the operating system if the handlers can't be installed.
pub fn open() -> std::io::Result<(impl std::future::Future<Output = ()>, Receiver<()>)> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let (sender, reloads) = bounded(1);
    let stop = async move {
        while let Some(Ok(signal)) = signals.next().await {
            if signal != Signal::Hup {
                return;
            }
            // A full channel means that the settings are about to be read anyway.
            sender.try_send(()).ok();
        }
    };
    Ok((stop, reloads))
}
