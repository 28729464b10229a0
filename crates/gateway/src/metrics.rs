//! Counters and latencies of a daemon, served as text over HTTP.
//!
//! Counters go through `cadence` into a sink that adds up their increments; latencies are kept in
//! histograms.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cadence::{Counted, MetricSink, StatsdClient};
use dotterelhoist_fleet::journal::Event;
use hdrhistogram::Histogram;
use smol::net::TcpListener;
use smol::Timer;

use crate::http::{within, Connection};
use crate::journal;

/// Upper bound of the latency histograms in microseconds; longer latencies count as this one.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant decimal digits to which the histograms resolve latencies.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Time for receiving a request for metrics and sending the response; after that the connection is
/// closed.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the next attempt to accept after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest head of a request for metrics; a connection with a longer one is closed.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Sink for `cadence` that adds up the increments of each counter.
#[derive(Clone, Debug, Default)]
struct Totals {
    /// Total by the full name of the counter, including the prefix of the meter.
    by_name: Arc<Mutex<BTreeMap<String, i64>>>,
}

impl MetricSink for Totals {
    fn emit(&self, metric: &str) -> std::io::Result<usize> {
        let Some((name, rest)) = metric.split_once(':') else { return Ok(0) };
        let value = rest.split('|').next().and_then(|value| value.parse::<i64>().ok());
        if let (Ok(mut totals), Some(value)) = (self.by_name.lock(), value) {
            match totals.get_mut(name) {
                Some(total) => *total += value,
                None => {
                    totals.insert(name.to_owned(), value);
                }
            }
        }
        Ok(metric.len())
    }
}

/// Counters and latencies of a daemon; clones share them.
#[derive(Clone, Debug)]
pub struct Meter {
    client: Rc<StatsdClient>,
    totals: Totals,
    /// Histograms of latencies in microseconds, by name.
    latencies: Rc<RefCell<BTreeMap<&'static str, Histogram<u64>>>>,
}

impl Meter {
    /// Creates a meter whose counters have names that begin with `prefix`.
    pub fn open(prefix: &str) -> Meter {
        let totals = Totals::default();
        let client = Rc::new(StatsdClient::from_sink(prefix, totals.clone()));
        Meter { client, totals, latencies: Rc::default() }
    }

    /// Increments a counter by one.
    pub fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Increases a counter by `amount`.
    pub fn add(&self, name: &str, amount: usize) {
        if let Err(error) = self.client.count(name, amount as u64) {
            log::debug!(r#"{{"code":301,"event":"metric lost","detail":"{error}"}}"#);
        }
    }

    /// Records a latency in the histogram called `name`.
    pub fn record_latency(&self, name: &'static str, latency: Duration) {
        let micros = (latency.as_micros() as u64).clamp(1, MAX_LATENCY_US);
        let mut latencies = self.latencies.borrow_mut();
        let histogram = latencies.entry(name).or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .expect("the bounds of the histogram are valid")
        });
        histogram.saturating_record(micros);
    }

    /// Renders all counters and latency quantiles, one per line.
    pub fn render(&self) -> String {
        let mut text = String::new();
        if let Ok(totals) = self.totals.by_name.lock() {
            for (name, total) in totals.iter() {
                writeln!(text, "{name} {total}").ok();
            }
        }
        for (name, histogram) in self.latencies.borrow().iter() {
            for quantile in [0.5, 0.95, 0.99] {
                let micros = histogram.value_at_quantile(quantile);
                writeln!(text, "{name}_us{{quantile=\"{quantile}\"}} {micros}").ok();
            }
            writeln!(text, "{name}_count {}", histogram.len()).ok();
        }
        text
    }
}

/// Serves the metrics as text, one connection at a time. If the address can't be bound, this is
/// logged and the daemon runs without serving metrics.
pub(crate) async fn serve(meter: Meter, address: SocketAddr) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            let detail = error.to_string();
            let subject = address.to_string();
            journal::write(&Event::new(313, "metrics not served", subject, detail));
            return;
        }
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let mut connection = Connection::open(stream);
        let answer = async {
            connection.read_request_head(MAX_HEAD_BYTES).await.ok()?;
            let text = meter.render();
            let head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n";
            let bytes = format!("{head}Content-Length: {}\r\n\r\n{text}", text.len());
            connection.write(bytes.as_bytes()).await.ok()
        };
        within(SCRAPE_TIMEOUT, answer).await;
    }
}
