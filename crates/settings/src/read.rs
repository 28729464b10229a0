//! Reads the text of a settings file into [`Settings`] and collects the findings.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::sync::Arc;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{parse_to_ast, CollectOptions, ParseOptions};
use strum::VariantNames;

use crate::{
    check, Finding, Format, Level, Limits, Listen, Log, LogContent, Logging, Metrics, Peer, Policy,
    Settings, Voter,
};

/// Reads and checks all settings. Returns none if a required setting is missing or unreadable;
/// `findings` then says why. The returned settings are valid only if there are no findings.
pub(crate) fn read(text: &str, findings: &mut Vec<Finding>) -> Option<Settings> {
    let options = ParseOptions::default();
    let parsed = parse_to_ast(text, &CollectOptions::default(), &options);
    let value = match parsed {
        Ok(parsed) => parsed.value,
        Err(error) => {
            let (line, column) = line_and_column(text, error.range().start);
            let message = format!("{}", error.kind());
            findings.push(Finding { line, column, path: String::new(), message });
            return None;
        }
    };
    let Some(Value::Object(root)) = value else {
        let message = "must be an object in braces".to_owned();
        findings.push(Finding { line: 1, column: 1, path: String::new(), message });
        return None;
    };
    let mut section =
        Section { text, object: &root, path: String::new(), findings, known_names: vec![] };
    let settings = read_root(&mut section);
    section.report_unknown();
    let settings = settings?;
    check::check(&settings, &root, text, findings);
    Some(settings)
}

/// Line and column of a byte offset, both from 1; the column counts characters.
pub(crate) fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = &text[..offset.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    (line, before[line_start..].chars().count() + 1)
}

/// One object of the file with its path, and the names of the settings read from it so far.
struct Section<'a, 'f> {
    text: &'a str,
    object: &'a Object<'a>,
    /// Path of the object from the root, empty for the root.
    path: String,
    findings: &'f mut Vec<Finding>,
    /// Names of the settings that have been read or looked for; any other property is a finding.
    known_names: Vec<&'static str>,
}

impl<'a> Section<'a, '_> {
    /// Path of a setting of this object.
    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() {
            return name.to_owned();
        }
        format!("{}.{name}", self.path)
    }

    fn add_finding(&mut self, offset: usize, path: String, message: String) {
        let (line, column) = line_and_column(self.text, offset);
        self.findings.push(Finding { line, column, path, message });
    }

    /// Value of a setting, whose name becomes a known one; none if the file does not have it.
    fn value(&mut self, name: &'static str) -> Option<&'a Value<'a>> {
        self.known_names.push(name);
        self.object.get(name).map(|property| &property.value)
    }

    /// Adds the finding that a setting is missing. Returns `None` as an `Option` of any type, so
    /// that callers can return the result.
    fn report_missing<Item>(&mut self, name: &'static str, expected: &str) -> Option<Item> {
        let offset = self.object.range().start;
        let path = self.path_of(name);
        self.add_finding(offset, path, format!("is missing; give {expected}"));
        None
    }

    /// Adds a finding at a value. Returns `None` as an `Option` of any type, so that callers can
    /// return the result.
    fn report_invalid<Item>(
        &mut self,
        name: &str,
        value: &Value<'a>,
        message: &str,
    ) -> Option<Item> {
        let path = self.path_of(name);
        self.add_finding(value.range().start, path, message.to_owned());
        None
    }

    /// Reads a string; none if it is not given.
    fn optional_string(&mut self, name: &'static str) -> Option<&'a str> {
        match self.value(name)? {
            Value::StringLit(string) => Some(string.value.as_ref()),
            other => self.report_invalid(name, other, "must be a string"),
        }
    }

    /// Reads a string that must be given.
    fn string(&mut self, name: &'static str, expected: &str) -> Option<&'a str> {
        if self.object.get(name).is_none() {
            self.known_names.push(name);
            return self.report_missing(name, expected);
        }
        self.optional_string(name)
    }

    /// Reads the name of a daemon, availability zone or log, which must be given.
    fn name(&mut self, name: &'static str, expected: &str) -> Option<Arc<str>> {
        let string = self.string(name, expected)?;
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if string.is_empty() || !string.chars().all(allowed) {
            let value = &self.object.get(name)?.value;
            return self.report_invalid(name, value, "use letters, digits, `-`, `_` and `.`");
        }
        Some(string.into())
    }

    /// Reads an IP address with port that must be given.
    fn address(&mut self, name: &'static str) -> Option<SocketAddr> {
        let expected = "an IP address with port, like \"10.0.0.1:7000\"";
        let string = self.string(name, expected)?;
        match string.parse() {
            Ok(address) => Some(address),
            Err(_) => {
                let value = &self.object.get(name)?.value;
                self.report_invalid(name, value, &format!("must be {expected}"))
            }
        }
    }

    /// Reads a number in a range; `default` if it is not given.
    fn number(
        &mut self,
        name: &'static str,
        default: f64,
        range: RangeInclusive<f64>,
    ) -> Option<f64> {
        let Some(value) = self.value(name) else { return Some(default) };
        let Value::NumberLit(number) = value else {
            return self.report_invalid(name, value, "must be a number");
        };
        let parsed = number.value.parse().ok().filter(|parsed| range.contains(parsed));
        if parsed.is_none() {
            let message = format!("must be from {} to {}", range.start(), range.end());
            return self.report_invalid(name, value, &message);
        }
        parsed
    }

    /// Reads a whole number in a range; `default` if it is not given.
    fn integer(
        &mut self,
        name: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let Some(value) = self.value(name) else { return Some(default) };
        let Value::NumberLit(number) = value else {
            return self.report_invalid(name, value, "must be a whole number");
        };
        let parsed = number.value.parse().ok().filter(|parsed| range.contains(parsed));
        if parsed.is_none() {
            let message =
                format!("must be a whole number from {} to {}", range.start(), range.end());
            return self.report_invalid(name, value, &message);
        }
        parsed
    }

    /// Reads the name of a variant of an enum; `default` if it is not given.
    fn variant<Item>(&mut self, name: &'static str, default: Item) -> Option<Item>
    where
        Item: FromStr + VariantNames,
    {
        if self.object.get(name).is_none() {
            self.known_names.push(name);
            return Some(default);
        }
        let string = self.optional_string(name)?;
        match string.parse() {
            Ok(item) => Some(item),
            Err(_) => {
                let value = &self.object.get(name)?.value;
                let names = Item::VARIANTS.join("`, `");
                self.report_invalid(name, value, &format!("must be one of `{names}`"))
            }
        }
    }

    /// Reads an object; `default` if it is not given. Without a default it must be given.
    fn section<Item>(
        &mut self,
        name: &'static str,
        default: Option<Item>,
        read: impl FnOnce(&mut Section<'a, '_>) -> Option<Item>,
    ) -> Option<Item> {
        let path = self.path_of(name);
        match self.value(name) {
            None if default.is_some() => default,
            None => self.report_missing(name, "an object in braces"),
            Some(Value::Object(object)) => {
                let mut section = Section {
                    text: self.text,
                    object,
                    path,
                    findings: self.findings,
                    known_names: Vec::new(),
                };
                let item = read(&mut section);
                section.report_unknown();
                item
            }
            Some(other) => self.report_invalid(name, other, "must be an object in braces"),
        }
    }

    /// Reads a list of objects; empty if it is not given.
    fn list<Item>(
        &mut self,
        name: &'static str,
        read: impl Fn(&mut Section<'a, '_>) -> Option<Item>,
    ) -> Option<Vec<Item>> {
        let Some(value) = self.value(name) else { return Some(Vec::new()) };
        let Value::Array(array) = value else {
            return self.report_invalid(name, value, "must be a list in brackets");
        };
        let mut items = Vec::new();
        for (index, element) in array.elements.iter().enumerate() {
            let path = format!("{}[{index}]", self.path_of(name));
            let Value::Object(object) = element else {
                let message = "must be an object in braces".to_owned();
                self.add_finding(element.range().start, path, message);
                continue;
            };
            let mut section = Section {
                text: self.text,
                object,
                path,
                findings: self.findings,
                known_names: Vec::new(),
            };
            items.extend(read(&mut section));
            section.report_unknown();
        }
        Some(items)
    }

    /// Adds a finding for each property that is not a known setting.
    fn report_unknown(self) {
        for property in &self.object.properties {
            let name = property.name.as_str();
            if self.known_names.contains(&name) {
                continue;
            }
            let (line, column) = line_and_column(self.text, property.range().start);
            let path = self.path_of(name);
            let message = format!(
                "is not a setting; the settings here are `{}`",
                self.known_names.join("`, `")
            );
            self.findings.push(Finding { line, column, path, message });
        }
    }
}

fn read_root(root: &mut Section<'_, '_>) -> Option<Settings> {
    let daemon = root.name("daemon", "the name of this daemon");
    let zone = root.name("zone", "the availability zone of this daemon");
    let zones = read_zones(root);
    let listen = root.section("listen", None, read_listen);
    let peers = root.list("peers", read_peer);
    let logs = root.list("logs", read_log);
    let data_folder = root.optional_string("data-folder").map(Into::into);
    let operator_tokens = root.optional_string("operator-tokens").map(Into::into);
    let logging = Logging { format: Format::Human, level: Level::Info };
    let logging = root.section("logging", Some(logging), |section| {
        let format = section.variant("format", Format::Human);
        let level = section.variant("level", Level::Info);
        Some(Logging { format: format?, level: level? })
    });
    let metrics = root.section("metrics", Some(None), |section| {
        let statsd = section.address("statsd");
        let prefix = section.optional_string("prefix").unwrap_or("dotterelhoist").to_owned();
        Some(Some(Metrics { statsd: statsd?, prefix }))
    });
    let policy = read_policy(root);
    let limits = read_limits(root);
    Some(Settings {
        daemon: daemon?,
        zone: zone?,
        zones: zones?,
        listen: listen?,
        peers: peers?,
        logs: logs?,
        data_folder,
        operator_tokens,
        logging: logging?,
        metrics: metrics?,
        policy: policy?,
        limits: limits?,
    })
}

fn read_zones(root: &mut Section<'_, '_>) -> Option<Vec<Arc<str>>> {
    let Some(value) = root.value("zones") else {
        return root.report_missing("zones", "the list of all availability zones");
    };
    let Value::Array(array) = value else {
        return root.report_invalid("zones", value, "must be a list in brackets");
    };
    let mut zones: Vec<Arc<str>> = Vec::new();
    for element in &array.elements {
        match element {
            Value::StringLit(string) if zones.iter().any(|zone| **zone == *string.value) => {
                root.report_invalid::<()>("zones", element, "names an availability zone twice");
            }
            Value::StringLit(string) => zones.push(string.value.as_ref().into()),
            other => {
                root.report_invalid::<()>("zones", other, "must be a list of strings");
            }
        }
    }
    Some(zones)
}

fn read_listen(section: &mut Section<'_, '_>) -> Option<Listen> {
    let callers = section.address("callers");
    let endpoints = section.address("endpoints");
    let operators = section.address("operators");
    let daemons = section.address("daemons");
    Some(Listen {
        callers: callers?,
        endpoints: endpoints?,
        operators: operators?,
        daemons: daemons?,
    })
}

fn read_peer(section: &mut Section<'_, '_>) -> Option<Peer> {
    let daemon = section.name("daemon", "the name of the peer");
    let zone = section.name("zone", "the availability zone of the peer");
    let address = section.address("address");
    Some(Peer { daemon: daemon?, zone: zone?, address: address? })
}

fn read_log(section: &mut Section<'_, '_>) -> Option<Log> {
    let name = section.name("name", "the name of the log");
    let holds = if section.object.get("holds").is_some() {
        section.variant("holds", LogContent::Configuration)
    } else {
        section.report_missing("holds", "`configuration`, `claims` or `placement`")
    };
    section.known_names.push("holds");
    let zone = section.optional_string("zone").map(Into::into);
    let voters = section.list("voters", |section| {
        let daemon = section.name("daemon", "the name of the daemon that hosts the voter");
        let weight = section.integer("weight", 1, 1..=100);
        Some(Voter { daemon: daemon?, weight: weight? as u32 })
    });
    Some(Log { name: name?, holds: holds?, zone, voters: voters? })
}

fn read_policy(root: &mut Section<'_, '_>) -> Option<Policy> {
    let default = Policy {
        downtime_weight: 1.0,
        stranded_weight: 0.02,
        load_seconds: 30.0,
        loads_per_minute: 120,
        queue: 4096,
        retry_ratio: 0.1,
        affinity_bound: 2.0,
    };
    root.section("policy", Some(default.clone()), |section| {
        let downtime_weight = section.number("downtime-weight", default.downtime_weight, 0.0..=1e6);
        let stranded_weight = section.number("stranded-weight", default.stranded_weight, 0.0..=1e6);
        let load_seconds = section.number("load-seconds", default.load_seconds, 0.1..=36000.0);
        let loads_per_minute = u64::from(default.loads_per_minute);
        let loads_per_minute = section.integer("loads-per-minute", loads_per_minute, 1..=1_000_000);
        let queue = section.integer("queue", u64::from(default.queue), 1..=1_000_000);
        let retry_ratio = section.number("retry-ratio", default.retry_ratio, 0.0..=1.0);
        let affinity_bound = section.number("affinity-bound", default.affinity_bound, 1.0..=100.0);
        Some(Policy {
            downtime_weight: downtime_weight?,
            stranded_weight: stranded_weight?,
            load_seconds: load_seconds?,
            loads_per_minute: loads_per_minute? as u32,
            queue: queue? as u32,
            retry_ratio: retry_ratio?,
            affinity_bound: affinity_bound?,
        })
    })
}

fn read_limits(root: &mut Section<'_, '_>) -> Option<Limits> {
    let default = Limits {
        body_bytes: 4 << 20,
        head_timeout_ms: 10_000,
        body_timeout_ms: 30_000,
        connections: 4096,
        held_answer_bytes: 1 << 20,
    };
    root.section("limits", Some(default.clone()), |section| {
        let body_bytes = section.integer("body-bytes", default.body_bytes as u64, 1..=1 << 30);
        let head_timeout_ms =
            section.integer("head-timeout-ms", default.head_timeout_ms, 1..=600_000);
        let body_timeout_ms =
            section.integer("body-timeout-ms", default.body_timeout_ms, 1..=600_000);
        let connections = u64::from(default.connections);
        let connections = section.integer("connections", connections, 1..=1_000_000);
        let held_answer_bytes = default.held_answer_bytes as u64;
        let held_answer_bytes =
            section.integer("held-answer-bytes", held_answer_bytes, 1..=64 << 20);
        Some(Limits {
            body_bytes: body_bytes? as usize,
            head_timeout_ms: head_timeout_ms?,
            body_timeout_ms: body_timeout_ms?,
            connections: connections? as u32,
            held_answer_bytes: held_answer_bytes? as usize,
        })
    })
}
