//! A deployment of real daemon processes on this machine: their addresses, settings files, data
//! folders and log files.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use http_types::Method;
use serde_json::{json, Value};
use smol::Timer;

use crate::client::{call, Call, Reply};
use crate::ports;
use crate::process::Process;

/// Time between two reads of a daemon's status while waiting for a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which waiting for a condition panics, so that a test fails instead of hanging.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Extension of the log files of a deployment's processes.
const LOG_EXTENSION: &str = "log";

/// Addresses on which one daemon listens.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// For requests of callers.
    pub callers: SocketAddr,
    /// For announcements of endpoints.
    pub endpoints: SocketAddr,
    /// For the administration API.
    pub operators: SocketAddr,
    /// For links from other daemons.
    pub daemons: SocketAddr,
}

/// A daemon of the deployment.
#[derive(Debug)]
pub struct Daemon {
    /// Name by which other daemons and the log configuration refer to it.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Addresses on which it listens.
    pub addresses: Addresses,
    /// Whether it has a data folder, without which it cannot keep replicas of logs.
    pub has_disk: bool,
    /// The process, none until the daemon is first started.
    pub process: Option<Process>,
}

/// The daemons of a deployment with their files and settings. If it is dropped while its thread
/// panics, as when a test fails, the log files are printed before they are removed.
#[derive(Debug)]
pub struct Deployment {
    /// Temporary folder that holds all files; removed when the deployment is dropped.
    pub folder: tempfile::TempDir,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    zones: Vec<String>,
    /// Program and first arguments that start a daemon.
    program: Vec<OsString>,
    /// Section `policy` of each daemon's settings.
    policy: Value,
    /// Links that connect to another address than the one on which the peer listens.
    redirects: Vec<Redirect>,
    /// Voters of the configuration log and the claim log; empty for the usual ones.
    voters: Vec<String>,
}

/// A link that connects to another address, such as a proxy, instead of the peer's own.
#[derive(Clone, Debug)]
pub struct Redirect {
    /// Daemon that opens the link.
    pub from: String,
    /// Daemon to which the link leads.
    pub to: String,
    /// Address to which `from` connects instead.
    pub address: SocketAddr,
}

impl Deployment {
    /// Assigns names and addresses to `disk_daemons` daemons with a disk and `diskless_daemons`
    /// without one in each zone, and starts none of them. `program` is the program of a daemon with
    /// its first arguments; the path of the settings file is added as the last one.
    pub fn plan(
        zones: &[&str],
        disk_daemons: usize,
        diskless_daemons: usize,
        program: Vec<OsString>,
    ) -> Deployment {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let mut daemons = Vec::new();
        for zone in zones {
            for number in 0..disk_daemons + diskless_daemons {
                let ports = ports::assign(4);
                daemons.push(Daemon {
                    name: format!("{zone}-{number}"),
                    zone: (*zone).to_owned(),
                    addresses: Addresses {
                        callers: ports[0],
                        endpoints: ports[1],
                        operators: ports[2],
                        daemons: ports[3],
                    },
                    has_disk: number < disk_daemons,
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
            voters: Vec::new(),
        }
    }

    /// Replaces the section `policy` of the settings of all daemons that are started afterwards.
    pub fn set_policy(&mut self, policy: Value) {
        self.policy = policy;
    }

    /// Sets the daemons that the settings name as voters of the configuration log and the claim log;
    /// takes effect when a daemon is next started.
    pub fn set_voters(&mut self, daemons: &[&str]) {
        self.voters = daemons.iter().map(|daemon| (*daemon).to_owned()).collect();
    }

    /// Redirects the link from one daemon to another; takes effect when `from` is next started.
    pub fn add_redirect(&mut self, redirect: Redirect) {
        self.redirects.push(redirect);
    }

    /// Availability zones.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// The daemon with this name.
    pub fn daemon(&self, name: &str) -> &Daemon {
        self.daemons
            .iter()
            .find(|daemon| daemon.name == name)
            .expect("the deployment has the named daemon")
    }

    /// Addresses to which the endpoints of a zone send their announcements.
    pub fn announcement_addresses(&self, zone: &str) -> Vec<SocketAddr> {
        let in_zone = self.daemons.iter().filter(|daemon| daemon.zone == zone);
        in_zone.map(|daemon| daemon.addresses.endpoints).collect()
    }

    /// Addresses of all daemons for requests of callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.addresses.callers).collect()
    }

    /// Voters of the configuration log and the claim log: those that were set, otherwise all daemons
    /// with a disk, or the first one of each zone if there are more than five.
    fn voters(&self) -> Vec<Value> {
        if !self.voters.is_empty() {
            return self.voters.iter().map(|daemon| json!({ "daemon": daemon })).collect();
        }
        let with_disk = self.daemons.iter().filter(|daemon| daemon.has_disk);
        let mut voters: Vec<&Daemon> = with_disk.collect();
        if voters.len() > 5 {
            let first = |zone: &String| voters.iter().position(|daemon| daemon.zone == *zone);
            voters = self.zones.iter().filter_map(first).map(|index| voters[index]).collect();
        }
        voters.iter().map(|daemon| json!({ "daemon": daemon.name })).collect()
    }

    /// Voters of the placement log of a zone: its daemons with a disk with weight 2, and one from
    /// each of up to two other zones with weight 1.
    fn placement_voters(&self, zone: &str) -> Vec<Value> {
        let mut voters = Vec::new();
        let mut other_zones: Vec<&str> = Vec::new();
        for daemon in self.daemons.iter().filter(|daemon| daemon.has_disk) {
            if daemon.zone == zone {
                voters.push(json!({ "daemon": daemon.name, "weight": 2 }));
            } else if !other_zones.contains(&daemon.zone.as_str()) && other_zones.len() < 2 {
                other_zones.push(&daemon.zone);
                voters.push(json!({ "daemon": daemon.name, "weight": 1 }));
            }
        }
        voters
    }

    /// Contents of a daemon's settings file.
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

    /// File to which standard error of a daemon or stand-in process is appended.
    pub fn log_file(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.{LOG_EXTENSION}"))
    }

    /// Contents of all log files, each below a line with the name of its process, by name.
    pub fn logs(&self) -> String {
        let entries = std::fs::read_dir(self.folder.path()).into_iter().flatten().flatten();
        let is_log = |path: &PathBuf| path.extension().is_some_and(|text| text == LOG_EXTENSION);
        let mut files: Vec<PathBuf> =
            entries.map(|entry| entry.path()).filter(|path| is_log(path)).collect();
        files.sort();
        let mut text = String::new();
        for file in files {
            let name = file.file_stem().unwrap_or_default().to_string_lossy();
            let contents = std::fs::read(&file).unwrap_or_default();
            text.push_str(&format!("--- log of {name}\n{}", String::from_utf8_lossy(&contents)));
            if !text.ends_with('\n') {
                text.push('\n');
            }
        }
        text
    }

    /// Writes a daemon's settings file and starts the daemon. Replicas in a new data folder are
    /// initial voters of their logs if `bootstrap` is set, and join as learners otherwise.
    pub fn start(&mut self, name: &str, bootstrap: bool) {
        let settings = self.settings(self.daemon(name)).to_string();
        let path = self.folder.path().join(format!("{name}.json"));
        std::fs::write(&path, settings).expect("the temporary folder is writable");
        let mut arguments: Vec<OsString> = Vec::new();
        if bootstrap {
            arguments.push("--found".into());
        }
        arguments.push(path.into());
        let log = self.log_file(name);
        let process = Process::spawn(&self.program, &arguments, &log)
            .expect("the daemon program can be started");
        let daemon = self.daemons.iter_mut().find(|daemon| daemon.name == name);
        daemon.expect("the deployment has the named daemon").process = Some(process);
    }

    /// Starts all daemons for the first time, as initial voters of new logs.
    pub fn start_all(&mut self) {
        let names: Vec<String> = self.daemons.iter().map(|daemon| daemon.name.clone()).collect();
        for name in names {
            self.start(&name, true);
        }
    }

    /// Process of a daemon that has been started.
    pub fn process(&mut self, name: &str) -> &mut Process {
        let daemon = self.daemons.iter_mut().find(|daemon| daemon.name == name);
        let process = daemon.and_then(|daemon| daemon.process.as_mut());
        process.expect("the named daemon has been started")
    }

    /// Status that a daemon reports, null if it does not answer.
    pub async fn status(&self, name: &str) -> Value {
        let address = self.daemon(name).addresses.operators;
        let reply = call(address, &operator_call(Method::Get, "/v1/status", "")).await;
        reply.map(|reply| reply.json()).unwrap_or(Value::Null)
    }

    /// Creates or changes one object through a daemon's administration API. `operation` is the
    /// idempotency key of the change. If `expected_version` is given, the change is refused unless
    /// the object has that version.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails before a response head is received.
    pub async fn apply(
        &self,
        daemon_name: &str,
        operation: &str,
        kind: &str,
        object_name: &str,
        expected_version: Option<u64>,
        body: Value,
    ) -> http_types::Result<Reply> {
        let address = self.daemon(daemon_name).addresses.operators;
        let change = json!({
            "operation": operation,
            "kind": kind,
            "name": object_name,
            "expected": expected_version,
            "body": body,
        });
        call(address, &operator_call(Method::Post, "/v1/changes", &change.to_string())).await
    }

    /// Waits until a daemon's status fulfils `condition`, which `description` names in the message
    /// of the panic after [`WAIT_TIMEOUT`].
    pub async fn wait_for(
        &self,
        name: &str,
        description: &str,
        condition: impl Fn(&Value) -> bool,
    ) {
        let started = Instant::now();
        loop {
            let status = self.status(name).await;
            if condition(&status) {
                return;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "{name}: timed out waiting for {description}; last status: {status:#}"
            );
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Waits until each started daemon reports that it is ready for requests.
    pub async fn wait_until_ready(&self) {
        for daemon in self.daemons.iter().filter(|daemon| daemon.process.is_some()) {
            self.wait_for(&daemon.name, "readiness", |status| status["ready"] == true).await;
        }
    }

    /// Waits until each started daemon has at least `count` routes that accept new requests.
    pub async fn wait_for_routes(&self, count: usize) {
        for daemon in self.daemons.iter().filter(|daemon| daemon.process.is_some()) {
            self.wait_for(&daemon.name, "routes", |status| accepting_routes(status) >= count).await;
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprint!("{}", self.logs());
        }
    }
}

/// Number of routes in a daemon's status that accept new requests.
pub fn accepting_routes(status: &Value) -> usize {
    let routes = status["routes"].as_array();
    routes
        .map_or(0, |routes| routes.iter().filter(|route| route["standing"] == "accepting").count())
}

/// Value of a counter in a daemon's status, 0 if it is not listed.
pub fn counter(status: &Value, name: &str) -> u64 {
    let counters = status["counters"].as_array().into_iter().flatten();
    let mut named = counters.filter(|counter| counter["name"] == name);
    named.next().and_then(|counter| counter["value"].as_u64()).unwrap_or(0)
}

/// A request to the administration API, which needs no token here.
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
