//! Odd values from endpoints and other writers: too large, out of range, nested deeply.

use super::deployment::Deployment;
use super::scripts::{Next, Script};
use super::{serve_all, RECOVERY_TIMEOUT, REQUESTS};

/// Values of headers in which endpoints state numbers.
const NUMBERS: [&str; 9] = [
    "4294967295",
    "4294967295,4294967295,4294967295",
    "18446744073709551615,1,1",
    "99999999999999999999999999",
    "-1,-1,-1",
    "1e309",
    "NaN",
    ",,,",
    "0.0000000000000000000001",
];

/// Bodies of heartbeats of other writers.
fn heartbeats() -> Vec<String> {
    let heartbeat = |field: &str, value: &str| {
        let fields = [
            ("service", r#""desk""#),
            ("address", r#""127.0.0.1:9""#),
            ("zone", r#""z""#),
            ("version", r#""v1""#),
            ("slots", "26"),
            ("state", r#""ready""#),
            ("cold_remaining_ms", "0"),
            ("sequence", "1"),
            ("born", "2"),
        ];
        let other = fields.into_iter().filter(|(name, _)| *name != field);
        let all = other.chain([(field, value)]);
        let all: Vec<String> = all.map(|(name, value)| format!(r#""{name}":{value}"#)).collect();
        format!("{{{}}}", all.join(","))
    };
    let max = u64::MAX.to_string();
    let nested = "[".repeat(200_000);
    vec![
        nested.clone(),
        heartbeat("more", &nested),
        heartbeat("staged", &nested),
        heartbeat("group", &format!(r#"{{"name":{nested}"#)),
        heartbeat("sequence", &max),
        heartbeat("sequence", "99999999999999999999999"),
        heartbeat("born", &max),
        heartbeat("slots", "4294967295"),
        heartbeat("slots", "4294967296"),
        heartbeat("cold_remaining_ms", "1e308"),
        heartbeat("address", r#""127.0.0.1:0""#),
        heartbeat("address", r#""127.0.0.1:70000""#),
        heartbeat(
            "group",
            &format!(r#"{{"name":"g","epoch":{max},"rank":4294967295,"state":"open"}}"#),
        ),
    ]
}

/// Guards against processes that end by themselves: odd entries among those of the endpoints.
#[test]
fn odd_heartbeats_end_no_daemon_and_others_are_followed() {
    let mut deployment = Deployment::start();
    for (number, body) in heartbeats().iter().enumerate() {
        let id = format!("odd-{number}");
        deployment.call_all_control_daemons(&format!("/Instances.Heartbeat/{id}"), body);
        deployment.call_all_control_daemons(&format!("/Instances.Deregister/{id}"), body);
    }
    deployment.start_engine("i-next", "desk");
    deployment.stop_engine(5);
    let next = deployment.poll(RECOVERY_TIMEOUT, |deployment| {
        deployment.book(&deployment.unique_label()).filter(|reply| reply.status == 200)
    });
    assert!(next.is_some(), "an endpoint that starts later gets no bookings");
    deployment.put(8);
    assert_eq!(deployment.poll(RECOVERY_TIMEOUT, Deployment::read_version), Some(8));
    assert_eq!(deployment.ended_daemons(), Vec::<String>::new());
}

/// Guards against processes that end by themselves: odd numbers in the headers of answers.
#[test]
fn odd_numbers_in_answers_end_no_daemon() {
    let mut deployment = Deployment::start();
    for (number, value) in NUMBERS.iter().enumerate() {
        for (at, name) in
            ["Dotterelhoist-Server-Load", "Server-Limit", "Dotterelhoist-Weight-Versions"]
                .iter()
                .enumerate()
        {
            let id = format!("x{number}h{at}-1");
            let bytes = format!(
                "HTTP/1.1 200 OK\r\nDotterelhoist-Request-Id: {{id}}\r\n\
                 Dotterelhoist-Response-Seal: s\r\n{name}: {value}\r\nContent-Length: 4\r\n\r\ndone"
            );
            deployment.scripts.plan(&id, [Script::run(bytes, Next::Request)]);
            deployment.poll(RECOVERY_TIMEOUT, |deployment| deployment.book(&id));
        }
    }
    let served = deployment.poll(RECOVERY_TIMEOUT, |deployment| {
        let label = deployment.unique_label();
        (serve_all(deployment, &label) == REQUESTS).then_some(())
    });
    assert!(served.is_some(), "requests are not served after odd numbers");
    assert_eq!(deployment.ended_daemons(), Vec::<String>::new());
}
