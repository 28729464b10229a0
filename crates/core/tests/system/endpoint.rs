//! Fake endpoints.

use std::collections::BTreeMap;

use dotterelhoist_core::message::{Announcement, Order, Phase};

/// A request that runs on an endpoint.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: u64,
    pub node: usize,
    pub life: u64,
    pub request: u64,
    pub call: usize,
    pub execution: usize,
    /// Whether it goes on when its daemon has died.
    pub keeps_on: bool,
    pub generation: u64,
}

/// An engine or plain service on one VM.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub vm: String,
    pub zone: usize,
    pub domain: String,
    pub plain: bool,
    pub fences: bool,
    pub alive: bool,
    pub silent: bool,
    pub leaving: bool,
    pub loses_answers: bool,
    /// Whether requests to it look lost rather than not sent once it is dead, as they do on a
    /// connection that was open before.
    pub refuses_late: bool,
    pub frozen_until: u64,
    pub life: u64,
    pub load_ms: u64,
    pub service_ms: u64,
    pub slots: u32,
    pub step_ms: u32,
    pub group: String,
    pub generation: u64,
    pub rank: u32,
    pub members: u32,
    pub phase: Phase,
    pub model: String,
    pub fencing: u64,
    pub runs: Vec<Run>,
    /// Daemon, its life, and the stamp of its last answer.
    pub stamp: Option<(usize, u64, u64)>,
    /// When it last announced a group and generation as ready or draining.
    pub said_ready: BTreeMap<(String, u64), u64>,
    /// When it first announced that it is leaving.
    pub said_leaving: Option<u64>,
    incarnation: u64,
    sequence: u64,
}

impl Endpoint {
    pub fn new(vm: &str, zone: usize, domain: &str) -> Endpoint {
        Endpoint {
            vm: vm.to_owned(),
            zone,
            domain: domain.to_owned(),
            plain: false,
            fences: true,
            alive: true,
            silent: false,
            leaving: false,
            loses_answers: false,
            refuses_late: false,
            frozen_until: 0,
            life: 0,
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
            said_ready: BTreeMap::new(),
            said_leaving: None,
            incarnation: 1,
            sequence: 0,
        }
    }

    pub fn plain(vm: &str, zone: usize) -> Endpoint {
        Endpoint { plain: true, ..Endpoint::new(vm, zone, vm) }
    }

    pub fn takes_work(&self, generation: u64) -> bool {
        let agrees = !self.fences || self.generation == generation;
        self.plain || (self.phase == Phase::Ready && self.rank == 0 && agrees)
    }

    pub fn kill(&mut self) -> Vec<Run> {
        self.alive = false;
        self.life += 1;
        std::mem::take(&mut self.runs)
    }

    pub fn restart(&mut self, now: u64) {
        let old = self.clone();
        *self = Endpoint {
            plain: old.plain,
            fences: old.fences,
            life: old.life + 1,
            load_ms: old.load_ms,
            service_ms: old.service_ms,
            slots: old.slots,
            incarnation: now,
            sequence: old.sequence,
            said_ready: old.said_ready,
            ..Endpoint::new(&old.vm, old.zone, &old.domain)
        };
    }

    pub fn announcement(&mut self, now: u64) -> Announcement {
        self.finish_draining();
        self.sequence = self.sequence.max(now) + 1;
        if matches!(self.phase, Phase::Ready | Phase::Draining) && !self.group.is_empty() {
            self.said_ready.insert((self.group.clone(), self.generation), now);
        }
        if self.leaving && self.said_leaving.is_none() {
            self.said_leaving = Some(now);
        }
        Announcement {
            vm: self.vm.clone(),
            address: self.vm.clone(),
            zone: crate::world::ZONES[self.zone].to_owned(),
            fabric_domain: self.domain.clone(),
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

    /// Obeys an order; returns the generation whose model has to be loaded.
    pub fn obey(&mut self, order: &Order, _now: u64) -> Option<u64> {
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
        let same = self.group == order.group && self.generation == order.generation;
        if same && self.phase != Phase::Draining {
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

    pub fn loaded(&mut self, generation: u64) {
        if self.generation == generation && self.phase == Phase::Loading {
            self.phase = Phase::Ready;
        }
    }

    fn finish_draining(&mut self) {
        if self.phase == Phase::Draining && self.runs.is_empty() {
            self.phase = Phase::Free;
            self.group.clear();
        }
    }
}
