//! The listener for operators, which serves the administration API.

use std::path::Path;
use std::sync::Arc;

use dotterelhoist_core::control::command::{Change, NewBar, Outcome, Run, UsageLine};
use dotterelhoist_core::control::configuration::Object;
use dotterelhoist_core::effect::Answer;
use dotterelhoist_core::event::Operation;
use dotterelhoist_core::object::Kind;
use dotterelhoist_core::request::{Reason, Refusal};
use http_types::headers::AUTHORIZATION;
use http_types::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol::channel::bounded;

use crate::http::{self, Handler, Limits, Socket};
use crate::reactor::{Handle, Input};

/// Handles requests of operators.
#[derive(Clone, Debug)]
pub(crate) struct Operators {
    pub reactor: Handle,
    /// Limits of the listener.
    pub limits: Limits,
    /// Accepted bearer tokens; `None` if requests need no token.
    pub tokens: Option<Arc<[String]>>,
}

/// Body of a request to change the configuration.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct ChangeRequest {
    /// Operation id chosen by the operator's command; a resent change carries the same id and takes
    /// effect once.
    operation: String,
    kind: Kind,
    name: String,
    /// Version that the object must have, 0 if it must not exist; without it the version is not
    /// checked.
    #[serde(default)]
    expected: Option<u64>,
    /// New body; without it the object is deleted.
    #[serde(default)]
    body: Option<Value>,
}

/// Answer to a request to change the configuration.
#[derive(Serialize)]
struct ChangeReply {
    bar: String,
    /// Version of the object.
    version: u64,
    /// Revision of the configuration after the change.
    revision: u64,
    /// Current body of the object, if the change was refused because of a conflict.
    #[serde(skip_serializing_if = "Option::is_none")]
    current: Option<Value>,
}

/// Answer to a query for objects.
#[derive(Serialize)]
struct ObjectList {
    /// Revision of the configuration at which the objects were read.
    revision: u64,
    objects: Vec<ListedObject>,
}

/// An object in the answer to a query.
#[derive(Serialize)]
struct ListedObject {
    kind: Kind,
    name: String,
    version: u64,
    body: Value,
}

/// Answer to an invalid request, with everything that is wrong with it.
#[derive(Serialize)]
struct Findings {
    findings: Vec<String>,
}

/// Answer to a request to explain a usage line.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Explanation<'a> {
    request: &'a str,
    workspace: &'a str,
    service: &'a str,
    received_unix_s: u64,
    /// Times that the request was sent to an endpoint.
    sends: u32,
    /// Whether the request ran.
    run: String,
    /// Refusal reason that was sent to the caller, `served` for a complete answer, `repeated` for a
    /// recorded one.
    told: &'a str,
    /// VM that the request was last sent to, empty if it was sent to none.
    vm: &'a str,
    /// Tokens that were forwarded to the caller.
    tokens: u64,
    /// Id of the request whose recorded answer was returned instead, empty if there was none.
    repeats: &'a str,
}

/// Reads the file of operator tokens, one per line. Empty lines and lines that begin with `#` are
/// ignored.
pub(crate) fn read_tokens(path: &Path) -> std::io::Result<Arc<[String]>> {
    let text = std::fs::read_to_string(path)?;
    let lines = text.lines().map(str::trim);
    Ok(lines.filter(|line| !line.is_empty() && !line.starts_with('#')).map(Into::into).collect())
}

impl Handler for Operators {
    async fn handle(&self, mut request: Request, socket: Socket) -> Response {
        if !self.is_authorized(&request) {
            return refuse(Reason::Unauthorized);
        }
        let path = request.url().path().to_owned();
        let operation = match (request.method(), path.as_str()) {
            (Method::Get, "/v1/status") => Operation::Status,
            (Method::Get, "/v1/objects") => match parse_query(&request) {
                Ok(operation) => operation,
                Err(finding) => return invalid_response(vec![finding]),
            },
            (Method::Post, "/v1/changes") => {
                let body = match http::read_body(&mut request, &socket, self.limits).await {
                    Ok(body) => body,
                    Err(reason) => return refuse(reason),
                };
                match parse_change(&body) {
                    Ok(operation) => operation,
                    Err(finding) => return invalid_response(vec![finding]),
                }
            }
            (Method::Get, path) => match path.strip_prefix("/v1/explain/") {
                Some(id) => Operation::Explain(id.into()),
                None => return refuse(Reason::UnknownPath),
            },
            _ => return refuse(Reason::UnknownPath),
        };
        let (sender, receiver) = bounded(1);
        self.reactor.send(Input::Operation(operation, sender));
        match receiver.recv().await {
            Ok(answer) => response(answer),
            Err(_) => refuse(Reason::Stopping),
        }
    }
}

impl Operators {
    /// Whether a request has an accepted bearer token, or needs none.
    fn is_authorized(&self, request: &Request) -> bool {
        let Some(tokens) = &self.tokens else { return true };
        let header = request.header(AUTHORIZATION).map(|values| values.as_str());
        let token = header.and_then(|header| header.strip_prefix("Bearer "));
        token.is_some_and(|token| tokens.iter().any(|accepted| constant_time_eq(accepted, token)))
    }
}

/// Compares two strings in a time that doesn't depend on where they differ, so that a token can't
/// be guessed byte by byte from response times.
fn constant_time_eq(a: &str, b: &str) -> bool {
    let differences = a.bytes().zip(b.bytes()).fold(0, |sum, (a, b)| sum | (a ^ b));
    a.len() == b.len() && differences == 0
}

/// Parses the query parameters of a request for objects.
///
/// # Errors
///
/// Returns what is wrong with the first invalid parameter.
fn parse_query(request: &Request) -> Result<Operation, String> {
    let mut operation = Operation::Get { kind: None, name: None };
    let Operation::Get { kind, name } = &mut operation else { return Ok(operation) };
    for (key, value) in request.url().query_pairs() {
        match &*key {
            "kind" => {
                let parsed: Result<Kind, _> = value.parse();
                *kind =
                    Some(parsed.map_err(|_| format!("kind: `{value}` is not a kind of object"))?);
            }
            "name" => *name = Some(value.as_ref().into()),
            other => return Err(format!("`{other}` is not a parameter; use `kind` and `name`")),
        }
    }
    Ok(operation)
}

/// Parses the body of a request to change the configuration.
///
/// # Errors
///
/// Returns what is wrong with the body.
fn parse_change(body: &[u8]) -> Result<Operation, String> {
    let request: ChangeRequest = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    if request.operation.is_empty() {
        return Err("operation: must not be empty".to_owned());
    }
    Ok(Operation::Change(Change {
        operation: request.operation,
        kind: request.kind as u32,
        name: request.name,
        expected: request.expected,
        body: request.body.map(|body| body.to_string()),
    }))
}

/// Makes the response to an operation from the reducer's answer.
fn response(answer: Answer) -> Response {
    match answer {
        Answer::Outcome(outcome) => match &outcome.line {
            Some(line) => http::json(StatusCode::Ok, &explanation(line)),
            None => change_response(&outcome),
        },
        Answer::Invalid(findings) => invalid_response(findings),
        Answer::Objects { revision, objects } => {
            let objects = objects.into_iter().map(listed_object).collect();
            http::json(StatusCode::Ok, &ObjectList { revision, objects })
        }
        Answer::Status(status) => http::json(StatusCode::Ok, &*status),
        Answer::Unreachable => refuse(Reason::ClaimsUnreachable),
    }
}

/// Makes the response to a change from its outcome.
fn change_response(outcome: &Outcome) -> Response {
    let bar = outcome.bar();
    let status = match bar {
        NewBar::Accepted => StatusCode::Ok,
        NewBar::Conflict => StatusCode::Conflict,
        NewBar::Missing => StatusCode::NotFound,
        _ => StatusCode::BadRequest,
    };
    let current = serde_json::from_str(&outcome.holder).ok();
    let reply = ChangeReply {
        bar: bar.to_string(),
        version: outcome.version,
        revision: outcome.revision,
        current,
    };
    http::json(status, &reply)
}

/// Makes the body of the answer that explains a usage line.
fn explanation(line: &UsageLine) -> Explanation<'_> {
    Explanation {
        request: &line.request,
        workspace: &line.workspace,
        service: &line.service,
        received_unix_s: line.received,
        sends: line.sends,
        run: line.run().to_string(),
        told: &line.told,
        vm: &line.vm,
        tokens: line.tokens,
        repeats: &line.repeats,
    }
}

/// Converts an object to its form in the answer to a query.
fn listed_object(object: Object) -> ListedObject {
    let body = object.body.as_deref().unwrap_or("null");
    ListedObject {
        kind: object.kind,
        name: object.name.to_string(),
        version: object.version,
        body: serde_json::from_str(body).unwrap_or(Value::Null),
    }
}

/// Makes the response to an invalid request, which lists what is wrong with it.
fn invalid_response(findings: Vec<String>) -> Response {
    http::json(StatusCode::UnprocessableEntity, &Findings { findings })
}

/// Makes a refusal. Its `run` is always `unknown`, because the operation may have taken effect.
fn refuse(reason: Reason) -> Response {
    http::problem("", &Refusal { reason, run: Run::Unknown, retry_after: None })
}
