//! Metrics to a StatsD receiver.

use std::net::UdpSocket;

use cadence::{BufferedUdpMetricSink, Counted, NopMetricSink, QueuingMetricSink, StatsdClient};
use dotterelhoist_core::count::Counter;
use dotterelhoist_settings::Metrics;

/// Where counters go.
pub(crate) struct Meter {
    client: StatsdClient,
}

impl Meter {
    /// Opens the way to the receiver, or to nowhere if none is set.
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

    pub(crate) fn count(&self, counter: Counter) {
        self.client.count(&counter.name(), 1).ok();
    }
}
