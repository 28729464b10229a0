//! The command line and the subcommands.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, Command};
use dotterelhoist_core::object::Kind;
use dotterelhoist_core::selector::Selector;
use http_types::Method;
use serde_json::{json, Value};
use smol::Timer;

use crate::client::{failure_detail, Client, Reply};
use crate::manifest::{self, Entry};
use crate::{table, Failure};

/// Time within which a change must be in force for `--wait`; afterwards the command fails, although
/// the change stays accepted.
const WAIT_TIMEOUT: Duration = Duration::from_secs(16);
/// Time between two requests for the status while `--wait` waits.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Defines the subcommands and their arguments.
pub(crate) fn command() -> Command {
    let server = Arg::new("server")
        .long("server")
        .value_name("IP:PORT")
        .help("Address at which a daemon serves operators; may be given several times")
        .global(true)
        .action(ArgAction::Append)
        .value_parser(clap::value_parser!(SocketAddr));
    let token = Arg::new("token-file")
        .long("token-file")
        .value_name("FILE")
        .help("File with the operator token")
        .global(true)
        .value_parser(clap::value_parser!(PathBuf));
    Command::new("dotterelhoist")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates a dotterelhoist deployment")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(server)
        .arg(token)
        .subcommand(
            Command::new("check")
                .about("Checks a settings file and reports all errors in it")
                .arg(path_arg("file", "Settings file of a daemon")),
        )
        .subcommand(
            Command::new("apply")
                .about("Creates or replaces the objects that a file describes")
                .arg(path_arg("file", "JSON with comments: one object or a list of them"))
                .arg(wait_flag())
                .arg(operation_arg()),
        )
        .subcommand(
            Command::new("get")
                .about("Shows objects")
                .arg(kind_arg().required(false))
                .arg(Arg::new("name").value_name("NAME").help("Name of the object"))
                .arg(json_flag()),
        )
        .subcommand(
            Command::new("delete")
                .about("Deletes an object")
                .arg(kind_arg())
                .arg(Arg::new("name").value_name("NAME").required(true).help("Name of the object"))
                .arg(
                    Arg::new("expected")
                        .long("expected")
                        .value_name("VERSION")
                        .help("Delete the object only if this is its version")
                        .value_parser(clap::value_parser!(u64)),
                )
                .arg(wait_flag())
                .arg(operation_arg()),
        )
        .subcommand(
            Command::new("drain")
                .about("Moves all work off the VMs that a selector matches, and keeps it off")
                .arg(Arg::new("name").value_name("NAME").required(true).help("Name of the drain"))
                .arg(
                    Arg::new("selector")
                        .value_name("SELECTOR")
                        .required_unless_present("end")
                        .help("Labels of the VMs, like `rack=r7,zone in (a,b)`"),
                )
                .arg(
                    Arg::new("end")
                        .long("end")
                        .help("End the drain, so that the VMs may be used again")
                        .action(ArgAction::SetTrue),
                )
                .arg(operation_arg()),
        )
        .subcommand(Command::new("status").about("Shows the state of the system").arg(json_flag()))
        .subcommand(
            Command::new("explain")
                .about("Shows the outcome of one request, from its recorded usage line")
                .arg(
                    Arg::new("request")
                        .value_name("REQUEST-ID")
                        .required(true)
                        .help("Id that the caller received in the header `dotterelhoist-request`"),
                )
                .arg(json_flag()),
        )
}

fn path_arg(name: &'static str, help: &'static str) -> Arg {
    let parser = clap::value_parser!(PathBuf);
    Arg::new(name).value_name("FILE").help(help).required(true).value_parser(parser)
}

fn kind_arg() -> Arg {
    Arg::new("kind")
        .value_name("KIND")
        .help("`serving-group`, `service`, `workspace` or `drain`")
        .required(true)
        .value_parser(|text: &str| text.parse::<Kind>().map_err(|_| "not a kind of object"))
}

fn json_flag() -> Arg {
    Arg::new("json").long("json").help("Print JSON").action(ArgAction::SetTrue)
}

fn wait_flag() -> Arg {
    Arg::new("wait")
        .long("wait")
        .help("Wait until the change is in force on every linked daemon")
        .action(ArgAction::SetTrue)
}

fn operation_arg() -> Arg {
    Arg::new("operation")
        .long("operation")
        .value_name("ID")
        .help("Operation id; a change sent again with the same id is not applied again and gets its first answer")
}

/// Runs the subcommand and returns the text for standard output.
pub(crate) async fn execute(matches: &ArgMatches) -> Result<String, Failure> {
    let Some((name, matches)) = matches.subcommand() else {
        return Err(Failure::Usage(vec!["no subcommand is given".to_owned()]));
    };
    if name == "check" {
        return check(matches);
    }
    let client = make_client(matches)?;
    match name {
        "apply" => apply(&client, matches).await,
        "get" => get(&client, matches).await,
        "delete" => delete(&client, matches).await,
        "drain" => drain(&client, matches).await,
        "status" => status(&client, matches).await,
        _ => explain(&client, matches).await,
    }
}

/// Makes a client for the servers and the token that the arguments give; without a server it calls
/// port 7003 of this VM.
fn make_client(matches: &ArgMatches) -> Result<Client, Failure> {
    let servers = matches.get_many::<SocketAddr>("server").into_iter().flatten().copied();
    let mut servers: Vec<SocketAddr> = servers.collect();
    if servers.is_empty() {
        servers.push(SocketAddr::from(([127, 0, 0, 1], 7003)));
    }
    let token = match matches.get_one::<PathBuf>("token-file") {
        None => None,
        Some(path) => Some(read_file(path)?.trim().to_owned()),
    };
    Ok(Client { servers, token })
}

fn read_file(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path)
        .map_err(|error| Failure::Usage(vec![format!("{}: {error}", path.display())]))
}

fn file_argument(matches: &ArgMatches) -> PathBuf {
    matches.get_one::<PathBuf>("file").cloned().unwrap_or_default()
}

fn check(matches: &ArgMatches) -> Result<String, Failure> {
    let path = file_argument(matches);
    let text = read_file(&path)?;
    match dotterelhoist_settings::parse(&text) {
        Ok(settings) => {
            let daemon = &settings.daemon;
            Ok(format!("{}: valid settings of daemon {daemon}\n", path.display()))
        }
        Err(findings) => {
            let to_line = |finding| format!("{}:{finding}", path.display());
            Err(Failure::Usage(findings.iter().map(to_line).collect()))
        }
    }
}

/// Operation id for the object with this index: the id given with `--operation`, or a random one,
/// followed by the index.
fn operation_id(matches: &ArgMatches, index: usize) -> String {
    let random = || format!("{:016x}", getrandom::u64().unwrap_or_default());
    let given = matches.get_one::<String>("operation").cloned();
    format!("{}-{index}", given.unwrap_or_else(random))
}

async fn apply(client: &Client, matches: &ArgMatches) -> Result<String, Failure> {
    let path = file_argument(matches);
    let entries = manifest::read(&read_file(&path)?).map_err(|findings| {
        let to_line = |finding| format!("{}: {finding}", path.display());
        Failure::Usage(findings.iter().map(to_line).collect())
    })?;
    let mut text = String::new();
    let mut revision = 0;
    // Each object gets the operation id of the first one with its own index in place of the 0.
    let first_operation = operation_id(matches, 0);
    for (index, entry) in entries.iter().enumerate() {
        let operation = format!("{}-{index}", first_operation.trim_end_matches("-0"));
        let change = change_body(&operation, entry);
        let reply = send_change(client, &change).await?;
        revision = revision.max(reply["revision"].as_u64().unwrap_or(0));
        let Entry { kind, name, .. } = entry;
        text += &format!(
            "{kind}/{name}: version {} accepted (operation {operation})\n",
            reply["version"]
        );
    }
    if matches.get_flag("wait") {
        text += &wait_until_in_force(client, revision).await?;
    }
    Ok(text)
}

/// Body of a request to change one object.
fn change_body(operation: &str, entry: &Entry) -> Value {
    json!({
        "operation": operation,
        "kind": entry.kind,
        "name": entry.name,
        "expected": entry.expected,
        "body": entry.spec,
    })
}

/// Sends a change, and returns the answer if it is accepted.
async fn send_change(client: &Client, change: &Value) -> Result<Value, Failure> {
    let reply = client.call(Method::Post, "/v1/changes", Some(change)).await?;
    let object = format!("{}/{}", as_text(&change["kind"]), as_text(&change["name"]));
    match reply.status {
        200 => Ok(reply.body),
        409 => Err(Failure::Refused(vec![format!(
            "{object}: conflict: version {} is in force: {}",
            reply.body["version"], reply.body["current"]
        )])),
        404 => Err(Failure::Refused(vec![format!("{object}: does not exist")])),
        _ => Err(refusal(&object, &reply)),
    }
}

/// Failure with the findings of an answer, one line each, or with its detail if it has none.
fn refusal(subject: &str, reply: &Reply) -> Failure {
    let findings = reply.body["findings"].as_array();
    let lines = findings.map(|list| {
        list.iter().map(|finding| format!("{subject}: {}", as_text(finding))).collect()
    });
    Failure::Refused(
        lines.unwrap_or_else(|| vec![format!("{subject}: {}", failure_detail(&reply.body))]),
    )
}

/// The string, or an empty one if the value is not a string.
fn as_text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}

/// Waits until a revision is in force on the daemon that answers and on all daemons linked to it.
async fn wait_until_in_force(client: &Client, revision: u64) -> Result<String, Failure> {
    let started = Instant::now();
    loop {
        let status = client.call(Method::Get, "/v1/status", None).await?.body;
        let in_force = |value: &Value| value["revision"].as_u64().unwrap_or(0) >= revision;
        let daemons = status["daemons"].as_array().cloned().unwrap_or_default();
        let linked = |daemon: &&Value| daemon["linked"] == Value::Bool(true);
        let behind: Vec<&Value> =
            daemons.iter().filter(linked).filter(|daemon| !in_force(daemon)).collect();
        if in_force(&status) && behind.is_empty() {
            let count = daemons.iter().filter(linked).count() + 1;
            return Ok(format!("revision {revision} is in force on {count} daemons\n"));
        }
        if started.elapsed() > WAIT_TIMEOUT {
            let names: Vec<&str> = behind.iter().map(|daemon| as_text(&daemon["name"])).collect();
            let message = format!(
                "revision {revision} is accepted, but not in force on {names:?} after \
                 {WAIT_TIMEOUT:?}"
            );
            return Err(Failure::Refused(vec![message]));
        }
        Timer::after(WAIT_POLL_INTERVAL).await;
    }
}

async fn get(client: &Client, matches: &ArgMatches) -> Result<String, Failure> {
    let mut path = "/v1/objects".to_owned();
    if let Some(kind) = matches.get_one::<Kind>("kind") {
        path += &format!("?kind={kind}");
    }
    if let Some(name) = matches.get_one::<String>("name") {
        path += &format!("&name={name}");
    }
    let reply = client.call(Method::Get, &path, None).await?;
    if reply.status != 200 {
        return Err(refusal("get", &reply));
    }
    let is_named = matches.get_one::<String>("name").is_some();
    if matches.get_flag("json") || is_named {
        return Ok(pretty_json(&reply.body));
    }
    Ok(table::objects(&reply.body))
}

fn pretty_json(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default() + "\n"
}

async fn delete(client: &Client, matches: &ArgMatches) -> Result<String, Failure> {
    let kind = matches.get_one::<Kind>("kind").copied().unwrap_or(Kind::Service);
    let name = matches.get_one::<String>("name").cloned().unwrap_or_default();
    let expected = matches.get_one::<u64>("expected");
    let operation = operation_id(matches, 0);
    let change = json!({
        "operation": operation, "kind": kind, "name": name, "expected": expected, "body": null,
    });
    let reply = send_change(client, &change).await?;
    let mut text = format!("{kind}/{name}: deleted (operation {operation})\n");
    if matches.get_flag("wait") {
        text += &wait_until_in_force(client, reply["revision"].as_u64().unwrap_or(0)).await?;
    }
    Ok(text)
}

async fn drain(client: &Client, matches: &ArgMatches) -> Result<String, Failure> {
    let name = matches.get_one::<String>("name").cloned().unwrap_or_default();
    let operation = operation_id(matches, 0);
    let end = matches.get_flag("end");
    let body = match matches.get_one::<String>("selector").filter(|_| !end) {
        None => Value::Null,
        Some(selector) => {
            let parsed = Selector::parse(selector);
            let parsed =
                parsed.map_err(|error| Failure::Usage(vec![format!("selector: {error}")]))?;
            json!({ "selector": parsed.to_string() })
        }
    };
    let change = json!({
        "operation": operation, "kind": Kind::Drain, "name": name, "body": body,
    });
    send_change(client, &change).await?;
    let outcome = if end { "ended" } else { "begun" };
    Ok(format!("drain/{name}: {outcome} (operation {operation})\n"))
}

async fn status(client: &Client, matches: &ArgMatches) -> Result<String, Failure> {
    let reply = client.call(Method::Get, "/v1/status", None).await?;
    if reply.status != 200 {
        return Err(refusal("status", &reply));
    }
    if matches.get_flag("json") {
        return Ok(pretty_json(&reply.body));
    }
    Ok(table::status(&reply.body))
}

async fn explain(client: &Client, matches: &ArgMatches) -> Result<String, Failure> {
    let request = matches.get_one::<String>("request").cloned().unwrap_or_default();
    let reply = client.call(Method::Get, &format!("/v1/explain/{request}"), None).await?;
    match reply.status {
        200 if matches.get_flag("json") => Ok(pretty_json(&reply.body)),
        200 => Ok(table::explanation(&reply.body)),
        404 => Err(Failure::Refused(vec![format!(
            "{request}: no usage line is recorded; the request was not authenticated, or the \
             daemon that received it ended less than a second later"
        )])),
        _ => Err(refusal(&request, &reply)),
    }
}
