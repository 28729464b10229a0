//! Latency that one daemon adds to requests, and the requests it serves per second of processor
//! time.

use std::net::SocketAddr;
use std::time::Duration;

use dotterelhoist_testkit::client::Call;
use dotterelhoist_testkit::deployment::Deployment;
use dotterelhoist_testkit::engine::Config;
use dotterelhoist_testkit::load::{self, Report};
use dotterelhoist_testkit::process::Process;
use dotterelhoist_testkit::role;
use dotterelhoist_testkit::scenario::{MODEL_SERVICE, TOKEN};
use serde_json::json;

/// Number of serving groups, each of one engine.
const ENGINES: usize = 6;
/// SHA-256 of [`TOKEN`], as the workspace object holds it.
const TOKEN_SHA256: &str = "f473b29ce199d45c90d425cc71fceebba25eeabcf751cd05b48dd385f8defc82";

/// Clock ticks per second, the unit of the processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// One daemon with its engines, each in a process of its own.
struct Bench {
    deployment: Deployment,
    engines: Vec<Process>,
}

/// Prints the latency through a daemon and directly to the engines, the cost of announcements, and
/// the throughput of a daemon.
pub async fn measure() {
    println!("latency to the first token, 16 callers, 4000 requests of 8 tokens, streamed");
    println!("{:10} {:>8} {:>8} {:>8}", "path", "p50 ms", "p95 ms", "p99 ms");
    let bench = start(5, 1).await;
    let through_daemon = measure_latency(bench.deployment.caller_addresses()).await;
    let status = bench.deployment.status("zone-a-0").await;
    println!("counters of the daemon: {}", status["counters"]);
    let direct = measure_direct_latency().await;
    for (name, report) in [("direct", &direct), ("daemon", &through_daemon)] {
        let at = |quantile| report.first_byte_ms(quantile);
        println!("{name:10} {:8.2} {:8.2} {:8.2}", at(0.5), at(0.95), at(0.99));
    }
    for quantile in [0.5, 0.95, 0.99] {
        let added = through_daemon.first_byte_ms(quantile) - direct.first_byte_ms(quantile);
        println!("added at {quantile}: {added:.2} ms");
    }
    drop(bench);
    measure_announcements().await;
    measure_throughput("requests of 1 token", 96, 30_000, 1, false).await;
    measure_throughput("streams of 2000 tokens", 48, 480, 2000, true).await;
}

/// Prints the daemon's processor time for announcements over HTTP, each on a new connection, as the
/// stand-in engines send them.
async fn measure_announcements() {
    let bench = start(0, 0).await;
    let address = bench.deployment.announcement_addresses("zone-a")[0];
    for count in [2000, 4000, 8000] {
        let before = bench.cpu_seconds();
        for number in 0..count {
            let body = json!({
                "vm": format!("vm-x{}", number % 100),
                "address": "127.0.0.1:9", "zone": "zone-a", "fabric-domain": "domain-7",
                "accelerators": 8, "labels": { "pool": "assist" }, "incarnation": 1796330859491u64,
                "sequence": 1796330859491u64 + number, "group": "assist/zone-b/17", "generation": 40,
                "rank": 3, "members": 8, "phase": "ready", "model": "assist-1", "slots": 64,
                "load": 17, "leaving": false, "fences": true, "plain": false, "step-ms": 21,
                "stamp": "1a23daab773.3661234",
            });
            let call = Call {
                method: http_types::Method::Post,
                path: "/v1/announce".to_owned(),
                token: String::new(),
                idempotency_key: None,
                timeout_ms: None,
                body: body.to_string(),
            };
            let reply = dotterelhoist_testkit::client::call(address, &call).await;
            assert_eq!(reply.map(|reply| reply.status).unwrap_or(0), 200);
        }
        let cpu_micros = (bench.cpu_seconds() - before) * 1e6 / count as f64;
        println!("{count} announcements over HTTP: {cpu_micros:.0} us of processor time each");
    }
}

/// Starts one daemon and engines with these times for the prefill and for each token.
async fn start(prefill_ms: u64, token_ms: u64) -> Bench {
    let mut deployment = Deployment::plan(&["zone-a"], 1, 0, role::command_line("daemon"));
    deployment.start_all();
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let config = engine_config(
            number,
            &deployment.announcement_addresses("zone-a"),
            prefill_ms,
            token_ms,
        );
        engines.push(role::start_stand_in(&deployment, "engine", &config).expect("an engine"));
    }
    deployment.wait_until_ready().await;
    let group =
        json!({ "model": "m", "members": 1, "replicas": ENGINES, "labels": { "app": "x" } });
    let objects = [
        ("serving-group", MODEL_SERVICE, group),
        ("service", MODEL_SERVICE, json!({ "groups": "app=x", "deadline-ms": 120_000 })),
        ("workspace", "w", json!({ "key-sha256": TOKEN_SHA256, "queue": 10_000 })),
    ];
    for (kind, name, body) in objects {
        let applied = deployment.apply("zone-a-0", kind, kind, name, None, body).await;
        assert_eq!(applied.map(|reply| reply.status).unwrap_or(0), 200);
    }
    deployment.wait_for_routes(ENGINES).await;
    Bench { deployment, engines }
}

/// Properties of the engine with this number.
fn engine_config(number: usize, daemons: &[SocketAddr], prefill_ms: u64, token_ms: u64) -> Config {
    let mut config = Config::new(&format!("vm-{number}"), "zone-a", "rack", daemons);
    config.prefill_ms = prefill_ms;
    config.token_ms = token_ms;
    config.slots = 64;
    config.load_ms = 10;
    config
}

/// Sends the requests of the latency measurement, with each caller at one of these addresses.
async fn measure_latency(addresses: Vec<SocketAddr>) -> Report {
    let call =
        |index: usize| Call::generate(MODEL_SERVICE, TOKEN, &format!("prompt {index}"), 8, true);
    let check = |index: usize, reply: &dotterelhoist_testkit::client::Reply| {
        reply.is_complete_answer(&format!("prompt {index}"), 8, true)
    };
    load::run(&addresses, 16, 4000, call, check).await
}

/// Sends the same requests directly to the engines of a new deployment, without a daemon between.
async fn measure_direct_latency() -> Report {
    let bench = start(5, 1).await;
    let status = bench.deployment.status("zone-a-0").await;
    assert!(status["ready"] == true);
    let addresses = bench.engine_addresses().await;
    measure_latency(addresses).await
}

impl Bench {
    /// Addresses of the engines, which choose their ports themselves: those on which their
    /// processes listen.
    async fn engine_addresses(&self) -> Vec<SocketAddr> {
        let tcp_table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let mut addresses = Vec::new();
        for engine in &self.engines {
            addresses.extend(listeners_of(engine.id(), &tcp_table));
        }
        assert_eq!(addresses.len(), ENGINES);
        addresses
    }

    /// Processor time that the daemon has used so far, in user and kernel mode.
    fn cpu_seconds(&self) -> f64 {
        let process = self.deployment.daemons[0].process.as_ref().expect("a running daemon");
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.id()));
        let stat = stat.unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        // Indexes count from the field after the command name: `utime` is 11 and `stime` 12.
        let ticks =
            |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / TICKS_PER_SECOND
    }
}

/// Loopback addresses on which a process listens: the lines of `/proc/net/tcp`, passed in
/// `tcp_table`, that are in state listen and have the inode of one of its sockets.
fn listeners_of(id: u32, tcp_table: &str) -> Vec<SocketAddr> {
    let Ok(entries) = std::fs::read_dir(format!("/proc/{id}/fd")) else { return Vec::new() };
    let links = entries.flatten().filter_map(|entry| std::fs::read_link(entry.path()).ok());
    let socket_inodes: Vec<String> = links
        .filter_map(|link| {
            let name = link.to_string_lossy().into_owned();
            name.strip_prefix("socket:[").and_then(|n| n.strip_suffix(']')).map(ToOwned::to_owned)
        })
        .collect();
    let mut listeners = Vec::new();
    for line in tcp_table.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        if fields.len() > 9
            && fields[3] == "0A"
            && socket_inodes.iter().any(|inode| inode == fields[9])
        {
            let port = fields[1].rsplit(':').next().unwrap_or("0");
            let port = u16::from_str_radix(port, 16).unwrap_or(0);
            listeners.push(SocketAddr::from(([127, 0, 0, 1], port)));
        }
    }
    listeners
}

/// Saturates one daemon with `workers` callers and prints how many requests and tokens it serves
/// per second and per second of its processor time.
async fn measure_throughput(name: &str, workers: usize, count: usize, tokens: u32, stream: bool) {
    let bench = start(0, 0).await;
    let addresses = bench.deployment.caller_addresses();
    let before = bench.cpu_seconds();
    let report = load::run(
        &addresses,
        workers,
        count,
        move |index| {
            Call::generate(MODEL_SERVICE, TOKEN, &format!("prompt {index}"), tokens, stream)
        },
        move |index, reply| reply.is_complete_answer(&format!("prompt {index}"), tokens, stream),
    )
    .await;
    let cpu_seconds = bench.cpu_seconds() - before;
    let served = report.served as f64;
    let served_tokens = served * f64::from(tokens);
    println!(
        "{name}: {served} served, {} failed in {:.1} s: {:.0} requests/s, {:.0} tokens/s; daemon used \
         {cpu_seconds:.2} s of processor time: {:.0} requests and {:.0} tokens for each second of one core",
        report.failed,
        report.seconds,
        served / report.seconds,
        served_tokens / report.seconds,
        served / cpu_seconds,
        served_tokens / cpu_seconds,
    );
    smol::Timer::after(Duration::from_millis(10)).await;
}
