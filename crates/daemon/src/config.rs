//! Builds and starts a daemon from its settings.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use dotterelhoist_core::event::Event;
use dotterelhoist_core::message::Hello;
use dotterelhoist_core::policy::Policy;
use dotterelhoist_core::replica::message::Voter;
use dotterelhoist_core::replica::{Identity, Timing};
use dotterelhoist_core::route::Strategy;
use dotterelhoist_core::state::{Content, LogSetup, Peer, Setup, State, StoredReplica};
use dotterelhoist_settings::{Log, LogContent, Settings};
use dotterelhoist_store::{identity, Files};
use smol::channel::{bounded, unbounded, Receiver};
use smol::net::TcpListener;

use crate::callers::{self, Callers, MAX_HELD_ANSWER_BYTES};
use crate::endpoints::Endpoints;
use crate::http::{self, Limits};
use crate::links::Links;
use crate::log_writer::Writer;
use crate::memory::Budget;
use crate::metrics::Meter;
use crate::operators::{read_tokens, Operators};
use crate::reactor::{random_u64, Handle, Reactor};
use crate::upstream::Pool;
use crate::{clock, journal};

/// Connections that may be open at the same time on the listener for endpoints, and as many on the
/// one for operators; any more are closed immediately.
const MAX_INTERNAL_CONNECTIONS: usize = 16_384;

/// Why a daemon can't start.
#[derive(Debug, Display)]
pub enum Error {
    /// can't listen on {address}: {error}
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// {0}
    Files(dotterelhoist_store::Error),
    /// can't read the operator tokens: {0}
    Tokens(std::io::Error),
    /// can't open the metrics socket: {0}
    Metrics(std::io::Error),
    /// can't start logging: {0}
    Logging(flexi_logger::FlexiLoggerError),
}

impl std::error::Error for Error {}

/// Configuration of a daemon that has not been started yet.
#[derive(Clone, Debug)]
pub struct Config {
    settings: Settings,
    /// Whether replicas in new data folders become initial voters of their logs.
    bootstrap: bool,
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    /// Sends events to the reactor.
    handle: Handle,
    /// Receives a message once the graceful shutdown is complete.
    stopped: Receiver<()>,
}

impl Config {
    /// Creates a configuration from settings that [`dotterelhoist_settings::parse`] has checked.
    pub fn new(settings: Settings) -> Config {
        Config { settings, bootstrap: false }
    }

    /// Sets whether replicas in new data folders become initial voters of their logs. Only for the
    /// first start of a deployment; later, a new replica must join as a learner.
    pub fn bootstrap(mut self, bootstrap: bool) -> Config {
        self.bootstrap = bootstrap;
        self
    }

    /// Binds the listeners, opens the files of the logs and starts the tasks of the daemon.
    ///
    /// # Errors
    ///
    /// Returns the first error; nothing is left running then.
    pub async fn spawn(self) -> Result<Daemon, Error> {
        let settings = &self.settings;
        let logger = journal::start(&settings.logging).map_err(Error::Logging)?;
        // The logger must run until the process ends.
        std::mem::forget(logger);
        let incarnation = clock::since_unix_epoch().as_millis() as u64;
        let (inputs, queue) = unbounded();
        let handle = Handle::new(inputs);
        let listeners = Listeners::bind(settings).await?;
        let meter = Meter::open(settings.metrics.as_ref()).map_err(Error::Metrics)?;
        let tokens = settings.operator_tokens.as_deref().map(read_tokens).transpose();
        let tokens = tokens.map_err(Error::Tokens)?;
        let mut writers = BTreeMap::new();
        let mut replicas = Vec::new();
        for log in &settings.logs {
            if let Some(files) = self.open_files(log)? {
                replicas.push(self.stored_replica(log, &files));
                writers.insert(
                    log.name.clone(),
                    Writer::spawn(log.name.clone(), files, handle.clone()),
                );
            }
        }
        let mut effects = Vec::new();
        let setup = self.setup(incarnation);
        let state = State::open(setup, replicas, clock::now(), &mut effects);
        let (stopped_sender, stopped) = bounded(1);
        let reactor = Reactor::new(state, handle.clone(), writers, meter, stopped_sender);
        smol::spawn(reactor.run(queue, effects)).detach();
        self.spawn_listeners(listeners, &handle, incarnation, tokens);
        Ok(Daemon { handle, stopped })
    }

    /// Opens the files of a log; `None` if this daemon has no data folder, or neither is a voter
    /// according to the settings nor has a replica. A replica that the settings no longer name may
    /// still be a voter.
    fn open_files(&self, log: &Log) -> Result<Option<Files>, Error> {
        let settings = &self.settings;
        let Some(folder) = settings.data_folder.as_ref() else { return Ok(None) };
        let path = folder.join(&*log.name);
        let is_voter = log.voters.iter().any(|voter| voter.daemon == settings.daemon);
        if !is_voter && !identity::is_stored(&path) {
            return Ok(None);
        }
        let initial_voters: Vec<Voter> = log.voters.iter().map(initial_voter).collect();
        let setup = identity::Setup {
            daemon: &settings.daemon,
            bootstrap: self.bootstrap,
            initial_voters: &initial_voters,
        };
        let mut files = Files::open(&path, setup, random_u64()).map_err(Error::Files)?;
        match files.unstored.take() {
            Some(error) => Err(Error::Files(error)),
            None => Ok(Some(files)),
        }
    }

    /// Identity and stored state of this daemon's replica of a log. A replica of another zone's
    /// placement log can't become leader.
    fn stored_replica(&self, log: &Log, files: &Files) -> StoredReplica {
        let settings = &self.settings;
        let own_voter = log.voters.iter().find(|voter| voter.daemon == settings.daemon);
        let is_other_zone = log.zone.as_ref().is_some_and(|zone| *zone != settings.zone);
        let identity = Identity {
            replica: files.identity.replica_name().into(),
            daemon: settings.daemon.clone(),
            weight: own_voter.map_or(0, |voter| voter.weight),
            electable: !is_other_zone,
        };
        StoredReplica { log: log.name.clone(), identity, stored: files.stored.clone() }
    }

    /// Setup of the reducer from the settings. `incarnation` distinguishes this start of the daemon
    /// from earlier ones.
    fn setup(&self, incarnation: u64) -> Setup {
        let settings = &self.settings;
        let peers = settings.peers.iter();
        let policy = &settings.policy;
        Setup {
            daemon: settings.daemon.clone(),
            incarnation,
            first_ticket: random_u64(),
            zone: settings.zone.clone(),
            zones: settings.zones.clone(),
            peers: peers
                .map(|peer| Peer { daemon: peer.daemon.clone(), zone: peer.zone.clone() })
                .collect(),
            logs: settings.logs.iter().map(log_setup).collect(),
            policy: Policy {
                downtime_weight: policy.downtime_weight,
                stranded_weight: policy.stranded_weight,
                load_seconds: policy.load_seconds,
                loads_per_minute: policy.loads_per_minute,
                queue_capacity: policy.queue as usize,
                retry_ratio: policy.retry_ratio,
                affinity_bound: policy.affinity_bound,
            },
            timing: Timing::default(),
            strategy: Strategy::Affinity,
        }
    }

    /// Starts the tasks that serve callers, endpoints, operators and other daemons.
    fn spawn_listeners(
        &self,
        listeners: Listeners,
        handle: &Handle,
        incarnation: u64,
        tokens: Option<Arc<[String]>>,
    ) {
        let settings = &self.settings;
        let limits = Limits {
            head_timeout: Duration::from_millis(settings.limits.head_timeout_ms),
            body_timeout: Duration::from_millis(settings.limits.body_timeout_ms),
            max_body_bytes: settings.limits.body_bytes,
            max_connections: settings.limits.connections as usize,
        };
        let internal_limits = Limits { max_connections: MAX_INTERNAL_CONNECTIONS, ..limits };
        let callers = Callers {
            answer_memory: Budget::open(MAX_HELD_ANSWER_BYTES),
            reactor: handle.clone(),
            pool: Pool::default(),
            limits,
            max_recorded_answer_bytes: settings.limits.held_answer_bytes,
        };
        smol::spawn(callers::listen(listeners.callers, callers)).detach();
        let endpoints = Endpoints { reactor: handle.clone(), incarnation, limits: internal_limits };
        smol::spawn(http::listen(listeners.endpoints, endpoints, internal_limits)).detach();
        let operators = Operators { reactor: handle.clone(), limits: internal_limits, tokens };
        smol::spawn(http::listen(listeners.operators, operators, internal_limits)).detach();
        let hello = Hello {
            daemon: settings.daemon.to_string(),
            incarnation,
            zone: settings.zone.to_string(),
            peers: settings.peers.iter().map(|peer| peer.daemon.to_string()).collect(),
        };
        let links = Links::new(handle.clone(), hello);
        for peer in &settings.peers {
            let dial = links.clone().dial(peer.daemon.clone(), peer.address);
            smol::spawn(dial).detach();
        }
        smol::spawn(links.listen(listeners.daemons)).detach();
    }
}

impl Daemon {
    /// Begins a graceful shutdown: new requests are refused, and those in flight run to their end.
    pub fn stop(&self) {
        self.handle.send_event(Event::Stop);
    }

    /// Waits until a graceful shutdown is complete.
    pub async fn stopped(&self) {
        self.stopped.recv().await.ok();
    }
}

/// Listening sockets that are bound, but from which no connection is accepted yet.
struct Listeners {
    callers: TcpListener,
    endpoints: TcpListener,
    operators: TcpListener,
    daemons: TcpListener,
}

impl Listeners {
    async fn bind(settings: &Settings) -> Result<Listeners, Error> {
        let listen = &settings.listen;
        Ok(Listeners {
            callers: bind(listen.callers).await?,
            endpoints: bind(listen.endpoints).await?,
            operators: bind(listen.operators).await?,
            daemons: bind(listen.daemons).await?,
        })
    }
}

/// Binds a listening socket.
async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen { address, error })
}

/// Initial voter that a voter of the settings becomes if its log is new. Replicas of initial voters
/// have the number 0, which follows `#` in their names.
fn initial_voter(voter: &dotterelhoist_settings::Voter) -> Voter {
    Voter {
        replica: format!("{}#0", voter.daemon),
        daemon: voter.daemon.to_string(),
        weight: voter.weight,
    }
}

/// Setup of a log from the settings.
fn log_setup(log: &Log) -> LogSetup {
    LogSetup {
        name: log.name.clone(),
        content: match (log.holds, &log.zone) {
            (LogContent::Placement, Some(zone)) => Content::Placement(zone.clone()),
            (LogContent::Claims, _) => Content::Claims,
            _ => Content::Configuration,
        },
        hosts: log.voters.iter().map(|voter| voter.daemon.clone()).collect(),
    }
}
