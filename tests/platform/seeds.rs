//! Control daemons whose settings name other seeds than before.
//!
//! Three control daemons are started first, and three are added. Then the settings change, and the
//! daemons read them when they are started again.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::process::Child;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rstest::rstest;
use rustix::process::Signal;
use tempfile::TempDir;

use super::callers::send;
use super::daemon::{self, address, unique_ips, Build, Settings, PORTS};
use super::deployment::document;

/// Control daemons of the first start.
pub const FIRST: [usize; 3] = [0, 1, 2];
/// Control daemons that are added.
pub const ADDED: [usize; 3] = [3, 4, 5];
pub const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];
/// Time within which a control plane must be in order after a start.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for a response to a change that is put in the background.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Part of the log lines that list the voters.
const VOTERS_EVENT: &str = r#""event":"voters""#;

/// Six control daemons without endpoints; dropping it kills them.
pub struct ControlPlane {
    folder: TempDir,
    ips: Vec<String>,
    daemons: Vec<Option<Child>>,
    /// Daemons whose disks are full; none if disks can't become full.
    full: Option<BTreeSet<usize>>,
    /// Highest version that was put.
    last_version: u64,
    /// Highest version that was acknowledged.
    acknowledged: u64,
}

/// A change that is put in the background: its version, and whether it was acknowledged.
pub type Change = JoinHandle<(u64, bool)>;

impl ControlPlane {
    /// Starts three control daemons of this build, and adds three.
    pub fn start(build: Build) -> ControlPlane {
        let mut plane = ControlPlane::start_first(build);
        plane.add(build);
        plane
    }

    /// Starts three control daemons of this build.
    pub fn start_first(build: Build) -> ControlPlane {
        ControlPlane::start_three(build, None)
    }

    /// Starts three control daemons of this build, whose disks may become full, and adds three.
    pub fn start_on_disks(build: Build) -> ControlPlane {
        let mut plane = ControlPlane::start_three(build, Some(BTreeSet::new()));
        plane.add(build);
        plane
    }

    /// Makes the disk of a daemon refuse all writes, also of later processes, or accept them again.
    pub fn set_full(&mut self, index: usize, is_full: bool) {
        let full = self.full.as_mut().expect("the disks can become full");
        match is_full {
            true => full.insert(index),
            false => full.remove(&index),
        };
        if let Some(daemon) = &self.daemons[index] {
            daemon::set_full(daemon, is_full);
        }
    }

    /// Waits until all daemons run, and starts those again that have ended by themselves, as the platform does.
    pub fn revive(&mut self, seeds: &[usize]) {
        for index in ALL {
            let end = Instant::now() + SETTLE_TIMEOUT;
            while self.has_ended(index) || !self.listens(index) {
                assert!(Instant::now() < end, "daemon {index} does not start");
                if self.has_ended(index) {
                    self.daemons[index] = None;
                    self.start_daemon(Build::Present, index, seeds, false);
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        }
    }

    fn has_ended(&mut self, index: usize) -> bool {
        let child = self.daemons[index].as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    fn listens(&self, index: usize) -> bool {
        std::net::TcpStream::connect(self.control_address(index)).is_ok()
    }

    /// Kills a daemon whose disk is full, and starts it; waits until it runs or has ended.
    pub fn restart_on_full_disk(&mut self, index: usize, seeds: &[usize]) {
        self.restart(Build::Present, &[index], seeds);
        let end = Instant::now() + SETTLE_TIMEOUT;
        while !self.has_ended(index) && !self.listens(index) {
            assert!(Instant::now() < end, "daemon {index} neither runs nor ends");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Checks that each daemon has a newer document accepted, and that all return it.
    pub fn check_each(&mut self) {
        for index in self.running() {
            self.last_version += 1;
            let version = self.last_version;
            let accepted =
                self.poll(|plane| put(plane.control_address(index), version) == Some(true));
            assert!(accepted, "version {version} was not accepted by daemon {index}");
            self.acknowledged = version;
            self.check_version();
        }
    }

    /// Number of lines of a daemon's log with this text.
    pub fn count_logged(&self, index: usize, text: &str) -> usize {
        let log = daemon::read_log(self.folder.path(), &self.ips[index]);
        log.lines().filter(|line| line.contains(text)).count()
    }

    /// Whether the newest leader that the logs tell of is this daemon.
    pub fn leads(&self, index: usize) -> bool {
        let term = |index: &usize| {
            let log = daemon::read_log(self.folder.path(), &self.ips[*index]);
            let line = log.lines().rfind(|line| line.contains(r#""event":"leader elected""#));
            let term = line.and_then(|line| line.rsplit_once("term=")).map(|(_, term)| term);
            term.and_then(|term| term.trim_end_matches(['"', '}']).parse::<u64>().ok())
        };
        term(&index).is_some() && ALL.iter().all(|other| term(other) <= term(&index))
    }

    fn start_three(build: Build, full: Option<BTreeSet<usize>>) -> ControlPlane {
        let mut plane = ControlPlane {
            full,
            folder: tempfile::tempdir().expect("a temporary folder can be created"),
            ips: unique_ips(ALL.len() as u64),
            daemons: ALL.iter().map(|_| None).collect(),
            last_version: 0,
            acknowledged: 0,
        };
        for index in FIRST {
            plane.start_daemon(build, index, &FIRST, true);
        }
        plane.check();
        plane
    }

    /// Adds three control daemons of this build.
    pub fn add(&mut self, build: Build) {
        for index in ADDED {
            self.start_daemon(build, index, &FIRST, false);
        }
        self.check();
    }

    /// Removes the first control daemons one after the other, once the added ones have taken their place.
    pub fn remove_first(&mut self) {
        for index in FIRST {
            self.check();
            self.kill(&[index]);
            self.check();
            let replaced = self.poll(|plane| {
                let is_of_it = |voters: String| voters.contains(&format!("{}#", plane.ips[index]));
                plane.voters(ADDED[0]).is_some_and(|voters| !is_of_it(voters))
            });
            assert!(replaced, "daemon {index} is still a voter");
        }
    }

    /// Waits until the first control daemons have ended their connections from an entry daemon, so that nothing
    /// that they say later is waiting there.
    pub fn await_disconnected(&self, entry: &str) {
        let text = format!(r#""event":"link ended","subject":"{entry}""#);
        let ended = self.poll(|plane| {
            let has_ended = |index: &usize| {
                daemon::read_log(plane.folder.path(), &plane.ips[*index]).contains(&text)
            };
            FIRST.iter().all(has_ended)
        });
        assert!(ended, "connections from {entry} stay open");
    }

    /// Folder with the settings and logs of all daemons.
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }

    /// Addresses of control daemons, as settings name them.
    pub fn seeds(&self, indices: &[usize]) -> Vec<SocketAddr> {
        indices.iter().map(|index| self.control_address(*index)).collect()
    }

    /// Version that was acknowledged last.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Starts a daemon whose settings name these seeds.
    pub fn start_daemon(&mut self, build: Build, index: usize, seeds: &[usize], bootstrap: bool) {
        let seeds = self.seeds(seeds);
        let settings = Settings { ip: &self.ips[index], control: true, seeds: &seeds, bootstrap };
        let folder = self.folder.path();
        self.daemons[index] = Some(match &self.full {
            None => daemon::spawn(build, folder, &settings),
            Some(full) => daemon::spawn_on_disk(build, folder, &settings, full.contains(&index)),
        });
    }

    /// Kills all of these daemons, and starts them with these seeds.
    pub fn restart(&mut self, build: Build, indices: &[usize], seeds: &[usize]) {
        self.kill(indices);
        for index in indices {
            self.start_daemon(build, *index, seeds, false);
        }
    }

    pub fn kill(&mut self, indices: &[usize]) {
        for index in indices {
            daemon::kill(&mut self.daemons[*index]);
        }
    }

    /// Removes the data of a daemon that was killed.
    pub fn empty_disk(&self, index: usize) {
        let folder = daemon::data_folder(self.folder.path(), &self.ips[index]);
        std::fs::remove_dir_all(folder).expect("the daemon has stored data");
    }

    fn control_address(&self, index: usize) -> SocketAddr {
        address(&self.ips[index], PORTS.control)
    }

    /// Suspends daemons.
    pub fn freeze(&self, indices: &[usize]) {
        self.signal(indices, Signal::STOP);
    }

    /// Ends the suspension of daemons.
    pub fn resume(&self, indices: &[usize]) {
        self.signal(indices, Signal::CONT);
    }

    fn signal(&self, indices: &[usize], signal: Signal) {
        for index in indices {
            daemon::signal(self.daemons[*index].as_ref().expect("the daemon runs"), signal);
        }
    }

    /// Puts a newer document at a daemon from another thread, again until there is a response.
    pub fn put_in_background(&mut self, index: usize) -> Change {
        self.last_version += 1;
        let (version, address) = (self.last_version, self.control_address(index));
        std::thread::spawn(move || {
            let end = Instant::now() + CHANGE_TIMEOUT;
            while Instant::now() < end {
                if let Some(accepted) = put(address, version) {
                    return (version, accepted);
                }
            }
            (version, false)
        })
    }

    /// Waits for the outcomes of changes.
    pub fn await_changes<Changes>(&mut self, changes: Changes)
    where
        Changes: IntoIterator<Item = Change>,
    {
        for change in changes {
            let (version, accepted) = change.join().expect("no panic");
            if accepted {
                self.acknowledged = self.acknowledged.max(version);
            }
        }
    }

    /// Checks that no running daemon returns an older document than was acknowledged, that a newer one is
    /// accepted, and that all return that one.
    pub fn check(&mut self) {
        self.check_version();
        self.last_version += 1;
        let version = self.last_version;
        let accepts = |index: usize| put(self.control_address(index), version) == Some(true);
        let accepted = self.poll(|plane| plane.running().into_iter().any(accepts));
        assert!(accepted, "version {version} was not accepted");
        self.acknowledged = version;
        self.check_version();
    }

    /// Checks that all running daemons return the document that was acknowledged last, or one that was put
    /// later.
    fn check_version(&self) {
        if self.acknowledged == 0 {
            return;
        }
        let allowed = self.acknowledged..=self.last_version;
        for index in self.running() {
            let mut newest = None;
            let read = self.poll(|plane| {
                newest = plane.read_version(index).or(newest);
                newest.is_some()
            });
            assert!(read, "daemon {index} returns no document");
            let is_allowed = newest.is_some_and(|newest| allowed.contains(&newest));
            assert!(is_allowed, "daemon {index} returns {newest:?}, allowed are {allowed:?}");
        }
    }

    fn read_version(&self, index: usize) -> Option<u64> {
        let reply = send(self.control_address(index), "GET", "/Config.Get", "", "")?;
        let document: serde_json::Value = serde_json::from_str(&reply.body).ok()?;
        document["version"].as_u64()
    }

    /// The voters that a daemon has last logged.
    fn voters(&self, index: usize) -> Option<String> {
        let log = daemon::read_log(self.folder.path(), &self.ips[index]);
        log.lines().rfind(|line| line.contains(VOTERS_EVENT)).map(str::to_owned)
    }

    fn running(&self) -> Vec<usize> {
        ALL.into_iter().filter(|index| self.daemons[*index].is_some()).collect()
    }

    /// Calls `check` until it returns true; returns false after [`SETTLE_TIMEOUT`].
    pub fn poll<Check>(&self, mut check: Check) -> bool
    where
        Check: FnMut(&ControlPlane) -> bool,
    {
        let end = Instant::now() + SETTLE_TIMEOUT;
        while Instant::now() < end {
            if check(self) {
                return true;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        false
    }
}

/// Puts a document with this version at a control daemon. Returns whether it is acknowledged, none if
/// there is no response.
fn put(control: SocketAddr, version: u64) -> Option<bool> {
    let body = document(version, 0).to_string();
    let reply = send(control, "POST", "/Config.Put", "", &body)?;
    Some(reply.status == 200)
}

impl Drop for ControlPlane {
    fn drop(&mut self) {
        daemon::print_logs(self.folder.path(), &self.ips);
        self.kill(&ALL);
    }
}

/// After an exchange of the seeds no daemon knew the voters of the log any more.
#[rstest]
#[case::all_exchanged(&ADDED)]
#[case::two_exchanged(&[0, 3, 4])]
#[case::one_exchanged(&[3, 1, 2])]
#[case::only_one_left(&[4])]
fn seeds_changed_and_all_killed_keep_the_log(#[case] seeds: &[usize]) {
    let mut plane = ControlPlane::start(Build::Present);
    plane.restart(Build::Present, &ALL, seeds);
    plane.check();
}

#[rstest]
#[case::first_daemons_first([0, 1, 2, 3, 4, 5])]
#[case::added_daemons_first([5, 4, 3, 2, 1, 0])]
fn seeds_changed_and_restarts_in_turn_keep_the_log(#[case] order: [usize; 6]) {
    let mut plane = ControlPlane::start(Build::Present);
    for index in order {
        plane.restart(Build::Present, &[index], &ADDED);
        plane.check();
    }
}

#[test]
fn seeds_changed_again_and_again_keep_the_log() {
    let mut plane = ControlPlane::start(Build::Present);
    let changes: [[usize; 3]; 4] = [ADDED, [1, 3, 4], [2, 5, 0], ADDED];
    for seeds in changes {
        plane.restart(Build::Present, &ALL[1..5], &seeds);
        plane.check();
        plane.restart(Build::Present, &ALL, &seeds);
        plane.check();
    }
}

/// Some daemons have read the new settings, and some the old ones.
#[rstest]
#[case::one_of_the_first(&[0])]
#[case::two_of_the_first(&[0, 1])]
#[case::one_of_the_added(&[3])]
#[case::one_of_each(&[2, 4])]
fn seeds_changed_for_some_daemons_keep_the_log(#[case] changed: &[usize]) {
    let mut plane = ControlPlane::start(Build::Present);
    plane.kill(&ALL);
    for index in ALL {
        let seeds = if changed.contains(&index) { ADDED } else { FIRST };
        plane.start_daemon(Build::Present, index, &seeds, false);
    }
    plane.check();
}

/// A new seed that has lost its disk must not found a second cluster, even if its settings still say
/// that this is the first start.
#[rstest]
#[case::new_seed(&[3], false)]
#[case::new_seed_as_if_at_the_first_start(&[3], true)]
#[case::two_new_seeds_as_if_at_the_first_start(&[3, 4], true)]
#[case::all_new_seeds(&ADDED, false)]
#[case::first_voter(&[1], false)]
fn seeds_changed_and_disks_lost_keep_the_log(#[case] emptied: &[usize], #[case] bootstrap: bool) {
    let mut plane = ControlPlane::start(Build::Present);
    plane.kill(&ALL);
    for index in emptied {
        plane.empty_disk(*index);
    }
    for index in ALL {
        plane.start_daemon(Build::Present, index, &ADDED, bootstrap);
    }
    plane.check();
    plane.restart(Build::Present, &ALL, &ADDED);
    plane.check();
}

/// The old seeds are removed for good, one after the other.
#[test]
fn seeds_changed_and_old_ones_removed_keep_the_log() {
    let mut plane = ControlPlane::start(Build::Present);
    plane.restart(Build::Present, &ALL, &ADDED);
    plane.remove_first();
    plane.restart(Build::Present, &ADDED, &ADDED);
    plane.check();
}

/// The build is changed first, and the seeds later, in both directions on the same data.
#[rstest]
#[case::from_the_build_before(Build::Other, Build::Present)]
#[case::back_to_the_build_before(Build::Present, Build::Other)]
fn seeds_changed_after_the_build_keep_the_log(#[case] from: Build, #[case] to: Build) {
    let mut plane = ControlPlane::start(from);
    for index in ALL {
        plane.restart(to, &[index], &FIRST);
        plane.check();
    }
    plane.restart(to, &ALL, &ADDED);
    plane.check();
}

/// One daemon was replaced by this build before the settings changed, and all others after it.
#[test]
fn voters_are_learned_from_a_candidate_that_knows_them() {
    let mut plane = ControlPlane::start(Build::Other);
    plane.restart(Build::Present, &[0], &FIRST);
    plane.check();
    plane.restart(Build::Present, &ALL[1..], &ADDED);
    plane.check();
}
