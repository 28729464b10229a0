//! Status and objects as tables for reading.

use serde_json::Value;

/// Lays rows out in columns.
pub(crate) fn columns(rows: &[Vec<String>]) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count()).max()
    };
    let widths: Vec<usize> = (0..count).map(|column| width(column).unwrap_or(0)).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        let line: Vec<String> = cells.collect();
        text.push_str(line.join("  ").trim_end());
        text.push('\n');
    }
    text
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::Array(items) => items.iter().map(text).collect::<Vec<_>>().join(" "),
        other => other.to_string(),
    }
}

fn section(title: &str, items: &Value, fields: &[&str]) -> String {
    let Some(items) = items.as_array().filter(|items| !items.is_empty()) else {
        return String::new();
    };
    let heads = fields.iter().map(|field| field.replace('-', " ").to_uppercase());
    let mut rows: Vec<Vec<String>> = vec![heads.collect()];
    for item in items {
        rows.push(fields.iter().map(|field| text(&item[*field])).collect());
    }
    format!("\n{title}\n{}", columns(&rows))
}

/// Status of the system.
pub(crate) fn status(status: &Value) -> String {
    let mut out = format!(
        "daemon {} in {}: {}, revision {}{}, {} running, {} waiting\n",
        text(&status["daemon"]),
        text(&status["zone"]),
        match (&status["stopping"], &status["ready"]) {
            (Value::Bool(true), _) => "stopping",
            (_, Value::Bool(true)) => "ready",
            _ => "starting",
        },
        status["revision"],
        if status["stale"] == Value::Bool(true) { " (stale)" } else { "" },
        status["running"],
        status["waiting"],
    );
    out += &section(
        "Daemons",
        &status["daemons"],
        &["name", "zone", "linked", "ready", "revision", "age-ms"],
    );
    out += &section(
        "Logs hosted here",
        &status["logs"],
        &["name", "role", "term", "leader", "applied", "voters"],
    );
    out += &section(
        "Zones",
        &status["zones"],
        &[
            "zone",
            "serving",
            "free",
            "loading",
            "draining",
            "failed",
            "shortfall",
            "group-downtime-ms",
            "stranded-ms",
        ],
    );
    out += &section(
        "Routes",
        &status["routes"],
        &["name", "zone", "standing", "generation", "load", "slots", "age-ms", "ejected"],
    );
    out += &section("VMs", &status["vms"], &["name", "zone", "status", "group"]);
    out += &section("Counters", &status["counters"], &["name", "value"]);
    out
}

/// Objects of the configuration.
pub(crate) fn objects(listed: &Value) -> String {
    let mut rows = vec![vec!["KIND".to_owned(), "NAME".to_owned(), "VERSION".to_owned()]];
    for object in listed["objects"].as_array().into_iter().flatten() {
        rows.push(vec![text(&object["kind"]), text(&object["name"]), text(&object["version"])]);
    }
    format!("revision {}\n{}", listed["revision"], columns(&rows))
}

/// The usage line of a request.
pub(crate) fn explanation(line: &Value) -> String {
    let fields = [
        ("request", "request"),
        ("workspace billed", "workspace"),
        ("service", "service"),
        ("received (unix s)", "received-unix-s"),
        ("sent to endpoints", "sends"),
        ("did it run", "run"),
        ("told to the caller", "told"),
        ("last VM", "vm"),
        ("tokens billed", "tokens"),
        ("repeats the answer of", "repeats"),
    ];
    let rows: Vec<Vec<String>> = fields
        .iter()
        .map(|(label, field)| vec![(*label).to_owned(), text(&line[*field])])
        .collect();
    columns(&rows)
}
