//! Checks against this machine: whether addresses can be bound and folders can be written to.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

use crate::error::ProblemKind;
use crate::problems::Problems;

const PROBE_FILE: &str = ".settings-check";

/// Binds and releases the address, so that a port in use or the address of another machine is detected at
/// startup.
pub(crate) fn check_listen(field: &str, address: SocketAddr, problems: &mut Problems) {
    if let Err(source) = TcpListener::bind(address) {
        problems.push(field, ProblemKind::PortUnavailable { address, source });
    }
}

/// Creates the folder if it is missing, and writes, syncs and removes a file in it.
pub(crate) fn check_folder(field: &str, path: &Path, problems: &mut Problems) {
    if let Err(source) = probe_folder(path) {
        let path = path.to_owned();
        problems.push(field, ProblemKind::FolderUnwritable { path, source });
    }
}

fn probe_folder(path: &Path) -> std::io::Result<()> {
    fs::create_dir_all(path)?;
    let probe = path.join(PROBE_FILE);
    let mut file = OpenOptions::new()
        .create(true)
        .truncate(true)
        .write(true)
        .open(&probe)?;
    file.write_all(b"probe")?;
    file.sync_all()?;
    drop(file);
    fs::remove_file(&probe)?;
    File::open(path)?.sync_all()
}
