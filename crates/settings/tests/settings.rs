//! Tests of parsing valid and invalid settings files.

use dotterelhoist_settings::{parse, LogContent};
use rstest::rstest;

const VALID: &str = r#"{
  // One daemon of a small deployment.
  "daemon": "a-1",
  "zone": "a",
  "zones": ["a", "b"],
  "listen": {
    "callers": "127.0.0.1:7000",
    "endpoints": "127.0.0.1:7001",
    "operators": "127.0.0.1:7002",
    "daemons": "127.0.0.1:7003",
  },
  "peers": [{ "daemon": "b-1", "zone": "b", "address": "127.0.0.1:7103" }],
  "logs": [
    { "name": "configuration", "holds": "configuration", "voters": [{ "daemon": "a-1" }, { "daemon": "b-1" }] },
    { "name": "claims", "holds": "claims", "voters": [{ "daemon": "a-1" }] },
    { "name": "placement-a", "holds": "placement", "zone": "a", "voters": [{ "daemon": "a-1", "weight": 2 }] },
    { "name": "placement-b", "holds": "placement", "zone": "b", "voters": [{ "daemon": "b-1" }] },
  ],
  "data-folder": "/var/lib/dotterelhoist",
  /* Weights of repairs. */
  "policy": { "downtime-weight": 0.2, "stranded-weight": 0.02 },
}"#;

#[test]
fn parse_valid_settings() {
    let settings = parse(VALID).expect("valid settings");
    assert_eq!(&*settings.daemon, "a-1");
    assert_eq!(settings.logs[2].holds, LogContent::Placement);
    assert_eq!(settings.logs[2].voters[0].weight, 2);
    assert_eq!(settings.policy.stranded_weight, 0.02);
    assert_eq!(settings.limits.body_bytes, 4 << 20);
}

#[rstest]
#[case::unknown_key(r#""zone": "a""#, r#""zonk": 1, "zone": "a""#, "4:3: zonk: is not a setting")]
#[case::invalid_type(r#""daemon": "a-1""#, r#""daemon": 7"#, "3:13: daemon: must be a string")]
#[case::invalid_name(r#""daemon": "a-1""#, r#""daemon": "a 1""#, "3:13: daemon: use letters")]
#[case::out_of_range("0.02", "-1", "stranded-weight: must be from 0 to 1000000")]
#[case::invalid_address(
    "127.0.0.1:7001",
    "localhost",
    "8:18: listen.endpoints: must be an IP address"
)]
#[case::duplicate_address(
    "127.0.0.1:7002",
    "127.0.0.1:7000",
    "is the address of `listen.callers` too"
)]
#[case::duplicate_peer_address(
    "127.0.0.1:7103",
    "127.0.0.1:7003",
    "is in use by this daemon or another peer"
)]
#[case::zone_not_listed(r#""zone": "a","#, r#""zone": "x","#, "must be one of the `zones`")]
#[case::voter_not_known(
    r#"{ "daemon": "b-1" }] }"#,
    r#"{ "daemon": "c-1" }] }"#,
    "`c-1` is neither"
)]
#[case::weight_zero(r#""weight": 2"#, r#""weight": 0"#, "must be a whole number from 1 to 100")]
#[case::no_claims(r#""holds": "claims""#, r#""holds": "clams""#, "must be one of `configuration`")]
#[case::no_data_folder(
    r#""data-folder": "/var/lib/dotterelhoist","#,
    "",
    "data-folder: is missing"
)]
#[case::operators_without_tokens(
    "127.0.0.1:7002",
    "10.0.0.1:7002",
    "must be a loopback address unless"
)]
#[case::broken_json(r#""zones": ["#, r#""zones": [["#, ":")]
fn parse_invalid_settings(#[case] valid: &str, #[case] invalid: &str, #[case] expected: &str) {
    let text = VALID.replacen(valid, invalid, 1);
    assert_ne!(text, VALID);
    let findings = parse(&text).expect_err("invalid settings");
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    assert!(lines.iter().any(|line| line.contains(expected)), "{lines:#?}");
}

#[test]
fn parse_reports_everything_at_once() {
    let text = VALID
        .replace(r#""daemon": "a-1","#, r#""daemon": 1,"#)
        .replace("127.0.0.1:7001", "nowhere")
        .replace(r#""weight": 2"#, r#""weight": "two""#)
        .replace("0.02", "true")
        .replacen(r#""zone": "a","#, r#""zone": "a", "colour": "red","#, 1);
    let findings = parse(&text).expect_err("invalid settings");
    for path in [
        "daemon",
        "listen.endpoints",
        "logs[2].voters[0].weight",
        "policy.stranded-weight",
        "colour",
    ] {
        assert!(findings.iter().any(|finding| finding.path == path), "{path}: {findings:#?}");
    }
    let line_numbers: Vec<usize> = findings.iter().map(|finding| finding.line).collect();
    assert!(line_numbers.is_sorted());
}
