//! A stand-in engine or plain service of the platform: heartbeats, orders, reports, requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dotterelhoist_gateway::http::{Connection, RequestHead};
use serde_json::{json, Value};
use smol::net::{TcpListener, TcpStream};
use smol::Timer;

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(200);
/// Time between two events of a stream.
const EVENT: Duration = Duration::from_millis(40);
/// Events of a stream.
const EVENTS: u64 = 5;

/// How often each request has run.
pub type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// What a stand-in is.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Identity.
    pub id: String,
    /// Service.
    pub service: &'static str,
    /// Addresses of control daemons.
    pub controls: Vec<SocketAddr>,
    /// How often each request has run.
    pub runs: Runs,
}

#[derive(Debug, Default)]
struct Inner {
    group: Option<(String, u64, String)>,
    members: Vec<String>,
    staged: Vec<String>,
    sequence: u64,
}

type Shared = Rc<Mutex<Inner>>;

/// Handle of a running stand-in; it stops when the handle is dropped.
pub struct Handle {
    _stop: smol::channel::Sender<()>,
}

impl Engine {
    /// Starts the stand-in in a thread of its own.
    pub fn start(self) -> Handle {
        let (stop, stopped) = smol::channel::bounded::<()>(1);
        std::thread::spawn(move || {
            let executor = Rc::new(smol::LocalExecutor::new());
            let serve = self.serve(executor.clone());
            let run = async {
                let end = async {
                    stopped.recv().await.ok();
                };
                futures_lite::FutureExt::or(serve, end).await;
            };
            smol::block_on(executor.run(run));
        });
        Handle { _stop: stop }
    }

    async fn serve(self, executor: Rc<smol::LocalExecutor<'static>>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let shared = Shared::default();
        executor.spawn(beat(self.clone(), address, shared.clone())).detach();
        loop {
            let Ok((stream, _)) = listener.accept().await else { return };
            let (engine, shared) = (self.clone(), shared.clone());
            executor.spawn(async move { engine.talk(stream, &shared).await }).detach();
        }
    }

    async fn talk(&self, stream: TcpStream, shared: &Shared) -> Option<()> {
        let mut connection = Connection::open(stream);
        loop {
            let head = connection.read_request_head(16 << 10).await.ok()?;
            let body = connection.read_body(head.framing, 1 << 20).await.ok()?;
            match &*head.target {
                "/order" => {
                    let status = order(shared, &serde_json::from_slice(&body).ok()?);
                    let line = format!("HTTP/1.1 {status} Order\r\nContent-Length: 0\r\n\r\n");
                    connection.write(line.as_bytes()).await.ok()?;
                }
                "/report" => {
                    let body = self.state(shared).to_string();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    connection.write(format!("{head}{body}").as_bytes()).await.ok()?;
                }
                _ => self.run(&mut connection, &head).await?,
            }
            if !head.keep_alive {
                return Some(());
            }
        }
    }

    /// Runs a request of a caller.
    async fn run(&self, connection: &mut Connection, head: &RequestHead) -> Option<()> {
        let id = head.headers.find("dotterelhoist-request-id")?.to_owned();
        let expected = head.headers.find("dotterelhoist-expect-instance")?;
        assert!(head.headers.find("authorization").is_none(), "a key was passed on");
        assert_eq!(head.headers.find("dotterelhoist-tenant"), Some("families"));
        if expected != self.id {
            let line = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
            return connection.write(line.as_bytes()).await.ok();
        }
        if let Ok(mut runs) = self.runs.lock() {
            *runs.entry(id.clone()).or_default() += 1;
        }
        let common =
            format!("Dotterelhoist-Request-Id: {id}\r\nDotterelhoist-Response-Seal: s.{id}");
        if self.service == "desk" {
            let line = format!("HTTP/1.1 200 OK\r\n{common}\r\nContent-Length: 4\r\n\r\ndone");
            return connection.write(line.as_bytes()).await.ok();
        }
        let kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked";
        let line = format!("HTTP/1.1 200 OK\r\n{common}\r\n{kind}\r\n\r\n");
        connection.write(line.as_bytes()).await.ok()?;
        let last = head.headers.find("last-event-id").and_then(|last| last.parse().ok());
        for event in last.unwrap_or(0) + 1..=EVENTS {
            Timer::after(EVENT).await;
            let event = format!("id: {event}\ndata: piece\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            connection.write(chunk.as_bytes()).await.ok()?;
        }
        connection.write(b"0\r\n\r\n").await.ok()
    }

    fn state(&self, shared: &Shared) -> Value {
        let inner = shared.lock().expect("no holder panics");
        let group = inner.group.as_ref().map(|(name, epoch, state)| {
            json!({ "name": name, "epoch": epoch, "rank": 0, "state": state })
        });
        json!({ "born": 1, "domain": "d0", "staged": inner.staged, "group": group, "models": [] })
    }
}

/// Carries out an order; joining takes no time here.
fn order(shared: &Shared, order: &Value) -> u16 {
    let mut inner = shared.lock().expect("no holder panics");
    let group = order["group"].as_str().unwrap_or_default().to_owned();
    let epoch = order["epoch"].as_u64().unwrap_or_default();
    let same = inner.group.as_ref().is_some_and(|(name, own, _)| *name == group && *own == epoch);
    match order["op"].as_str().unwrap_or_default() {
        "join" => {
            let members = order["members"].as_array().cloned().unwrap_or_default();
            inner.members = members.iter().filter_map(|id| Some(id.as_str()?.to_owned())).collect();
            inner.staged = vec![order["model"].as_str().unwrap_or_default().to_owned()];
            inner.group = Some((group, epoch, "ready".to_owned()));
            202
        }
        "open" if same => {
            inner.group = Some((group, epoch, "open".to_owned()));
            202
        }
        "close" if same => {
            inner.group = Some((group, epoch, "ready".to_owned()));
            200
        }
        "leave" if same => {
            inner.group = None;
            200
        }
        "stage" => 200,
        _ => 409,
    }
}

async fn beat(engine: Engine, address: SocketAddr, shared: Shared) {
    loop {
        let mut body = engine.state(&shared);
        if let Ok(mut inner) = shared.lock() {
            inner.sequence += 1;
            body["sequence"] = json!(inner.sequence);
        }
        body["service"] = json!(engine.service);
        body["address"] = json!(address.to_string());
        body["zone"] = json!("z");
        body["slots"] = json!(26);
        body["state"] = json!("ready");
        let path = format!("/Instances.Heartbeat/{}", engine.id);
        for control in &engine.controls {
            if post(*control, &path, &body.to_string()).await == Some(200) {
                break;
            }
        }
        Timer::after(HEARTBEAT).await;
    }
}

async fn post(address: SocketAddr, path: &str, body: &str) -> Option<u16> {
    let mut connection = Connection::open(TcpStream::connect(address).await.ok()?);
    let head = format!("POST {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n");
    let bytes = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    connection.write(bytes.as_bytes()).await.ok()?;
    Some(connection.read_response_head("POST", 8192).await.ok()?.status)
}
