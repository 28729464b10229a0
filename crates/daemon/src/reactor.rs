//! The task that runs the reducer and carries out its effects.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use dotterelhoist_core::effect::{Answer, Effect, Effects};
use dotterelhoist_core::event::{Event, Operation};
use dotterelhoist_core::message::{Body, Hello};
use dotterelhoist_core::request::{Decision, Request};
use dotterelhoist_core::state::State;
use dotterelhoist_core::Name;
use smol::channel::{Receiver, Sender};

use crate::files::Writer;
use crate::metrics::Meter;
use crate::{clock, endpoints, journal};

/// Time between two ticks of the reducer.
const TICK: Duration = Duration::from_millis(50);

/// Something for the reactor.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event without anybody who waits.
    Event(Event),
    /// A request whose task waits for decisions.
    Request(Box<Request>, Slot),
    /// An operator's question.
    Operation(Operation, Sender<Answer>),
    /// A new connection to another daemon.
    LinkUp(Hello, Outlet),
    /// A connection to another daemon has ended.
    LinkDown(Name, u64),
}

/// How the task of a request is reached.
#[derive(Debug)]
pub(crate) struct Slot {
    /// Takes decisions.
    pub decisions: Sender<Named>,
    /// Is closed to stop forwarding at once.
    pub abort: Sender<()>,
    /// Moment until which the answer may be forwarded.
    pub permit: Permit,
}

/// A moment that the reactor moves on and the task of a request checks before it forwards anything.
/// A process that stood still thus finds its permission expired before it acts on what had arrived.
#[derive(Clone, Debug, Default)]
pub(crate) struct Permit {
    until: Arc<AtomicU64>,
}

impl Permit {
    pub(crate) fn extend(&self, until: Instant) {
        self.until.store(until.as_millis(), Ordering::Relaxed);
    }

    pub(crate) fn holds(&self) -> bool {
        clock::now().as_millis() < self.until.load(Ordering::Relaxed)
    }
}

/// A decision with the request id that the caller is told.
#[derive(Debug)]
pub(crate) struct Named {
    /// Request id.
    pub name: Name,
    /// The decision.
    pub decision: Decision,
}

/// The sending side of a link.
#[derive(Debug)]
pub(crate) struct Outlet {
    /// Number of the connection.
    pub connection: u64,
    /// Takes what is to be sent.
    pub bodies: Sender<Body>,
}

/// A cheap handle through which the listeners reach the reactor.
#[derive(Clone, Debug)]
pub(crate) struct Desk {
    inputs: Sender<Input>,
    serving: Arc<AtomicBool>,
    next: Arc<AtomicU64>,
}

impl Desk {
    pub(crate) fn new(inputs: Sender<Input>) -> Desk {
        let serving = Arc::new(AtomicBool::new(false));
        Desk { inputs, serving, next: Arc::new(AtomicU64::new(1)) }
    }

    /// A number that is unique within this run of the daemon.
    pub(crate) fn number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether the daemon answers callers.
    pub(crate) fn is_serving(&self) -> bool {
        self.serving.load(Ordering::Relaxed)
    }

    pub(crate) fn put(&self, input: Input) {
        self.inputs.try_send(input).ok();
    }

    pub(crate) fn event(&self, event: Event) {
        self.put(Input::Event(event));
    }
}

/// The reactor's side of everything that carries out effects.
pub(crate) struct Reactor {
    pub state: State,
    pub desk: Desk,
    pub writers: BTreeMap<Name, Writer>,
    pub meter: Meter,
    pub stopped: Sender<()>,
    slots: HashMap<u64, Slot>,
    outlets: BTreeMap<Name, Outlet>,
    operators: HashMap<u64, Sender<Answer>>,
}

impl Reactor {
    pub(crate) fn new(
        state: State,
        desk: Desk,
        writers: BTreeMap<Name, Writer>,
        meter: Meter,
        stopped: Sender<()>,
    ) -> Reactor {
        Reactor {
            state,
            desk,
            writers,
            meter,
            stopped,
            slots: HashMap::new(),
            outlets: BTreeMap::new(),
            operators: HashMap::new(),
        }
    }

    /// Runs until the desk is gone. The clock is read again before each event, so that a process
    /// that was frozen sees its leases as expired before it acts on anything that waited.
    pub(crate) async fn run(mut self, inputs: Receiver<Input>, first: Effects) {
        let mut effects = first;
        self.carry_out(&mut effects);
        smol::spawn(tick(self.desk.clone())).detach();
        while let Ok(input) = inputs.recv().await {
            self.take(input, &mut effects);
            self.carry_out(&mut effects);
            self.desk.serving.store(self.state.is_serving(), Ordering::Relaxed);
        }
    }

    fn take(&mut self, input: Input, effects: &mut Effects) {
        let now = clock::now();
        let event = match input {
            Input::Event(event) => event,
            Input::Request(request, slot) => {
                self.slots.insert(request.id, slot);
                Event::RequestArrived(request)
            }
            Input::Operation(operation, answer) => {
                let ticket = self.desk.number();
                self.operators.insert(ticket, answer);
                Event::OperationRequested { ticket, operation }
            }
            Input::LinkUp(hello, outlet) => {
                self.outlets.insert(hello.daemon.as_str().into(), outlet);
                Event::LinkUp(hello)
            }
            Input::LinkDown(peer, connection) => {
                let current = self.outlets.get(&peer).map(|outlet| outlet.connection);
                if current != Some(connection) {
                    return;
                }
                self.outlets.remove(&peer);
                Event::LinkDown(peer)
            }
        };
        self.state.apply(now, event, effects);
    }

    fn carry_out(&mut self, effects: &mut Effects) {
        for effect in effects.drain(..) {
            match effect {
                Effect::Send { to, body } => {
                    let full = self
                        .outlets
                        .get(&to)
                        .is_some_and(|outlet| outlet.bodies.try_send(body).is_err());
                    if full {
                        close(&self.outlets, &to);
                    }
                }
                Effect::CloseLink(peer) => close(&self.outlets, &peer),
                Effect::Persist { log, sequence, write } => {
                    if let Some(writer) = self.writers.get(&log) {
                        writer.write(sequence, write);
                    }
                }
                Effect::Decide { request, request_id, decision } => {
                    if let Some(slot) = self.slots.get(&request) {
                        if let Decision::Dispatch(dispatch) = &decision {
                            slot.permit.extend(dispatch.forward_until);
                        }
                        slot.decisions.try_send(Named { name: request_id, decision }).ok();
                    }
                }
                Effect::CloseRequest { request } => {
                    self.slots.remove(&request);
                }
                Effect::AbortAnswer { request } => {
                    if let Some(slot) = self.slots.get(&request) {
                        slot.abort.close();
                    }
                }
                Effect::ExtendPermission { request, until } => {
                    if let Some(slot) = self.slots.get(&request) {
                        slot.permit.extend(until);
                    }
                }
                Effect::SendOrder(addressed) => {
                    smol::spawn(endpoints::give_order(addressed)).detach();
                }
                Effect::Answer { ticket, answer } => {
                    if let Some(operator) = self.operators.remove(&ticket) {
                        operator.try_send(answer).ok();
                    }
                }
                Effect::Count(counter) => self.meter.count(counter),
                Effect::Log(event) => journal::write(&event),
                Effect::Stopped => {
                    self.stopped.try_send(()).ok();
                }
            }
        }
    }
}

fn close(outlets: &BTreeMap<Name, Outlet>, peer: &Name) {
    if let Some(outlet) = outlets.get(peer) {
        outlet.bodies.close();
    }
}

async fn tick(desk: Desk) {
    loop {
        smol::Timer::after(TICK).await;
        desk.event(Event::Tick { draw: draw() });
    }
}

/// A random number from the system.
pub(crate) fn draw() -> u64 {
    getrandom::u64().unwrap_or_else(|_| clock::unix().as_nanos() as u64)
}
