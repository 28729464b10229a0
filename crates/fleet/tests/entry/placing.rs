//! The choice among serving groups by many entry daemons that learn of each other's requests late.

use dotterelhoist_fleet::message::Loads;

use super::*;

const GROUPS: &[(&str, &str, &str, u32)] = &[
    ("e1", "llm", "a", 26),
    ("e2", "llm", "a", 26),
    ("e3", "llm", "a", 26),
    ("e4", "llm", "a", 26),
    ("e5", "llm", "a", 26),
    ("e6", "llm", "a", 26),
];
const DAEMONS: usize = 8;
const STEP_MS: u64 = 25;
/// Steps between two exchanges of loads.
const STEPS_PER_LOADS: u64 = 3;
/// Prompt tokens that a group reads in a step.
const TOKENS_PER_STEP: u32 = 1100;
const PROMPT_TOKENS: u32 = 1000;
/// Steps within which 99 in 100 first tokens must arrive.
const ON_TIME_STEPS: u64 = 3;

/// A request that waits for its first token at a group.
struct Sent {
    daemon: usize,
    id: u64,
    /// Prompt tokens that the group has not read.
    unread: u32,
    /// Step in which it arrived at its daemon.
    arrived: u64,
}

/// A deployment of [`DAEMONS`] daemons in front of [`GROUPS`], which read prompts in the order of
/// arrival.
struct Deployment {
    daemons: Vec<Harness>,
    groups: BTreeMap<String, Vec<Sent>>,
    /// Steps from arrival to the first token, of each request that has got it.
    waits: Vec<u64>,
    last_id: u64,
}

impl Deployment {
    fn open() -> Deployment {
        let daemons = (1..=DAEMONS as u64).map(|seed| Harness::open_seeded(GROUPS, seed * 77));
        let groups = GROUPS.iter().map(|(id, ..)| ((*id).to_owned(), Vec::new()));
        Deployment {
            daemons: daemons.collect(),
            groups: groups.collect(),
            waits: Vec::new(),
            last_id: 0,
        }
    }

    /// Sends one request to a daemon, which passes it on at once.
    fn send(&mut self, daemon: usize, step: u64) {
        self.last_id += 1;
        let harness = &mut self.daemons[daemon];
        harness.send(self.last_id, "/stream/x");
        let target = harness.attempt(self.last_id).target;
        let sent = Sent { daemon, id: self.last_id, unread: PROMPT_TOKENS, arrived: step };
        self.groups.entry(target.to_string()).or_default().push(sent);
    }

    /// Lets each group read for one step. A request ends with its first token.
    fn read_prompts(&mut self, step: u64) {
        for sent in self.groups.values_mut() {
            let mut left = TOKENS_PER_STEP;
            for request in sent.iter_mut() {
                let read = left.min(request.unread);
                request.unread -= read;
                left -= read;
            }
            for request in sent.iter().filter(|request| request.unread == 0) {
                self.waits.push(step - request.arrived);
                let harness = &mut self.daemons[request.daemon];
                harness.apply(Event::AttemptEnded(request.id, End::Answered));
            }
            sent.retain(|request| request.unread > 0);
        }
    }

    /// Tells each daemon the load of all daemons, and its own, at each group.
    fn exchange_loads(&mut self) {
        for daemon in 0..DAEMONS {
            let count = |id: &str, own: bool| {
                let sent = self.groups.get(id).map(Vec::as_slice).unwrap_or_default();
                sent.iter().filter(|sent| !own || sent.daemon == daemon).count() as u32
            };
            let counts = |own: bool| GROUPS.iter().map(|(id, ..)| count(id, own)).collect();
            let (running, own): (Vec<u32>, Vec<u32>) = (counts(false), counts(true));
            let others = running.iter().zip(&own).map(|(all, own)| (all - own) * PROMPT_TOKENS);
            let limits = Vec::new();
            let loads = Loads { sequence: 1, backlog: others.collect(), running, own, limits };
            self.daemons[daemon].receive(Body::Loads(loads));
        }
    }
}

/// At two thirds of what the groups can read, 99 in 100 prompts must not wait for more than two others.
/// If each daemon chooses the group with the least load by the last report, all choose the same one
/// until the next.
#[test]
fn requests_of_many_daemons_do_not_gather_at_one_group() {
    let mut deployment = Deployment::open();
    let mut random = 0x2545_f491_4f6c_dd1du64;
    for step in 0..4000 {
        for daemon in 0..DAEMONS {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let arrives = (random >> 33) % 100 < 55;
            if arrives {
                deployment.send(daemon, step);
            }
        }
        deployment.read_prompts(step);
        if step % STEPS_PER_LOADS == 0 {
            deployment.exchange_loads();
        }
        for harness in &mut deployment.daemons {
            for (id, ..) in GROUPS {
                harness.state.record_progress(&(*id).into(), harness.now);
            }
            harness.advance(STEP_MS);
        }
    }
    let late = deployment.waits.iter().filter(|steps| **steps > ON_TIME_STEPS).count();
    let served = deployment.waits.len();
    assert!(late * 100 < served, "{late} of {served} first tokens were late");
}
