//! A deployment of real daemons on one machine.

use std::ffi::OsString;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use http_types::Method;
use serde_json::{json, Value};
use smol::Timer;

use crate::client::{call, Call, Reply};
use crate::process::Process;

/// Time between two looks while waiting.
const LOOK: Duration = Duration::from_millis(20);
/// Bound on any wait, which only ends a run that hangs.
const PATIENCE: Duration = Duration::from_secs(60);

/// Addresses of one daemon.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For endpoints.
    pub endpoints: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other daemons.
    pub daemons: SocketAddr,
}

/// A daemon of the deployment.
#[derive(Debug)]
pub struct Daemon {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its addresses.
    pub addresses: Addresses,
    /// Whether it has a data folder.
    pub has_disk: bool,
    /// The process, if it runs.
    pub process: Option<Process>,
}

/// Daemons, their files and settings.
#[derive(Debug)]
pub struct Deployment {
    /// Folder of all files.
    pub folder: tempfile::TempDir,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    zones: Vec<String>,
    program: Vec<OsString>,
    policy: Value,
    /// Addresses by which a daemon reaches another one, where they differ from its own: dialling
    /// daemon, dialled daemon, address.
    redirects: Vec<Redirect>,
}

/// A way around the plain link between two daemons.
#[derive(Clone, Debug)]
pub struct Redirect {
    /// Daemon that dials.
    pub from: String,
    /// Daemon that is dialled.
    pub to: String,
    /// Address that is dialled instead.
    pub address: SocketAddr,
}

/// First port that is given to daemons; outgoing connections take theirs from a higher range.
const PORT_FIRST: u32 = 10_000;
/// Number of ports that are given to daemons.
const PORTS: u32 = 20_000;

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Addresses that nobody listens on, none of them given out twice by this process.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    while addresses.len() < count {
        let next = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = PORT_FIRST + (std::process::id() * 97 + next) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            addresses.push(address);
        }
    }
    addresses
}

impl Deployment {
    /// Plans a deployment with this many daemons with and without a disk in each zone. `program`
    /// starts the daemon; its settings file is added as the last argument.
    pub fn plan(
        zones: &[&str],
        disks: usize,
        diskless: usize,
        program: Vec<OsString>,
    ) -> Deployment {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let mut daemons = Vec::new();
        for zone in zones {
            for number in 0..disks + diskless {
                let ports = free_addresses(4);
                daemons.push(Daemon {
                    name: format!("{zone}-{number}"),
                    zone: (*zone).to_owned(),
                    addresses: Addresses {
                        callers: ports[0],
                        endpoints: ports[1],
                        operators: ports[2],
                        daemons: ports[3],
                    },
                    has_disk: number < disks,
                    process: None,
                });
            }
        }
        Deployment {
            folder,
            daemons,
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            program,
            policy: json!({ "load-seconds": 1.0, "loads-per-minute": 6000 }),
            redirects: Vec::new(),
        }
    }

    /// Changes settings of the decisions.
    pub fn set_policy(&mut self, policy: Value) {
        self.policy = policy;
    }

    /// Leads the links between two daemons over other addresses.
    pub fn add_redirect(&mut self, redirect: Redirect) {
        self.redirects.push(redirect);
    }

    /// Availability zones.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// A daemon by its name.
    pub fn daemon(&self, name: &str) -> &Daemon {
        self.daemons.iter().find(|daemon| daemon.name == name).expect("a daemon of that name")
    }

    /// Addresses where endpoints of a zone announce themselves.
    pub fn announcement_addresses(&self, zone: &str) -> Vec<SocketAddr> {
        let own = self.daemons.iter().filter(|daemon| daemon.zone == zone);
        own.map(|daemon| daemon.addresses.endpoints).collect()
    }

    /// Addresses for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.addresses.callers).collect()
    }

    fn voters(&self) -> Vec<Value> {
        let with_disk = self.daemons.iter().filter(|daemon| daemon.has_disk);
        let mut voters: Vec<&Daemon> = with_disk.collect();
        if voters.len() > 5 {
            let first = |zone: &String| voters.iter().position(|daemon| daemon.zone == *zone);
            voters = self.zones.iter().filter_map(first).map(|at| voters[at]).collect();
        }
        voters.iter().map(|daemon| json!({ "daemon": daemon.name })).collect()
    }

    fn placement_voters(&self, zone: &str) -> Vec<Value> {
        let mut voters = Vec::new();
        let mut foreign: Vec<&str> = Vec::new();
        for daemon in self.daemons.iter().filter(|daemon| daemon.has_disk) {
            if daemon.zone == zone {
                voters.push(json!({ "daemon": daemon.name, "weight": 2 }));
            } else if !foreign.contains(&daemon.zone.as_str()) && foreign.len() < 2 {
                foreign.push(&daemon.zone);
                voters.push(json!({ "daemon": daemon.name, "weight": 1 }));
            }
        }
        voters
    }

    /// Settings of a daemon.
    pub fn settings(&self, daemon: &Daemon) -> Value {
        let peers: Vec<Value> = self
            .daemons
            .iter()
            .filter(|peer| peer.name != daemon.name)
            .map(|peer| {
                let redirect = self
                    .redirects
                    .iter()
                    .find(|redirect| redirect.from == daemon.name && redirect.to == peer.name);
                let address = redirect.map_or(peer.addresses.daemons, |redirect| redirect.address);
                json!({ "daemon": peer.name, "zone": peer.zone, "address": address.to_string() })
            })
            .collect();
        let mut logs = vec![
            json!({ "name": "configuration", "holds": "configuration", "voters": self.voters() }),
            json!({ "name": "claims", "holds": "claims", "voters": self.voters() }),
        ];
        for zone in &self.zones {
            logs.push(json!({
                "name": format!("placement-{zone}"),
                "holds": "placement",
                "zone": zone,
                "voters": self.placement_voters(zone),
            }));
        }
        let mut settings = json!({
            "daemon": daemon.name,
            "zone": daemon.zone,
            "zones": self.zones,
            "listen": {
                "callers": daemon.addresses.callers.to_string(),
                "endpoints": daemon.addresses.endpoints.to_string(),
                "operators": daemon.addresses.operators.to_string(),
                "daemons": daemon.addresses.daemons.to_string(),
            },
            "peers": peers,
            "logs": logs,
            "policy": self.policy,
            "limits": { "head-timeout-ms": 2000 },
        });
        if daemon.has_disk {
            settings["data-folder"] = json!(self.data_folder(&daemon.name));
        }
        settings
    }

    /// Data folder of a daemon.
    pub fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.data"))
    }

    /// Log file of a daemon.
    pub fn log_file(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.log"))
    }

    /// Starts a daemon; `found` founds new logs.
    pub fn start(&mut self, name: &str, found: bool) {
        let settings = self.settings(self.daemon(name)).to_string();
        let path = self.folder.path().join(format!("{name}.json"));
        std::fs::write(&path, settings).expect("a writable temporary folder");
        let mut arguments: Vec<OsString> = Vec::new();
        if found {
            arguments.push("--found".into());
        }
        arguments.push(path.into());
        let log = self.log_file(name);
        let process = Process::spawn(&self.program, &arguments, &log).expect("a daemon program");
        let daemon = self.daemons.iter_mut().find(|daemon| daemon.name == name);
        daemon.expect("a daemon of that name").process = Some(process);
    }

    /// Starts all daemons for the first time.
    pub fn start_all(&mut self) {
        let names: Vec<String> = self.daemons.iter().map(|daemon| daemon.name.clone()).collect();
        for name in names {
            self.start(&name, true);
        }
    }

    /// Process of a running daemon.
    pub fn process(&mut self, name: &str) -> &mut Process {
        let daemon = self.daemons.iter_mut().find(|daemon| daemon.name == name);
        let process = daemon.and_then(|daemon| daemon.process.as_mut());
        process.expect("a running daemon of that name")
    }

    /// Status as a daemon shows it; null if it does not answer.
    pub async fn status(&self, name: &str) -> Value {
        let operators = self.daemon(name).addresses.operators;
        let reply = call(operators, &operator_call(Method::Get, "/v1/status", "")).await;
        reply.map(|reply| reply.json()).unwrap_or(Value::Null)
    }

    /// Applies one object through a daemon.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection.
    pub async fn apply(
        &self,
        name: &str,
        operation: &str,
        kind: &str,
        object: &str,
        expected: Option<u64>,
        body: Value,
    ) -> http_types::Result<Reply> {
        let operators = self.daemon(name).addresses.operators;
        let change = json!({
            "operation": operation,
            "kind": kind,
            "name": object,
            "expected": expected,
            "body": body,
        });
        call(operators, &operator_call(Method::Post, "/v1/changes", &change.to_string())).await
    }

    /// Waits until a daemon's status fulfils a condition.
    pub async fn wait_for(&self, name: &str, what: &str, holds: impl Fn(&Value) -> bool) {
        let began = Instant::now();
        loop {
            let status = self.status(name).await;
            if holds(&status) {
                return;
            }
            assert!(began.elapsed() < PATIENCE, "{name}: waited in vain for {what}: {status:#}");
            Timer::after(LOOK).await;
        }
    }

    /// Waits until all running daemons answer callers.
    pub async fn wait_until_ready(&self) {
        for daemon in self.daemons.iter().filter(|daemon| daemon.process.is_some()) {
            self.wait_for(&daemon.name, "readiness", |status| status["ready"] == true).await;
        }
    }

    /// Waits until all running daemons see this many accepting routes.
    pub async fn wait_for_routes(&self, count: usize) {
        for daemon in self.daemons.iter().filter(|daemon| daemon.process.is_some()) {
            self.wait_for(&daemon.name, "routes", |status| accepting_routes(status) >= count).await;
        }
    }
}

/// Number of routes that take new work.
pub fn accepting_routes(status: &Value) -> usize {
    let routes = status["routes"].as_array();
    routes
        .map_or(0, |routes| routes.iter().filter(|route| route["standing"] == "accepting").count())
}

/// Value of a counter.
pub fn counter(status: &Value, name: &str) -> u64 {
    let counters = status["counters"].as_array().into_iter().flatten();
    let mut named = counters.filter(|counter| counter["name"] == name);
    named.next().and_then(|counter| counter["value"].as_u64()).unwrap_or(0)
}

fn operator_call(method: Method, path: &str, body: &str) -> Call {
    Call {
        method,
        path: path.to_owned(),
        token: String::new(),
        idempotency_key: None,
        timeout_ms: None,
        body: body.to_owned(),
    }
}
