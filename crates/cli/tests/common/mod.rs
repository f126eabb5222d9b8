//! Runs the built `grebepin` binary, and prepares its input files.
#![allow(dead_code, reason = "each test file uses a part")]

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Exit code of a command, and what it printed.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub output: String,
    pub error: String,
}

impl Run {
    #[track_caller]
    pub fn expect(&self, code: i32, texts: &[&str]) {
        assert_eq!(self.code, code, "{self:#?}");
        for text in texts {
            let found = self.output.contains(text) || self.error.contains(text);
            assert!(found, "{text:?} is missing in {self:#?}");
        }
    }
}

/// Runs `grebepin` in the repository's root.
pub fn grebepin(arguments: &[&str]) -> Run {
    let output: Output = Command::new(env!("CARGO_BIN_EXE_grebepin"))
        .args(arguments)
        .current_dir(root())
        .env_remove("GREBEPIN_CONTROL")
        .output()
        .expect("the binary runs");
    Run {
        code: output.status.code().expect("it was not killed"),
        output: String::from_utf8_lossy(&output.stdout).into_owned(),
        error: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

pub fn text(path: &Path) -> &str {
    path.to_str().expect("the path is text")
}

/// Copies the files of `deployments/recife`, without its subfolders, and replaces one text in one file.
pub fn recife_with(folder: &Path, file: &str, from: &str, to: &str) {
    let source = root().join("deployments/recife");
    for entry in std::fs::read_dir(&source).expect("the deployment exists") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            continue;
        }
        let name = path.file_name().expect("a name").to_owned();
        let mut content = std::fs::read_to_string(&path).expect("reads");
        if name == file {
            assert!(content.contains(from), "{from} is in {file}");
            content = content.replacen(from, to, 1);
        }
        std::fs::write(folder.join(name), content).expect("writes");
    }
}
