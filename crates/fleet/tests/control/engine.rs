//! A simulated model engine, which executes orders according to the published protocol.

use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use dotterelhoist_fleet::endpoint::{Heartbeat, Membership, Stage};
use dotterelhoist_fleet::order::{Order, Outcome, Task};
use dotterelhoist_fleet::probe;
use dotterelhoist_fleet::Name;

use crate::cluster::{HEARTBEAT_INTERVAL, STALL_TIMEOUT};
use crate::service::WARM_LOAD;

/// Time to load a model that is still in memory.
const RELOAD: Duration = Duration::from_millis(200);

/// A simulated model engine, which is one endpoint.
#[derive(Debug)]
pub struct Engine {
    pub id: Name,
    /// IP address and port; that of an engine which has ended may be used again.
    pub address: String,
    pub domain: String,
    pub started_unix_ms: u64,
    pub sequence: u64,
    /// Whether its process has terminated.
    pub dead: bool,
    /// Whether it is partitioned from the control daemons; connections to it are reset.
    pub partitioned: bool,
    /// Whether it makes no progress and answers nothing; connections to it are accepted.
    pub silent: bool,
    /// Whether it makes no progress, sends no heartbeats and answers probes with an error.
    pub answers_errors: bool,
    pub membership: Option<Membership>,
    pub members: Vec<Name>,
    /// When the model is loaded; for an open head, when its group was last complete.
    pub ready_at: Instant,
    /// Model of the last group that it joined since its start, which is still in memory.
    pub last_served: Option<String>,
    /// Model whose weights are on its VM.
    pub staged: Option<String>,
    /// Model that its VM is copying from the weight store, and when that is done.
    pub copying: Option<(String, Instant)>,
    pub heartbeat_due: Instant,
    /// Highest epoch of an order to join.
    pub highest_epoch: u64,
    /// Number of orders that have begun something since its start.
    pub orders: u64,
    /// Whether it compares the expected number of orders with its own, and reports that.
    pub counts_orders: bool,
    /// When its process terminates after it has deregistered.
    pub stops_at: Option<Instant>,
}

impl Engine {
    /// Starts an engine with a number in a fabric domain.
    pub fn open(at: usize, domain: &str, now: Instant) -> Engine {
        Engine {
            id: format!("e{at:02}").into(),
            address: format!("10.9.0.1:{at:02}"),
            domain: domain.to_owned(),
            started_unix_ms: 1,
            sequence: 0,
            dead: false,
            partitioned: false,
            silent: false,
            answers_errors: false,
            membership: None,
            members: Vec::new(),
            ready_at: now,
            last_served: None,
            staged: None,
            copying: None,
            heartbeat_due: now + Duration::from_millis(at as u64 * 25),
            highest_epoch: 0,
            orders: 0,
            counts_orders: true,
            stops_at: None,
        }
    }

    /// Executes an order. `load_time` is the time to load a model from the weight store.
    pub fn execute(&mut self, order: &Order, now: Instant, load_time: Duration) -> Outcome {
        if self.dead {
            return Outcome::Unanswered;
        }
        let differs = order.expected.is_some_and(|expected| expected != self.orders);
        if self.counts_orders && differs {
            return Outcome::Unfit;
        }
        let was_member = self.membership.is_some();
        let outcome = self.carry_out(&order.task, now, load_time);
        let left = was_member && self.membership.is_none();
        self.orders += u64::from(left || outcome == Outcome::Taken);
        outcome
    }

    /// Carries out a task.
    fn carry_out(&mut self, task: &Task, now: Instant, load_time: Duration) -> Outcome {
        match task {
            Task::Join { group, epoch, model, members } => {
                if *epoch < self.highest_epoch {
                    return Outcome::Outdated;
                }
                if self.is_member(group, *epoch) {
                    return Outcome::Done;
                }
                self.highest_epoch = *epoch;
                self.load(model, now, load_time);
                self.members = members.to_vec();
                self.membership = Some(Membership {
                    group: group.to_string(),
                    epoch: *epoch,
                    stage: Stage::Joining as i32,
                    rank: members.iter().position(|id| *id == self.id).map(|rank| rank as u32),
                });
                Outcome::Taken
            }
            Task::Open { group, epoch } => {
                if !self.is_member(group, *epoch) || self.stage() != Some(Stage::Ready) {
                    return Outcome::Unfit;
                }
                self.set_stage(Stage::Open, now);
                self.ready_at = now;
                Outcome::Taken
            }
            Task::Close { group, epoch, .. } => {
                if !self.is_member(group, *epoch) {
                    return Outcome::Unfit;
                }
                self.set_stage(Stage::Ready, now);
                Outcome::Done
            }
            Task::Leave { group, epoch } => {
                if !self.is_member(group, *epoch) {
                    return Outcome::Unfit;
                }
                self.membership = None;
                self.heartbeat_due = now;
                Outcome::Done
            }
            Task::Stage { model } => {
                self.copying = Some((model.to_string(), now + load_time));
                Outcome::Taken
            }
        }
    }

    /// Advances what takes time. `complete` states whether all members of its group are in it.
    pub fn step(&mut self, now: Instant, complete: bool) {
        if self.stops_at.is_some_and(|at| now >= at) {
            self.dead = true;
        }
        if !self.is_running() {
            return;
        }
        if self.copying.as_ref().is_some_and(|(_, done)| now >= *done) {
            self.staged = self.copying.take().map(|(model, _)| model);
            self.heartbeat_due = now;
        }
        if self.stage() == Some(Stage::Joining) && now >= self.ready_at {
            self.set_stage(Stage::Ready, now);
        }
        match self.stage() {
            Some(Stage::Open) if complete => self.ready_at = now,
            Some(Stage::Open) if now.since(self.ready_at) > STALL_TIMEOUT => {
                self.set_stage(Stage::Broken, now);
            }
            _ => {}
        }
    }

    /// The engine with group and epoch, if it is ready in a group.
    pub fn ready_membership(&self) -> Option<(Name, String, u64)> {
        let membership = self.membership.as_ref().filter(|_| self.is_running())?;
        let ready = membership.stage() == Stage::Ready;
        ready.then(|| (self.id.clone(), membership.group.clone(), membership.epoch))
    }

    /// The next heartbeat, if it is due and can be sent.
    pub fn due_heartbeat(&mut self, now: Instant) -> Option<Heartbeat> {
        let is_due = now >= self.heartbeat_due && self.stops_at.is_none();
        if !is_due || self.partitioned || !self.is_running() {
            return None;
        }
        self.heartbeat_due = now + HEARTBEAT_INTERVAL;
        self.sequence += 1;
        Some(self.heartbeat())
    }

    /// Whether it makes progress.
    fn is_running(&self) -> bool {
        !self.dead && !self.silent && !self.answers_errors
    }

    fn is_member(&self, group: &Name, epoch: u64) -> bool {
        let is_group = |own: &Membership| *own.group == **group && own.epoch == epoch;
        self.membership.as_ref().is_some_and(is_group)
    }

    fn stage(&self) -> Option<Stage> {
        self.membership.as_ref().map(Membership::stage)
    }

    fn set_stage(&mut self, stage: Stage, now: Instant) {
        if let Some(membership) = &mut self.membership {
            membership.stage = stage as i32;
            self.heartbeat_due = now;
        }
    }

    /// Starts to load a model, from memory, the VM or the weight store.
    fn load(&mut self, model: &Name, now: Instant, load_time: Duration) {
        let span = match self.last_served.as_deref() {
            Some(served) if served == &**model => RELOAD,
            _ if self.staged.as_deref() == Some(model) => WARM_LOAD,
            _ => load_time,
        };
        self.ready_at = now + span;
        self.staged = Some(model.to_string());
        self.last_served = Some(model.to_string());
        self.heartbeat_due = now;
    }

    pub fn answer_probe(&self) -> probe::Outcome {
        if self.partitioned {
            return probe::Outcome::Refused;
        }
        if self.dead || self.silent {
            return probe::Outcome::Unanswered;
        }
        if self.answers_errors {
            return probe::Outcome::Answered;
        }
        let orders = Some(self.orders).filter(|_| self.counts_orders);
        probe::Outcome::Report(Box::new(Heartbeat { orders, ..self.heartbeat() }))
    }

    pub fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            id: self.id.to_string(),
            service: "llm".into(),
            address: self.address.clone(),
            zone: if self.domain == "d1" { "y".into() } else { "z".into() },
            domain: self.domain.clone(),
            started_unix_ms: self.started_unix_ms,
            sequence: self.sequence,
            slots: 26,
            draining: false,
            staged: self.staged.iter().cloned().collect(),
            membership: self.membership.clone(),
            gone: false,
            orders: None,
        }
    }
}
