//! Checks of settings against the machine: ports in use, addresses of other machines, folders that can't be
//! written to.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;

use grebepin_settings::{parse_control, parse_router, ControlSettings};

const CONTROL: &str = include_str!("../../../deployments/recife/control-boa-vista.toml");
const ROUTER: &str = include_str!("../../../deployments/recife/router-boa-vista.toml");

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    listener.local_addr().expect("has an address")
}

fn control(folder: &Path) -> ControlSettings {
    let mut settings = parse_control(Path::new("c"), CONTROL).expect("loads");
    settings.data_dir = folder.to_owned();
    settings.peer_address = free_address();
    settings.router_address = free_address();
    settings.admin_address = free_address();
    settings
}

#[test]
fn check_passes_with_free_ports_and_leaves_no_files() {
    let folder = tempfile::tempdir().expect("a folder");
    let data_dir = folder.path().join("data/control");
    control(&data_dir).check_host().expect("passes");
    assert_eq!(std::fs::read_dir(&data_dir).expect("was made").count(), 0);
}

#[test]
fn fields_that_do_not_fit_the_machine_are_reported() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("file");
    std::fs::write(&file, "").expect("writes");
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let in_use = listener.local_addr().expect("has an address");
    let mut settings = control(&file);
    settings.peer_address = in_use;
    settings.router_address = "192.0.2.1:7002".parse().expect("an address");
    let message = settings.check_host().expect_err("is refused").to_string();
    for field in [
        "peer_address: can't listen",
        "router_address: can't listen",
        "data_dir: folder",
    ] {
        assert!(message.contains(field), "no {field} in {message}");
    }
    let mut router = parse_router(Path::new("r"), ROUTER).expect("loads");
    router.listen_address = in_use;
    router.admin_address = free_address();
    let message = router.check_host().expect_err("is refused").to_string();
    assert!(
        message.contains("listen_address: can't listen"),
        "{message}"
    );
    assert!(!message.contains("admin_address"), "{message}");
}
