//! A prompt segment that ends each engine which begins to answer a request with it.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use dotterelhoist_gateway::http::Headers;

use super::deployment::Deployment;
use super::RECOVERY_TIMEOUT;

/// Time from the end of an engine to the start of its next incarnation, under another identity.
pub const RESTART_TIME: Duration = Duration::from_millis(800);
/// Segments of the prompts that end engines.
const CRASHING: &str = "5c1e07a2:800,91bd3f06:410,e4402b7d:250";
/// Segments of other prompts of the same caller, which begin with the same segment.
const SOUND: &str = "5c1e07a2:800,77aa0123:300,e4402b7e:250";
/// Requests of each kind that are sent after the segment was found.
const REQUESTS_AFTER: usize = 20;

/// Which requests end engines, and which engines have ended; shared by all stand-ins.
#[derive(Clone, Debug, Default)]
pub struct Crashes(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    /// Identities of prompt segments that end engines.
    segments: HashSet<String>,
    /// Number of engines that have ended.
    ends: usize,
    /// Number of requests with such a segment that have reached engines.
    arrivals: usize,
}

impl Crashes {
    /// Makes engines end that begin to answer a request with this segment.
    fn plan(&self, segment: &str) {
        self.lock().segments.insert(segment.to_owned());
    }

    /// Whether a request with these headers ends the engine that answers it; counts it.
    pub fn arrive(&self, headers: &Headers) -> bool {
        let segments = headers.find("dotterelhoist-prompt-prefix").unwrap_or_default();
        let mut state = self.lock();
        let ids = segments.split(',').filter_map(|segment| segment.split(':').next());
        let crashes = ids.into_iter().any(|id| state.segments.contains(id));
        state.arrivals += usize::from(crashes);
        crashes
    }

    /// Counts an engine that has ended.
    pub fn record_end(&self) {
        self.lock().ends += 1;
    }

    fn arrivals(&self) -> usize {
        self.lock().arrivals
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no thread panics while it holds the lock")
    }
}

/// Sends requests, every other one with the segment, until one of them is refused without having reached
/// an engine several times in a row.
fn find_segment(deployment: &Deployment) -> bool {
    let found = deployment.poll(RECOVERY_TIMEOUT, |deployment| {
        deployment.stream_with_prompt(&deployment.unique_label(), SOUND);
        let before = deployment.crashes.arrivals();
        let refused = (0..3).all(|_| {
            let reply = deployment.stream_with_prompt(&deployment.unique_label(), CRASHING);
            reply.is_some_and(|reply| reply.status == 503)
        });
        (refused && before > 0 && deployment.crashes.arrivals() == before).then_some(())
    });
    found.is_some()
}

/// No two requests are alike, and sound ones have the caller and the first segment in common with them.
#[test]
fn segment_that_ends_engines_reaches_no_further_engine_and_others_are_served() {
    let deployment = Deployment::start();
    deployment.put(100);
    deployment.wait_for_groups(3);
    deployment.crashes.plan("91bd3f06");
    assert!(find_segment(&deployment), "requests with the segment are still sent to engines");
    let served = deployment.poll(RECOVERY_TIMEOUT, |deployment| {
        let reply = deployment.stream_with_prompt(&deployment.unique_label(), SOUND);
        reply.filter(|reply| reply.status == 200)
    });
    assert!(served.is_some(), "no request without the segment is served");
    let before = deployment.crashes.arrivals();
    for _ in 0..REQUESTS_AFTER {
        let sound = deployment.stream_with_prompt(&deployment.unique_label(), SOUND);
        assert_eq!(sound.map(|reply| reply.status), Some(200));
        let reply = deployment.stream_with_prompt(&deployment.unique_label(), CRASHING);
        assert_eq!(reply.map(|reply| (reply.status, reply.retry_after)), Some((503, None)));
    }
    assert_eq!(deployment.crashes.arrivals(), before);
}
