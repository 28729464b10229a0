//! A deterministic simulation of the replicas of one log, with their network and disks.
//!
//! Events run in the order of simulated time in milliseconds. Delays and losses of messages come
//! from a seeded generator.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use dotterelhoist_core::replica::message::{Entry, Payload, Voter};
use dotterelhoist_core::replica::{Identity, Output, Replica, Role, Stored, Timing, Write};
use dotterelhoist_core::Name;

/// Interval between two ticks of a replica.
const TICK_MS: u64 = 25;
/// Interval between two proposals to each node; only a leader accepts them.
const PROPOSAL_INTERVAL_MS: u64 = 40;
/// Number of applied entries after which a replica takes a snapshot.
const ENTRIES_PER_SNAPSHOT: u64 = 12;

/// A fault to inject, or its repair.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The process is killed; of its unsynced writes, only the first `kept_writes` reach the disk.
    Kill { node: usize, kept_writes: usize },
    /// The process starts again from its files, unless it is running.
    Restart { node: usize },
    /// The process is killed and its files are lost.
    LoseDisk { node: usize },
    /// The process is suspended for `millis`; messages that arrive meanwhile are handled
    /// afterwards.
    Suspend { node: usize, millis: u64 },
    /// The nodes in the bit set `side` and the other nodes cannot reach each other.
    Partition { side: u32 },
    /// Two nodes cannot reach each other; other links are not affected.
    CutLink { a: usize, b: usize },
    /// Ends all partitions and link cuts.
    Heal,
}

/// An event in the queue.
#[derive(Clone, Debug)]
enum Event {
    Message {
        to: usize,
        payload: Payload,
    },
    /// The writes up to `sequence` are synced; ignored if the node's epoch is no longer `epoch`.
    Synced {
        node: usize,
        epoch: u64,
        sequence: u64,
    },
    Tick {
        node: usize,
    },
    Propose {
        node: usize,
    },
}

/// A process with its disk.
struct Node {
    /// The running replica, or `None` while the process is down.
    replica: Option<Replica>,
    /// Incremented by each start and kill, so that syncs of an earlier process are ignored.
    epoch: u64,
    /// All writes that have been synced.
    disk: Stored,
    /// Incremented when the disk is lost; part of the replica's name.
    disk_generation: u64,
    /// Writes that are not synced yet, with their sequence numbers.
    unsynced: Vec<(u64, Write)>,
    /// Simulated time until which the process is suspended.
    suspended_until: u64,
    /// State of the state machine: all applied commands in order.
    applied_commands: Vec<u64>,
    /// Term and command of each proposal that is not applied yet, by index.
    proposed: BTreeMap<u64, (u64, u64)>,
}

/// All replicas of one log, their network and the event queue.
pub struct Cluster {
    initial_voters: Vec<Voter>,
    nodes: Vec<Node>,
    /// Events by simulated time and event id.
    queue: BTreeMap<(u64, u64), Event>,
    /// Simulated time in milliseconds.
    now: u64,
    last_event_id: u64,
    rng_state: u64,
    /// Bit set of the nodes on one side of the partition; 0 without one.
    side: u32,
    cut_links: Vec<(usize, usize)>,
    last_command: u64,
    /// Every entry that any node has applied, by index.
    committed: BTreeMap<u64, Entry>,
    /// Suspends all proposals.
    pub proposals_paused: bool,
    /// Added to the 1 ms to 15 ms that the sync of each write takes.
    pub extra_disk_delay_ms: u64,
    /// Commands that the node that proposed them has applied. It would have acknowledged them to
    /// its caller, so they must not be lost.
    acknowledged: Vec<u64>,
    /// First node seen as leader of each term.
    leader_of_term: BTreeMap<u64, usize>,
}

fn timing() -> Timing {
    Timing::default()
}

impl Cluster {
    pub fn new(initial_voters: Vec<Voter>, seed: u64) -> Cluster {
        let mut cluster = Cluster {
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            now: 3_600_000,
            last_event_id: 0,
            rng_state: seed | 1,
            side: 0,
            cut_links: Vec::new(),
            last_command: 0,
            committed: BTreeMap::new(),
            proposals_paused: false,
            extra_disk_delay_ms: 0,
            acknowledged: Vec::new(),
            leader_of_term: BTreeMap::new(),
            initial_voters,
        };
        for id in 0..cluster.initial_voters.len() {
            cluster.nodes.push(Node {
                replica: None,
                epoch: 0,
                disk: Stored {
                    initial_voters: cluster.initial_voters.clone(),
                    ..Stored::default()
                },
                disk_generation: 0,
                unsynced: Vec::new(),
                suspended_until: 0,
                applied_commands: Vec::new(),
                proposed: BTreeMap::new(),
            });
            cluster.start(id);
            cluster.schedule(TICK_MS + id as u64, Event::Tick { node: id });
            cluster.schedule(PROPOSAL_INTERVAL_MS + id as u64, Event::Propose { node: id });
        }
        cluster
    }

    fn next_random(&mut self) -> u64 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        self.rng_state
    }

    /// Queues an event that runs `delay` milliseconds from now.
    fn schedule(&mut self, delay: u64, event: Event) {
        self.last_event_id += 1;
        self.queue.insert((self.now + delay, self.last_event_id), event);
    }

    fn instant(&self) -> Instant {
        Instant::from_millis(self.now)
    }

    fn start(&mut self, id: usize) {
        let node = &mut self.nodes[id];
        node.epoch += 1;
        node.applied_commands.clear();
        node.proposed.clear();
        let identity = Identity {
            replica: format!("{id}#{}", node.disk_generation).into(),
            daemon: id.to_string().into(),
            weight: self.initial_voters[id].weight,
            electable: true,
        };
        let mut outputs = Vec::new();
        let stored = node.disk.clone();
        let now = Instant::from_millis(self.now);
        let mut replica = Replica::open(identity, timing(), stored, now, &mut outputs);
        for voter in &self.initial_voters {
            replica.add_contact(voter.daemon.as_str().into());
        }
        node.replica = Some(replica);
        self.execute_outputs(id, outputs);
    }

    pub fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Kill { node, kept_writes } => self.kill(node, kept_writes),
            Fault::Restart { node } => {
                if self.nodes[node].replica.is_none() {
                    self.start(node);
                }
            }
            Fault::LoseDisk { node } => {
                self.kill(node, 0);
                self.nodes[node].disk = Stored::default();
                self.nodes[node].disk_generation += 1;
            }
            Fault::Suspend { node, millis } => {
                self.nodes[node].suspended_until = self.now + millis;
            }
            Fault::Partition { side } => self.side = side,
            Fault::CutLink { a, b } => self.cut_links.push((a, b)),
            Fault::Heal => {
                self.side = 0;
                self.cut_links.clear();
            }
        }
    }

    fn kill(&mut self, id: usize, kept_writes: usize) {
        let node = &mut self.nodes[id];
        node.replica = None;
        node.epoch += 1;
        for (_, write) in node.unsynced.drain(..).take(kept_writes) {
            node.disk.apply(write);
        }
    }

    /// Ends all partitions, link cuts and suspensions, and restarts the processes that are down.
    pub fn heal_all(&mut self) {
        self.apply(Fault::Heal);
        for id in 0..self.nodes.len() {
            self.nodes[id].suspended_until = 0;
            self.apply(Fault::Restart { node: id });
        }
    }

    /// Runs all events of the given span of simulated time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span.as_millis() as u64;
        while let Some(((time, event_id), _)) = self.queue.first_key_value() {
            let (time, event_id) = (*time, *event_id);
            if time > end {
                break;
            }
            let Some(event) = self.queue.remove(&(time, event_id)) else { break };
            self.now = time;
            self.execute(event);
            self.check_invariants();
        }
        self.now = end;
    }

    /// Executes an event, or postpones it until its node is no longer suspended.
    fn execute(&mut self, event: Event) {
        let id = match &event {
            Event::Message { to, .. } => *to,
            Event::Synced { node, .. } | Event::Tick { node } | Event::Propose { node } => *node,
        };
        let suspended_until = self.nodes[id].suspended_until;
        if suspended_until > self.now {
            let delay = suspended_until - self.now;
            self.schedule(delay, event);
            return;
        }
        let (now, random) = (self.instant(), self.next_random());
        let mut outputs = Vec::new();
        match event {
            Event::Tick { node } => {
                self.schedule(TICK_MS, Event::Tick { node });
                if let Some(replica) = &mut self.nodes[node].replica {
                    replica.tick(now, random, &mut outputs);
                }
            }
            Event::Message { to, payload } => {
                if let Some(replica) = &mut self.nodes[to].replica {
                    replica.receive(now, random, payload, &mut outputs);
                }
            }
            Event::Synced { node, epoch, sequence } => {
                let node = &mut self.nodes[node];
                if node.epoch == epoch {
                    while node.unsynced.first().is_some_and(|(number, _)| *number <= sequence) {
                        let (_, write) = node.unsynced.remove(0);
                        node.disk.apply(write);
                    }
                    if let Some(replica) = &mut node.replica {
                        replica.mark_synced(now, sequence, &mut outputs);
                    }
                }
            }
            Event::Propose { node } => {
                self.schedule(PROPOSAL_INTERVAL_MS, Event::Propose { node });
                if self.proposals_paused {
                    return;
                }
                self.last_command += 1;
                let command = self.last_command;
                let node = &mut self.nodes[node];
                if let Some(replica) = &mut node.replica {
                    let bytes = command.to_le_bytes().to_vec();
                    if let Some(index) = replica.propose(now, bytes, &mut outputs) {
                        node.proposed.insert(index, (replica.term(), command));
                    }
                }
            }
        }
        self.execute_outputs(id, outputs);
    }

    fn execute_outputs(&mut self, id: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Persist(sequence, write) => {
                    self.nodes[id].unsynced.push((sequence, write));
                    let delay = self.extra_disk_delay_ms + 1 + self.next_random() % 15;
                    let epoch = self.nodes[id].epoch;
                    self.schedule(delay, Event::Synced { node: id, epoch, sequence });
                }
                Output::Send(to, payload) => self.send(id, &to, payload),
                Output::Apply(entry) => self.record_apply(id, entry),
                Output::Restore(snapshot) => {
                    let chunks = snapshot.state_machine.chunks_exact(8);
                    let number =
                        |chunk: &[u8]| u64::from_le_bytes(chunk.try_into().expect("8 bytes"));
                    self.nodes[id].applied_commands = chunks.map(number).collect();
                }
            }
        }
        self.compact(id);
    }

    /// Delivers a message after a random delay. Some messages are lost and some are delivered
    /// twice.
    fn send(&mut self, from: usize, to: &Name, payload: Payload) {
        let to: usize = to.parse().expect("daemons are named by their node number");
        let link_cut = self.cut_links.contains(&(from, to)) || self.cut_links.contains(&(to, from));
        let unreachable = link_cut || ((self.side >> from) ^ (self.side >> to)) & 1 == 1;
        let random = self.next_random();
        if unreachable || random % 100 < 3 {
            return;
        }
        let delay = if random % 100 < 90 { 1 + random / 100 % 8 } else { random / 100 % 300 };
        if random / 7 % 100 < 4 {
            let duplicate = Event::Message { to, payload: payload.clone() };
            self.schedule(delay + random / 11 % 500, duplicate);
        }
        self.schedule(delay, Event::Message { to, payload });
    }

    /// Checks that all nodes apply the same entry at an index, and records acknowledged commands.
    fn record_apply(&mut self, id: usize, entry: Entry) {
        let known = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(
            *known, entry,
            "node {id} applied a different entry than others at index {}",
            entry.index
        );
        let Ok(bytes) = <[u8; 8]>::try_from(entry.command.as_slice()) else { return };
        let command = u64::from_le_bytes(bytes);
        let node = &mut self.nodes[id];
        node.applied_commands.push(command);
        if node.proposed.remove(&entry.index) == Some((entry.term, command)) {
            self.acknowledged.push(command);
        }
    }

    /// Takes a snapshot if enough entries have been applied since the last one.
    fn compact(&mut self, id: usize) {
        let node = &mut self.nodes[id];
        let Some(replica) = &mut node.replica else { return };
        let covered = replica.applied() + replica.tail_len() - replica.last_index();
        if covered < ENTRIES_PER_SNAPSHOT {
            return;
        }
        let state_machine =
            node.applied_commands.iter().flat_map(|command| command.to_le_bytes()).collect();
        let mut outputs = Vec::new();
        replica.compact(state_machine, &mut outputs);
        self.execute_outputs(id, outputs);
    }

    /// Checks after each event that no term has two leaders and no two nodes hold a lease.
    fn check_invariants(&mut self) {
        let now = self.instant();
        let mut leading = Vec::new();
        for (id, node) in self.nodes.iter().enumerate() {
            let Some(replica) = &node.replica else { continue };
            if replica.role() == Role::Leader {
                let first = *self.leader_of_term.entry(replica.term()).or_insert(id);
                assert_eq!(first, id, "two leaders in term {}", replica.term());
            }
            if replica.leads(now) {
                leading.push(id);
            }
        }
        assert!(leading.len() <= 1, "nodes {leading:?} hold a lease at the same time");
    }

    /// Checks, once all faults are over, that there is a leader and that each node has applied all
    /// acknowledged commands.
    pub fn check_final_state(&mut self) {
        let acknowledged = self.acknowledged.clone();
        self.run(Duration::from_secs(2));
        assert!(self.leader().is_some(), "no leader 2 s after the end of all faults");
        for (id, node) in self.nodes.iter().enumerate() {
            for command in &acknowledged {
                let held = node.applied_commands.contains(command);
                assert!(held, "node {id} lacks the acknowledged command {command}");
            }
        }
    }

    /// Number of acknowledged commands.
    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }

    /// The node that is leader with a valid lease.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|id| self.leads(*id))
    }

    /// Runs until some node is leader with a valid lease, and returns it.
    pub fn run_until_leader(&mut self) -> usize {
        for _ in 0..100 {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.run(Duration::from_millis(100));
        }
        panic!("no leader within 10 s without faults");
    }

    pub fn leads(&self, id: usize) -> bool {
        let now = self.instant();
        self.nodes[id].replica.as_ref().is_some_and(|replica| replica.leads(now))
    }

    /// Replicas in the leader's voter list.
    pub fn voters(&self) -> Vec<String> {
        let leader = self.leader().and_then(|id| self.nodes[id].replica.as_ref());
        let voters = leader.map(Replica::voters).unwrap_or_default();
        voters.iter().map(|voter| voter.replica.clone()).collect()
    }
}
