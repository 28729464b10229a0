//! A deployment of three control daemons, one entry daemon and stand-ins for the platform's
//! endpoints.

use std::net::SocketAddr;
use std::process::Child;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use dotterelhoist_gateway::http::{within, Connection};
use dotterelhoist_testkit::process::peak_memory_kb;
use serde_json::json;
use smol::net::TcpStream;
use tempfile::TempDir;

use crate::callers::{
    book, call_on_new_connection, exchange, receive, request, send, Call, Caller, Exchange,
    Received, Reply, API_KEY, BOOK_PATH, MAX_BODY_BYTES, RESPONSE_TIMEOUT,
};
use crate::crashes::Crashes;
use crate::cuts::Cuts;
use crate::daemon::{self, address, unique_ips, Build, Settings, PORTS};
use crate::engine::{unlimited, Addresses, Engine, Handle, Limit, Rest, Runs, Silence};
use crate::floods::Flood;
use crate::scripts::Scripts;

/// Number of control daemons of a deployment.
pub const CONTROL_DAEMONS: usize = 3;
/// Path on the streaming route.
const STREAM_PATH: &str = "/stream/x";
/// Bytes that [`Deployment::flood`] sends at once, about.
const FLOOD_PART_BYTES: usize = 32 << 10;
/// Time after which a test fails if a deployment has not reached the expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two requests of [`Deployment::book_until_refused`].
const CALL_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Daemon that receives a flood.
#[derive(Clone, Copy, Debug)]
pub enum Receiver {
    /// The entry daemon, on the port for callers.
    Entry,
    /// A control daemon, on the port for endpoints and operators.
    Control,
}

/// Kind of a request of [`Deployment::request_in_background`].
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// A stream of this many events.
    Stream { events: u64 },
    /// A booking.
    Booking,
    /// A stream whose response has no end.
    Endless(Flood),
}

/// A running deployment; dropping it kills its processes.
pub struct Deployment {
    /// Temporary folder with the settings files and data folders; removed on drop.
    folder: TempDir,
    /// IP addresses of the control daemons, followed by that of the entry daemon.
    ips: Vec<String>,
    /// Control daemons, none for one that was killed.
    control_daemons: Vec<Option<Child>>,
    /// Entry daemon, none until it is started.
    entry: Option<Child>,
    /// Engines, none for one that was stopped.
    engines: Vec<Option<Handle>>,
    /// Addresses of the engines.
    addresses: Addresses,
    /// How often the engines have run each request.
    runs: Runs,
    /// Limit that the plain service states.
    limit: Limit,
    /// When the engines and the plain service send nothing.
    pub silence: Silence,
    /// What the plain service turns away.
    rest: Arc<Mutex<Rest>>,
    /// Streams that end in an unusual way.
    pub cuts: Cuts,
    /// Responses of which a test states each byte.
    pub scripts: Scripts,
    /// Requests that end engines.
    pub crashes: Crashes,
    /// Whether engines send interim responses without end after they have carried out an order.
    pub endless_orders: Arc<AtomicBool>,
    /// Number of labels that [`Deployment::unique_label`] has returned.
    label_count: AtomicU64,
}

impl Deployment {
    /// Starts all daemons and engines, puts a configuration document, and waits until the entry
    /// daemon is ready and serves a request on each route.
    pub fn start() -> Deployment {
        Deployment::start_build(Build::Present)
    }

    /// Like [`Deployment::start`], with daemons of this build.
    pub fn start_build(build: Build) -> Deployment {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let mut deployment = Deployment {
            folder,
            ips: unique_ips(CONTROL_DAEMONS as u64 + 1),
            control_daemons: Vec::new(),
            entry: None,
            engines: Vec::new(),
            addresses: Addresses::default(),
            runs: Runs::default(),
            limit: Limit::default(),
            silence: Silence::default(),
            rest: Arc::default(),
            cuts: Cuts::default(),
            scripts: Scripts::default(),
            crashes: Crashes::default(),
            endless_orders: Arc::default(),
            label_count: AtomicU64::new(0),
        };
        for index in 0..CONTROL_DAEMONS {
            let child = deployment.spawn(build, &deployment.ips[index], true);
            deployment.control_daemons.push(Some(child));
        }
        deployment.entry = Some(deployment.spawn(build, &deployment.ips[CONTROL_DAEMONS], false));
        for index in 0..6 {
            let service = if index < 5 { "llm" } else { "desk" };
            deployment.start_engine(&format!("i-{index}"), service);
        }
        deployment.put(7);
        let ready = deployment.poll(WAIT_TIMEOUT, |deployment| {
            let health = send(deployment.entry_address(PORTS.readiness), "GET", "/ready", "", "");
            let served = |reply: Option<Reply>| reply.filter(|reply| reply.status == 200);
            served(health)?;
            served(deployment.stream(&deployment.unique_label(), None))?;
            served(deployment.book(&deployment.unique_label()))
        });
        assert!(ready.is_some(), "the deployment did not become ready in time");
        deployment
    }

    /// Starts a stand-in for an endpoint of a service.
    pub fn start_engine(&mut self, id: &str, service: &'static str) {
        let engine = Engine {
            id: id.to_owned(),
            service,
            control_addresses: self.control_addresses(),
            addresses: self.addresses.clone(),
            runs: self.runs.clone(),
            limit: self.limit.clone(),
            silence: self.silence.clone(),
            rest: self.rest.clone(),
            cuts: self.cuts.clone(),
            scripts: self.scripts.clone(),
            crashes: self.crashes.clone(),
            endless_orders: self.endless_orders.clone(),
        };
        self.engines.push(Some(engine.start()));
    }

    /// Writes the settings file of a daemon and starts it: a control daemon if `control` is set, an
    /// entry daemon otherwise.
    fn spawn(&self, build: Build, ip: &str, control: bool) -> Child {
        self.spawn_with_seeds(build, ip, control, &self.control_addresses())
    }

    /// Like [`Deployment::spawn`], with the addresses of these control daemons.
    pub fn spawn_with_seeds(
        &self,
        build: Build,
        ip: &str,
        control: bool,
        seeds: &[SocketAddr],
    ) -> Child {
        let settings = Settings { ip, control, seeds, bootstrap: true };
        daemon::spawn(build, self.folder.path(), &settings)
    }

    fn entry_address(&self, port: u16) -> SocketAddr {
        address(self.entry_ip(), port)
    }

    /// IP address of the entry daemon.
    pub fn entry_ip(&self) -> &str {
        &self.ips[CONTROL_DAEMONS]
    }

    fn control_addresses(&self) -> Vec<SocketAddr> {
        self.ips[..CONTROL_DAEMONS].iter().map(|ip| address(ip, PORTS.control)).collect()
    }

    /// Returns a prefix for request ids that no earlier call has returned.
    pub fn unique_label(&self) -> String {
        format!("l{}-", self.label_count.fetch_add(1, Ordering::Relaxed))
    }

    /// Calls `check` repeatedly until it returns a value, and returns that; none after `timeout`.
    pub fn poll<Found, Check>(&self, timeout: Duration, check: Check) -> Option<Found>
    where
        Check: Fn(&Deployment) -> Option<Found>,
    {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if let Some(found) = check(self) {
                return Some(found);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// Makes the plain service state a limit on its requests per second.
    pub fn set_limit(&self, limit: f64) {
        *self.limit.lock().expect("no thread panics while it holds the lock") = Some(limit);
    }

    /// Makes the plain service turn requests away and ask for a pause of `seconds`, or run them again.
    pub fn set_pause(&self, seconds: Option<f64>) {
        self.rest.lock().expect("no thread panics while it holds the lock").pause = seconds;
    }

    /// Number of requests that the plain service has turned away.
    pub fn turned_away(&self) -> u32 {
        self.rest.lock().expect("no thread panics while it holds the lock").turned_away
    }

    /// Puts a configuration document with this version and waits until a control daemon
    /// acknowledges it.
    pub fn put(&self, version: u64) {
        self.put_with_routes(version, 0);
    }

    /// Like [`Deployment::put`], with `count` further routes to the plain service, whose prefixes are
    /// `/more0/`, `/more1/` and so on.
    pub fn put_with_routes(&self, version: u64, count: usize) {
        self.put_document(version, &document(version, count));
    }

    /// Like [`Deployment::put`], with these limits for callers.
    pub fn put_with_limits(&self, version: u64, max_body_bytes: usize, idle_timeout: Duration) {
        let mut document = document(version, 0);
        document["limits"] = json!({
            "max_header_bytes": 16 << 10, "max_body_bytes": max_body_bytes,
            "header_timeout_ms": 3000, "idle_timeout_ms": idle_timeout.as_millis() as u64,
        });
        self.put_document(version, &document);
    }

    fn put_document(&self, version: u64, document: &serde_json::Value) {
        let body = document.to_string();
        let put = self.poll(WAIT_TIMEOUT, |deployment| {
            deployment.control_addresses().into_iter().find(|control| {
                let reply = send(*control, "POST", "/Config.Put", "", &body);
                reply.is_some_and(|reply| reply.status == 200)
            })
        });
        assert!(put.is_some(), "no control daemon acknowledged document version {version} in time");
    }

    /// Version of the document in force, from the first control daemon that answers.
    pub fn read_version(&self) -> Option<u64> {
        self.control_addresses().into_iter().find_map(|control| {
            let reply = send(control, "GET", "/Config.Get", "", "")?;
            let document: serde_json::Value = serde_json::from_str(&reply.body).ok()?;
            document["version"].as_u64()
        })
    }

    /// Sends a request on the streaming route, with `key` or, if none, the tenant's API key.
    pub fn stream(&self, id: &str, key: Option<&str>) -> Option<Reply> {
        self.stream_through(self.entry_ip(), id, key)
    }

    /// Like [`Deployment::stream`], at the entry daemon with this IP address.
    pub fn stream_through(&self, ip: &str, id: &str, key: Option<&str>) -> Option<Reply> {
        let key = key.unwrap_or(API_KEY);
        let headers = format!(
            "Dotterelhoist-Request-Id: {id}\r\nAuthorization: Bearer {key}\r\n\
             Dotterelhoist-Deadline-Ms: 6000\r\nDotterelhoist-Model: m\r\n"
        );
        send(address(ip, PORTS.callers), "POST", STREAM_PATH, &headers, "prompt")
    }

    /// Sends a request on the streaming route whose prompt has these segments.
    pub fn stream_with_prompt(&self, id: &str, segments: &str) -> Option<Reply> {
        let headers = format!(
            "Dotterelhoist-Request-Id: {id}\r\nAuthorization: Bearer {API_KEY}\r\n\
             Dotterelhoist-Deadline-Ms: 6000\r\nDotterelhoist-Model: m\r\n\
             Dotterelhoist-Prompt-Prefix: {segments}\r\n"
        );
        let address = self.entry_address(PORTS.callers);
        send(address, "POST", STREAM_PATH, &headers, &format!("prompt of {id}"))
    }

    /// Sends a request on the streaming route and returns what arrives of the response; none if there
    /// is no head within the timeout.
    pub fn receive(&self, id: &str) -> Option<Received> {
        let bytes = request(id, STREAM_PATH, "prompt");
        let exchange = async {
            let address = self.entry_address(PORTS.callers);
            let mut connection = Connection::open(TcpStream::connect(address).await.ok()?);
            connection.write(bytes.as_bytes()).await.ok()?;
            receive(&mut connection).await
        };
        smol::block_on(within(RESPONSE_TIMEOUT, exchange)).flatten()
    }

    /// Sends `start`, and then `part` again and again, to a daemon from another thread until the daemon
    /// closes the connection.
    pub fn flood(&self, receiver: Receiver, start: &str, part: &str) -> JoinHandle<()> {
        let address = match receiver {
            Receiver::Entry => self.entry_address(PORTS.callers),
            Receiver::Control => self.control_addresses()[0],
        };
        let start = start.to_owned();
        let parts = part.repeat(FLOOD_PART_BYTES / part.len());
        std::thread::spawn(move || {
            smol::block_on(async {
                let stream = TcpStream::connect(address).await.expect("the daemon accepts");
                let mut connection = Connection::open(stream);
                let mut sent = connection.write(start.as_bytes()).await;
                while sent.is_ok() {
                    sent = connection.write(parts.as_bytes()).await;
                }
            });
        })
    }

    /// Waits until two groups serve the streaming route.
    pub fn wait_for_two_groups(&self) {
        self.wait_for_groups(2);
    }

    /// Waits until so many groups serve the streaming route or have served it.
    pub fn wait_for_groups(&self, count: usize) {
        let all_serve = self.poll(WAIT_TIMEOUT, |deployment| {
            deployment.stream(&deployment.unique_label(), None);
            (deployment.silence.sender_count() >= count).then_some(())
        });
        assert!(all_serve.is_some(), "fewer than {count} groups serve");
    }

    /// Sends a booking, which is not idempotent and may run at most once.
    pub fn book(&self, id: &str) -> Option<Reply> {
        self.book_at(id, BOOK_PATH)
    }

    /// Like [`Deployment::book`], at the entry daemon with this IP address.
    pub fn book_through(&self, ip: &str, id: &str) -> Option<Reply> {
        book(address(ip, PORTS.callers), id, BOOK_PATH)
    }

    /// Sends a booking with this path.
    pub fn book_at(&self, id: &str, path: &str) -> Option<Reply> {
        book(self.entry_address(PORTS.callers), id, path)
    }

    /// Sends a `GET` request with the tenant's API key.
    pub fn get(&self, path: &str) -> Option<Reply> {
        let headers = format!("Authorization: Bearer {API_KEY}\r\n");
        send(self.entry_address(PORTS.callers), "GET", path, &headers, "")
    }

    /// Sends a request on the streaming route from another thread, and waits until an engine runs
    /// it.
    pub fn stream_in_background(&self, id: &str) -> JoinHandle<Option<Reply>> {
        let address = self.entry_address(PORTS.callers);
        let headers = format!(
            "Dotterelhoist-Request-Id: {id}\r\nAuthorization: Bearer {API_KEY}\r\n\
             Dotterelhoist-Model: m\r\n"
        );
        let caller =
            std::thread::spawn(move || send(address, "POST", STREAM_PATH, &headers, "prompt"));
        let runs = self.runs.clone();
        let id = id.to_owned();
        let running = self.poll(WAIT_TIMEOUT, |_| {
            runs.lock().ok().filter(|runs| runs.contains_key(&id)).map(|_| ())
        });
        assert!(running.is_some(), "no engine ran the request in time");
        caller
    }

    /// Sends a request on a new connection from another thread. The body states the number of events
    /// for a stream. If the response is complete, sends a booking on the same connection and returns
    /// both responses.
    pub fn request_in_background(&self, id: &str, kind: Kind) -> JoinHandle<Exchange> {
        let address = self.entry_address(PORTS.callers);
        let (path, body) = match kind {
            Kind::Stream { events } => (STREAM_PATH, format!("prompt {events}")),
            Kind::Booking => (BOOK_PATH, "seat".to_owned()),
            Kind::Endless(flood) => (STREAM_PATH, format!("flood {flood}")),
        };
        let first = request(id, path, &body);
        let next = request(&format!("{id}-next1"), BOOK_PATH, "seat");
        std::thread::spawn(move || {
            let exchange = async {
                let mut connection = Connection::open(TcpStream::connect(address).await.ok()?);
                let reply = exchange(&mut connection, "POST", &first).await?;
                let next = exchange(&mut connection, "POST", &next).await;
                Some(Exchange { reply: Some(reply), next })
            };
            smol::block_on(within(RESPONSE_TIMEOUT, exchange)).flatten().unwrap_or_default()
        })
    }

    /// Opens a connection of a caller.
    pub fn open_connection(&self) -> Caller {
        let address = self.entry_address(PORTS.callers);
        let stream = smol::block_on(TcpStream::connect(address)).expect("the entry daemon accepts");
        Caller(Connection::open(stream))
    }

    /// Sends bookings from another thread, each on a new connection and `delay` after it was
    /// established, until the entry daemon's port refuses connections, and returns what became of
    /// them.
    pub fn book_until_refused(&self, label: &str, delay: Duration) -> JoinHandle<Vec<Call>> {
        let address = self.entry_address(PORTS.callers);
        let label = label.to_owned();
        std::thread::spawn(move || {
            let mut calls = Vec::new();
            let end = Instant::now() + WAIT_TIMEOUT;
            while Instant::now() < end {
                let bytes = request(&format!("{label}{}-1", calls.len()), BOOK_PATH, "seat");
                let call = call_on_new_connection(address, &bytes, delay);
                if call == Call::Refused {
                    return calls;
                }
                calls.push(call);
                std::thread::sleep(CALL_INTERVAL);
            }
            panic!("the entry daemon's port still accepts connections");
        })
    }

    /// Number of times that a request has run.
    pub fn run_count(&self, id: &str) -> u32 {
        self.runs.lock().expect("no panic").get(id).copied().unwrap_or(0)
    }

    /// Sends a request for a complete response of `length` bytes, reads nothing after the head for
    /// `pause`, and returns the number of bytes of the body, and whether it is complete.
    pub fn read_slowly(
        &self,
        id: &str,
        length: usize,
        pause: Duration,
    ) -> Option<(u16, Option<usize>)> {
        let bytes = request(id, STREAM_PATH, &format!("whole {length}"));
        let exchange = async {
            let address = self.entry_address(PORTS.callers);
            let mut connection = Connection::open(TcpStream::connect(address).await.ok()?);
            connection.write(bytes.as_bytes()).await.ok()?;
            let head = connection.read_response_head("POST", 16 << 10).await.ok()?;
            smol::Timer::after(pause).await;
            let body = connection.read_body(head.framing, MAX_BODY_BYTES, &mut unlimited()).await;
            Some((head.status, body.ok().map(|body| body.len())))
        };
        smol::block_on(within(RESPONSE_TIMEOUT, exchange)).flatten()
    }

    /// Kills the control daemon with this index.
    pub fn kill_control_daemon(&mut self, index: usize) {
        daemon::kill(&mut self.control_daemons[index]);
    }

    /// Starts the control daemon with this index, which was killed, on its data folder.
    pub fn start_control_daemon(&mut self, build: Build, index: usize) {
        self.control_daemons[index] = Some(self.spawn(build, &self.ips[index], true));
    }

    /// Stops the entry daemon, and starts it.
    pub fn replace_entry(&mut self, build: Build) {
        self.terminate_entry();
        assert!(self.wait_entry_exit(), "the entry daemon did not exit with code 0 in time");
        self.entry = Some(self.spawn(build, &self.ips[CONTROL_DAEMONS], false));
    }

    /// Sends a heartbeat of another writer, with all fields, to each control daemon: it states the address of
    /// this endpoint and a later start.
    pub fn claim_address(&self, id: &str, sequence: u64) {
        let addresses = self.addresses.lock().expect("no thread panics while it holds the lock");
        let service = if id == "i-5" { "desk" } else { "llm" };
        let body = serde_json::json!({
            "service": service, "address": addresses[id].to_string(), "zone": "z", "version": "v1",
            "slots": 26, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": 2,
            "stage": "both", "models": [], "domain": "d0", "staged": [],
        });
        let path = format!("/Instances.Heartbeat/stranger-{id}");
        for control in self.control_addresses() {
            let reply = send(control, "POST", &path, "", &body.to_string());
            assert_eq!(reply.map(|reply| reply.status), Some(200));
        }
    }

    /// Sends a call with this body to each control daemon, whatever it answers.
    pub fn call_all_control_daemons(&self, path: &str, body: &str) {
        for control in self.control_addresses() {
            send(control, "POST", path, "", body);
        }
    }

    /// IP addresses of daemons that have ended by themselves.
    pub fn ended_daemons(&mut self) -> Vec<String> {
        let daemons = self.control_daemons.iter_mut().chain([&mut self.entry]);
        let has_ended = |child: &mut Option<Child>| {
            child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
        };
        let ended = self
            .ips
            .iter()
            .zip(daemons)
            .filter_map(|(ip, child)| has_ended(child).then(|| ip.clone()));
        ended.collect()
    }

    /// Deregisters an endpoint at the first control daemon, and returns the status of the answer. The
    /// stand-in goes on as if it had not been deregistered.
    pub fn deregister(&self, id: &str) -> Option<u16> {
        let path = format!("/Instances.Deregister/{id}");
        Some(send(self.control_addresses()[0], "POST", &path, "", r#"{"born":1}"#)?.status)
    }

    /// Stops the engine with this index.
    pub fn stop_engine(&mut self, index: usize) {
        self.engines[index] = None;
    }

    /// Highest resident memory of the entry daemon so far.
    pub fn entry_peak_memory_kb(&self) -> u64 {
        let entry = self.entry.as_ref().expect("the entry daemon was started");
        peak_memory_kb(entry.id()).expect("the entry daemon runs")
    }

    /// Sends SIGTERM to the entry daemon.
    pub fn terminate_entry(&self) {
        self.signal_entry(rustix::process::Signal::TERM);
    }

    /// Sends a signal to the entry daemon.
    pub fn signal_entry(&self, signal: rustix::process::Signal) {
        let Some(entry) = &self.entry else { return };
        let pid = i32::try_from(entry.id()).ok().and_then(rustix::process::Pid::from_raw);
        let pid = pid.expect("a valid process id");
        rustix::process::kill_process(pid, signal).expect("the entry daemon runs");
    }

    /// Waits for the entry daemon to exit and returns whether it did so with success in time.
    pub fn wait_entry_exit(&mut self) -> bool {
        let end = Instant::now() + WAIT_TIMEOUT;
        let Some(entry) = &mut self.entry else { return false };
        while Instant::now() < end {
            if let Ok(Some(status)) = entry.try_wait() {
                return status.success();
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        false
    }

    /// Checks that no booking ran more than once and no stream more than twice, which its route
    /// allows. Requests whose id ends with an odd digit are bookings.
    pub fn check_run_counts(&self) {
        let runs = self.runs.lock().expect("no thread panics while it holds the lock");
        let too_often: Vec<&String> =
            runs.iter().filter(|(_, count)| **count > 2).map(|(id, _)| id).collect();
        assert!(too_often.is_empty(), "requests that ran more than twice: {too_often:?}");
        let is_booking =
            |id: &str| id.chars().last().and_then(|c| c.to_digit(10)).unwrap_or(0) % 2 == 1;
        let bookings = runs.iter().filter(|(id, _)| is_booking(id));
        let twice: Vec<&String> = bookings.filter(|(_, n)| **n > 1).map(|(id, _)| id).collect();
        assert!(twice.is_empty(), "bookings that ran more than once: {twice:?}");
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        daemon::print_logs(self.folder.path(), &self.ips);
        for child in self.control_daemons.iter_mut().chain([&mut self.entry]).flatten() {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

/// Ids of the events in the body of a stream.
pub fn event_ids(body: &str) -> Vec<u64> {
    body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

/// Configuration document of all tests: a streaming route that allows 2 attempts, and routes whose
/// requests are not idempotent: one, one that allows 2 attempts, and `more` further ones.
pub fn document(version: u64, more: usize) -> serde_json::Value {
    let booking = |name: &str| {
        let attempts = if name == "rebook" { 2 } else { 1 };
        json!({ "name": name, "host": "h.example", "path_prefix": format!("/{name}/"),
                "route_type": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 500,
                "service": "desk", "attempts": attempts })
    };
    let mut routes = vec![
        json!({ "name": "stream", "host": "h.example", "path_prefix": "/stream/",
                "route_type": "streaming", "timeout_ms": 6000, "target_latency_ms": 500,
                "service": "llm", "attempts": if version < 100 { 2 } else { 3 }, "resumable": true }),
        booking("book"),
        booking("rebook"),
    ];
    routes.extend((0..more).map(|number| booking(&format!("more{number}"))));
    let model = json!({ "name": "m", "size": if version < 100 { 2 } else { 1 }, "share": 1.0, "pace": 1.0, "load_s": 1, "warm_s": 1 });
    json!({
        "version": version,
        "routes": routes,
        "services": [
            { "name": "llm", "engine": { "slots": 26, "models": [model], "step_ms": 6.0,
              "per_seq_ms": 0.2, "read_per_s": 46000.0, "loads_per_s": 100.0 } },
            { "name": "desk" },
        ],
        "tenants": [{ "name": "families", "api_keys": [API_KEY] }],
    })
}
