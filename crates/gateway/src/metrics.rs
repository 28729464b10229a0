//! Counters and latencies as text.
//!
//! Counters go through `cadence` into a sink that keeps totals; latencies are kept in histograms.

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

/// Longest latency that is told apart, in microseconds.
const LATENCY_MAX_US: u64 = 120_000_000;
/// Significant digits of latencies.
const DIGITS: u8 = 2;

/// Time for one reader of the metrics.
const READER_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a connection that could not be accepted.
const PAUSE: Duration = Duration::from_millis(200);
/// Longest head of a reader's request.
const HEAD_MAX: usize = 8 << 10;

/// Totals by name.
#[derive(Clone, Debug, Default)]
struct Totals {
    totals: Arc<Mutex<BTreeMap<String, i64>>>,
}

impl MetricSink for Totals {
    fn emit(&self, metric: &str) -> std::io::Result<usize> {
        let Some((name, rest)) = metric.split_once(':') else { return Ok(0) };
        let value = rest.split('|').next().and_then(|value| value.parse::<i64>().ok());
        if let (Ok(mut totals), Some(value)) = (self.totals.lock(), value) {
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

/// Meter of a daemon; clones count together.
#[derive(Clone, Debug)]
pub struct Meter {
    client: Rc<StatsdClient>,
    totals: Totals,
    latencies: Rc<RefCell<BTreeMap<&'static str, Histogram<u64>>>>,
}

impl Meter {
    /// Opens a meter whose names begin with `prefix`.
    pub fn open(prefix: &str) -> Meter {
        let totals = Totals::default();
        let client = Rc::new(StatsdClient::from_sink(prefix, totals.clone()));
        Meter { client, totals, latencies: Rc::default() }
    }

    /// Counts one.
    pub fn count(&self, name: &str) {
        if let Err(error) = self.client.count(name, 1) {
            log::debug!(r#"{{"code":301,"event":"metric lost","detail":"{error}"}}"#);
        }
    }

    /// Notes a latency.
    pub fn time(&self, name: &'static str, span: Duration) {
        let micros = (span.as_micros() as u64).clamp(1, LATENCY_MAX_US);
        let mut latencies = self.latencies.borrow_mut();
        let histogram = latencies.entry(name).or_insert_with(|| {
            Histogram::new_with_bounds(1, LATENCY_MAX_US, DIGITS).expect("bounds are constants")
        });
        histogram.saturating_record(micros);
    }

    /// All counters and latencies as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Ok(totals) = self.totals.totals.lock() {
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

/// Serves the metrics as text, to one reader after the other. A daemon whose metrics address is taken
/// says so and goes on without.
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
            Timer::after(PAUSE).await;
            continue;
        };
        let mut connection = Connection::open(stream);
        let answer = async {
            connection.read_request_head(HEAD_MAX).await.ok()?;
            let text = meter.text();
            let head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n";
            let bytes = format!("{head}Content-Length: {}\r\n\r\n{text}", text.len());
            connection.write(bytes.as_bytes()).await.ok()
        };
        within(READER_TIMEOUT, answer).await;
    }
}
