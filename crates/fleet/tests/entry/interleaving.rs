//! Random interleavings of attempts, second attempts, views, silences and callers that leave, with a
//! model of the shell's task for each request.

use std::collections::{BTreeMap, VecDeque};

use dotterelhoist_fleet::entry::{Attempt, Decision, End, Event, Loss};
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest, ProptestConfig};
use proptest::test_runner::TestCaseError;

use super::{Harness, UNSELECTED_CONTROL};

const ENDPOINTS: [(&str, &str, &str, u32); 4] =
    [("e1", "llm", "a", 2), ("e2", "llm", "a", 2), ("e3", "llm", "b", 2), ("e4", "llm", "b", 2)];

/// The shell's task that serves a request, as `run_request` and `run_attempts` of the gateway carry
/// it out.
#[derive(Debug, Default)]
struct Task {
    decisions: VecDeque<Decision>,
    /// Second attempt that the task has not started yet.
    channel: Option<Attempt>,
    first: Option<Attempt>,
    second: Option<Attempt>,
    /// Whether the first attempt has ended while the second runs.
    alone: bool,
    /// Whether the caller was sent something since the second attempt began.
    wrote: bool,
    outcomes: u32,
    gone: bool,
}

impl Task {
    fn is_done(&self) -> bool {
        self.gone || self.outcomes > 0
    }

    fn runs_attempts(&self) -> bool {
        self.first.is_some() || self.second.is_some()
    }

    /// Goes on as far as possible without a network event.
    fn poll(&mut self) {
        while !self.is_done() {
            if self.runs_attempts() {
                if self.second.is_none() && self.channel.is_some() {
                    self.second = self.channel.take();
                    self.wrote = false;
                }
                return;
            }
            match self.decisions.pop_front() {
                Some(Decision::Send(attempt)) => self.first = Some(attempt),
                Some(Decision::Refuse(_) | Decision::ForwardFailure) => self.outcomes += 1,
                Some(Decision::Hedge(_)) | None => return,
            }
        }
    }
}

struct Model {
    harness: Harness,
    tasks: BTreeMap<u64, Task>,
    /// Decisions of each request that its task has taken.
    taken: BTreeMap<u64, usize>,
    hedges_taken: usize,
    sequence: u64,
    /// Kinds of end of an attempt that occur, besides the response.
    ends: Vec<End>,
}

impl Model {
    fn open(seed: u64, ends: &[End]) -> Model {
        let mut harness = Harness::open_seeded(&ENDPOINTS, seed);
        harness.apply(Event::Connected(UNSELECTED_CONTROL.into()));
        let (tasks, taken) = Default::default();
        Model { harness, tasks, taken, hedges_taken: 0, sequence: 1, ends: ends.to_vec() }
    }

    /// Passes an event to the reducer and its decisions to the tasks.
    fn apply(&mut self, event: Event) -> Result<(), TestCaseError> {
        self.harness.apply(event);
        self.deliver()
    }

    fn deliver(&mut self) -> Result<(), TestCaseError> {
        for (id, decisions) in &self.harness.decisions {
            let taken = self.taken.entry(*id).or_default();
            let task = self.tasks.entry(*id).or_default();
            for decision in &decisions[*taken..] {
                prop_assert!(!task.is_done(), "request {id} is done: {decision:?}");
                prop_assert!(
                    !task.runs_attempts(),
                    "request {id} has a running attempt: {decision:?}"
                );
                task.decisions.push_back(decision.clone());
            }
            *taken = decisions.len();
        }
        for (id, attempt) in &self.harness.hedges[self.hedges_taken..] {
            let task = self.tasks.entry(*id).or_default();
            prop_assert!(!task.is_done() && task.channel.is_none(), "request {id}: {task:?}");
            task.channel = Some(attempt.clone());
        }
        self.hedges_taken = self.harness.hedges.len();
        Ok(())
    }

    fn poll(&mut self) {
        self.tasks.values_mut().for_each(Task::poll);
    }

    fn advance(&mut self, ticks: u64) -> Result<(), TestCaseError> {
        for _ in 0..ticks {
            self.harness.advance(25);
            self.deliver()?;
            self.poll();
        }
        Ok(())
    }

    /// The current attempt of a request ends.
    fn end_first(&mut self, id: u64, end: End) -> Result<(), TestCaseError> {
        let Some(task) = self.tasks.get_mut(&id) else { return Ok(()) };
        if task.is_done() || task.first.take().is_none() {
            return Ok(());
        }
        if end == End::Answered {
            task.outcomes += 1;
            (task.second, task.channel) = (None, None);
        } else {
            task.alone = task.second.is_some() || task.channel.is_some();
            if task.second.is_none() {
                task.second = task.channel.take();
            }
        }
        self.apply(Event::AttemptEnded(id, end))?;
        self.poll();
        Ok(())
    }

    /// The second attempt of a request has a response (no end), or ends.
    fn end_second(&mut self, id: u64, end: Option<End>) -> Result<(), TestCaseError> {
        let Some(task) = self.tasks.get_mut(&id) else { return Ok(()) };
        if task.is_done() || task.second.is_none() {
            return Ok(());
        }
        let second = task.second.take();
        match (end, std::mem::take(&mut task.alone)) {
            (None, true) => task.first = second,
            (None, false) if task.wrote => self.apply(Event::HedgeEnded(id, End::Dropped))?,
            (None, false) => {
                task.first = second;
                self.apply(Event::HedgeAdopted(id))?;
            }
            (Some(end), true) => self.apply(Event::AttemptEnded(id, end))?,
            (Some(end), false) => self.apply(Event::HedgeEnded(id, end))?,
        }
        self.poll();
        Ok(())
    }

    /// Everything that runs ends at once, for example at the deadline.
    fn end_all(&mut self, id: u64, gone: bool) -> Result<(), TestCaseError> {
        let Some(task) = self.tasks.get_mut(&id) else { return Ok(()) };
        if task.is_done() || (!gone && !task.runs_attempts()) {
            return Ok(());
        }
        (task.first, task.second, task.channel, task.alone) = (None, None, None, false);
        if gone {
            task.gone = true;
            task.decisions.clear();
            self.apply(Event::CallerGone(id))?;
        } else {
            self.apply(Event::AttemptEnded(id, End::TimedOut { begun: false }))?;
        }
        self.poll();
        Ok(())
    }

    fn write(&mut self, id: u64) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        let Some(attempt) = task.first.as_ref().filter(|_| !task.is_done()) else { return };
        task.wrote = true;
        let now = self.harness.now;
        self.harness.state.record_progress(&attempt.target, now);
        self.harness.state.record_response_start(id, self.harness.now);
        self.harness.state.record_write(id, true, now);
        self.harness.state.record_write(id, false, now);
    }

    fn step(&mut self, op: u8, value: u64) -> Result<(), TestCaseError> {
        let id = 1 + value % 24;
        let end = self.ends[(value / 24) as usize % self.ends.len()].clone();
        match op {
            0..=3 if !self.tasks.contains_key(&id) => {
                self.tasks.insert(id, Task::default());
                self.harness.send(id, "/stream/x");
                self.deliver()?;
                // The decision may be delivered while the task does something else.
                if !value.is_multiple_of(3) {
                    self.poll();
                }
            }
            0..=3 => self.write(id),
            4 => self.end_first(id, End::Answered)?,
            5 => self.end_first(id, end)?,
            6 => self.end_second(id, None)?,
            7 => self.end_second(id, Some(end))?,
            8 => self.end_all(id, true)?,
            9 => self.end_all(id, false)?,
            10 => {
                let now = self.harness.now;
                self.harness.state.record_progress(&ENDPOINTS[value as usize % 4].0.into(), now);
            }
            11 => {
                self.sequence += 1;
                let listed = |at: &usize| value & (1 << at) != 0;
                let view: Vec<_> = (0..4).filter(listed).map(|at| ENDPOINTS[at]).collect();
                self.harness.view(self.sequence, &view);
                self.deliver()?;
                self.poll();
            }
            12..=14 => self.advance(1 + value % 4)?,
            _ => self.advance(20 + value % 40)?,
        }
        Ok(())
    }

    /// Ends everything that runs, and checks that every request has one outcome and that no
    /// endpoint has a request in flight.
    fn finish(mut self) -> Result<(), TestCaseError> {
        for _ in 0..8 {
            self.poll();
            let ids: Vec<u64> = self.tasks.keys().copied().collect();
            for id in ids {
                self.end_second(id, None)?;
                self.end_first(id, End::Answered)?;
            }
            self.advance(60)?;
        }
        for (id, task) in &self.tasks {
            prop_assert!(task.is_done(), "request {id} has neither answer nor refusal: {task:?}");
            prop_assert_eq!(task.outcomes + u32::from(task.gone), 1, "request {}", id);
        }
        prop_assert_eq!(self.harness.state.running(), 0);
        self.harness.unselected_reports.clear();
        self.advance(8)?;
        let report = self.harness.unselected_reports.last().expect("a report every 75 ms");
        prop_assert!(report.running.is_empty(), "{:?}", report.running);
        Ok(())
    }
}

fn check(seed: u64, steps: &[(u8, u64)], ends: &[End]) -> Result<(), TestCaseError> {
    let mut model = Model::open(seed, ends);
    for (op, value) in steps {
        model.step(*op, *value)?;
    }
    model.finish()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, failure_persistence: None, ..ProptestConfig::default() })]

    /// Without attempts that could not connect, which give an attempt back.
    #[test]
    fn request_has_one_outcome_and_nothing_stays_counted_if_endpoints_can_be_connected(
        seed in any::<u64>(),
        steps in proptest::collection::vec((0u8..16, any::<u64>()), 1..150),
    ) {
        let ends = [
            End::Lost(Loss::Failed),
            End::Declined { status: 503 },
            End::Failed { status: 500 },
        ];
        check(seed, &steps, &ends)?;
    }
}
