//! Manifests: files in which operators describe objects.

use jsonc_parser::{parse_to_serde_value, ParseOptions};
use serde_json::{Map, Value};

use dotterelhoist_core::object::{is_valid_name, Kind, Spec};

/// One object of a manifest that has been checked.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub kind: Kind,
    pub name: String,
    /// Version that the object must have for the change to be accepted, 0 if it must not exist yet;
    /// `None` if any version may be replaced.
    pub expected: Option<u64>,
    /// Specification as given; it has been checked against the kind.
    pub spec: Value,
}

/// Reads a manifest of one object or a list of objects; the error lists all findings.
pub(crate) fn read(text: &str) -> Result<Vec<Entry>, Vec<String>> {
    let value = match parse_to_serde_value(text, &ParseOptions::default()) {
        Ok(Some(value)) => value,
        Ok(None) => return Err(vec!["the file is empty".to_owned()]),
        Err(error) => return Err(vec![error.to_string()]),
    };
    let items = match value {
        Value::Array(items) => items,
        item => vec![item],
    };
    let mut findings = Vec::new();
    let mut entries = Vec::new();
    for (index, item) in items.into_iter().enumerate() {
        match read_item(item) {
            Ok(entry) => entries.push(entry),
            Err(item_findings) => {
                findings.extend(
                    item_findings.iter().map(|finding| format!("object {}: {finding}", index + 1)),
                );
            }
        }
    }
    if findings.is_empty() {
        return Ok(entries);
    }
    Err(findings)
}

fn read_item(item: Value) -> Result<Entry, Vec<String>> {
    let Value::Object(mut fields) = item else {
        return Err(vec!["must be an object in braces".to_owned()]);
    };
    let mut findings = Vec::new();
    let kind = take_string(&mut fields, "kind", &mut findings).and_then(|kind| {
        let parsed = kind.parse::<Kind>();
        if parsed.is_err() {
            let known = "`serving-group`, `service`, `workspace` or `drain`";
            findings.push(format!("kind: `{kind}` is none of {known}"));
        }
        parsed.ok()
    });
    let name = take_string(&mut fields, "name", &mut findings);
    if name.as_ref().is_some_and(|name| !is_valid_name(name)) {
        findings.push("name: use up to 63 letters, digits, `-`, `_` and `.`".to_owned());
    }
    let expected = match fields.remove("expected") {
        None => None,
        Some(value) => {
            let version = value.as_u64();
            if version.is_none() {
                findings
                    .push("expected: must be a version number, or 0 for a new object".to_owned());
            }
            version
        }
    };
    let spec = fields.remove("spec").unwrap_or(Value::Null);
    for unknown in fields.keys() {
        let known = "`kind`, `name`, `expected` and `spec`";
        findings.push(format!("{unknown}: is not a field; the fields are {known}"));
    }
    if let Some(kind) = kind {
        if let Err(errors) = Spec::parse(kind, &spec.to_string()) {
            findings.extend(errors.iter().map(|error| format!("spec: {error}")));
        }
    }
    match (kind, name) {
        (Some(kind), Some(name)) if findings.is_empty() => Ok(Entry { kind, name, expected, spec }),
        _ => Err(findings),
    }
}

/// Removes a string from the fields; adds a finding if it is missing or not a string.
fn take_string(
    fields: &mut Map<String, Value>,
    name: &str,
    findings: &mut Vec<String>,
) -> Option<String> {
    match fields.remove(name) {
        Some(Value::String(text)) => Some(text),
        Some(_) => {
            findings.push(format!("{name}: must be a string"));
            None
        }
        None => {
            findings.push(format!("{name}: is missing"));
            None
        }
    }
}
