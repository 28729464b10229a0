//! Formats status, objects and usage lines as tables for people.

use serde_json::Value;

/// Aligns the cells of all rows in columns that are two spaces apart.
pub(crate) fn format_columns(rows: &[Vec<String>]) -> String {
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

/// Text of one cell: lists are joined by spaces, and booleans become `yes` or `no`.
fn cell_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::Array(items) => items.iter().map(cell_text).collect::<Vec<_>>().join(" "),
        other => other.to_string(),
    }
}

/// Formats a titled table with one row per item and the names of the fields as column headings;
/// empty if there are no items.
fn format_section(title: &str, items: &Value, fields: &[&str]) -> String {
    let Some(items) = items.as_array().filter(|items| !items.is_empty()) else {
        return String::new();
    };
    let headings = fields.iter().map(|field| field.replace('-', " ").to_uppercase());
    let mut rows: Vec<Vec<String>> = vec![headings.collect()];
    for item in items {
        rows.push(fields.iter().map(|field| cell_text(&item[*field])).collect());
    }
    format!("\n{title}\n{}", format_columns(&rows))
}

/// Formats the answer to a status request.
pub(crate) fn status(status: &Value) -> String {
    let mut output = format!(
        "daemon {} in {}: {}, revision {}{}, {} running, {} waiting\n",
        cell_text(&status["daemon"]),
        cell_text(&status["zone"]),
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
    output += &format_section(
        "Daemons",
        &status["daemons"],
        &["name", "zone", "linked", "ready", "revision", "age-ms"],
    );
    output += &format_section(
        "Logs hosted here",
        &status["logs"],
        &["name", "role", "term", "leader", "applied", "voters"],
    );
    output += &format_section(
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
    output += &format_section(
        "Routes",
        &status["routes"],
        &["name", "zone", "standing", "generation", "load", "slots", "age-ms", "ejected"],
    );
    output += &format_section("VMs", &status["vms"], &["name", "zone", "status", "group"]);
    output += &format_section("Counters", &status["counters"], &["name", "value"]);
    output
}

/// Formats a list of objects of the configuration.
pub(crate) fn objects(listed: &Value) -> String {
    let mut rows = vec![vec!["KIND".to_owned(), "NAME".to_owned(), "VERSION".to_owned()]];
    for object in listed["objects"].as_array().into_iter().flatten() {
        rows.push(vec![
            cell_text(&object["kind"]),
            cell_text(&object["name"]),
            cell_text(&object["version"]),
        ]);
    }
    format!("revision {}\n{}", listed["revision"], format_columns(&rows))
}

/// Formats the usage line of a request.
pub(crate) fn explanation(line: &Value) -> String {
    let fields = [
        ("request", "request"),
        ("workspace billed", "workspace"),
        ("service", "service"),
        ("received (unix s)", "received-unix-s"),
        ("sent to endpoints", "sends"),
        ("did it run", "run"),
        ("outcome for the caller", "told"),
        ("last VM", "vm"),
        ("tokens billed", "tokens"),
        ("repeats the answer of", "repeats"),
    ];
    let rows: Vec<Vec<String>> = fields
        .iter()
        .map(|(label, field)| vec![(*label).to_owned(), cell_text(&line[*field])])
        .collect();
    format_columns(&rows)
}
