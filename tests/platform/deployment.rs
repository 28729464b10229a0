//! Three control daemons, one entry daemon and stand-ins of the platform's endpoints.

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use dotterelhoist_gateway::http::{within, Connection};
use serde_json::json;
use smol::net::TcpStream;
use tempfile::TempDir;

use crate::engine::{Engine, Handle, Runs};

/// Ports, the same on all VMs; they lie below those that the system gives to outgoing connections.
const PORTS: Ports = Ports { control: 20_001, links: 20_002, front: 20_003, ready: 20_004 };
/// Control daemons of a deployment.
const CONTROLS: usize = 3;
const STREAM_PATH: &str = "/stream/x";
const BOOK_PATH: &str = "/book/x";
const KEY: &str = "key-of-families";
/// Time for one answer.
const ANSWER: Duration = Duration::from_secs(8);
/// Time for a condition that a healthy deployment fulfils.
const PATIENCE: Duration = Duration::from_secs(60);
/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(50);

/// An answer to a caller.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub id: Option<String>,
    pub signed: bool,
    pub body: String,
}

pub struct Deployment {
    folder: TempDir,
    /// Addresses of the control daemons, then that of the entry daemon.
    ips: Vec<String>,
    controls: Vec<Option<Child>>,
    entry: Option<Child>,
    engines: Vec<Option<Handle>>,
    runs: Runs,
    labels: AtomicU64,
}

#[derive(Clone, Copy)]
struct Ports {
    control: u16,
    links: u16,
    front: u16,
    ready: u16,
}

impl Deployment {
    /// Starts everything and waits until a request is served.
    pub fn start() -> Deployment {
        let folder = tempfile::tempdir().expect("a folder can be made");
        let mut deployment = Deployment {
            folder,
            ips: own_addresses(),
            controls: Vec::new(),
            entry: None,
            engines: Vec::new(),
            runs: Runs::default(),
            labels: AtomicU64::new(0),
        };
        for at in 0..CONTROLS {
            let child = deployment.spawn(&deployment.ips[at], true);
            deployment.controls.push(Some(child));
        }
        deployment.entry = Some(deployment.spawn(&deployment.ips[CONTROLS], false));
        for at in 0..6 {
            let service = if at < 5 { "llm" } else { "desk" };
            let engine = Engine {
                id: format!("i-{at}"),
                service,
                controls: deployment.control_addresses(),
                runs: deployment.runs.clone(),
            };
            deployment.engines.push(Some(engine.start()));
        }
        deployment.put(7);
        let ready = deployment.until(PATIENCE, |deployment| {
            let health =
                deployment.ask(deployment.entry_address(PORTS.ready), "GET", "/ready", "", "");
            let served = |reply: Option<Reply>| reply.filter(|reply| reply.status == 200);
            served(health)?;
            served(deployment.stream(&deployment.label(), None))?;
            served(deployment.book(&deployment.label()))
        });
        assert!(ready.is_some(), "it does not serve");
        deployment
    }

    fn spawn(&self, ip: &str, control: bool) -> Child {
        let Ports { control: port, links, front, ready } = PORTS;
        let seeds = self.control_addresses().iter().map(ToString::to_string).collect::<Vec<_>>();
        let listen = match control {
            true => {
                let data = self.folder.path().join(ip);
                format!("listen.control={ip}:{port}\ndata_dir={}\n", data.display())
            }
            false => format!("listen.front={ip}:{front}\nlisten.ready={ip}:{ready}\n"),
        };
        let text = format!(
            "ip={ip}\nzone=z\ninternal_ports={links},{links}\nseeds={}\nbootstrap=true\n\
             heartbeat_interval_ms=200\nbounds.stall_ms=500\nfault_tolerance.machines=1\n{listen}",
            seeds.join(",")
        );
        let path = self.folder.path().join(format!("{ip}.conf"));
        std::fs::write(&path, text).expect("the folder can be written");
        Command::new(env!("CARGO_BIN_EXE_dotterelhoistd"))
            .arg("platform")
            .env("DOTTERELHOIST_NODE_FILE", path)
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon was built")
    }

    fn entry_address(&self, port: u16) -> SocketAddr {
        address(&self.ips[CONTROLS], port)
    }

    fn control_addresses(&self) -> Vec<SocketAddr> {
        self.ips[..CONTROLS].iter().map(|ip| address(ip, PORTS.control)).collect()
    }

    /// A label that no other requests have.
    pub fn label(&self) -> String {
        format!("l{}-", self.labels.fetch_add(1, Ordering::Relaxed))
    }

    /// Looks again and again until there is something; none after `span`.
    pub fn until<Found, Look>(&self, span: Duration, look: Look) -> Option<Found>
    where
        Look: Fn(&Deployment) -> Option<Found>,
    {
        let end = Instant::now() + span;
        while Instant::now() < end {
            if let Some(found) = look(self) {
                return Some(found);
            }
            std::thread::sleep(LOOK);
        }
        None
    }

    /// Puts a document and waits for its acknowledgement.
    pub fn put(&self, version: u64) {
        let body = document(version).to_string();
        let put = self.until(PATIENCE, |deployment| {
            deployment.control_addresses().into_iter().find(|control| {
                let reply = deployment.ask(*control, "POST", "/Config.Put", "", &body);
                reply.is_some_and(|reply| reply.status == 200)
            })
        });
        assert!(put.is_some(), "version {version} is not acknowledged");
    }

    /// Version of the document, as any daemon reads it.
    pub fn read_version(&self) -> Option<u64> {
        self.control_addresses().into_iter().find_map(|control| {
            let reply = self.ask(control, "GET", "/Config.Get", "", "")?;
            let read: serde_json::Value = serde_json::from_str(&reply.body).ok()?;
            read["version"].as_u64()
        })
    }

    /// Sends a request for a stream.
    pub fn stream(&self, id: &str, key: Option<&str>) -> Option<Reply> {
        let key = key.unwrap_or(KEY);
        let headers = format!(
            "Dotterelhoist-Request-Id: {id}\r\nAuthorization: Bearer {key}\r\n\
             Dotterelhoist-Deadline-Ms: 6000\r\nDotterelhoist-Model: m\r\n"
        );
        self.ask(self.entry_address(PORTS.front), "POST", STREAM_PATH, &headers, "prompt")
    }

    /// Sends a booking, which may run once.
    pub fn book(&self, id: &str) -> Option<Reply> {
        let headers = format!("Dotterelhoist-Request-Id: {id}\r\nAuthorization: Bearer {KEY}\r\n");
        self.ask(self.entry_address(PORTS.front), "POST", BOOK_PATH, &headers, "seat")
    }

    pub fn get(&self, path: &str) -> Option<Reply> {
        let headers = format!("Authorization: Bearer {KEY}\r\n");
        self.ask(self.entry_address(PORTS.front), "GET", path, &headers, "")
    }

    /// Sends a request for a stream from another thread, and waits until an engine runs it.
    pub fn stream_in_background(&self, id: &str) -> JoinHandle<Option<Reply>> {
        let address = self.entry_address(PORTS.front);
        let headers = format!(
            "Dotterelhoist-Request-Id: {id}\r\nAuthorization: Bearer {KEY}\r\n\
             Dotterelhoist-Model: m\r\n"
        );
        let sent =
            std::thread::spawn(move || ask(address, "POST", STREAM_PATH, &headers, "prompt"));
        let runs = self.runs.clone();
        let id = id.to_owned();
        let running = self.until(PATIENCE, |_| {
            runs.lock().ok().filter(|runs| runs.contains_key(&id)).map(|_| ())
        });
        assert!(running.is_some(), "it does not run");
        sent
    }

    fn ask(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
    ) -> Option<Reply> {
        ask(address, method, path, headers, body)
    }

    pub fn kill_control(&mut self, at: usize) {
        if let Some(mut child) = self.controls[at].take() {
            child.kill().expect("it runs");
            child.wait().expect("it was killed");
        }
    }

    pub fn stop_engine(&mut self, at: usize) {
        self.engines[at] = None;
    }

    /// Asks the entry daemon to stop.
    pub fn terminate_entry(&self) {
        let Some(entry) = &self.entry else { return };
        let pid = i32::try_from(entry.id()).ok().and_then(rustix::process::Pid::from_raw);
        let pid = pid.expect("it has a number");
        rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("it runs");
    }

    /// Whether the entry daemon ends in order.
    pub fn entry_ends(&mut self) -> bool {
        let end = Instant::now() + PATIENCE;
        let Some(entry) = &mut self.entry else { return false };
        while Instant::now() < end {
            if let Ok(Some(status)) = entry.try_wait() {
                return status.success();
            }
            std::thread::sleep(LOOK);
        }
        false
    }

    /// No booking ran twice.
    pub fn check_runs(&self) {
        let runs = self.runs.lock().expect("no holder panics");
        let twice: Vec<&String> =
            runs.iter().filter(|(_, count)| **count > 2).map(|(id, _)| id).collect();
        assert!(twice.is_empty(), "ran more than twice: {twice:?}");
        let odd = |id: &str| id.chars().last().and_then(|c| c.to_digit(10)).unwrap_or(0) % 2 == 1;
        let bookings = runs.iter().filter(|(id, _)| odd(id));
        let twice: Vec<&String> = bookings.filter(|(_, n)| **n > 1).map(|(id, _)| id).collect();
        assert!(twice.is_empty(), "bookings that ran twice: {twice:?}");
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in self.controls.iter_mut().chain([&mut self.entry]).flatten() {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

fn ask(address: SocketAddr, method: &str, path: &str, headers: &str, body: &str) -> Option<Reply> {
    let talk = async {
        let mut connection = Connection::open(TcpStream::connect(address).await.ok()?);
        let length = body.len();
        let bytes = format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\n{headers}Connection: close\r\n\
             Content-Length: {length}\r\n\r\n{body}"
        );
        connection.write(bytes.as_bytes()).await.ok()?;
        let head = connection.read_response_head(method, 16 << 10).await.ok()?;
        let body = connection.read_body(head.framing, 1 << 20).await.ok()?;
        Some(Reply {
            status: head.status,
            id: head.headers.find("dotterelhoist-request-id").map(str::to_owned),
            signed: head.headers.find("dotterelhoist-response-seal").is_some(),
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    };
    smol::block_on(within(ANSWER, talk)).flatten()
}

/// Ids of the events of a stream.
pub fn events(body: &str) -> Vec<u64> {
    body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

fn address(ip: &str, port: u16) -> SocketAddr {
    format!("{ip}:{port}").parse().expect("it is an address")
}

/// Loopback addresses that no other deployment has, neither of this process nor of another.
fn own_addresses() -> Vec<String> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let (high, low) = (process / 250 % 250 + 1, process % 250 + 1);
    let first = number % 30 * 8 + 1;
    (0..=CONTROLS as u64).map(|at| format!("127.{high}.{low}.{}", first + at)).collect()
}

fn document(version: u64) -> serde_json::Value {
    let model =
        json!({ "name": "m", "size": 2, "share": 1.0, "pace": 1.0, "load_s": 1, "warm_s": 1 });
    json!({
        "version": version,
        "routes": [
            { "name": "stream", "host": "h.example", "path_prefix": "/stream/",
              "route_type": "streaming", "timeout_ms": 6000, "target_latency_ms": 500,
              "service": "llm", "attempts": 2, "resumable": true },
            { "name": "book", "host": "h.example", "path_prefix": "/book/",
              "route_type": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 500,
              "service": "desk", "attempts": 1 },
        ],
        "services": [
            { "name": "llm", "engine": { "slots": 26, "models": [model], "step_ms": 6.0,
              "per_seq_ms": 0.2, "read_per_s": 46000.0, "loads_per_s": 100.0 } },
            { "name": "desk" },
        ],
        "tenants": [{ "name": "families", "api_keys": [KEY] }],
    })
}
