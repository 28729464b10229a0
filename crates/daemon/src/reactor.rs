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

use crate::log_writer::Writer;
use crate::metrics::Meter;
use crate::{clock, endpoints, journal};

/// Interval of [`Event::Tick`], on which the reducer checks timeouts and does its periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Input of the reactor, which turns it into an event and keeps the channels that come with it.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event for the reducer whose sender doesn't wait for an answer.
    Event(Event),
    /// A caller's request, and the handle of the task that waits for instructions on it.
    Request(Box<Request>, TaskHandle),
    /// An operator's query or change, and the channel for the answer.
    Operation(Operation, Sender<Answer>),
    /// A connection to another daemon has been opened; replaces an older one to the same daemon.
    LinkUp(Hello, Link),
    /// The connection with this number to another daemon has ended; ignored if a newer connection
    /// to that daemon has replaced it.
    LinkDown(Name, u64),
}

/// The reactor's means to control the task that handles a request.
#[derive(Debug)]
pub(crate) struct TaskHandle {
    /// Sends instructions to the task; if the channel is full, the instruction is dropped.
    pub instructions: Sender<Instruction>,
    /// Closed to stop the current attempt and the forwarding of its answer at once.
    pub abort: Sender<()>,
    /// Permission to forward the answer, shared with the task.
    pub permission: Permission,
}

/// Permission of a request's task to forward the answer until a certain time. The reactor extends
/// it, and the task checks it before it forwards anything. A process that was suspended thus finds
/// the permission expired and doesn't forward data that arrived in the meantime.
#[derive(Clone, Debug, Default)]
pub(crate) struct Permission {
    /// Reading of [`clock::now`], in milliseconds, at which the permission expires; 0 until it is
    /// first extended.
    expires_at_ms: Arc<AtomicU64>,
}

impl Permission {
    /// Sets the time at which the permission expires.
    pub(crate) fn extend(&self, until: Instant) {
        self.expires_at_ms.store(until.as_millis(), Ordering::Relaxed);
    }

    /// Whether the permission has been extended at least once and has not expired.
    pub(crate) fn is_valid(&self) -> bool {
        clock::now().as_millis() < self.expires_at_ms.load(Ordering::Relaxed)
    }
}

/// A decision of the reducer, together with the request id.
#[derive(Debug)]
pub(crate) struct Instruction {
    /// Request id, returned to the caller in a header.
    pub request_id: Name,
    /// What the task has to do.
    pub decision: Decision,
}

/// The sending side of a link.
#[derive(Debug)]
pub(crate) struct Link {
    /// Number of the connection, which distinguishes it from an earlier one to the same daemon.
    pub connection: u64,
    /// Queue of messages to send; once it is closed, the connection ends after they are sent.
    pub messages: Sender<Body>,
}

/// Handle through which listeners, links and log writers send input to the reactor. Cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    inputs: Sender<Input>,
    /// Whether the daemon accepts requests; updated by the reactor after each input.
    serving: Arc<AtomicBool>,
    /// Next number that [`Handle::next_number`] returns.
    next_number: Arc<AtomicU64>,
}

impl Handle {
    pub(crate) fn new(inputs: Sender<Input>) -> Handle {
        let serving = Arc::new(AtomicBool::new(false));
        Handle { inputs, serving, next_number: Arc::new(AtomicU64::new(1)) }
    }

    /// Returns a number that is unique until the daemon restarts, for a request, connection or
    /// operation.
    pub(crate) fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether the daemon accepts requests of callers.
    pub(crate) fn is_serving(&self) -> bool {
        self.serving.load(Ordering::Relaxed)
    }

    /// Queues an input without waiting; it is dropped if the reactor has ended.
    pub(crate) fn send(&self, input: Input) {
        self.inputs.try_send(input).ok();
    }

    /// Queues an event whose sender doesn't wait for an answer.
    pub(crate) fn send_event(&self, event: Event) {
        self.send(Input::Event(event));
    }
}

/// Applies inputs to the reducer, and owns what is needed to carry out its effects.
pub(crate) struct Reactor {
    pub state: State,
    pub handle: Handle,
    /// Writer thread of each log that this daemon has a replica of, by name of the log.
    pub writers: BTreeMap<Name, Writer>,
    pub meter: Meter,
    /// Notified once the graceful shutdown is complete.
    pub stopped: Sender<()>,
    /// Tasks of open requests, by number of the request.
    tasks: HashMap<u64, TaskHandle>,
    /// Open links, by name of the daemon.
    links: BTreeMap<Name, Link>,
    /// Channels for the answers to operators, by the ticket that identifies the operation in events
    /// and effects.
    pending_operations: HashMap<u64, Sender<Answer>>,
}

impl Reactor {
    pub(crate) fn new(
        state: State,
        handle: Handle,
        writers: BTreeMap<Name, Writer>,
        meter: Meter,
        stopped: Sender<()>,
    ) -> Reactor {
        Reactor {
            state,
            handle,
            writers,
            meter,
            stopped,
            tasks: HashMap::new(),
            links: BTreeMap::new(),
            pending_operations: HashMap::new(),
        }
    }

    /// Carries out the effects of opening the state, then applies inputs as they arrive. The clock
    /// is read again before each input, so that a process that was suspended finds its leases
    /// expired before it acts on input that was queued in the meantime.
    pub(crate) async fn run(mut self, inputs: Receiver<Input>, initial_effects: Effects) {
        let mut effects = initial_effects;
        self.carry_out(&mut effects);
        smol::spawn(send_ticks(self.handle.clone())).detach();
        while let Ok(input) = inputs.recv().await {
            self.apply(input, &mut effects);
            self.carry_out(&mut effects);
            self.handle.serving.store(self.state.is_serving(), Ordering::Relaxed);
        }
    }

    /// Turns an input into an event and applies it to the reducer.
    fn apply(&mut self, input: Input, effects: &mut Effects) {
        let now = clock::now();
        let event = match input {
            Input::Event(event) => event,
            Input::Request(request, task) => {
                self.tasks.insert(request.id, task);
                Event::RequestArrived(request)
            }
            Input::Operation(operation, answer) => {
                let ticket = self.handle.next_number();
                self.pending_operations.insert(ticket, answer);
                Event::OperationRequested { ticket, operation }
            }
            Input::LinkUp(hello, link) => {
                self.links.insert(hello.daemon.as_str().into(), link);
                Event::LinkUp(hello)
            }
            Input::LinkDown(peer, connection) => {
                let current_connection = self.links.get(&peer).map(|link| link.connection);
                if current_connection != Some(connection) {
                    return;
                }
                self.links.remove(&peer);
                Event::LinkDown(peer)
            }
        };
        self.state.apply(now, event, effects);
    }

    /// Carries out effects in their order. A link whose queue is full is closed.
    fn carry_out(&mut self, effects: &mut Effects) {
        for effect in effects.drain(..) {
            match effect {
                Effect::Send { to, body } => {
                    let send_failed = self
                        .links
                        .get(&to)
                        .is_some_and(|link| link.messages.try_send(body).is_err());
                    if send_failed {
                        close_link(&self.links, &to);
                    }
                }
                Effect::CloseLink(peer) => close_link(&self.links, &peer),
                Effect::Persist { log, sequence, write } => {
                    if let Some(writer) = self.writers.get(&log) {
                        writer.write(sequence, write);
                    }
                }
                Effect::Decide { request, request_id, decision } => {
                    if let Some(task) = self.tasks.get(&request) {
                        if let Decision::Dispatch(dispatch) = &decision {
                            task.permission.extend(dispatch.forward_until);
                        }
                        task.instructions.try_send(Instruction { request_id, decision }).ok();
                    }
                }
                Effect::CloseRequest { request } => {
                    self.tasks.remove(&request);
                }
                Effect::AbortAnswer { request } => {
                    if let Some(task) = self.tasks.get(&request) {
                        task.abort.close();
                    }
                }
                Effect::ExtendPermission { request, until } => {
                    if let Some(task) = self.tasks.get(&request) {
                        task.permission.extend(until);
                    }
                }
                Effect::SendOrder(addressed) => {
                    smol::spawn(endpoints::send_order(addressed)).detach();
                }
                Effect::Answer { ticket, answer } => {
                    if let Some(sender) = self.pending_operations.remove(&ticket) {
                        sender.try_send(answer).ok();
                    }
                }
                Effect::Count(counter) => self.meter.increment(counter),
                Effect::Log(event) => journal::write(&event),
                Effect::Stopped => {
                    self.stopped.try_send(()).ok();
                }
            }
        }
    }
}

/// Closes the queue of a link, which ends its connection once the queued messages are sent.
fn close_link(links: &BTreeMap<Name, Link>, peer: &Name) {
    if let Some(link) = links.get(peer) {
        link.messages.close();
    }
}

/// Sends [`Event::Tick`] at [`TICK_INTERVAL`].
async fn send_ticks(handle: Handle) {
    loop {
        smol::Timer::after(TICK_INTERVAL).await;
        handle.send_event(Event::Tick { random: random_u64() });
    }
}

/// Random number from the operating system, or the nanoseconds of the wall clock if it returns an
/// error.
pub(crate) fn random_u64() -> u64 {
    getrandom::u64().unwrap_or_else(|_| clock::since_unix_epoch().as_nanos() as u64)
}
