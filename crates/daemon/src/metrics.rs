//! Metrics, sent to a StatsD receiver.

use std::net::UdpSocket;

use cadence::{BufferedUdpMetricSink, Counted, NopMetricSink, QueuingMetricSink, StatsdClient};
use dotterelhoist_core::count::Counter;
use dotterelhoist_settings::Metrics;

/// Sends increments of counters to a StatsD receiver.
pub(crate) struct Meter {
    client: StatsdClient,
}

impl Meter {
    /// Opens a UDP socket to the receiver. Increments are discarded if the settings name none.
    pub(crate) fn open(metrics: Option<&Metrics>) -> std::io::Result<Meter> {
        let Some(metrics) = metrics else {
            return Ok(Meter { client: StatsdClient::from_sink("", NopMetricSink) });
        };
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink =
            BufferedUdpMetricSink::from(metrics.statsd, socket).map_err(std::io::Error::other)?;
        let sink = QueuingMetricSink::with_capacity(sink, 65_536);
        Ok(Meter { client: StatsdClient::from_sink(&metrics.prefix, sink) })
    }

    /// Increments a counter; an increment that can't be sent or queued is lost.
    pub(crate) fn increment(&self, counter: Counter) {
        self.client.count(&counter.name(), 1).ok();
    }
}
