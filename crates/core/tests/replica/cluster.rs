//! A scheduled queue of messages, syncs and ticks between a few replicas.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use dotterelhoist_core::replica::message::{Entry, Payload, Voter};
use dotterelhoist_core::replica::{Identity, Output, Replica, Role, Stored, Timing, Write};
use dotterelhoist_core::Name;

/// Time between two ticks of a replica.
const TICK: u64 = 25;
/// Time between two proposals to a node that leads.
const PROPOSE: u64 = 40;
/// Applied entries between two snapshots.
const COMPACT: u64 = 12;

/// Something that goes wrong.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The process dies; of its unsynced writes, the first `kept` had reached the disk.
    Kill { node: usize, kept: usize },
    /// The process starts again from its files, if it is dead.
    Restart { node: usize },
    /// The process dies and its files are gone.
    LoseDisk { node: usize },
    /// The process stands still.
    Freeze { node: usize, millis: u64 },
    /// Only nodes on the same side reach each other; `side` is a set of nodes.
    Cut { side: u32 },
    /// Two nodes do not reach each other, whatever the others do.
    Part { a: usize, b: usize },
    /// All nodes reach each other.
    Heal,
}

#[derive(Clone, Debug)]
enum Happening {
    Message { to: usize, payload: Payload },
    Synced { node: usize, life: u64, sequence: u64 },
    Tick { node: usize },
    Propose { node: usize },
}

struct Node {
    replica: Option<Replica>,
    life: u64,
    disk: Stored,
    disk_number: u64,
    unsynced: Vec<(u64, Write)>,
    frozen_until: u64,
    /// Commands applied, in order, as the state machine.
    machine: Vec<u64>,
    proposed: BTreeMap<u64, (u64, u64)>,
}

/// Replicas, their disks, and the queue.
pub struct Net {
    founders: Vec<Voter>,
    nodes: Vec<Node>,
    queue: BTreeMap<(u64, u64), Happening>,
    now: u64,
    next: u64,
    random: u64,
    side: u32,
    parted: Vec<(usize, usize)>,
    command: u64,
    committed: BTreeMap<u64, Entry>,
    /// Whether nothing is proposed.
    pub quiet: bool,
    /// Milliseconds for which each write waits for its disk besides the usual few.
    pub disk_ms: u64,
    acknowledged: Vec<u64>,
    leaders: BTreeMap<u64, usize>,
}

fn timing() -> Timing {
    Timing::default()
}

impl Net {
    pub fn new(founders: Vec<Voter>, seed: u64) -> Net {
        let mut net = Net {
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            now: 3_600_000,
            next: 0,
            random: seed | 1,
            side: 0,
            parted: Vec::new(),
            command: 0,
            committed: BTreeMap::new(),
            quiet: false,
            disk_ms: 0,
            acknowledged: Vec::new(),
            leaders: BTreeMap::new(),
            founders,
        };
        for at in 0..net.founders.len() {
            net.nodes.push(Node {
                replica: None,
                life: 0,
                disk: Stored::default(),
                disk_number: 0,
                unsynced: Vec::new(),
                frozen_until: 0,
                machine: Vec::new(),
                proposed: BTreeMap::new(),
            });
            net.start(at);
            net.later(TICK + at as u64, Happening::Tick { node: at });
            net.later(PROPOSE + at as u64, Happening::Propose { node: at });
        }
        net
    }

    fn draw(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    fn later(&mut self, delay: u64, happening: Happening) {
        self.next += 1;
        self.queue.insert((self.now + delay, self.next), happening);
    }

    fn instant(&self) -> Instant {
        Instant::from_millis(self.now)
    }

    fn start(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.life += 1;
        node.machine.clear();
        node.proposed.clear();
        let identity = Identity {
            replica: format!("{at}#{}", node.disk_number).into(),
            daemon: at.to_string().into(),
            weight: self.founders[at].weight,
            electable: true,
        };
        let mut outputs = Vec::new();
        let stored = node.disk.clone();
        let now = Instant::from_millis(self.now);
        let founders = self.founders.clone();
        node.replica = Some(Replica::open(identity, founders, timing(), stored, now, &mut outputs));
        self.carry_out(at, outputs);
    }

    pub fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Kill { node, kept } => self.kill(node, kept),
            Fault::Restart { node } => {
                if self.nodes[node].replica.is_none() {
                    self.start(node);
                }
            }
            Fault::LoseDisk { node } => {
                self.kill(node, 0);
                self.nodes[node].disk = Stored::default();
                self.nodes[node].disk_number += 1;
            }
            Fault::Freeze { node, millis } => {
                self.nodes[node].frozen_until = self.now + millis;
            }
            Fault::Cut { side } => self.side = side,
            Fault::Part { a, b } => self.parted.push((a, b)),
            Fault::Heal => {
                self.side = 0;
                self.parted.clear();
            }
        }
    }

    fn kill(&mut self, at: usize, kept: usize) {
        let node = &mut self.nodes[at];
        node.replica = None;
        node.life += 1;
        for (_, write) in node.unsynced.drain(..).take(kept) {
            node.disk.apply(write);
        }
    }

    pub fn heal_all(&mut self) {
        self.apply(Fault::Heal);
        for at in 0..self.nodes.len() {
            self.nodes[at].frozen_until = 0;
            self.apply(Fault::Restart { node: at });
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span.as_millis() as u64;
        while let Some(((at, id), _)) = self.queue.first_key_value() {
            let (at, id) = (*at, *id);
            if at > end {
                break;
            }
            let Some(happening) = self.queue.remove(&(at, id)) else { break };
            self.now = at;
            self.happen(happening);
            self.check();
        }
        self.now = end;
    }

    fn happen(&mut self, happening: Happening) {
        let at = match &happening {
            Happening::Message { to, .. } => *to,
            Happening::Synced { node, .. }
            | Happening::Tick { node }
            | Happening::Propose { node } => *node,
        };
        let frozen_until = self.nodes[at].frozen_until;
        if frozen_until > self.now {
            let delay = frozen_until - self.now;
            self.later(delay, happening);
            return;
        }
        let (now, draw) = (self.instant(), self.draw());
        let mut outputs = Vec::new();
        match happening {
            Happening::Tick { node } => {
                self.later(TICK, Happening::Tick { node });
                if let Some(replica) = &mut self.nodes[node].replica {
                    replica.tick(now, draw, &mut outputs);
                }
            }
            Happening::Message { to, payload } => {
                if let Some(replica) = &mut self.nodes[to].replica {
                    replica.receive(now, draw, payload, &mut outputs);
                }
            }
            Happening::Synced { node, life, sequence } => {
                let node = &mut self.nodes[node];
                if node.life == life {
                    while node.unsynced.first().is_some_and(|(at, _)| *at <= sequence) {
                        let (_, write) = node.unsynced.remove(0);
                        node.disk.apply(write);
                    }
                    if let Some(replica) = &mut node.replica {
                        replica.mark_synced(now, sequence, &mut outputs);
                    }
                }
            }
            Happening::Propose { node } => {
                self.later(PROPOSE, Happening::Propose { node });
                if self.quiet {
                    return;
                }
                self.command += 1;
                let command = self.command;
                let node = &mut self.nodes[node];
                if let Some(replica) = &mut node.replica {
                    let bytes = command.to_le_bytes().to_vec();
                    if let Some(index) = replica.propose(now, bytes, &mut outputs) {
                        node.proposed.insert(index, (replica.term(), command));
                    }
                }
            }
        }
        self.carry_out(at, outputs);
    }

    fn carry_out(&mut self, at: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Persist(sequence, write) => {
                    self.nodes[at].unsynced.push((sequence, write));
                    let delay = self.disk_ms + 1 + self.draw() % 15;
                    let life = self.nodes[at].life;
                    self.later(delay, Happening::Synced { node: at, life, sequence });
                }
                Output::Send(to, payload) => self.send(at, &to, payload),
                Output::Apply(entry) => self.applied(at, entry),
                Output::Restore(snapshot) => {
                    let chunks = snapshot.state_machine.chunks_exact(8);
                    let number =
                        |chunk: &[u8]| u64::from_le_bytes(chunk.try_into().expect("8 bytes"));
                    self.nodes[at].machine = chunks.map(number).collect();
                }
            }
        }
        self.compact(at);
    }

    fn send(&mut self, from: usize, to: &Name, payload: Payload) {
        let to: usize = to.parse().expect("daemons are numbers here");
        let parted = self.parted.contains(&(from, to)) || self.parted.contains(&(to, from));
        let apart = parted || ((self.side >> from) ^ (self.side >> to)) & 1 == 1;
        let draw = self.draw();
        if apart || draw % 100 < 3 {
            return;
        }
        let delay = if draw % 100 < 90 { 1 + draw / 100 % 8 } else { draw / 100 % 300 };
        if draw / 7 % 100 < 4 {
            let again = Happening::Message { to, payload: payload.clone() };
            self.later(delay + draw / 11 % 500, again);
        }
        self.later(delay, Happening::Message { to, payload });
    }

    fn applied(&mut self, at: usize, entry: Entry) {
        let known = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(*known, entry, "node {at} applied another entry at {}", entry.index);
        let Ok(bytes) = <[u8; 8]>::try_from(entry.command.as_slice()) else { return };
        let command = u64::from_le_bytes(bytes);
        let node = &mut self.nodes[at];
        node.machine.push(command);
        if node.proposed.remove(&entry.index) == Some((entry.term, command)) {
            self.acknowledged.push(command);
        }
    }

    fn compact(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let Some(replica) = &mut node.replica else { return };
        let covered = replica.applied() + replica.tail_len() - replica.last_index();
        if covered < COMPACT {
            return;
        }
        let machine = node.machine.iter().flat_map(|command| command.to_le_bytes()).collect();
        let mut outputs = Vec::new();
        replica.compact(machine, &mut outputs);
        self.carry_out(at, outputs);
    }

    /// What must hold at each moment.
    fn check(&mut self) {
        let now = self.instant();
        let mut leading = Vec::new();
        for (at, node) in self.nodes.iter().enumerate() {
            let Some(replica) = &node.replica else { continue };
            if replica.role() == Role::Leader {
                let first = *self.leaders.entry(replica.term()).or_insert(at);
                assert_eq!(first, at, "two leaders in term {}", replica.term());
            }
            if replica.leads(now) {
                leading.push(at);
            }
        }
        assert!(leading.len() <= 1, "{leading:?} hold a lease at once");
    }

    /// What must hold once all faults are over.
    pub fn check_end(&mut self) {
        let acknowledged = self.acknowledged.clone();
        self.run(Duration::from_secs(2));
        assert!(self.leader().is_some(), "no leader after all faults are over");
        for (at, node) in self.nodes.iter().enumerate() {
            for command in &acknowledged {
                let held = node.machine.contains(command);
                assert!(held, "node {at} lacks the acknowledged command {command}");
            }
        }
    }

    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|at| self.leads(*at))
    }

    /// Lets time pass until some node leads, and returns it.
    pub fn run_until_led(&mut self) -> usize {
        for _ in 0..100 {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.run(Duration::from_millis(100));
        }
        panic!("no leader in ten seconds without faults");
    }

    pub fn leads(&self, at: usize) -> bool {
        let now = self.instant();
        self.nodes[at].replica.as_ref().is_some_and(|replica| replica.leads(now))
    }

    pub fn voters(&self) -> Vec<String> {
        let leader = self.leader().and_then(|at| self.nodes[at].replica.as_ref());
        let voters = leader.map(Replica::voters).unwrap_or_default();
        voters.iter().map(|voter| voter.replica.clone()).collect()
    }
}
