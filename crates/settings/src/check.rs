//! Checks that involve more than one setting, run after all settings have been read.

use std::collections::BTreeSet;
use std::sync::Arc;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;

use crate::read::line_and_column;
use crate::{Finding, Log, LogContent, Settings};

/// Most voters that a log may have; a log with more is reported as a finding.
const MAX_VOTERS: usize = 15;

/// Adds a finding for each setting that is not valid in combination with the others.
pub(crate) fn check(
    settings: &Settings,
    root: &Object<'_>,
    text: &str,
    findings: &mut Vec<Finding>,
) {
    let mut reporter = Reporter { root, text, findings };
    check_zones(settings, &mut reporter);
    check_addresses(settings, &mut reporter);
    check_peers(settings, &mut reporter);
    check_logs(settings, &mut reporter);
    check_operators(settings, &mut reporter);
}

/// Adds findings with their line and column in the file.
struct Reporter<'a, 'f> {
    root: &'a Object<'a>,
    text: &'a str,
    findings: &'f mut Vec<Finding>,
}

impl Reporter<'_, '_> {
    /// Adds a finding at the setting that `path` leads to. If the file does not have it, the line
    /// and column are those of the innermost enclosing setting that it has.
    fn add(&mut self, path: &[Segment<'_>], message: String) {
        let mut offset = self.root.range().start;
        let mut path_text = String::new();
        let mut value: Option<&Value<'_>> = None;
        for segment in path {
            match segment {
                Segment::Key(key) => {
                    if !path_text.is_empty() {
                        path_text.push('.');
                    }
                    path_text.push_str(key);
                    let object = match value {
                        None => Some(self.root),
                        Some(Value::Object(object)) => Some(object),
                        Some(_) => None,
                    };
                    value =
                        object.and_then(|object| object.get(key)).map(|property| &property.value);
                }
                Segment::Index(index) => {
                    path_text.push_str(&format!("[{index}]"));
                    value = match value {
                        Some(Value::Array(array)) => array.elements.get(*index),
                        _ => None,
                    };
                }
            }
            offset = value.map_or(offset, |value| value.range().start);
        }
        let (line, column) = line_and_column(self.text, offset);
        self.findings.push(Finding { line, column, path: path_text, message });
    }
}

/// One step from a setting to one inside it.
enum Segment<'a> {
    /// Name of a property of an object.
    Key(&'a str),
    /// Position in a list, from 0.
    Index(usize),
}

fn check_zones(settings: &Settings, reporter: &mut Reporter<'_, '_>) {
    if !settings.zones.contains(&settings.zone) {
        let message = "must be one of the `zones`".to_owned();
        reporter.add(&[Segment::Key("zone")], message);
    }
}

fn check_addresses(settings: &Settings, reporter: &mut Reporter<'_, '_>) {
    let listen = &settings.listen;
    let listeners = [
        ("callers", listen.callers),
        ("endpoints", listen.endpoints),
        ("operators", listen.operators),
        ("daemons", listen.daemons),
    ];
    for (index, (name, address)) in listeners.iter().enumerate() {
        let duplicate = listeners[..index].iter().find(|(_, other)| other == address);
        // With port 0, each listener gets a free port of its own.
        if let Some((other, _)) = duplicate.filter(|_| address.port() != 0) {
            let message = format!("is the address of `listen.{other}` too; give another port");
            reporter.add(&[Segment::Key("listen"), Segment::Key(name)], message);
        }
    }
    let own_addresses = listeners.iter().map(|(_, address)| *address);
    let mut seen: BTreeSet<_> = own_addresses.collect();
    for (index, peer) in settings.peers.iter().enumerate() {
        if !seen.insert(peer.address) {
            let message = "is in use by this daemon or another peer".to_owned();
            let path = [Segment::Key("peers"), Segment::Index(index), Segment::Key("address")];
            reporter.add(&path, message);
        }
    }
}

fn check_peers(settings: &Settings, reporter: &mut Reporter<'_, '_>) {
    let mut seen: BTreeSet<&Arc<str>> = BTreeSet::from([&settings.daemon]);
    for (index, peer) in settings.peers.iter().enumerate() {
        if !seen.insert(&peer.daemon) {
            let message = "is already the name of this daemon or another peer".to_owned();
            let path = [Segment::Key("peers"), Segment::Index(index), Segment::Key("daemon")];
            reporter.add(&path, message);
        }
        if !settings.zones.contains(&peer.zone) {
            let path = [Segment::Key("peers"), Segment::Index(index), Segment::Key("zone")];
            reporter.add(&path, "must be one of the `zones`".to_owned());
        }
    }
}

fn check_logs(settings: &Settings, reporter: &mut Reporter<'_, '_>) {
    let count = |holds| settings.logs.iter().filter(|log| log.holds == holds).count();
    if count(LogContent::Configuration) != 1 {
        let message = "needs exactly one log that holds `configuration`".to_owned();
        reporter.add(&[Segment::Key("logs")], message);
    }
    if count(LogContent::Claims) == 0 {
        let message = "needs at least one log that holds `claims`".to_owned();
        reporter.add(&[Segment::Key("logs")], message);
    }
    for zone in &settings.zones {
        let is_of_zone =
            |log: &&Log| log.holds == LogContent::Placement && log.zone.as_ref() == Some(zone);
        if settings.logs.iter().filter(is_of_zone).count() != 1 {
            let message = format!("needs exactly one log that holds `placement` for zone `{zone}`");
            reporter.add(&[Segment::Key("logs")], message);
        }
    }
    let mut names = BTreeSet::new();
    for (index, log) in settings.logs.iter().enumerate() {
        let path_of = |key| [Segment::Key("logs"), Segment::Index(index), Segment::Key(key)];
        if !names.insert(&log.name) {
            reporter.add(&path_of("name"), "is already the name of another log".to_owned());
        }
        check_log_zone(settings, log, &path_of("zone"), reporter);
        check_voters(settings, log, &path_of("voters"), reporter);
    }
    let has_own_voter = |log: &Log| log.voters.iter().any(|voter| voter.daemon == settings.daemon);
    if settings.data_folder.is_none() && settings.logs.iter().any(has_own_voter) {
        let message =
            "is missing; this daemon is a voter of a log and needs a folder to store it in"
                .to_owned();
        reporter.add(&[Segment::Key("data-folder")], message);
    }
}

fn check_log_zone(
    settings: &Settings,
    log: &Log,
    path: &[Segment<'_>],
    reporter: &mut Reporter<'_, '_>,
) {
    match (&log.zone, log.holds) {
        (None, LogContent::Placement) => {
            reporter
                .add(path, "is missing; give the availability zone of the placements".to_owned());
        }
        (Some(zone), LogContent::Placement) if !settings.zones.contains(zone) => {
            reporter.add(path, "must be one of the `zones`".to_owned());
        }
        (Some(_), LogContent::Configuration | LogContent::Claims) => {
            reporter.add(path, "is allowed only for a log that holds `placement`".to_owned());
        }
        _ => {}
    }
}

fn check_voters(
    settings: &Settings,
    log: &Log,
    path: &[Segment<'_>],
    reporter: &mut Reporter<'_, '_>,
) {
    if log.voters.is_empty() || log.voters.len() > MAX_VOTERS {
        reporter.add(path, format!("must be a list of 1 to {MAX_VOTERS} voters"));
    }
    let mut seen = BTreeSet::new();
    for voter in &log.voters {
        let known = voter.daemon == settings.daemon
            || settings.peers.iter().any(|peer| peer.daemon == voter.daemon);
        if !known {
            let message = format!("`{}` is neither this daemon nor a peer", voter.daemon);
            reporter.add(path, message);
        }
        if !seen.insert(&voter.daemon) {
            reporter.add(path, format!("names `{}` twice", voter.daemon));
        }
    }
}

fn check_operators(settings: &Settings, reporter: &mut Reporter<'_, '_>) {
    let not_loopback = !settings.listen.operators.ip().is_loopback();
    if not_loopback && settings.operator_tokens.is_none() {
        let message = "must be a loopback address unless `operator-tokens` names a file".to_owned();
        reporter.add(&[Segment::Key("listen"), Segment::Key("operators")], message);
    }
}
