//! Checks that look at several settings at once.

use std::collections::BTreeSet;
use std::sync::Arc;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;

use crate::read::place;
use crate::{Finding, Log, LogContent, Settings};

/// Voters of one log at most.
const VOTERS_MAX: usize = 15;

pub(crate) fn check(
    settings: &Settings,
    root: &Object<'_>,
    text: &str,
    findings: &mut Vec<Finding>,
) {
    let mut report = Report { root, text, findings };
    check_zones(settings, &mut report);
    check_addresses(settings, &mut report);
    check_peers(settings, &mut report);
    check_logs(settings, &mut report);
    check_operators(settings, &mut report);
}

struct Report<'a, 'f> {
    root: &'a Object<'a>,
    text: &'a str,
    findings: &'f mut Vec<Finding>,
}

impl Report<'_, '_> {
    /// Reports at the property, list element or object that `path` leads to.
    fn at(&mut self, path: &[Step<'_>], message: String) {
        let mut offset = self.root.range().start;
        let mut shown = String::new();
        let mut value: Option<&Value<'_>> = None;
        for step in path {
            match step {
                Step::Key(key) => {
                    if !shown.is_empty() {
                        shown.push('.');
                    }
                    shown.push_str(key);
                    let object = match value {
                        None => Some(self.root),
                        Some(Value::Object(object)) => Some(object),
                        Some(_) => None,
                    };
                    value = object.and_then(|object| object.get(key)).map(|p| &p.value);
                }
                Step::Index(index) => {
                    shown.push_str(&format!("[{index}]"));
                    value = match value {
                        Some(Value::Array(array)) => array.elements.get(*index),
                        _ => None,
                    };
                }
            }
            offset = value.map_or(offset, |value| value.range().start);
        }
        let (line, column) = place(self.text, offset);
        self.findings.push(Finding { line, column, path: shown, message });
    }
}

enum Step<'a> {
    Key(&'a str),
    Index(usize),
}

fn check_zones(settings: &Settings, report: &mut Report<'_, '_>) {
    if !settings.zones.contains(&settings.zone) {
        let message = "must be one of the `zones`".to_owned();
        report.at(&[Step::Key("zone")], message);
    }
}

fn check_addresses(settings: &Settings, report: &mut Report<'_, '_>) {
    let listen = &settings.listen;
    let listeners = [
        ("callers", listen.callers),
        ("endpoints", listen.endpoints),
        ("operators", listen.operators),
        ("daemons", listen.daemons),
    ];
    for (at, (name, address)) in listeners.iter().enumerate() {
        let clash = listeners[..at].iter().find(|(_, other)| other == address);
        if let Some((other, _)) = clash.filter(|_| address.port() != 0) {
            let message = format!("is the address of `listen.{other}` too; give another port");
            report.at(&[Step::Key("listen"), Step::Key(name)], message);
        }
    }
    let own = listeners.iter().map(|(_, address)| *address);
    let mut seen: BTreeSet<_> = own.collect();
    for (index, peer) in settings.peers.iter().enumerate() {
        if !seen.insert(peer.address) {
            let message = "is in use by this daemon or another peer".to_owned();
            let path = [Step::Key("peers"), Step::Index(index), Step::Key("address")];
            report.at(&path, message);
        }
    }
}

fn check_peers(settings: &Settings, report: &mut Report<'_, '_>) {
    let mut seen: BTreeSet<&Arc<str>> = BTreeSet::from([&settings.daemon]);
    for (index, peer) in settings.peers.iter().enumerate() {
        if !seen.insert(&peer.daemon) {
            let message = "names this daemon or another peer; each name is unique".to_owned();
            let path = [Step::Key("peers"), Step::Index(index), Step::Key("daemon")];
            report.at(&path, message);
        }
        if !settings.zones.contains(&peer.zone) {
            let path = [Step::Key("peers"), Step::Index(index), Step::Key("zone")];
            report.at(&path, "must be one of the `zones`".to_owned());
        }
    }
}

fn check_logs(settings: &Settings, report: &mut Report<'_, '_>) {
    let count = |holds| settings.logs.iter().filter(|log| log.holds == holds).count();
    if count(LogContent::Configuration) != 1 {
        let message = "needs exactly one log that holds `configuration`".to_owned();
        report.at(&[Step::Key("logs")], message);
    }
    if count(LogContent::Claims) == 0 {
        let message = "needs at least one log that holds `claims`".to_owned();
        report.at(&[Step::Key("logs")], message);
    }
    for zone in &settings.zones {
        let of_zone =
            |log: &&Log| log.holds == LogContent::Placement && log.zone.as_ref() == Some(zone);
        if settings.logs.iter().filter(of_zone).count() != 1 {
            let message = format!("needs exactly one log that holds `placement` for zone `{zone}`");
            report.at(&[Step::Key("logs")], message);
        }
    }
    let mut names = BTreeSet::new();
    for (index, log) in settings.logs.iter().enumerate() {
        let here = |key| [Step::Key("logs"), Step::Index(index), Step::Key(key)];
        if !names.insert(&log.name) {
            report.at(&here("name"), "is the name of another log".to_owned());
        }
        check_log_zone(settings, log, &here("zone"), report);
        check_voters(settings, log, &here("voters"), report);
    }
    let votes = |log: &Log| log.voters.iter().any(|voter| voter.daemon == settings.daemon);
    if settings.data_folder.is_none() && settings.logs.iter().any(votes) {
        let message = "is missing; this daemon is a voter and needs a folder for it".to_owned();
        report.at(&[Step::Key("data-folder")], message);
    }
}

fn check_log_zone(settings: &Settings, log: &Log, here: &[Step<'_>], report: &mut Report<'_, '_>) {
    match (&log.zone, log.holds) {
        (None, LogContent::Placement) => {
            report.at(here, "is missing; name the availability zone of the placements".to_owned());
        }
        (Some(zone), LogContent::Placement) if !settings.zones.contains(zone) => {
            report.at(here, "must be one of the `zones`".to_owned());
        }
        (Some(_), LogContent::Configuration | LogContent::Claims) => {
            report.at(here, "is only for logs that hold `placement`".to_owned());
        }
        _ => {}
    }
}

fn check_voters(settings: &Settings, log: &Log, here: &[Step<'_>], report: &mut Report<'_, '_>) {
    if log.voters.is_empty() || log.voters.len() > VOTERS_MAX {
        report.at(here, format!("must be a list of 1 to {VOTERS_MAX} voters"));
    }
    let mut seen = BTreeSet::new();
    for voter in &log.voters {
        let known = voter.daemon == settings.daemon
            || settings.peers.iter().any(|peer| peer.daemon == voter.daemon);
        if !known {
            let message = format!("`{}` is neither this daemon nor a peer", voter.daemon);
            report.at(here, message);
        }
        if !seen.insert(&voter.daemon) {
            report.at(here, format!("names `{}` twice", voter.daemon));
        }
    }
}

fn check_operators(settings: &Settings, report: &mut Report<'_, '_>) {
    let open = !settings.listen.operators.ip().is_loopback();
    if open && settings.operator_tokens.is_none() {
        let message = "must be a loopback address unless `operator-tokens` names a file".to_owned();
        report.at(&[Step::Key("listen"), Step::Key("operators")], message);
    }
}
