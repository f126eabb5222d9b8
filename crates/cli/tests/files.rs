//! Tests the commands that work on files: keys, bundles, checks, generated pages.

mod common;

use std::os::unix::fs::PermissionsExt;

use common::{grebepin, recife_with, text};

const FIRST: &str = "deployments/recife/bundle-1.json";
const SECOND: &str = "deployments/recife/bundle-2.json";

#[test]
fn help_names_every_command_and_exit_code() {
    let commands = [
        "key",
        "bundle",
        "found",
        "status",
        "drain",
        "members",
        "plan",
        "check",
        "replay",
        "explain",
        "completions",
        "man",
        "Exit codes",
        "5  the outcome is not known",
    ];
    grebepin(&["--help"]).expect(0, &commands);
    for command in &commands[..10] {
        grebepin(&[command, "--help"]).expect(0, &["Usage: grebepin", "--json"]);
    }
    grebepin(&["--version"]).expect(0, &[env!("CARGO_PKG_VERSION")]);
    grebepin(&["frobnicate"]).expect(2, &["unrecognized subcommand"]);
}

#[test]
fn keys_are_made_once_and_are_private() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("aline.key");
    let made = grebepin(&["key", "new", text(&file)]);
    made.expect(0, &[]);
    let mode = std::fs::metadata(&file)
        .expect("exists")
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);
    let public = grebepin(&["key", "public", text(&file)]);
    assert_eq!(public.output, made.output);
    assert_eq!(public.output.trim().len(), 64);
    grebepin(&["key", "new", text(&file)]).expect(6, &["never overwritten"]);
    grebepin(&["key", "public", FIRST]).expect(6, &["bundle-1.json: over the limit"]);
    grebepin(&["key", "public", "README.md"]).expect(6, &["README.md", "grebepin key new"]);
}

#[test]
fn bundles_are_validated_signed_and_followed() {
    let folder = tempfile::tempdir().expect("a folder");
    let signed = folder.path().join("bundle.signed.json");
    let signed = text(&signed);
    grebepin(&["bundle", "validate", FIRST]).expect(0, &["version 1, valid, digest 6c1e"]);
    grebepin(&["bundle", "validate", SECOND, "--follows", FIRST]).expect(0, &["valid"]);
    let wrong = grebepin(&["bundle", "validate", FIRST, "--follows", SECOND]);
    wrong.expect(
        1,
        &[
            "version: version 1 does not follow",
            "not valid",
            "2 error(s)",
        ],
    );
    for operator in ["dandara", "severino"] {
        let key = format!("deployments/recife/trial-keys/{operator}.key");
        let from = if operator == "dandara" { FIRST } else { signed };
        let sign = [
            "bundle",
            "sign",
            from,
            "--operator",
            operator,
            "--key",
            &key,
            "--out",
            signed,
        ];
        grebepin(&sign).expect(0, &[operator, "digest 6c1e"]);
    }
    grebepin(&["bundle", "show", signed])
        .expect(0, &["signed by dandara, severino", "saldo-limite"]);
    grebepin(&["check", signed, "deployments/recife/control-boa-vista.toml"]).expect(0, &[]);
    let next = folder.path().join("next.json");
    let write = ["bundle", "next", text(&next), "--follows", signed];
    grebepin(&write).expect(0, &["version 2", "it follows 6c1e"]);
    grebepin(&write).expect(6, &["never overwritten"]);
    grebepin(&["bundle", "validate", text(&next), "--follows", signed]).expect(0, &["valid"]);
}

#[test]
fn failures_name_what_to_do_and_have_their_exit_code() {
    let cases: &[(&[&str], i32, &str)] = &[
        (&["bundle", "validate", "README.md"], 6, "not a bundle"),
        (&["bundle", "validate", "absent.json"], 6, "absent.json"),
        (
            &[
                "bundle",
                "sign",
                FIRST,
                "--operator",
                "No Name",
                "--key",
                "k",
            ],
            2,
            "--operator",
        ),
        (&["status"], 2, "name one with --control"),
        (
            &["status", "--control", "localhost:1"],
            2,
            "invalid socket address",
        ),
        (
            &["status", "--control", "127.0.0.1:1", "--patience-ms", "0"],
            4,
            "127.0.0.1:1",
        ),
        (
            &["drain", "Not-A-Name", "--control", "127.0.0.1:1"],
            2,
            "SERVER",
        ),
        (&["check", "README.md"], 2, "settings end in .toml"),
        (&["check", "absent.toml"], 6, "absent.toml"),
        (&["replay", "absent"], 6, "absent"),
    ];
    for (arguments, code, message) in cases {
        grebepin(arguments).expect(*code, &[message]);
        let mut json = vec!["--json"];
        json.extend_from_slice(arguments);
        let run = grebepin(&json);
        if *code != 2 || message != &"invalid socket address" {
            let error: serde_json::Value = serde_json::from_str(run.error.trim()).expect("JSON");
            assert_eq!(error["exit_code"], *code, "{arguments:?}");
        }
    }
}

/// File of `deployments/recife`, text in it, its replacement, exit code, and text in the output.
#[rustfmt::skip]
const CHECKS: &[(&str, &str, &str, i32, &str)] = &[
    ("control-boa-vista.toml", "boa-vista", "boa-vista", 0, "8 file(s) checked: 0 error(s)"),
    ("control-boa-vista.toml", "zone =", "zonne =", 1, "unknown field `zonne`"),
    ("control-imbiribeira.toml", "server_lease_ms = 1000", "server_lease_ms = 1200", 1, "timing differs"),
    ("control-imbiribeira.toml", "required_signatures = 2", "required_signatures = 1", 1, "required_signatures differs"),
    ("control-imbiribeira.toml", "\"127.10.1.200:7001\", ", "", 1, "peers lacks 127.10.1.200:7001"),
    ("control-imbiribeira.toml", "\"127.10.1.200:7001\"", "\"127.10.1.201:7001\"", 1, "peers names 127.10.1.201:7001"),
    ("control-imbiribeira.toml", "zone = \"imbiribeira\"", "zone = \"boa-vista\"", 0, "replicas stand in 2 zone(s)"),
    ("control-imbiribeira.toml", "zone = \"imbiribeira\"", "zone = \"boa-vista\"", 0, "zone imbiribeira has servers and no control replica"),
    ("control-imbiribeira.toml", "control-imbiribeira\"", "control-boa-vista\"", 0, "data_dir is also that of"),
    ("router-boa-vista.toml", "127.10.1.100:8081", "127.10.1.200:7003", 1, "127.10.1.200:7003 is also in"),
    ("router-boa-vista.toml", "router-boa-vista", "router-imbiribeira", 1, "name router-imbiribeira stands twice"),
    ("router-boa-vista.toml", "127.10.2.200:7002", "127.10.2.200:7001", 1, "where no replica listens"),
    ("router-boa-vista.toml", ", \"127.10.2.200:7002\", \"127.10.3.200:7002\"", "", 0, "names one replica"),
    ("bundle-1.json", "\"connections\": 100", "\"connections\": 2", 1, "2 connections for 3 routers"),
    ("bundle-1.json", "127.10.1.1:7100", "127.10.1.100:8080", 1, "its address is also in"),
    ("bundle-1.json", "\"shards\": 1024", "\"shards\": 0", 1, "not a bundle"),
    ("bundle-1.json", "\"share\": 50", "\"share\": 60", 0, "no file here has its parent"),
    ("bundle-2.json", "\"shards\": 1024", "\"shards\": 512", 1, "keeps its 1024 shards"),
    ("bundle-2.json", "\"version\": 2", "\"version\": 1", 1, "another version 1 is"),
];

#[test]
fn a_folder_is_checked_against_itself() {
    for (file, from, to, code, expected) in CHECKS {
        let folder = tempfile::tempdir().expect("a folder");
        recife_with(folder.path(), file, from, to);
        grebepin(&["check", text(folder.path())]).expect(*code, &[expected]);
    }
}

#[test]
fn each_folder_is_a_deployment_and_trial_keys_are_named() {
    let run = grebepin(&["check", "deployments/recife", "deployments/pnw-west"]);
    run.expect(
        0,
        &["16 file(s) checked: 0 error(s), 6 warning(s)", "trial keys"],
    );
    let json = grebepin(&["check", "--json", "deployments/recife"]);
    let report: serde_json::Value = serde_json::from_str(&json.output).expect("JSON");
    assert_eq!(report["files"], 8);
    assert_eq!(report["findings"][0]["severity"], "warning");
}

#[test]
fn histories_are_checked_against_the_promises() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("run.jsonl");
    let effect = |server: &str, at_us: u64| {
        format!(
            r#"{{"at_us":{at_us},"event":{{"effect":{{"server":"{server}","service":"autoriza-venda","shard":1,"epoch":5,"key":"k","request_id":"r-1","repeatable":false}}}}}}"#
        )
    };
    std::fs::write(&file, effect("av-01", 10)).expect("writes");
    let good = grebepin(&["check", text(&file)]);
    let twice = format!("{}\n{}\n", effect("av-01", 10), effect("av-01", 20));
    std::fs::write(&file, twice).expect("writes");
    grebepin(&["check", text(&file)]).expect(1, &["BROKEN at-most-once", "broken promise(s)"]);
    assert!(!good.output.contains("at-most-once"), "{good:#?}");
    let run = folder.path().join("run");
    std::fs::create_dir(&run).expect("a folder");
    for (server, at_us) in [("av-01", 10), ("av-02", 20)] {
        let file = run.join(format!("{server}.jsonl"));
        std::fs::write(file, effect(server, at_us)).expect("writes");
    }
    let apart = [
        "av-02.jsonl record 1",
        "av-01.jsonl record 1",
        "history of 2 file(s)",
    ];
    grebepin(&["check", text(&run)]).expect(1, &apart);
    std::fs::write(&file, "not a record\n").expect("writes");
    grebepin(&["check", text(&file)]).expect(6, &["line 1"]);
}

#[test]
fn completions_and_manual_pages_are_generated() {
    for shell in ["bash", "zsh", "fish"] {
        grebepin(&["completions", shell]).expect(0, &["grebepin"]);
    }
    grebepin(&["man"]).expect(0, &[".TH grebepin 1", "Exit codes"]);
    let folder = tempfile::tempdir().expect("a folder");
    let pages = folder.path().join("man1");
    grebepin(&["man", "--out", text(&pages)]).expect(0, &[]);
    for page in [
        "grebepin.1",
        "grebepin-bundle-roll.1",
        "grebepin-members-remove.1",
    ] {
        assert!(pages.join(page).is_file(), "{page}");
    }
}
