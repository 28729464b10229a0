//! Simulated endpoints: engines that form serving groups, and plain services.

use std::collections::BTreeMap;

use dotterelhoist_core::message::{Announcement, Order, Phase};

/// A request that runs on an endpoint.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: u64,
    /// Index of the daemon that sent the request.
    pub node: usize,
    /// Epoch of the daemon's process when it sent the request.
    pub epoch: u64,
    /// Id of the request at the daemon.
    pub request: u64,
    /// Index in `History::calls`.
    pub call: usize,
    /// Index in `History::executions`.
    pub execution: usize,
    /// Whether it continues if the daemon that sent it is killed.
    pub outlives_daemon: bool,
    /// Generation of the group that runs it.
    pub generation: u64,
}

/// An engine or plain service on one VM. Times are simulated time in milliseconds.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name of the VM, also used as the address.
    pub vm: String,
    /// Index in `world::ZONES`.
    pub zone: usize,
    pub fabric_domain: String,
    /// Whether it is a plain service rather than an engine.
    pub plain: bool,
    /// Whether it rejects orders with an older fencing number than it has seen, and requests for
    /// another generation.
    pub fences: bool,
    pub alive: bool,
    /// Whether it sends no announcements.
    pub silent: bool,
    /// Whether it announces that it is shutting down.
    pub leaving: bool,
    /// Whether the answers of its runs are lost on the way to the daemon.
    pub loses_answers: bool,
    /// Whether a request that is sent to it while it is down is reported as lost rather than as not
    /// sent, as happens on a connection that was already open.
    pub fails_after_send: bool,
    /// Until when it is suspended.
    pub suspended_until: u64,
    /// Incremented by each kill and restart, so that events of an earlier process are ignored.
    pub epoch: u64,
    /// Time to load a model.
    pub load_ms: u64,
    /// Mean duration of a run; each takes between 50 % and 150 % of it.
    pub service_ms: u64,
    /// Announced number of requests that it can run at a time.
    pub slots: u32,
    /// Announced duration of one step of token generation; a high value marks a slow engine.
    pub step_ms: u32,
    /// Serving group that it was ordered into; empty if none.
    pub group: String,
    /// Generation of the group as of the last order.
    pub generation: u64,
    /// Position among the members of the group; member 0 takes requests.
    pub rank: u32,
    /// Number of members of the group.
    pub members: u32,
    pub phase: Phase,
    /// Loaded model, or the one that is being loaded.
    pub model: String,
    /// Fencing number of the last order that was accepted.
    pub fencing: u64,
    pub runs: Vec<Run>,
    /// Daemon that last answered an announcement, the epoch of its process, and the stamp in that
    /// answer, which the next announcement to it echoes.
    pub stamp: Option<(usize, u64, u64)>,
    /// When it last announced itself as ready or draining, by group and generation.
    pub announced_ready: BTreeMap<(String, u64), u64>,
    /// When it first announced that it is shutting down.
    pub announced_leaving: Option<u64>,
    /// Announced number of the process, higher after each restart.
    incarnation: u64,
    /// Number of the last announcement.
    sequence: u64,
}

impl Endpoint {
    pub fn new(vm: &str, zone: usize, fabric_domain: &str) -> Endpoint {
        Endpoint {
            vm: vm.to_owned(),
            zone,
            fabric_domain: fabric_domain.to_owned(),
            plain: false,
            fences: true,
            alive: true,
            silent: false,
            leaving: false,
            loses_answers: false,
            fails_after_send: false,
            suspended_until: 0,
            epoch: 0,
            load_ms: 800,
            service_ms: 120,
            slots: 8,
            step_ms: 20,
            group: String::new(),
            generation: 0,
            rank: 0,
            members: 0,
            phase: Phase::Free,
            model: String::new(),
            fencing: 0,
            runs: Vec::new(),
            stamp: None,
            announced_ready: BTreeMap::new(),
            announced_leaving: None,
            incarnation: 1,
            sequence: 0,
        }
    }

    pub fn plain(vm: &str, zone: usize) -> Endpoint {
        Endpoint { plain: true, ..Endpoint::new(vm, zone, vm) }
    }

    /// Whether it runs a request that was dispatched to the given generation of its group.
    pub fn accepts_requests(&self, generation: u64) -> bool {
        let generation_matches = !self.fences || self.generation == generation;
        self.plain || (self.phase == Phase::Ready && self.rank == 0 && generation_matches)
    }

    /// Kills the process and returns the requests that were running.
    pub fn kill(&mut self) -> Vec<Run> {
        self.alive = false;
        self.epoch += 1;
        std::mem::take(&mut self.runs)
    }

    pub fn restart(&mut self, now: u64) {
        let old = self.clone();
        *self = Endpoint {
            plain: old.plain,
            fences: old.fences,
            epoch: old.epoch + 1,
            load_ms: old.load_ms,
            service_ms: old.service_ms,
            slots: old.slots,
            incarnation: now,
            sequence: old.sequence,
            announced_ready: old.announced_ready,
            ..Endpoint::new(&old.vm, old.zone, &old.fabric_domain)
        };
    }

    /// The next announcement, as sent at `now`.
    pub fn announcement(&mut self, now: u64) -> Announcement {
        self.finish_draining();
        self.sequence = self.sequence.max(now) + 1;
        if matches!(self.phase, Phase::Ready | Phase::Draining) && !self.group.is_empty() {
            self.announced_ready.insert((self.group.clone(), self.generation), now);
        }
        if self.leaving && self.announced_leaving.is_none() {
            self.announced_leaving = Some(now);
        }
        Announcement {
            vm: self.vm.clone(),
            address: self.vm.clone(),
            zone: crate::world::ZONES[self.zone].to_owned(),
            fabric_domain: self.fabric_domain.clone(),
            accelerators: 8,
            labels: BTreeMap::from([("plain".to_owned(), self.plain.to_string())]),
            incarnation: self.incarnation,
            sequence: self.sequence,
            group: self.group.clone(),
            generation: self.generation,
            rank: self.rank,
            members: self.members,
            phase: self.phase as i32,
            model: self.model.clone(),
            slots: self.slots,
            load: self.runs.len() as u32,
            leaving: self.leaving,
            fences: self.fences,
            plain: self.plain,
            step_ms: self.step_ms,
        }
    }

    /// Executes an order, unless it is outdated. Returns the generation if a model has to be
    /// loaded.
    pub fn apply_order(&mut self, order: &Order, _now: u64) -> Option<u64> {
        if self.fences && order.fencing < self.fencing {
            return None;
        }
        if order.fencing == self.fencing && order.generation < self.generation {
            return None;
        }
        self.fencing = order.fencing;
        if order.group.is_empty() {
            if !self.group.is_empty() {
                self.phase = Phase::Draining;
            }
            self.finish_draining();
            return None;
        }
        let unchanged = self.group == order.group && self.generation == order.generation;
        if unchanged && self.phase != Phase::Draining {
            return None;
        }
        self.group.clone_from(&order.group);
        self.generation = order.generation;
        self.rank = order.rank;
        self.members = order.members.len() as u32;
        if self.model == order.model {
            self.phase = Phase::Ready;
            return None;
        }
        self.phase = Phase::Loading;
        self.model.clone_from(&order.model);
        Some(order.generation)
    }

    /// Becomes ready, unless another order has arrived since loading began.
    pub fn finish_loading(&mut self, generation: u64) {
        if self.generation == generation && self.phase == Phase::Loading {
            self.phase = Phase::Ready;
        }
    }

    /// Leaves the group if it is draining and no request is running any more.
    fn finish_draining(&mut self) {
        if self.phase == Phase::Draining && self.runs.is_empty() {
            self.phase = Phase::Free;
            self.group.clear();
        }
    }
}
