//! Tests the commands against a running control replica, from its founding to the replay of its folder.

mod common;

use std::net::TcpListener;
use std::path::Path;

use common::{grebepin, root, text, Run};
use grebepin_control::{start, Listeners, RunningControl};
use grebepin_settings::{load_control, ControlSettings};
use serde_json::Value;

const FIRST: &str = "deployments/recife/bundle-1.json";
const SECOND: &str = "deployments/recife/bundle-2.json";
const FIRST_DIGEST: &str = "6c1efb21473984ab53478647b31f1593ce409ec6963d9e2c39a009ec870ecec5";

/// A control group of a single replica.
struct Group {
    folder: tempfile::TempDir,
    control: Option<RunningControl>,
}

impl Group {
    fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let control = start(settings(folder.path()), listeners()).expect("starts");
        Self {
            folder,
            control: Some(control),
        }
    }

    fn run(&self, arguments: &[&str]) -> Run {
        let control = self.control.as_ref().expect("runs");
        let address = control.addresses().admin.to_string();
        let connection = [
            "--control",
            &address,
            "--patience-ms",
            "60000",
            "--timeout-ms",
            "60000",
        ];
        grebepin(&[arguments, &connection[..]].concat())
    }

    fn json(&self, arguments: &[&str]) -> Value {
        let run = self.run(&[arguments, &["--json"]].concat());
        assert_eq!(run.code, 0, "{run:#?}");
        serde_json::from_str(&run.output).expect("JSON")
    }

    fn signed(&self, bundle: &str, operators: &[&str]) -> String {
        let out = self.folder.path().join("bundle.signed.json");
        let mut from = bundle.to_owned();
        for operator in operators {
            let key = format!("deployments/recife/trial-keys/{operator}.key");
            let sign = [
                "bundle",
                "sign",
                &from,
                "--operator",
                operator,
                "--key",
                &key,
            ];
            grebepin(&[&sign[..], &["--out", text(&out)]].concat()).expect(0, &[]);
            from = text(&out).to_owned();
        }
        from
    }

    fn stop(&mut self) {
        let control = self.control.take().expect("runs");
        control.stopper().stop();
        control.wait().expect("stops");
    }

    fn data(&self) -> String {
        text(&self.folder.path().join("data")).to_owned()
    }
}

fn settings(folder: &Path) -> ControlSettings {
    let path = root().join("deployments/recife/control-boa-vista.toml");
    let mut settings = load_control(path).expect("loads");
    settings.data_dir = folder.join("data");
    settings.peers = Vec::new();
    settings.platform_address = None;
    settings
}

fn listeners() -> Listeners {
    let listen = || Some(TcpListener::bind("127.0.0.1:0").expect("binds"));
    Listeners {
        peer: listen(),
        router: listen(),
        admin: listen(),
    }
}

#[test]
fn a_group_is_founded_rolled_watched_and_replayed() {
    let mut group = Group::start();
    group
        .run(&["status", "--replica", &group.admin()])
        .expect(0, &["none accepted yet", "only a leader knows"]);
    group
        .run(&["found"])
        .expect(0, &["founded cluster", "may lose 0 replica(s), no zone"]);
    group.run(&["found"]).expect(0, &["founded cluster"]);
    group
        .run(&["bundle", "show"])
        .expect(3, &["no bundle is in force yet"]);

    let unsigned = group.run(&["bundle", "roll", FIRST]);
    unsigned.expect(3, &["too-few-signatures", "grebepin bundle sign"]);
    let half = group.signed(FIRST, &["dandara"]);
    group
        .run(&["bundle", "roll", &half])
        .expect(3, &["1 of 2 required"]);
    let whole = group.signed(FIRST, &["dandara", "severino"]);
    group
        .run(&["bundle", "roll", &whole])
        .expect(0, &["version 1 accepted at", FIRST_DIGEST]);
    group
        .run(&["bundle", "roll", &whole])
        .expect(0, &["version 1 accepted before at"]);
    group
        .run(&["bundle", "show"])
        .expect(0, &["recife version 1", "signed by dandara, severino"]);

    let status = group.json(&["status"]);
    assert_eq!(status["bundle_version"], 1);
    assert_eq!(status["tolerated"]["replicas"], 0);
    assert_eq!(status["unowned_shards"], 2048);
    group.run(&["status"]).expect(
        0,
        &[
            "WARNING: the next loss",
            "servers that need a look:",
            "sl-01",
        ],
    );
    group.run(&["drain", "sl-01"]).expect(0, &["sl-01 drains"]);
    group
        .run(&["status"])
        .expect(0, &["draining: sl-01 (0 shards left)"]);
    group
        .run(&["drain", "sl-01", "--undo"])
        .expect(0, &["sl-01 is back"]);
    group
        .run(&["drain", "sl-99"])
        .expect(3, &["unknown-server", "grebepin status"]);
    group
        .run(&["members", "remove", "7"])
        .expect(3, &["unknown-member"]);

    let plan = group.json(&["plan", SECOND]);
    assert_eq!(
        (&plan["from_version"], &plan["version"]),
        (&1.into(), &2.into())
    );
    assert_eq!(plan["refused"], Value::Array(Vec::new()));
    group
        .run(&["plan", FIRST])
        .expect(0, &["WOULD BE REFUSED: version"]);
    assert_eq!(plan["services"][0]["service"], "saldo-limite");
    assert_eq!(plan["services"][0]["shards"], 1024);
    let next = group.folder.path().join("next.json");
    group
        .run(&["bundle", "next", text(&next)])
        .expect(0, &["version 2", FIRST_DIGEST]);

    group.stop();
    group.check_replay(SECOND);
}

impl Group {
    fn admin(&self) -> String {
        let control = self.control.as_ref().expect("runs");
        control.addresses().admin.to_string()
    }

    /// Replays the stopped replica's folder and checks that its files stay unchanged.
    fn check_replay(&self, next: &str) {
        let data = self.data();
        let before = files_of(Path::new(&data));
        let replay = grebepin(&["replay", &data]);
        let decisions = [
            "a new leader",
            "bundle version 1 accepted, digest 6c1e",
            "bundle version 1 accepted (sent again)",
            "server sl-01 is draining, owns 0 shards",
            "bundle version 1, digest 6c1e",
        ];
        replay.expect(0, &decisions);
        let beyond = grebepin(&["replay", &data, "--to", &last_log_index(&data)]);
        beyond.expect(0, &["refused: no server sl-99"]);
        let short = grebepin(&["replay", &data, "--to", "2", "--json"]);
        let report: Value = serde_json::from_str(&short.output).expect("JSON");
        assert_eq!(report["state"]["bundle_version"], 0);
        let whole = grebepin(&["replay", &data, "--json"]);
        let report: Value = serde_json::from_str(&whole.output).expect("JSON");
        assert_eq!(report["state"]["bundle"]["deployment"], "recife");
        grebepin(&["replay", &data, "--to", "999999"]).expect(2, &["this folder holds"]);
        grebepin(&["plan", next, "--data", &data]).expect(0, &["from version 1"]);
        assert_eq!(
            files_of(Path::new(&data)),
            before,
            "the folder is unchanged"
        );
    }
}

/// Index of the last entry in the folder, known to be committed or not.
fn last_log_index(data: &str) -> String {
    let run = grebepin(&["replay", data, "--json"]);
    let report: Value = serde_json::from_str(&run.output).expect("JSON");
    let count = |field: &str| report[field].as_u64().expect("a number");
    (count("committed") + count("beyond_committed")).to_string()
}

fn files_of(folder: &Path) -> Vec<(String, Vec<u8>)> {
    let entries = std::fs::read_dir(folder).expect("a folder");
    let mut files: Vec<_> = entries
        .map(|entry| {
            let path = entry.expect("an entry").path();
            (text(&path).to_owned(), std::fs::read(&path).expect("reads"))
        })
        .collect();
    files.sort();
    files
}

#[test]
fn a_damaged_folder_is_named_with_what_to_do() {
    let mut group = Group::start();
    group.run(&["found"]).expect(0, &[]);
    group.stop();
    let identity = group.folder.path().join("data/identity");
    std::fs::write(identity, b"damaged").expect("writes");
    grebepin(&["replay", &group.data()]).expect(6, &["replacing-a-control-machine.md"]);
    let empty = tempfile::tempdir().expect("a folder");
    grebepin(&["replay", text(empty.path())]).expect(6, &["no replica has lived here"]);
}
