//! Settings files: those of the deployments load, and each violated rule is reported with its field.

use std::path::Path;
use std::time::Duration;

use grebepin_settings::{
    load_control, load_router, parse_control, parse_router, ControlTiming, RouterLimits,
    SettingsError,
};

const CONTROL: &str = include_str!("../../../deployments/recife/control-boa-vista.toml");
const ROUTER: &str = include_str!("../../../deployments/recife/router-boa-vista.toml");

fn error_message<T: std::fmt::Debug>(result: Result<T, SettingsError>, case: &str) -> String {
    result.expect_err(case).to_string()
}

#[test]
fn every_deployment_loads() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deployments");
    let mut loaded = 0;
    for folder in ["recife", "pnw-west"] {
        for entry in std::fs::read_dir(root.join(folder)).expect("the folder exists") {
            let path = entry.expect("an entry").path();
            let name = path
                .file_name()
                .expect("a name")
                .to_string_lossy()
                .into_owned();
            if name.starts_with("control-") {
                load_control(&path).expect("loads");
                loaded += 1;
            }
            if name.starts_with("router-") {
                load_router(&path).expect("loads");
                loaded += 1;
            }
        }
    }
    assert_eq!(loaded, 12);
}

#[test]
fn defaults_are_filled_in() {
    let (head, rest) = CONTROL.split_once("[timing]").expect("has timing");
    let operators = &rest[rest.find("[[operators]]").expect("has operators")..];
    let settings = parse_control(Path::new("c"), &format!("{head}{operators}")).expect("loads");
    assert_eq!(settings.timing, ControlTiming::default());
    assert_eq!(settings.timing.election_timeout, Duration::from_millis(300));
    assert_eq!(settings.group.0, 0);
    let (head, _) = ROUTER.split_once("[limits]").expect("has limits");
    let settings = parse_router(Path::new("r"), head).expect("loads");
    assert_eq!(settings.limits, RouterLimits::default());
    assert_eq!(settings.limits.body_bytes, 1 << 20);
}

/// Text in `control-boa-vista.toml`, its replacement, and the expected part of the error message.
#[rustfmt::skip]
const CONTROL_RULES: &[(&str, &str, &str)] = &[
    ("zone = \"boa-vista\"", "", "missing field `zone`"),
    ("zone = ", "zonne = ", "unknown field `zonne`"),
    ("zone = \"boa-vista\"", "zone = \"Boa Vista\"", "field zone"),
    ("zone = \"boa-vista\"", "zone = \"", "TOML parse error"),
    ("127.10.1.200:7001\"\nrouter", "localhost:7001\"\nrouter", "field peer_address"),
    ("127.10.1.200:7001\"\nrouter", "127.10.1.300:7001\"\nrouter", "peer_address: 127.10.1.300:7001 is not an IP"),
    ("127.10.1.200:7001\"\nrouter", "0.0.0.0:7001\"\nrouter", "peer_address: 0.0.0.0:7001 can't be reached"),
    ("127.10.1.200:7003", "127.10.1.200:7002", "admin_address: 127.10.1.200:7002 stands twice"),
    ("127.10.1.200:7003", "127.10.1.200:0", "admin_address: 127.10.1.200:0 can't be reached"),
    ("127.10.2.200:7001", "127.10.3.200:7001", "peers: 127.10.3.200:7001 stands twice"),
    ("127.10.2.200:7001", "127.10.1.200:7001", "peers: this replica's own address"),
    ("127.10.1.250:7009", "platform.example:7009", "field platform_address"),
    ("/tmp/grebepin/recife/control-boa-vista", "", "data_dir: may not be empty"),
    ("required_signatures = 2", "required_signatures = 4", "4 sign-offs can't be had from 3 operators"),
    ("required_signatures = 2", "required_signatures = 0", "field required_signatures"),
    ("required_signatures = 2", "required_signatures = 101", "required_signatures: 101 is outside"),
    ("name = \"severino\"", "name = \"dandara\"", "operators.name: dandara stands twice"),
    ("bf41473c12240d72b8a296707bb9742b7dc1681385ef7cdd964362a606c76fe4", "d6b1b28d35bd82086d78f367abc1d4a61522a16f01be5bded116f50688b337b3", "operators.public_key: d6b1"),
    ("bf41473c12240d72b8a296707bb9742b7dc1681385ef7cdd964362a606c76fe4", "0200000000000000000000000000000000000000000000000000000000000000", "operators[iracema].public_key: is not an ed25519"),
    ("bf41473c", "BF41473C", "field operators[2].public_key"),
    ("election_timeout_ms = 300", "election_timeout_ms = \"300ms\"", "field timing.election_timeout_ms"),
    ("election_timeout_ms = 300", "election_timeout_ms = \"300ms\"", "whole number of milliseconds without a unit"),
    ("election_timeout_ms = 300", "election_timeout_s = 1", "unknown field `election_timeout_s`"),
    ("election_timeout_ms = 300", "election_timeout_ms = 0.3", "field timing.election_timeout_ms"),
    ("election_timeout_ms = 300", "election_timeout_ms = -1", "field timing.election_timeout_ms"),
    ("election_timeout_ms = 300", "election_timeout_ms = 300000", "election_timeout_ms: 300000 is outside 20 to 60000"),
    ("election_timeout_ms = 300", "election_timeout_ms = 170", "at least 3 times replica_heartbeat_ms (60)"),
    ("server_lease_ms = 1000", "server_lease_ms = 500", "at least 3 times server_heartbeat_ms (200)"),
    ("server_heartbeat_ms = 200", "server_heartbeat_ms = 20\ntick_ms = 50", "server_heartbeat_ms: 20 must be at least 1 times tick_ms"),
    ("election_timeout_ms = 300", "election_timeout_ms = 600", "at least 2 times election_timeout_ms (600)"),
    ("[timing]", "[timing]\ndrift_percent = 51", "drift_percent: 51 is outside"),
    ("[timing]", "[timing]\nsnapshot_every_entries = 1", "snapshot_every_entries: 1 is outside"),
];

#[test]
fn each_invalid_control_field_is_reported() {
    for (from, to, expected) in CONTROL_RULES {
        assert!(CONTROL.contains(from), "{from} is in the file");
        let text = CONTROL.replacen(from, to, 1);
        let message = error_message(parse_control(Path::new("control.toml"), &text), to);
        assert!(
            message.contains(expected),
            "{to}: no {expected:?} in {message}"
        );
        assert!(message.contains("control.toml"), "{message}");
    }
}

/// Like [`CONTROL_RULES`], for `router-boa-vista.toml`.
#[rustfmt::skip]
const ROUTER_RULES: &[(&str, &str, &str)] = &[
    ("name = ", "Name = ", "unknown field `Name`"),
    ("127.10.1.100:8080", "router:8080", "field listen_address"),
    ("127.10.1.100:8081", "127.10.1.100:8080", "admin_address: 127.10.1.100:8080 stands twice"),
    ("127.10.2.200:7002", "127.10.1.200:7002", "control_addresses: 127.10.1.200:7002 stands twice"),
    ("\"127.10.1.200:7002\", \"127.10.2.200:7002\", \"127.10.3.200:7002\"", "", "control_addresses: may not be empty"),
    ("threads = 64", "threads = 5000", "limits.threads: 5000 is outside"),
    ("threads = 64", "threads = 0", "field limits.threads"),
    ("threads = 64", "connect_timeout_ms = 3000", "default_deadline_ms: 2000 must be at least 1 times connect_timeout_ms (3000)"),
];

#[test]
fn each_invalid_router_field_is_reported() {
    for (from, to, expected) in ROUTER_RULES {
        assert!(ROUTER.contains(from), "{from} is in the file");
        let text = ROUTER.replacen(from, to, 1);
        let message = error_message(parse_router(Path::new("router.toml"), &text), to);
        assert!(
            message.contains(expected),
            "{to}: no {expected:?} in {message}"
        );
    }
}

#[test]
fn every_problem_of_a_file_is_reported() {
    let text = CONTROL
        .replacen("required_signatures = 2", "required_signatures = 4", 1)
        .replacen("server_lease_ms = 1000", "server_lease_ms = 10", 1);
    match parse_control(Path::new("c"), &text) {
        Err(SettingsError::Invalid { problems, .. }) => {
            let fields: Vec<_> = problems
                .iter()
                .map(|problem| problem.field.as_str())
                .collect();
            assert!(fields.contains(&"required_signatures"), "{fields:?}");
            assert!(fields.contains(&"timing.server_lease_ms"), "{fields:?}");
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_missing_file_is_named() {
    let message = error_message(load_control("/nonexistent/control.toml"), "absent");
    assert!(message.contains("/nonexistent/control.toml"), "{message}");
}
