//! Validation of a gateway's settings file.

use std::path::PathBuf;

use grebepin_gateway::GatewaySettings;

/// Error of a settings file with these ports, or nothing if it is valid.
fn problem(name: &str, relay_port: u16, peer_port: u16) -> Option<String> {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
    let text = format!(
        "node = \"e\"\nzone = \"z\"\nfront_address = \"127.0.0.1:1\"\nready_address = \"127.0.0.1:2\"\nlink_port = 3\nrelay_port = {relay_port}\npeer_port = {peer_port}\nseeds = [\"127.0.0.1:4\"]\n"
    );
    std::fs::write(&path, text).expect("a settings file");
    GatewaySettings::load(&path)
        .err()
        .map(|error| error.to_string())
}

/// Both listeners use one address, so the gateway would not start.
#[test]
fn requests_and_the_state_need_different_ports() {
    assert_eq!(problem("different", 3, 5), None);
    assert_eq!(problem("neither", 0, 0), None);
    let error = problem("same", 3, 3).expect("an error");
    assert!(error.contains("peer_port"), "{error}");
}
