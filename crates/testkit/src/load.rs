//! Load generator for the addresses that daemons offer to callers, with latency histograms.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use hdrhistogram::Histogram;
use smol::net::TcpStream;

use crate::client::{call_on, Call, Reply};

/// Result of a load run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Microseconds until the first byte of the body of each served call.
    pub first_byte_us: Histogram<u64>,
    /// Microseconds until the end of the body of each served call.
    pub total_us: Histogram<u64>,
    /// Calls whose reply passed the check.
    pub served: u64,
    /// Calls whose reply did not pass the check or that got none.
    pub failed: u64,
    /// Duration of the run in seconds.
    pub seconds: f64,
}

impl Report {
    /// First-byte latency at a quantile, in milliseconds.
    pub fn first_byte_ms(&self, quantile: f64) -> f64 {
        self.first_byte_us.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// Sends the `count` calls that `make` returns, from `workers` callers at once, and passes each
/// reply to `check`. Each caller has one connection, which it opens anew after a call that failed.
pub async fn run<Make, Check>(
    addresses: &[SocketAddr],
    workers: usize,
    count: usize,
    make: Make,
    check: Check,
) -> Report
where
    Make: Fn(usize) -> Call + Send + Sync + 'static,
    Check: Fn(usize, &Reply) -> bool + Send + Sync + 'static,
{
    let started = Instant::now();
    let empty = || Histogram::new(3).expect("three digits are allowed");
    let report =
        Report { first_byte_us: empty(), total_us: empty(), served: 0, failed: 0, seconds: 0.0 };
    let report = Arc::new(Mutex::new(report));
    let (make, check) = (Arc::new(make), Arc::new(check));
    let mut tasks = Vec::new();
    for worker in 0..workers {
        let address = addresses[worker % addresses.len()];
        let (make, check, report) = (make.clone(), check.clone(), report.clone());
        tasks.push(smol::spawn(async move {
            let mut stream = TcpStream::connect(address).await.ok();
            for index in (worker..count).step_by(workers) {
                if stream.is_none() {
                    stream = TcpStream::connect(address).await.ok();
                }
                let call = make(index);
                let reply = match &stream {
                    Some(stream) => call_on(stream, address, &call).await.ok(),
                    None => None,
                };
                let served = reply.as_ref().is_some_and(|reply| check(index, reply));
                if !served {
                    stream = None;
                }
                record(&report, reply.as_ref().filter(|_| served));
            }
        }));
    }
    for task in tasks {
        task.await;
    }
    let mut report = report.lock().expect("no worker panics").clone();
    report.seconds = started.elapsed().as_secs_f64();
    report
}

/// Adds the reply of a served call to the report, or counts a failed call if there is none.
fn record(report: &Mutex<Report>, reply: Option<&Reply>) {
    let Ok(mut report) = report.lock() else { return };
    match reply {
        Some(reply) => {
            report.served += 1;
            report.first_byte_us.record(reply.time_to_first_byte.as_micros() as u64).ok();
            report.total_us.record(reply.total_time.as_micros() as u64).ok();
        }
        None => report.failed += 1,
    }
}
