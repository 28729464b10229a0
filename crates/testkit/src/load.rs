//! Load generator that sends requests from many connections at once and records their latency.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use hdrhistogram::Histogram;
use smol::net::TcpStream;

use crate::client::{call_on, Call, Reply};

/// Result of a load run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Microseconds from the start of each served call to the first byte of the response body.
    pub first_byte_us: Histogram<u64>,
    /// Microseconds from the start of each served call to the end of the response body.
    pub total_us: Histogram<u64>,
    /// Number of calls whose reply passed the check.
    pub served: u64,
    /// Number of calls that got no reply or one that did not pass the check.
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

/// Sends `count` calls from `workers` tasks at once. `make_call` returns the call with a given
/// index, from 0, and `check` whether the reply to it counts as served. Each worker keeps one
/// connection and opens a new one after a call that failed.
pub async fn run<MakeCall, Check>(
    addresses: &[SocketAddr],
    workers: usize,
    count: usize,
    make_call: MakeCall,
    check: Check,
) -> Report
where
    MakeCall: Fn(usize) -> Call + Send + Sync + 'static,
    Check: Fn(usize, &Reply) -> bool + Send + Sync + 'static,
{
    let started = Instant::now();
    let empty = || Histogram::new(3).expect("a histogram can have 3 significant digits");
    let report =
        Report { first_byte_us: empty(), total_us: empty(), served: 0, failed: 0, seconds: 0.0 };
    let report = Arc::new(Mutex::new(report));
    let (make_call, check) = (Arc::new(make_call), Arc::new(check));
    let mut tasks = Vec::new();
    for worker in 0..workers {
        let address = addresses[worker % addresses.len()];
        let (make_call, check, report) = (make_call.clone(), check.clone(), report.clone());
        tasks.push(smol::spawn(async move {
            let mut stream = TcpStream::connect(address).await.ok();
            for index in (worker..count).step_by(workers) {
                if stream.is_none() {
                    stream = TcpStream::connect(address).await.ok();
                }
                let call = make_call(index);
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
