//! An entry daemon that reaches no endpoint relays its callers' requests over another one.
//!
//! It has a stand-in for a control daemon, which lists endpoints that refuse connections and names the
//! entry daemon of a [`Deployment`] as a relay.

use std::net::SocketAddr;
use std::process::Child;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use dotterelhoist_fleet::message::{Body, Frame, Status, Target, View};
use dotterelhoist_fleet::patch::{Original, Patch};
use dotterelhoist_wire::Connection;
use rstest::rstest;
use smol::net::{TcpListener, TcpStream};
use smol::Timer;

use super::daemon::{Build, PORTS};
use super::deployment::{document, event_ids, Deployment};
use super::engine::unlimited;
use super::scripts::{Next, Script, Scripts, ID};
use super::{RECOVERY_TIMEOUT, REQUESTS};

/// Version of the configuration document of the stand-in, which is that of the deployment.
const VERSION: u64 = 7;
/// Time between two statuses of the stand-in.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);
/// An address at which nothing listens.
const REFUSING: &str = "127.0.0.1:1";

/// An entry daemon that reaches no endpoint; dropping it kills its process.
struct CutOff {
    ip: String,
    daemon: Child,
    /// Closed on drop, which ends the thread of the stand-in.
    _stop: smol::channel::Sender<()>,
}

impl CutOff {
    /// Starts the stand-in and the entry daemon, and waits until the daemon serves a request.
    fn start(deployment: &Deployment) -> CutOff {
        CutOff::start_with_relay(deployment, deployment.entry_ip())
    }

    /// Like [`CutOff::start`], with another relay.
    fn start_with_relay(deployment: &Deployment, relay: &str) -> CutOff {
        let [control_ip, ip] = unique_ips();
        let address: SocketAddr = format!("{control_ip}:{}", PORTS.links).parse().expect("valid");
        let (stop, stopped) = smol::channel::bounded::<()>(1);
        let relay = relay.to_owned();
        let listener = smol::block_on(TcpListener::bind(address)).expect("the address is free");
        std::thread::spawn(move || {
            let executor = Rc::new(smol::LocalExecutor::new());
            let serve = accept(listener, executor.clone(), control_ip, relay);
            let stop_requested = async {
                stopped.recv().await.ok();
            };
            smol::block_on(executor.run(futures_lite::FutureExt::or(serve, stop_requested)));
        });
        let daemon = deployment.spawn_with_seeds(Build::Present, &ip, false, &[address]);
        let cut_off = CutOff { ip, daemon, _stop: stop };
        let served = deployment.poll(RECOVERY_TIMEOUT, |deployment| {
            let reply = deployment.stream_through(&cut_off.ip, &deployment.unique_label(), None);
            reply.filter(|reply| reply.status == 200)
        });
        assert!(served.is_some(), "no request is relayed");
        cut_off
    }
}

impl Drop for CutOff {
    fn drop(&mut self) {
        self.daemon.kill().ok();
        self.daemon.wait().ok();
    }
}

/// A stand-in for a relay, which answers each request by a script or with a response that an endpoint has
/// signed; it stops when it is dropped.
struct ScriptedRelay {
    ip: String,
    scripts: Scripts,
    /// Closed on drop, which ends its thread.
    _stop: smol::channel::Sender<()>,
}

impl ScriptedRelay {
    fn start() -> ScriptedRelay {
        let [ip, _] = unique_ips();
        let address: SocketAddr = format!("{ip}:{}", PORTS.relays).parse().expect("valid");
        let listener = smol::block_on(TcpListener::bind(address)).expect("the address is free");
        let (stop, stopped) = smol::channel::bounded::<()>(1);
        let scripts = Scripts::default();
        let relay = ScriptedRelay { ip, scripts: scripts.clone(), _stop: stop };
        std::thread::spawn(move || {
            let executor = Rc::new(smol::LocalExecutor::new());
            let accept = async {
                while let Ok((stream, _)) = listener.accept().await {
                    let scripts = scripts.clone();
                    executor.spawn(async move { answer_all(stream, &scripts).await }).detach();
                }
            };
            let stop_requested = async {
                stopped.recv().await.ok();
            };
            smol::block_on(executor.run(futures_lite::FutureExt::or(accept, stop_requested)));
        });
        relay
    }
}

/// Answers the requests on a connection; those without a script, and further exchanges, at once.
async fn answer_all(stream: TcpStream, scripts: &Scripts) -> Option<()> {
    let mut connection = dotterelhoist_gateway::http::Connection::open(stream);
    for carried in 0u64.. {
        let head = connection.read_request_head(16 << 10).await.ok()?;
        connection.read_body(head.framing, 1 << 20, &mut unlimited()).await.ok()?;
        let id = head.headers.find("dotterelhoist-request-id")?.to_owned();
        let script = scripts.next(&id).filter(|script| script.next != Next::Run || carried > 0);
        if let Some(script) = script {
            if !script.play(&mut connection, &id).await? {
                continue;
            }
        }
        let line = match &*head.target {
            "/report" => format!(
                "HTTP/1.1 404 Not Found\r\nDotterelhoist-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            ),
            _ => signed_response(&id),
        };
        connection.write(line.as_bytes()).await.ok()?;
    }
    None
}

/// A response that an endpoint has signed.
fn signed_response(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nDotterelhoist-Request-Id: {id}\r\nDotterelhoist-Response-Seal: s\r\n\
         Content-Length: 4\r\n\r\ndone"
    )
}

/// Two IP addresses that no other process of this test uses.
fn unique_ips() -> [String; 2] {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let (high, low) = (process / 250 % 4 + 251, process % 250 + 1);
    [1, 2].map(|index| format!("127.{high}.{low}.{}", number * 2 + index))
}

/// Accepts the links of entry daemons.
async fn accept(
    listener: TcpListener,
    executor: Rc<smol::LocalExecutor<'static>>,
    control_ip: String,
    relay: String,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let (control_ip, relay) = (control_ip.clone(), relay.clone());
        executor.spawn(async move { link(stream, &control_ip, &relay).await }).detach();
    }
}

/// Sends the document, the view, and the status again and again; ignores what the daemon sends.
async fn link(stream: TcpStream, control_ip: &str, relay: &str) -> Option<()> {
    let mut connection: Connection<TcpStream, Frame> = Connection::open(stream);
    let body = document(VERSION, 0).to_string().into();
    let patch = Patch::between(&Original::default(), &Original { version: VERSION, body });
    send(&mut connection, Body::Document(patch.ok()?)).await?;
    loop {
        let status = Status {
            up_to_date: true,
            version: VERSION,
            control_daemons: vec![control_ip.to_owned()],
            entry_daemons: 2,
            leads: true,
            relays: vec![relay.to_owned()],
            ..Status::default()
        };
        send(&mut connection, Body::Status(status)).await?;
        send(&mut connection, Body::View(View { sequence: 1, targets: targets() })).await?;
        Timer::after(STATUS_INTERVAL).await;
    }
}

async fn send(connection: &mut Connection<TcpStream, Frame>, body: Body) -> Option<()> {
    connection.feed(&Frame { body: Some(body) }).await.ok()?;
    connection.flush().await.ok()
}

/// Endpoints of both services, which refuse connections.
fn targets() -> Vec<Target> {
    let target = |number: u32, service: &str, model: &str| Target {
        id: format!("none-{service}-{number}"),
        address: REFUSING.to_owned(),
        service: service.to_owned(),
        model: model.to_owned(),
        group: if model.is_empty() { String::new() } else { format!("g{number}") },
        zone: "z".to_owned(),
        slots: 26,
        started_unix_ms: 1,
    };
    (0..4).flat_map(|number| [target(number, "llm", "m"), target(number, "desk", "")]).collect()
}

/// Streams and bookings get the answers of endpoints, unchanged and once.
#[test]
fn requests_at_an_entry_daemon_that_reaches_no_endpoint_are_relayed() {
    let deployment = Deployment::start();
    let cut_off = CutOff::start(&deployment);
    for number in 0..REQUESTS {
        let id = format!("relayed-{number}");
        let reply = match number % 2 {
            0 => deployment.stream_through(&cut_off.ip, &id, None),
            _ => deployment.book_through(&cut_off.ip, &id),
        };
        let reply = reply.expect("a complete response");
        assert_eq!((reply.status, reply.id), (200, Some(id.clone())));
        assert!(reply.sealed, "the response lacks the seal of an endpoint");
        if number % 2 == 0 {
            assert_eq!(event_ids(&reply.body), [1, 2, 3, 4, 5], "{}", reply.body);
        }
        assert_eq!(deployment.run_count(&id), 1);
    }
    deployment.check_run_counts();
}

#[test]
fn request_with_a_wrong_key_is_refused_by_the_daemon_that_would_relay_it() {
    let deployment = Deployment::start();
    let cut_off = CutOff::start(&deployment);
    let reply = deployment.stream_through(&cut_off.ip, "wrong-key", Some("nobody"));
    assert_eq!(reply.map(|reply| reply.status), Some(401));
}

/// The relay is stopped: what its daemon can't answer must not look as if it had run.
#[test]
fn requests_are_refused_as_not_run_once_the_relay_is_gone() {
    let mut deployment = Deployment::start();
    let cut_off = CutOff::start(&deployment);
    deployment.terminate_entry();
    assert!(deployment.wait_entry_exit(), "the entry daemon did not exit with code 0 in time");
    let reply = deployment.book_through(&cut_off.ip, "late-1").expect("a complete response");
    assert!(matches!(reply.status, 429 | 503), "{}", reply.status);
    assert_eq!(deployment.run_count("late-1"), 0);
}

/// Refusals in a row after which no request is relayed any more.
const LAST_REFUSALS: usize = 4;

/// Sends requests one after the other until they are refused, and checks what became of each.
fn send_until_refused(deployment: &Deployment, ip: &str, label: &str, stream: bool) -> usize {
    let mut served = 0;
    let mut refused_in_a_row = 0;
    for number in 0.. {
        let id = format!("{label}{number}-{}", if stream { 0 } else { 1 });
        let reply = match stream {
            true => deployment.stream_through(ip, &id, None),
            false => deployment.book_through(ip, &id),
        };
        let reply = reply.unwrap_or_else(|| panic!("{id} got no complete answer"));
        match reply.status {
            200 => {
                assert!(!stream || event_ids(&reply.body) == [1, 2, 3, 4, 5], "{id}: {reply:?}");
                served += 1;
                refused_in_a_row = 0;
            }
            429 | 503 => {
                assert_eq!(deployment.run_count(&id), 0, "{id} was refused and has run");
                refused_in_a_row += 1;
            }
            other => panic!("{id}: {other}"),
        }
        if refused_in_a_row == LAST_REFUSALS {
            break;
        }
    }
    served
}

/// Guards against LOST: requests that a stopping relay had taken late were cut at the end of its grace period.
#[rstest]
fn requests_over_a_relay_that_stops_are_answered_or_refused(#[values(true, false)] reload: bool) {
    let mut deployment = Deployment::start();
    let cut_off = CutOff::start(&deployment);
    std::thread::scope(|scope| {
        let callers =
            [("a", false), ("b", false), ("c", true), ("d", true)].map(|(label, stream)| {
                let (deployment, ip) = (&deployment, cut_off.ip.as_str());
                scope.spawn(move || send_until_refused(deployment, ip, label, stream))
            });
        let begun = deployment.poll(RECOVERY_TIMEOUT, |deployment| {
            ["a9-1", "b9-1", "c3-0"].iter().all(|id| deployment.run_count(id) > 0).then_some(())
        });
        assert!(begun.is_some(), "no requests are relayed");
        if reload {
            deployment.signal_entry(rustix::process::Signal::HUP);
        }
        deployment.terminate_entry();
        for caller in callers {
            assert!(caller.join().expect("all requests are answered or refused") > 0);
        }
    });
    assert!(deployment.wait_entry_exit(), "the entry daemon did not exit with code 0 in time");
    deployment.check_run_counts();
}

/// Guards against REFUSED over one hop: bytes like a refusal ahead of the response of a relay, or of the endpoint behind it.
#[test]
fn refusal_that_belongs_to_no_request_is_not_taken_for_the_answer_of_a_relay() {
    let deployment = Deployment::start();
    let relay = ScriptedRelay::start();
    let cut_off = CutOff::start_with_relay(&deployment, &relay.ip);
    let refusals = [
        "HTTP/1.1 503 Shed\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 429 Shed\r\nRetry-After: 30\r\nContent-Length: 4\r\n\r\nfull",
        "HTTP/1.1 503 Shed\r\nDotterelhoist-Request-Id: e-1\r\nContent-Length: 0\r\n\r\n",
    ];
    for (number, refusal) in refusals.iter().cycle().take(9).enumerate() {
        let earlier = deployment.book_through(&cut_off.ip, "e-1").expect("a complete response");
        assert_eq!(earlier.status, 200);
        let id = format!("x{number}-1");
        relay.scripts.plan(&id, [Script::run(*refusal, Next::Run)]);
        let reply = deployment.book_through(&cut_off.ip, &id).expect("a complete response");
        assert_eq!((reply.status, &*reply.body), (200, "done"), "{refusal}");
    }
    let refusal = Script::refuse(refusals[0], Next::Request);
    relay.scripts.plan("y-1", [refusal]);
    let reply = deployment.book_through(&cut_off.ip, "y-1").expect("a complete response");
    assert_eq!(reply.status, 503, "a true refusal is passed on");
}

/// Guards against MIXED: a relay that ends while it writes must not leave an answer that looks complete.
#[test]
fn response_of_a_relay_that_stops_early_is_no_answer() {
    let deployment = Deployment::start();
    let relay = ScriptedRelay::start();
    let cut_off = CutOff::start_with_relay(&deployment, &relay.ip);
    let response = signed_response(ID);
    for length in (0..response.len()).step_by(7).chain(response.len() - 8..response.len()) {
        let next = if length % 2 == 0 { Next::Close } else { Next::Reset };
        let status = deployment.poll(RECOVERY_TIMEOUT, |deployment| {
            let id = format!("{}1", deployment.unique_label());
            relay.scripts.plan(&id, [Script::run(&response[..length], next)]);
            let reply = deployment.book_through(&cut_off.ip, &id).expect("a complete response");
            // After lost answers the daemon may pause before it sends more to the relay.
            (reply.status != 503 && reply.status != 429).then_some(reply.status)
        });
        assert_eq!(status, Some(502), "{:?} then {next:?}", &response[..length]);
    }
}
