//! The settings file of a running daemon.

use std::path::PathBuf;
use std::rc::Rc;

use dotterelhoist_fleet::Name;
use dotterelhoist_gateway::settings::{Settings, Watch};
use rstest::rstest;
use smol::channel::{bounded, unbounded};

/// Settings whose text is a comma-separated list of seeds that ends with a dot.
#[derive(Debug)]
struct Stub {
    seeds: Vec<Name>,
}

impl Settings for Stub {
    fn read(text: &str) -> Result<Stub, String> {
        let seeds = text.strip_suffix('.').ok_or("incomplete")?;
        Ok(Stub { seeds: seeds.split(',').map(Name::from).collect() })
    }

    fn seeds(&self) -> &[Name] {
        &self.seeds
    }

    fn changed_fields(&self, _newer: &Stub) -> Vec<&'static str> {
        Vec::new()
    }
}

/// Guards against CONFIG: new seeds and SIGHUP were ignored; a file that can't be used keeps the last good one in force.
#[rstest]
#[case::changed(&[Some("c,d.")], &["c", "d"])]
#[case::half_written(&[Some("c,"), Some("c,d.")], &["c", "d"])]
#[case::empty(&[Some(""), Some("c.")], &["c"])]
#[case::missing(&[None, Some("c.")], &["c"])]
#[case::unchanged(&[Some("a,b."), Some("c.")], &["c"])]
fn seeds_follow_the_file(
    #[case] texts: &[Option<&str>],
    #[case] expected: &[&str],
    #[values(true, false)] signalled: bool,
) {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let path: PathBuf = folder.path().join("settings");
    let first = "a,b.";
    std::fs::write(&path, first).expect("the temporary folder is writable");
    let settings = Stub::read(first).expect("valid settings");
    let watch = Watch::open(path.clone(), first.to_owned(), settings);
    let executor = Rc::new(smol::LocalExecutor::new());
    let (reload, reloads) = bounded(1);
    let (sender, seeds) = unbounded();
    executor.spawn(watch.run(reloads, sender)).detach();
    let received = smol::block_on(executor.run(async {
        for text in texts {
            match text {
                Some(text) => std::fs::write(&path, text).expect("the folder is writable"),
                None => std::fs::remove_file(&path).expect("the file is there"),
            }
            if signalled {
                // The second item is taken once the first has been handled.
                reload.send(()).await.expect("the file is watched");
                reload.send(()).await.expect("the file is watched");
            }
        }
        seeds.recv().await.expect("the file is watched")
    }));
    let expected: Vec<Name> = expected.iter().map(|seed| Name::from(*seed)).collect();
    assert_eq!(received, expected);
}
