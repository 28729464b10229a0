//! Calls of operators that a control daemon forwards to the leader, before and after the daemon is killed.
//!
//! The leader is a stand-in that echoes the number of a call and nothing else, as older builds do.

use std::net::SocketAddr;
use std::process::Child;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dotterelhoist_core::replica::message::{Append, Payload, Voter};
use dotterelhoist_fleet::message::{Body, Frame, Hello, Replication, Reply};
use dotterelhoist_wire::Connection;
use rstest::rstest;
use smol::net::{TcpListener, TcpStream};
use smol::Timer;
use tempfile::TempDir;

use super::callers::send;
use super::daemon::{self, address, unique_ips, Build, Settings, PORTS};
use super::deployment::document;

/// Time between two rounds of messages of the stand-in.
const ROUND: Duration = Duration::from_millis(20);
/// Time after which a test fails if the daemon has not done what is expected.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Calls that are forwarded before the daemon is killed.
const CALLS: u64 = 3;

/// A call of an operator.
#[derive(Clone, Copy, Debug)]
enum Call {
    Put,
    Get,
}

/// What the stand-in does, and what it has received.
#[derive(Debug, Default)]
struct Conduct {
    /// Whether it sends heartbeats of the log as its leader.
    leads: AtomicBool,
    /// Whether it answers calls.
    answers: AtomicBool,
    /// Tickets of the calls that it has received.
    received: Mutex<Vec<u64>>,
    /// Tickets of calls that it answers again and again.
    repeated: Mutex<Vec<u64>>,
}

/// A control daemon with a stand-in for the leader; dropping it ends both.
struct Plane {
    folder: TempDir,
    /// Addresses of the daemon, the stand-in, and a third voter that does not run.
    ips: Vec<String>,
    daemon: Option<Child>,
    conduct: Arc<Conduct>,
    /// Closed on drop, which ends the thread of the stand-in.
    _stop: smol::channel::Sender<()>,
}

impl Plane {
    fn start() -> Plane {
        let ips = unique_ips(3);
        let conduct = Arc::new(Conduct::default());
        let (stop, stopped) = smol::channel::bounded::<()>(1);
        let listener = smol::block_on(TcpListener::bind(address(&ips[1], PORTS.links)));
        let leader = Leader {
            ip: ips[1].clone(),
            daemon: address(&ips[0], PORTS.links),
            conduct: conduct.clone(),
        };
        std::thread::spawn(move || {
            let executor = Rc::new(smol::LocalExecutor::new());
            let leader = Rc::new(leader);
            let listener = listener.expect("the address is free");
            executor.spawn(leader.clone().accept(listener, executor.clone())).detach();
            executor.spawn(leader.send_rounds()).detach();
            let stop_requested = async {
                stopped.recv().await.ok();
            };
            smol::block_on(executor.run(stop_requested));
        });
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let mut plane = Plane { folder, ips, daemon: None, conduct, _stop: stop };
        plane.start_daemon();
        plane
    }

    fn start_daemon(&mut self) {
        let seeds: Vec<SocketAddr> = self.ips.iter().map(|ip| address(ip, PORTS.control)).collect();
        let settings = Settings { ip: &self.ips[0], control: true, seeds: &seeds, bootstrap: true };
        self.daemon = Some(daemon::spawn(Build::Present, self.folder.path(), &settings));
    }

    /// Forwards calls of this kind, kills the daemon before any of them is answered, and starts it.
    fn kill_with_calls_in_flight(&mut self, call: Call) {
        self.conduct.leads.store(true, Ordering::Relaxed);
        let before = self.received().len();
        let control = address(&self.ips[0], PORTS.control);
        let expected = before + CALLS as usize;
        let callers: Vec<_> = (0..CALLS)
            .map(|number| {
                let conduct = self.conduct.clone();
                std::thread::spawn(move || {
                    while conduct.received.lock().expect("no panic").len() < expected {
                        call.send(control, number);
                    }
                })
            })
            .collect();
        let end = Instant::now() + WAIT_TIMEOUT;
        while self.received().len() < expected {
            assert!(Instant::now() < end, "the daemon forwards no calls");
            std::thread::sleep(ROUND);
        }
        self.conduct.leads.store(false, Ordering::Relaxed);
        daemon::kill(&mut self.daemon);
        for caller in callers {
            caller.join().expect("no panic");
        }
        let received = self.received();
        self.conduct.repeated.lock().expect("no panic").extend(received);
        self.start_daemon();
    }

    fn received(&self) -> Vec<u64> {
        self.conduct.received.lock().expect("no panic").clone()
    }

    /// Makes a call until the daemon answers it, and returns the status.
    fn call(&self, call: Call) -> u16 {
        let control = address(&self.ips[0], PORTS.control);
        let end = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < end {
            if let Some(status) = call.send(control, CALLS) {
                return status;
            }
        }
        panic!("the daemon does not answer");
    }
}

impl Drop for Plane {
    fn drop(&mut self) {
        daemon::print_logs(self.folder.path(), &self.ips[..1]);
        daemon::kill(&mut self.daemon);
    }
}

impl Call {
    /// Makes the call and returns the status of the response, none without one. `number` is the
    /// version of the document of a [`Call::Put`].
    fn send(self, control: SocketAddr, number: u64) -> Option<u16> {
        let reply = match self {
            Call::Put => {
                let body = document(number + 1, 0).to_string();
                send(control, "POST", "/Config.Put", "", &body)
            }
            Call::Get => send(control, "GET", "/Config.Get", "", ""),
        };
        reply.map(|reply| reply.status)
    }
}

/// The stand-in for the leader.
struct Leader {
    ip: String,
    /// Address at which the daemon accepts links.
    daemon: SocketAddr,
    conduct: Arc<Conduct>,
}

impl Leader {
    /// Accepts the links of the daemon.
    async fn accept(
        self: Rc<Self>,
        listener: TcpListener,
        executor: Rc<smol::LocalExecutor<'static>>,
    ) {
        while let Ok((stream, _)) = listener.accept().await {
            let leader = self.clone();
            executor.spawn(async move { leader.receive(stream).await }).detach();
        }
    }

    /// Records the calls that arrive on a link, and answers pings.
    async fn receive(&self, stream: TcpStream) -> Option<()> {
        let mut connection: Connection<TcpStream, Frame> = Connection::accept(stream);
        loop {
            match connection.receive().await.ok()??.body {
                Some(Body::Ping(_)) => feed(&mut connection, Body::Pong(true)).await?,
                Some(Body::Call(call)) => {
                    self.conduct.received.lock().ok()?.push(call.ticket);
                    if self.conduct.answers.load(Ordering::Relaxed) {
                        self.conduct.repeated.lock().ok()?.push(call.ticket);
                    }
                }
                _ => {}
            }
        }
    }

    /// Sends rounds of messages to the daemon, on a new link whenever one has ended.
    async fn send_rounds(self: Rc<Self>) {
        loop {
            if let Ok(stream) = TcpStream::connect(self.daemon).await {
                self.send_rounds_on(stream).await;
            }
            Timer::after(ROUND).await;
        }
    }

    async fn send_rounds_on(&self, stream: TcpStream) -> Option<()> {
        let mut connection: Connection<TcpStream, Frame> = Connection::open(stream);
        let hello = Hello { daemon: self.ip.clone(), zone: "z".to_owned(), control: true };
        feed(&mut connection, Body::Hello(hello)).await?;
        loop {
            if self.conduct.leads.load(Ordering::Relaxed) {
                feed(&mut connection, self.heartbeat()).await?;
            }
            let tickets = self.conduct.repeated.lock().ok()?.clone();
            for ticket in tickets {
                let reply = Reply { ticket, answered: true, document: None };
                feed(&mut connection, Body::Reply(reply)).await?;
            }
            Timer::after(ROUND).await;
        }
    }

    /// Heartbeat of a leader whose log is empty.
    fn heartbeat(&self) -> Body {
        let leader =
            Voter { replica: format!("{}#0", self.ip), daemon: self.ip.clone(), weight: 1 };
        let append = Append { term: 1, leader: Some(leader), sent_at: 1, ..Append::default() };
        Body::Replication(Replication {
            from: self.ip.clone(),
            payload: Some(Payload::Append(append)),
        })
    }
}

async fn feed(connection: &mut Connection<TcpStream, Frame>, body: Body) -> Option<()> {
    connection.feed(&Frame { body: Some(body) }).await.ok()?;
    connection.flush().await.ok()
}

/// A daemon took the answer to a call of its process before, and acknowledged what nobody had stored.
#[rstest]
#[case::change_after_change(Call::Put, Call::Put, 1)]
#[case::change_after_read(Call::Get, Call::Put, 1)]
#[case::read_after_change(Call::Put, Call::Get, 1)]
#[case::killed_twice(Call::Put, Call::Put, 2)]
fn call_never_gets_the_answer_to_a_call_of_the_process_before(
    #[case] before: Call,
    #[case] after: Call,
    #[case] kills: usize,
) {
    let mut plane = Plane::start();
    for _ in 0..kills {
        plane.kill_with_calls_in_flight(before);
    }
    let forwarded = plane.received().len();
    for _ in 0..CALLS {
        assert_eq!(plane.call(after), 503, "a call was answered that nobody got");
    }
    assert_eq!(plane.received().len(), forwarded);
    plane.conduct.leads.store(true, Ordering::Relaxed);
    let end = Instant::now() + WAIT_TIMEOUT;
    while plane.received().len() == forwarded {
        assert!(Instant::now() < end, "the daemon forwards no calls");
        assert_eq!(plane.call(after), 503, "a call was answered by nobody");
    }
    plane.conduct.answers.store(true, Ordering::Relaxed);
    assert_eq!(plane.call(after), 200);
}
