//! Builds a daemon from its settings.

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
use dotterelhoist_store::Files;
use smol::channel::{bounded, unbounded, Receiver};
use smol::net::TcpListener;

use crate::callers::{self, Callers};
use crate::endpoints::Endpoints;
use crate::files::Writer;
use crate::http::{self, Limits};
use crate::links::Links;
use crate::metrics::Meter;
use crate::operators::{read_tokens, Operators};
use crate::reactor::{draw, Desk, Reactor};
use crate::upstream::Pool;
use crate::{clock, journal};

/// Connections of endpoints and operators at once.
const INNER_CONNECTIONS: usize = 16_384;

/// Why a daemon can't start.
#[derive(Debug, Display)]
pub enum Error {
    /// can't listen on {address}: {error}
    Listen {
        /// Address.
        address: SocketAddr,
        /// Error of the system.
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

/// A daemon that is to be started.
#[derive(Clone, Debug)]
pub struct Config {
    settings: Settings,
    found: bool,
}

/// A running daemon.
#[derive(Debug)]
pub struct Handle {
    desk: Desk,
    stopped: Receiver<()>,
}

impl Config {
    /// Takes checked settings.
    pub fn new(settings: Settings) -> Config {
        Config { settings, found: false }
    }

    /// Makes new data folders those of founders. Only to be used when a deployment is first started.
    pub fn found(mut self, found: bool) -> Config {
        self.found = found;
        self
    }

    /// Binds the listeners, opens the files and starts the tasks of the daemon.
    ///
    /// # Errors
    ///
    /// Returns what stands in the way; nothing then runs.
    pub async fn spawn(self) -> Result<Handle, Error> {
        let settings = &self.settings;
        let logger = journal::open(&settings.logging).map_err(Error::Logging)?;
        std::mem::forget(logger);
        let incarnation = clock::unix().as_millis() as u64;
        let (inputs, queue) = unbounded();
        let desk = Desk::new(inputs);
        let listeners = Listeners::bind(settings).await?;
        let meter = Meter::open(settings.metrics.as_ref()).map_err(Error::Metrics)?;
        let tokens = settings.operator_tokens.as_deref().map(read_tokens).transpose();
        let tokens = tokens.map_err(Error::Tokens)?;
        let mut writers = BTreeMap::new();
        let mut opened = Vec::new();
        for log in &settings.logs {
            if let Some(files) = self.open_files(log)? {
                opened.push(self.describe(log, &files));
                writers
                    .insert(log.name.clone(), Writer::spawn(log.name.clone(), files, desk.clone()));
            }
        }
        let mut effects = Vec::new();
        let setup = self.setup(incarnation);
        let state = State::open(setup, opened, clock::now(), &mut effects);
        let (stopped_sender, stopped) = bounded(1);
        let reactor = Reactor::new(state, desk.clone(), writers, meter, stopped_sender);
        smol::spawn(reactor.run(queue, effects)).detach();
        self.spawn_listeners(listeners, &desk, incarnation, tokens);
        Ok(Handle { desk, stopped })
    }

    fn open_files(&self, log: &Log) -> Result<Option<Files>, Error> {
        let settings = &self.settings;
        let votes = log.voters.iter().any(|voter| voter.daemon == settings.daemon);
        let Some(folder) = settings.data_folder.as_ref().filter(|_| votes) else {
            return Ok(None);
        };
        let path = folder.join(&*log.name);
        let files = Files::open(&path, &settings.daemon, self.found, draw());
        files.map(Some).map_err(Error::Files)
    }

    fn describe(&self, log: &Log, files: &Files) -> StoredReplica {
        let settings = &self.settings;
        let own = log.voters.iter().find(|voter| voter.daemon == settings.daemon);
        let foreign = log.zone.as_ref().is_some_and(|zone| *zone != settings.zone);
        let identity = Identity {
            replica: files.identity.replica_name().into(),
            daemon: settings.daemon.clone(),
            weight: own.map_or(0, |voter| voter.weight),
            electable: !foreign,
        };
        StoredReplica { log: log.name.clone(), identity, stored: files.stored.clone() }
    }

    fn setup(&self, incarnation: u64) -> Setup {
        let settings = &self.settings;
        let peers = settings.peers.iter();
        let policy = &settings.policy;
        Setup {
            daemon: settings.daemon.clone(),
            incarnation,
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
            choice: Strategy::Affinity,
        }
    }

    fn spawn_listeners(
        &self,
        listeners: Listeners,
        desk: &Desk,
        incarnation: u64,
        tokens: Option<Arc<[String]>>,
    ) {
        let settings = &self.settings;
        let limits = Limits {
            head: Duration::from_millis(settings.limits.head_timeout_ms),
            body: Duration::from_millis(settings.limits.body_timeout_ms),
            body_bytes: settings.limits.body_bytes,
            connections: settings.limits.connections as usize,
        };
        let inner = Limits { connections: INNER_CONNECTIONS, ..limits };
        let callers = Callers {
            desk: desk.clone(),
            pool: Pool::default(),
            limits,
            held_bytes: settings.limits.held_answer_bytes,
        };
        smol::spawn(callers::listen(listeners.callers, callers)).detach();
        let endpoints = Endpoints { desk: desk.clone(), incarnation, limits: inner };
        smol::spawn(http::listen(listeners.endpoints, endpoints, inner)).detach();
        let operators = Operators { desk: desk.clone(), limits: inner, tokens };
        smol::spawn(http::listen(listeners.operators, operators, inner)).detach();
        let hello = Hello {
            daemon: settings.daemon.to_string(),
            incarnation,
            zone: settings.zone.to_string(),
            peers: settings.peers.iter().map(|peer| peer.daemon.to_string()).collect(),
        };
        let links = Links::new(desk.clone(), hello);
        for peer in &settings.peers {
            let dial = links.clone().dial(peer.daemon.clone(), peer.address);
            smol::spawn(dial).detach();
        }
        smol::spawn(links.listen(listeners.daemons)).detach();
    }
}

impl Handle {
    /// Begins a graceful shutdown: callers are refused, and what runs is finished.
    pub fn stop(&self) {
        self.desk.event(Event::Stop);
    }

    /// Waits until a graceful shutdown is complete.
    pub async fn stopped(&self) {
        self.stopped.recv().await.ok();
    }
}

/// Sockets that are bound but not yet served.
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

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen { address, error })
}

fn log_setup(log: &Log) -> LogSetup {
    let voters = log.voters.iter();
    LogSetup {
        name: log.name.clone(),
        content: match (log.holds, &log.zone) {
            (LogContent::Placement, Some(zone)) => Content::Placement(zone.clone()),
            (LogContent::Claims, _) => Content::Claims,
            _ => Content::Configuration,
        },
        initial_voters: voters
            .map(|voter| Voter {
                replica: format!("{}#0", voter.daemon),
                daemon: voter.daemon.to_string(),
                weight: voter.weight,
            })
            .collect(),
    }
}
