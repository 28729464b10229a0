//! Tests of the store: loss of power at each operation, torn and lost writes, and damaged files.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::{Arc, Mutex};

use dotterelhoist_core::replica::message::{Entry, Snapshot, Voter};
use dotterelhoist_core::replica::{Stored, Write};
use dotterelhoist_store::departures::{self, Departure};
use dotterelhoist_store::disk::{Disk, Folder};
use dotterelhoist_store::identity::{self, Identity};
use dotterelhoist_store::{Error, Store};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// Fixed seed of the property tests, so that each run tries the same cases.
const SEED: u64 = 20_261_203;

/// Files as processes see them, and as they would be after a loss of power.
#[derive(Clone, Debug, Default)]
struct Contents {
    /// Content by name, including what has not been synced.
    cached: BTreeMap<String, Vec<u8>>,
    /// Files that still exist after a loss of power. Only the names are used, not the contents.
    existing: BTreeMap<String, Vec<u8>>,
    /// Content by name as of the last sync.
    synced: BTreeMap<String, Vec<u8>>,
    /// Operations that succeed before the power is lost.
    operations_left: usize,
    /// Unsynced bytes at the end of each file that survive the loss of power.
    kept_bytes: usize,
}

/// A disk that loses power after a number of operations.
#[derive(Clone, Debug)]
struct FaultyDisk {
    contents: Arc<Mutex<Contents>>,
}

impl FaultyDisk {
    fn new(operations_left: usize, kept_bytes: usize) -> FaultyDisk {
        let contents = Contents { operations_left, kept_bytes, ..Contents::default() };
        FaultyDisk { contents: Arc::new(Mutex::new(contents)) }
    }

    /// Starts one operation; fails this one and all later ones once the power is lost.
    fn begin_operation(&self, file: &str) -> Result<std::sync::MutexGuard<'_, Contents>, Error> {
        let mut contents = self.contents.lock().expect("the lock is not poisoned");
        if contents.operations_left == 0 {
            let error = std::io::Error::other("no power");
            return Err(Error::Io { path: file.into(), error });
        }
        contents.operations_left -= 1;
        Ok(contents)
    }

    /// The disk after the power has returned: the synced content of each file, and up to
    /// `kept_bytes` of what was appended to it since.
    fn restart(&self) -> FaultyDisk {
        let old = self.contents.lock().expect("the lock is not poisoned");
        let mut files = old.existing.clone();
        for (name, content) in &mut files {
            let synced = old.synced.get(name).cloned().unwrap_or_default();
            let cached = old.cached.get(name).cloned().unwrap_or_default();
            *content = synced.clone();
            if cached.starts_with(&synced) {
                let more = (cached.len() - synced.len()).min(old.kept_bytes);
                content.extend(&cached[synced.len()..synced.len() + more]);
            }
        }
        let contents = Contents {
            cached: files.clone(),
            existing: files.clone(),
            synced: files,
            operations_left: usize::MAX,
            kept_bytes: 0,
        };
        FaultyDisk { contents: Arc::new(Mutex::new(contents)) }
    }
}

impl Disk for FaultyDisk {
    fn read(&mut self, file: &str) -> Result<Option<Vec<u8>>, Error> {
        Ok(self.begin_operation(file)?.cached.get(file).cloned())
    }

    fn create(&mut self, file: &str, bytes: &[u8]) -> Result<(), Error> {
        let mut contents = self.begin_operation(file)?;
        contents.synced.remove(file);
        contents.cached.insert(file.to_owned(), bytes.to_vec());
        Ok(())
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<(), Error> {
        let mut contents = self.begin_operation(file)?;
        contents.cached.entry(file.to_owned()).or_default().extend(bytes);
        contents.existing.entry(file.to_owned()).or_default();
        Ok(())
    }

    fn truncate(&mut self, file: &str, len: usize) -> Result<(), Error> {
        let mut contents = self.begin_operation(file)?;
        contents.cached.entry(file.to_owned()).or_default().truncate(len);
        Ok(())
    }

    fn sync(&mut self, file: &str) -> Result<(), Error> {
        let mut contents = self.begin_operation(file)?;
        let content = contents.cached.get(file).cloned().unwrap_or_default();
        contents.synced.insert(file.to_owned(), content);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), Error> {
        let mut contents = self.begin_operation(from)?;
        let cached = contents.cached.remove(from).unwrap_or_default();
        let synced = contents.synced.remove(from).unwrap_or_default();
        contents.cached.insert(to.to_owned(), cached);
        contents.synced.insert(to.to_owned(), synced);
        contents.existing.entry(to.to_owned()).or_default();
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<(), Error> {
        self.begin_operation("folder").map(drop)
    }

    fn damage_error(&self, file: &str, offset: usize, detail: &'static str) -> Error {
        Error::Damaged { path: file.into(), offset, detail }
    }
}

fn entry(term: u64, index: u64) -> Entry {
    Entry { term, index, command: vec![index as u8; 5], voters: Vec::new() }
}

/// State that results from the writes, computed without files.
fn expected(batches: &[Vec<Write>]) -> Stored {
    let mut stored = Stored::default();
    for write in batches.iter().flatten() {
        match write {
            Write::Ballot { term, vote, led } => {
                stored.term = *term;
                stored.led = *led;
                stored.vote.clone_from(vote);
            }
            Write::Entries(entries) => {
                for entry in entries {
                    stored.entries.retain(|old| old.index < entry.index);
                    stored.entries.push(entry.clone());
                }
            }
            Write::Snapshot(snapshot) => {
                stored.entries.retain(|old| old.index > snapshot.index);
                stored.snapshot = snapshot.clone();
            }
        }
    }
    stored
}

/// Batches as a replica writes them: growing terms, entries in order that may replace the last
/// ones, and snapshots up to the last entry.
fn batches() -> impl Strategy<Value = Vec<Vec<Write>>> {
    prop::collection::vec((0..4u8, 1..4u64, 0..3u64), 1..14).prop_map(|steps| {
        let (mut term, mut last_index, mut snapshot_index, mut last_term) = (1, 0, 0, 0);
        let mut batches = Vec::new();
        for (kind, count, overlap) in steps {
            match kind {
                0 => {
                    term += 1;
                    let vote = Some(format!("replica-{count}").into());
                    batches.push(vec![Write::Ballot { term, vote, led: count == 1 }]);
                }
                1 if last_index > snapshot_index => {
                    snapshot_index = last_index;
                    let state_machine = vec![last_index as u8; 9];
                    let snapshot = Snapshot {
                        index: last_index,
                        term: last_term,
                        state_machine,
                        ..Snapshot::default()
                    };
                    batches.push(vec![Write::Snapshot(snapshot)]);
                }
                _ => {
                    let first = last_index.saturating_sub(overlap).max(snapshot_index) + 1;
                    let entries: Vec<Entry> =
                        (first..first + count).map(|index| entry(term, index)).collect();
                    last_index = first + count - 1;
                    last_term = term;
                    let ballot = Write::Ballot { term, vote: None, led: false };
                    batches.push(vec![ballot, Write::Entries(entries)]);
                }
            }
        }
        batches
    })
}

fn config() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(512);
    println!("proptest: {cases} cases with seed {SEED}");
    let rng_seed = RngSeed::Fixed(SEED);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Power is lost after any operation, and any number of unsynced bytes has reached the disk.
    /// All acknowledged batches must be stored, and of the batch in flight either all or nothing.
    #[test]
    fn store_power_loss_keeps_acknowledged(
        batches in batches(),
        operations_left in 0..60usize,
        kept_bytes in 0..200usize,
    ) {
        let disk = FaultyDisk::new(operations_left, kept_bytes);
        let mut acknowledged = 0;
        if let Ok((mut store, _)) = Store::open(disk.clone()) {
            for batch in &batches {
                if store.write(batch).is_err() {
                    break;
                }
                acknowledged += 1;
            }
        }
        let (_, stored) = Store::open(disk.restart()).expect("a loss of power is not damage");
        let with_acknowledged = expected(&batches[..acknowledged]);
        let with_next_batch = expected(&batches[..(acknowledged + 1).min(batches.len())]);
        prop_assert!(
            stored == with_acknowledged || stored == with_next_batch,
            "{stored:?} is neither the acknowledged state nor that with the next batch"
        );
    }

    /// A flipped bit before the last record must be reported as damage, with an offset at or before
    /// the bit; the store must not open without the damaged record.
    #[test]
    fn store_damage_is_refused(batches in batches(), at in any::<prop::sample::Index>()) {
        let disk = FaultyDisk::new(usize::MAX, 0);
        let (mut store, _) = Store::open(disk.clone()).expect("an empty disk opens");
        let ballot = |term| vec![Write::Ballot { term, vote: None, led: false }];
        // The two ballots ensure that there is a record before the last one: a snapshot leaves only
        // a single record in the file.
        for batch in batches.iter().chain(&[ballot(50), ballot(51)]) {
            store.write(batch).expect("power is on");
        }
        let tail = disk.contents.lock().expect("not poisoned").cached.get("tail").cloned();
        let tail = tail.expect("a tail");
        let mut record_ends = Vec::new();
        let mut offset = 0;
        while offset < tail.len() {
            // A record has a header of 12 bytes, which begins with the length of the payload.
            let length = u32::from_le_bytes(tail[offset..offset + 4].try_into().expect("4 bytes"));
            offset += 12 + length as usize;
            record_ends.push(offset);
        }
        let last_record_start = record_ends[record_ends.len() - 2];
        let position = at.index(last_record_start);
        disk.contents.lock().expect("not poisoned").cached.get_mut("tail").expect("a tail")
            [position] ^= 0x10;
        let error = Store::open(disk).expect_err("damage is refused");
        let found = matches!(error, Error::Damaged { offset, .. } if offset <= position);
        prop_assert!(found, "{error}");
    }
}

#[rstest]
#[case::nothing(0)]
#[case::header(5)]
#[case::payload(20)]
fn store_torn_record_is_truncated(#[case] kept: usize) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let open = || Store::open(Folder::open(folder.path()).expect("a folder"));
    let (mut store, _) = open().expect("an empty folder opens");
    store.write(&[Write::Entries(vec![entry(1, 1)])]).expect("a healthy disk");
    let path = folder.path().join("tail");
    let first_record_len = std::fs::read(&path).expect("the tail").len();
    store.write(&[Write::Entries(vec![entry(1, 2)])]).expect("a healthy disk");
    drop(store);
    let bytes = std::fs::read(&path).expect("the tail");
    std::fs::write(&path, &bytes[..first_record_len + kept]).expect("a healthy disk");
    let (mut store, stored) = open().expect("a torn record is not damage");
    assert_eq!(stored.entries, vec![entry(1, 1)]);
    store.write(&[Write::Entries(vec![entry(2, 2)])]).expect("a healthy disk");
    drop(store);
    let (_, stored) = open().expect("the torn record was truncated");
    assert_eq!(stored.entries, vec![entry(1, 1), entry(2, 2)]);
}

/// Guards against LOST: what a process had written and not synced counted as stored in the next one, which acknowledged it.
#[rstest]
fn store_keeps_what_it_found_when_it_was_opened_through_a_loss_of_power(
    #[values(0, 1, 2, 3)] operations: usize,
    #[values(false, true)] writes_before: bool,
) {
    let disk = FaultyDisk::new(usize::MAX, 0);
    let (mut store, _) = Store::open(disk.clone()).expect("an empty disk opens");
    if writes_before {
        store.write(&[Write::Entries(vec![entry(1, 1)])]).expect("a healthy disk");
    }
    disk.contents.lock().expect("not poisoned").operations_left = operations;
    let next = 1 + u64::from(writes_before);
    store.write(&[Write::Entries(vec![entry(1, next)])]).ok();
    // The process is killed; its files remain as they are.
    disk.contents.lock().expect("not poisoned").operations_left = usize::MAX;
    let (_, found) = Store::open(disk.clone()).expect("no damage");
    let (_, kept) = Store::open(disk.restart()).expect("no damage");
    assert_eq!(kept, found);
}

#[test]
fn store_snapshot_of_a_diverged_log_removes_all_entries() {
    let disk = FaultyDisk::new(usize::MAX, 0);
    let (mut store, _) = Store::open(disk.clone()).expect("an empty disk opens");
    let entries = (1..=6).map(|index| entry(1, index)).collect();
    store.write(&[Write::Entries(entries)]).expect("power is on");
    let snapshot = Snapshot { index: 4, term: 3, state_machine: vec![1], ..Snapshot::default() };
    store.write(&[Write::Snapshot(snapshot.clone())]).expect("power is on");
    let (_, stored) = Store::open(disk.restart()).expect("no damage");
    assert_eq!(stored.entries, Vec::new());
    assert_eq!(stored.snapshot, snapshot);
}

#[test]
fn folder_second_process_is_kept_out() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let _first = Folder::open(folder.path()).expect("a folder");
    let error = Folder::open(folder.path()).expect_err("the folder is in use");
    assert!(error.to_string().ends_with("is in use by another process"), "{error}");
}

/// Opens the identity of daemon `a`, whose settings name these daemons as initial voters.
fn open_identity(folder: &Path, bootstrap: bool, named: &[&str]) -> Identity {
    let initial_voters: Vec<Voter> = voters(named);
    let setup = identity::Setup { daemon: "a", bootstrap, initial_voters: &initial_voters };
    let mut disk = Folder::open(folder).expect("a folder");
    let opened = identity::open(&mut disk, setup, 31).expect("a healthy disk");
    assert!(opened.unstored.is_none(), "{:?}", opened.unstored);
    opened.identity
}

fn voters(daemons: &[&str]) -> Vec<Voter> {
    let voter = |daemon: &&str| Voter {
        replica: format!("{daemon}#0"),
        daemon: (*daemon).to_owned(),
        weight: 1,
    };
    daemons.iter().map(voter).collect()
}

/// The settings of later starts may name other voters, and still say that this is the first start.
#[rstest]
#[case::initial_voter(true, "a#0", &["a", "b", "c"])]
#[case::learner(false, "a#1f", &[])]
fn identity_is_that_of_the_first_start(
    #[case] bootstrap: bool,
    #[case] replica: &str,
    #[case] known: &[&str],
) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let first = open_identity(folder.path(), bootstrap, &["a", "b", "c"]);
    assert_eq!((first.replica_name().as_str(), &first.initial_voters), (replica, &voters(known)));
    for bootstrap in [false, true] {
        for named in [&["d", "e", "f"][..], &["a", "d", "e"], &["a", "b", "c"]] {
            assert_eq!(open_identity(folder.path(), bootstrap, named), first);
        }
    }
}

/// Builds before did not store the voters, and took them from the settings at each start.
#[rstest]
#[case::initial_voter(0, &["a", "b", "c"], &["a", "b", "c"])]
#[case::initial_voter_that_is_no_longer_named(0, &["d", "e", "f"], &[])]
#[case::learner(31, &["a", "b", "c"], &[])]
fn identity_of_an_older_build_gets_the_voters_once(
    #[case] number: u64,
    #[case] named: &[&str],
    #[case] known: &[&str],
) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let older = format!(r#"{{"daemon":"a","number":{number}}}"#);
    std::fs::write(folder.path().join("identity"), older).expect("a healthy disk");
    let opened = open_identity(folder.path(), false, named);
    assert_eq!((opened.number, &opened.initial_voters), (number, &voters(known)));
    if !known.is_empty() {
        assert_eq!(open_identity(folder.path(), false, &["a", "e", "f"]), opened);
    }
}

/// A full disk must not keep a daemon from starting on the folder of an older build.
#[rstest]
fn identity_of_an_older_build_on_a_full_disk_gets_the_voters_in_memory(
    #[values(0, 1, 2, 3)] writes: usize,
) {
    // Besides the writes that succeed: the file of the older build is created and read.
    let mut disk = FaultyDisk::new(writes + 2, 0);
    disk.create("identity", br#"{"daemon":"a","number":0}"#).expect("a healthy disk");
    let known = voters(&["a", "b", "c"]);
    let setup = identity::Setup { daemon: "a", bootstrap: false, initial_voters: &known };
    let opened = identity::open(&mut disk, setup, 31).expect("nothing has to be written");
    assert_eq!(opened.identity.initial_voters, known);
    assert!(opened.unstored.is_some());
}

fn departure(number: u64) -> Departure {
    Departure { id: format!("i-{number}"), started_unix_ms: number, left_unix_ms: 7 + number }
}

/// Guards against DRAIN: whatever a disk does during a write, the departures before it are kept.
#[rstest]
fn departures_are_replaced_or_kept(
    #[values(0, 1, 2, 3, 4)] operations: usize,
    #[values(0, 9, 4096)] kept_bytes: usize,
) {
    let disk = FaultyDisk::new(usize::MAX, kept_bytes);
    let (first, second) = (vec![departure(1)], vec![departure(1), departure(2)]);
    departures::write(&mut disk.clone(), &first).expect("power is on");
    disk.contents.lock().expect("not poisoned").operations_left = operations;
    let written = departures::write(&mut disk.clone(), &second);
    assert_eq!(written.is_ok(), operations >= 4);
    let found = departures::read(&mut disk.restart()).expect("no damage");
    assert!(found == second || (written.is_err() && found == first), "{found:?}");
}

#[test]
fn departures_beside_a_log_leave_it_as_it_is() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let disk = Folder::open(folder.path()).expect("a folder");
    let mut beside = disk.try_clone().expect("a second handle");
    let (mut store, _) = Store::open(disk).expect("an empty folder opens");
    assert_eq!(departures::read(&mut beside).expect("no file"), Vec::new());
    store.write(&[Write::Entries(vec![entry(1, 1)])]).expect("a healthy disk");
    departures::write(&mut beside, &[departure(3)]).expect("a healthy disk");
    store.write(&[Write::Entries(vec![entry(1, 2)])]).expect("a healthy disk");
    drop(store);
    Folder::open(folder.path()).expect_err("the second handle keeps the folder locked");
    drop(beside);
    let mut disk = Folder::open(folder.path()).expect("a folder");
    assert_eq!(departures::read(&mut disk).expect("a file"), [departure(3)]);
    let (_, stored) = Store::open(disk).expect("no damage");
    assert_eq!(stored.entries, vec![entry(1, 1), entry(1, 2)]);
}

#[rstest]
#[case::truncated(|bytes: &mut Vec<u8>| bytes.truncate(14))]
#[case::changed(|bytes: &mut Vec<u8>| bytes[13] ^= 0x10)]
fn departures_damaged_are_reported(#[case] damage: fn(&mut Vec<u8>)) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let mut disk = Folder::open(folder.path()).expect("a folder");
    departures::write(&mut disk, &[departure(1)]).expect("a healthy disk");
    let path = folder.path().join("departures");
    let mut bytes = std::fs::read(&path).expect("a file");
    damage(&mut bytes);
    std::fs::write(&path, bytes).expect("a healthy disk");
    let error = departures::read(&mut disk).expect_err("damage is reported");
    assert!(matches!(error, Error::Damaged { .. }), "{error}");
}
