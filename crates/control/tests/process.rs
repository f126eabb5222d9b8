//! Exit codes and error output of the daemon.

mod support;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use support::address::own_address;

fn settings(folder: &Path, extra: &str) -> PathBuf {
    let own = own_address();
    let text = format!(
        "zone = \"a\"\ndata_dir = \"{}\"\npeer_address = \"{own}:7001\"\n\
         router_address = \"{own}:7002\"\nadmin_address = \"{own}:7003\"\npeers = []\n\
         required_signatures = 1\n{extra}\n[[operators]]\nname = \"rosa\"\npublic_key = \"{}\"\n",
        folder.join("data").display(),
        // Public key of the signing key made of 32 bytes of value 7.
        "ea4a6c63e29c520abef5507b132ec5f9954776aebebe7b92421eea691446d22c",
    );
    let path = folder.join("control.toml");
    fs::write(&path, text).expect("a settings file");
    path
}

fn run(settings: &Path, more: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_grebepin-control"))
        .arg("--settings")
        .arg(settings)
        .args(more)
        .output()
        .expect("it runs")
}

#[test]
fn invalid_settings_exit_with_2() {
    let folder = tempfile::tempdir().expect("a folder");
    let unknown = settings(folder.path(), "colour = \"red\"");
    let output = run(&unknown, &[]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("colour"), "{text}");
}

#[test]
fn check_settings_exits_with_0_and_starts_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let good = settings(folder.path(), "");
    let output = run(&good, &["--check-settings"]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

#[test]
fn damaged_data_exits_with_3_and_names_the_remedy() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = settings(folder.path(), "");
    let data = folder.path().join("data");
    fs::create_dir_all(&data).expect("a folder");
    fs::write(data.join("identity"), b"not an identity").expect("a file");
    let output = run(&path, &[]);
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("Move the folder away"), "{text}");
}
