//! The administration API.

use std::path::Path;
use std::sync::Arc;

use dotterelhoist_core::control::command::{Change, Outcome, Run, UsageLine, Verdict};
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
use crate::reactor::{Desk, Input};

/// Answers operators.
#[derive(Clone, Debug)]
pub(crate) struct Operators {
    pub desk: Desk,
    pub limits: Limits,
    /// Tokens that are let in; none lets everybody in.
    pub tokens: Option<Arc<[String]>>,
}

/// A change as the operators' command sends it.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct Asked {
    operation: String,
    kind: Kind,
    name: String,
    #[serde(default)]
    expected: Option<u64>,
    #[serde(default)]
    body: Option<Value>,
}

/// Answer to a change.
#[derive(Serialize)]
struct Changed {
    verdict: String,
    version: u64,
    revision: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    current: Option<Value>,
}

/// All objects asked for.
#[derive(Serialize)]
struct Listed {
    revision: u64,
    objects: Vec<Shown>,
}

/// An object.
#[derive(Serialize)]
struct Shown {
    kind: Kind,
    name: String,
    version: u64,
    body: Value,
}

/// What is wrong.
#[derive(Serialize)]
struct Wrong {
    findings: Vec<String>,
}

/// A usage line.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Explained<'a> {
    request: &'a str,
    workspace: &'a str,
    service: &'a str,
    received_unix_s: u64,
    sends: u32,
    run: String,
    told: &'a str,
    vm: &'a str,
    tokens: u64,
    repeats: &'a str,
}

/// Reads the file of operator tokens, one a line; empty lines and lines with `#` are passed over.
pub(crate) fn read_tokens(path: &Path) -> std::io::Result<Arc<[String]>> {
    let text = std::fs::read_to_string(path)?;
    let lines = text.lines().map(str::trim);
    Ok(lines.filter(|line| !line.is_empty() && !line.starts_with('#')).map(Into::into).collect())
}

impl Handler for Operators {
    async fn handle(&self, mut request: Request, socket: Socket) -> Response {
        if !self.is_let_in(&request) {
            return refuse(Reason::Unauthorized);
        }
        let path = request.url().path().to_owned();
        let operation = match (request.method(), path.as_str()) {
            (Method::Get, "/v1/status") => Operation::Status,
            (Method::Get, "/v1/objects") => match objects(&request) {
                Ok(operation) => operation,
                Err(finding) => return wrong(vec![finding]),
            },
            (Method::Post, "/v1/changes") => {
                let body = match http::read_body(&mut request, &socket, self.limits).await {
                    Ok(body) => body,
                    Err(reason) => return refuse(reason),
                };
                match change(&body) {
                    Ok(operation) => operation,
                    Err(finding) => return wrong(vec![finding]),
                }
            }
            (Method::Get, path) => match path.strip_prefix("/v1/explain/") {
                Some(id) => Operation::Explain(id.into()),
                None => return refuse(Reason::UnknownPath),
            },
            _ => return refuse(Reason::UnknownPath),
        };
        let (sender, receiver) = bounded(1);
        self.desk.put(Input::Operation(operation, sender));
        match receiver.recv().await {
            Ok(answer) => respond(answer),
            Err(_) => refuse(Reason::Stopping),
        }
    }
}

impl Operators {
    fn is_let_in(&self, request: &Request) -> bool {
        let Some(tokens) = &self.tokens else { return true };
        let header = request.header(AUTHORIZATION).map(|values| values.as_str());
        let token = header.and_then(|header| header.strip_prefix("Bearer "));
        token.is_some_and(|token| tokens.iter().any(|known| same(known, token)))
    }
}

/// Compares without telling by the time taken where the difference lies.
fn same(a: &str, b: &str) -> bool {
    let differences = a.bytes().zip(b.bytes()).fold(0, |sum, (a, b)| sum | (a ^ b));
    a.len() == b.len() && differences == 0
}

fn objects(request: &Request) -> Result<Operation, String> {
    let mut operation = Operation::Get { kind: None, name: None };
    let Operation::Get { kind, name } = &mut operation else { return Ok(operation) };
    for (key, value) in request.url().query_pairs() {
        match &*key {
            "kind" => {
                let parsed: Result<Kind, _> = value.parse();
                *kind = Some(parsed.map_err(|_| format!("kind: `{value}` is no kind"))?);
            }
            "name" => *name = Some(value.as_ref().into()),
            other => return Err(format!("`{other}` is not a parameter; use `kind` and `name`")),
        }
    }
    Ok(operation)
}

fn change(body: &[u8]) -> Result<Operation, String> {
    let asked: Asked = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    if asked.operation.is_empty() {
        return Err("operation: must not be empty".to_owned());
    }
    Ok(Operation::Change(Change {
        operation: asked.operation,
        kind: asked.kind as u32,
        name: asked.name,
        expected: asked.expected,
        body: asked.body.map(|body| body.to_string()),
    }))
}

fn respond(answer: Answer) -> Response {
    match answer {
        Answer::Outcome(outcome) => match &outcome.line {
            Some(line) => http::json(StatusCode::Ok, &explained(line)),
            None => changed(&outcome),
        },
        Answer::Invalid(findings) => wrong(findings),
        Answer::Objects { revision, objects } => {
            let objects = objects.into_iter().map(shown).collect();
            http::json(StatusCode::Ok, &Listed { revision, objects })
        }
        Answer::Status(status) => http::json(StatusCode::Ok, &*status),
        Answer::Unreachable => refuse(Reason::ClaimsUnreachable),
    }
}

fn changed(outcome: &Outcome) -> Response {
    let verdict = outcome.verdict();
    let status = match verdict {
        Verdict::Accepted => StatusCode::Ok,
        Verdict::Conflict => StatusCode::Conflict,
        Verdict::Missing => StatusCode::NotFound,
        _ => StatusCode::BadRequest,
    };
    let current = serde_json::from_str(&outcome.holder).ok();
    let changed = Changed {
        verdict: verdict.to_string(),
        version: outcome.version,
        revision: outcome.revision,
        current,
    };
    http::json(status, &changed)
}

fn explained(line: &UsageLine) -> Explained<'_> {
    Explained {
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

fn shown(object: Object) -> Shown {
    let body = object.body.as_deref().unwrap_or("null");
    Shown {
        kind: object.kind,
        name: object.name.to_string(),
        version: object.version,
        body: serde_json::from_str(body).unwrap_or(Value::Null),
    }
}

fn wrong(findings: Vec<String>) -> Response {
    http::json(StatusCode::UnprocessableEntity, &Wrong { findings })
}

fn refuse(reason: Reason) -> Response {
    http::problem("", &Refusal { reason, run: Run::Unknown, retry_after: None })
}
