//! Starts a small deployment on this machine, sends it 100 requests, and stops it.
//!
//! `cargo run --release --example quickstart` starts 6 daemons in 3 availability zones, stand-in
//! engines for 3 serving groups of 2 members with a spare VM each, and a plain service, each in a
//! process of its own: this program starts itself again in the role that its first argument names.
//! After half of the requests it kills one member of a serving group while requests are in flight.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use dotterelhoist_testkit::client::{call, Call, Reply};
use dotterelhoist_testkit::deployment::Deployment;
use dotterelhoist_testkit::engine::Config;
use dotterelhoist_testkit::process::Process;
use dotterelhoist_testkit::role;
use serde_json::{json, Value};
use smol::Timer;

/// Availability zones.
const ZONES: [&str; 3] = ["gulf-a", "gulf-b", "gulf-c"];
/// Number of requests.
const REQUESTS: usize = 100;
/// Number of these requests that are bookings of the plain service, which are not idempotent.
const BOOKINGS: usize = 20;
/// Time after which a request that has not been served is not sent again and counts as failed.
const RETRY_TIMEOUT: Duration = Duration::from_secs(25);
/// Number of tokens of each generated answer.
const ANSWER_TOKENS: u32 = 20;
/// Bearer tokens of the two workspaces.
const BEARER_TOKENS: [&str; 2] = ["captains-key", "mosques-key"];
/// SHA-256 of [`BEARER_TOKENS`], as the workspace objects hold it.
const BEARER_TOKEN_HASHES: [&str; 2] = [
    "f473b29ce199d45c90d425cc71fceebba25eeabcf751cd05b48dd385f8defc82",
    "543e8933d32729e8b8a3fec5a6a49278846a0e96b8b966958497fe18f04fcf44",
];

fn main() -> ExitCode {
    if let Some(code) = role::run_from_arguments(std::env::args_os()) {
        return code;
    }
    match smol::block_on(run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            println!("failed: {reason}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the example, and prints the daemons' logs if it fails.
async fn run() -> Result<(), String> {
    let mut deployment = Deployment::plan(&ZONES, 2, 0, role::command_line("daemon"));
    let result = exercise(&mut deployment).await;
    if result.is_err() {
        eprint!("{}", deployment.logs());
    }
    result
}

/// Starts the deployment, sends it the requests, and stops it.
async fn exercise(deployment: &mut Deployment) -> Result<(), String> {
    deployment.start_all();
    let mut stand_ins = start_stand_ins(deployment)?;
    deployment.wait_until_ready().await;
    println!("6 daemons in 3 availability zones are ready");
    apply(deployment)?;
    deployment.wait_for_routes(ZONES.len() + 1).await;
    println!("3 serving groups of 2 members and 1 plain service accept requests");
    let started = Instant::now();
    let first_half = send(deployment, 0..REQUESTS / 2).await;
    let member = stand_ins.remove(0);
    let kill_member = async {
        let mut member = member;
        Timer::after(Duration::from_millis(20)).await;
        member.kill();
    };
    let (second_half, ()) =
        smol::future::zip(send(deployment, REQUESTS / 2..REQUESTS), kill_member).await;
    let outcomes: Vec<Outcome> = first_half.into_iter().chain(second_half).collect();
    report(deployment, &outcomes, started).await;
    let explanation = explain(deployment, &outcomes)?;
    println!("{explanation}");
    stop(deployment)?;
    for (number, outcome) in outcomes.iter().enumerate().filter(|(_, outcome)| !outcome.served) {
        println!(
            "request {number} was not served; the last response was: {}",
            outcome.last_response
        );
    }
    let served = outcomes.iter().filter(|outcome| outcome.served).count();
    if served != REQUESTS {
        return Err(format!("served {served} of {REQUESTS}"));
    }
    println!("served {served} of {REQUESTS}");
    Ok(())
}

/// Starts a plain service, and three engines in each zone: two become members of a group and one
/// stays a spare.
fn start_stand_ins(deployment: &Deployment) -> Result<Vec<Process>, String> {
    let mut stand_ins = Vec::new();
    for zone in ZONES {
        for number in 0..3 {
            let vm = format!("{zone}-vm-{number}");
            let mut config = Config::new(
                &vm,
                zone,
                &format!("{zone}-rack"),
                &deployment.announcement_addresses(zone),
            );
            config.labels.insert("pool".to_owned(), "assist".to_owned());
            stand_ins.push(role::start_stand_in(deployment, "engine", &config)?);
        }
    }
    let zone = ZONES[1];
    let mut config =
        Config::new("desk-vm", zone, "desk-rack", &deployment.announcement_addresses(zone));
    config.labels.insert("pool".to_owned(), "desk".to_owned());
    stand_ins.push(role::start_stand_in(deployment, "plain", &config)?);
    Ok(stand_ins)
}

/// Applies the configuration with the operators' command, in a process of its own.
fn apply(deployment: &Deployment) -> Result<(), String> {
    let path = deployment.folder.path().join("objects.json");
    std::fs::write(&path, objects().to_string()).map_err(|error| error.to_string())?;
    let output = run_command(deployment, &["apply".into(), path.into(), "--wait".into()])?;
    print!("{output}");
    Ok(())
}

/// The configuration: a serving group, a service for it, a plain service and two workspaces.
fn objects() -> Value {
    let workspace = |name: &str, hash: &str| json!({ "kind": "workspace", "name": name, "spec": { "key-sha256": hash } });
    json!([
        {
            "kind": "serving-group",
            "name": "assist",
            "spec": {
                "labels": { "app": "assist" },
                "model": "assist-1",
                "members": 2,
                "replicas": 3,
                "selector": "pool=assist",
            },
        },
        { "kind": "service", "name": "iftar-assist", "spec": { "groups": "app=assist" } },
        { "kind": "service", "name": "tent-desk", "spec": { "endpoints": "pool=desk" } },
        workspace("captains", BEARER_TOKEN_HASHES[0]),
        workspace("mosques", BEARER_TOKEN_HASHES[1]),
    ])
}

/// Runs the operators' command with the addresses of all daemons and returns its output, or what it
/// wrote to standard error if it failed.
fn run_command(deployment: &Deployment, arguments: &[OsString]) -> Result<String, String> {
    let program = role::command_line("command");
    let mut command = std::process::Command::new(&program[0]);
    command.args(&program[1..]).args(arguments);
    for daemon in &deployment.daemons {
        command.arg("--server").arg(daemon.addresses.operators.to_string());
    }
    let output = command.output().map_err(|error| error.to_string())?;
    if !output.status.success() {
        return Err(String::from_utf8_lossy(&output.stderr).into_owned());
    }
    Ok(String::from_utf8_lossy(&output.stdout).into_owned())
}

/// Result of one request, over all its attempts.
struct Outcome {
    /// Whether an attempt got a complete answer.
    served: bool,
    /// Number of attempts that were refused.
    refused: u32,
    /// Number of attempts whose answer was incomplete or missing.
    broken: u32,
    /// Id of the request that was served, empty if none was.
    request_id: String,
    /// Status and body of the last response that was not a complete answer.
    last_response: String,
}

/// Sends the requests with these numbers at once and waits until each is served or its retries
/// have ended.
async fn send(deployment: &Deployment, numbers: std::ops::Range<usize>) -> Vec<Outcome> {
    let addresses = deployment.caller_addresses();
    let tasks: Vec<_> = numbers
        .map(|number| {
            let addresses = addresses.clone();
            smol::spawn(async move { send_one(number, &addresses).await })
        })
        .collect();
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.push(task.await);
    }
    outcomes
}

/// Sends one request to one daemon after another until it is served or [`RETRY_TIMEOUT`] has
/// passed. A booking has an idempotency key, so that it runs at most once.
async fn send_one(number: usize, addresses: &[SocketAddr]) -> Outcome {
    let booking = number.is_multiple_of(REQUESTS / BOOKINGS);
    let stream = number.is_multiple_of(2);
    let prompt = format!("headcount of tent {number}");
    let bearer_token = BEARER_TOKENS[number % 2];
    let request = if booking {
        Call::plain("tent-desk", bearer_token, "/book", &prompt)
            .with_idempotency_key(&format!("tent-{number}"))
    } else {
        Call::generate("iftar-assist", bearer_token, &prompt, ANSWER_TOKENS, stream)
    };
    let mut outcome = Outcome {
        served: false,
        refused: 0,
        broken: 0,
        request_id: String::new(),
        last_response: String::new(),
    };
    let started = Instant::now();
    let mut daemon_index = number;
    while started.elapsed() < RETRY_TIMEOUT {
        let reply = call(addresses[daemon_index % addresses.len()], &request).await;
        daemon_index += 1;
        let Ok(reply) = reply else {
            outcome.broken += 1;
            continue;
        };
        if is_complete(&reply, booking, &prompt, stream) {
            outcome.served = true;
            outcome.request_id = reply.request_id;
            return outcome;
        }
        outcome.last_response = format!("{} {}", reply.status, reply.body);
        match reply.status {
            200 => outcome.broken += 1,
            _ => outcome.refused += 1,
        }
        Timer::after(Duration::from_millis(200)).await;
    }
    outcome
}

/// Whether a reply is the complete answer to its request.
fn is_complete(reply: &Reply, booking: bool, prompt: &str, stream: bool) -> bool {
    if booking {
        return reply.status == 200 && reply.complete && reply.json()["body"] == prompt;
    }
    reply.is_complete_answer(prompt, ANSWER_TOKENS, stream)
}

/// Prints how the requests ended, waits until the group of the killed member is repaired, and
/// prints, for each zone, the downtime of its groups and the time that accelerators were stranded,
/// held by a group that could not serve.
async fn report(deployment: &Deployment, outcomes: &[Outcome], started: Instant) {
    let first_attempt = outcomes.iter().filter(|o| o.served && o.refused + o.broken == 0).count();
    let refused: u32 = outcomes.iter().map(|outcome| outcome.refused).sum();
    let broken: u32 = outcomes.iter().map(|outcome| outcome.broken).sum();
    println!(
        "{first_attempt} served at the first attempt; {refused} refusals and {broken} visibly broken \
         answers were retried; {:.1} s",
        started.elapsed().as_secs_f64()
    );
    let name = &deployment.daemons[0].name;
    deployment
        .wait_for(name, "the repaired group", |status| {
            let zones = status["zones"].as_array();
            let repaired = |zone: &Value| match zone["zone"] == ZONES[0] {
                true => zone["serving"] == 2 && zone["failed"] == 1,
                false => zone["serving"] == 2,
            };
            zones.is_some_and(|zones| zones.iter().all(repaired))
        })
        .await;
    let status = deployment.status(name).await;
    println!("a member of the serving group in {} was killed and replaced by the spare:", ZONES[0]);
    for zone in status["zones"].as_array().into_iter().flatten() {
        println!(
            "{}: group downtime {} ms, stranded {} accelerator-ms",
            zone["zone"].as_str().unwrap_or_default(),
            zone["group-downtime-ms"],
            zone["stranded-ms"]
        );
    }
}

/// Returns what the operators' command explains about the first request.
fn explain(deployment: &Deployment, outcomes: &[Outcome]) -> Result<String, String> {
    let request_id = outcomes.first().map(|outcome| outcome.request_id.clone()).unwrap_or_default();
    run_command(deployment, &["explain".into(), request_id.into()])
}

/// Sends SIGTERM to all daemons and waits until each has exited with success.
fn stop(deployment: &mut Deployment) -> Result<(), String> {
    for daemon in &deployment.daemons {
        if let Some(process) = &daemon.process {
            process.signal("TERM");
        }
    }
    for daemon in &mut deployment.daemons {
        let Some(process) = &mut daemon.process else { continue };
        let status = process.wait(Duration::from_secs(10));
        if !status.is_some_and(|status| status.success()) {
            return Err(format!("{} did not stop gracefully: {status:?}", daemon.name));
        }
    }
    Ok(())
}
