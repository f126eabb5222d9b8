//! Folder and addresses of a fleet.

use std::net::{Ipv4Addr, TcpListener};
use std::ops::Range;
use std::path::{Path, PathBuf};

use grebepin_schema::SocketAddress;

/// Range of the fleets' ports, below the ephemeral port range.
const PORTS: Range<u16> = 12_000..32_000;

/// Why the folder or addresses of a fleet could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LayoutError {
    /// A file or folder could not be written.
    #[error("{path}: {source}")]
    Write {
        /// File or folder.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A relay could not listen on its port.
    #[error("a relay can't listen: {0}")]
    Relay(std::io::Error),
    /// Too few ports are free.
    #[error("only {found} of {wanted} ports are free on loopback")]
    Ports {
        /// Number of ports requested.
        wanted: usize,
        /// Number of free ports found.
        found: usize,
    },
}

/// The folder of one fleet.
pub struct Layout {
    folder: PathBuf,
}

impl Layout {
    /// Creates an empty folder; an existing one is deleted with its content.
    pub fn create(folder: &Path) -> Result<Self, LayoutError> {
        let fail = |source| LayoutError::Write {
            path: folder.to_path_buf(),
            source,
        };
        if folder.exists() {
            std::fs::remove_dir_all(folder).map_err(fail)?;
        }
        std::fs::create_dir_all(folder).map_err(fail)?;
        Ok(Self {
            folder: folder.to_path_buf(),
        })
    }

    /// Folder of the fleet.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Creates the subfolder `name`.
    pub fn create_folder(&self, name: &str) -> Result<(), LayoutError> {
        let path = self.folder.join(name);
        std::fs::create_dir(&path).map_err(|source| LayoutError::Write { path, source })
    }

    /// Writes `text` to the file `name` and returns its path.
    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf, LayoutError> {
        let path = self.folder.join(name);
        std::fs::write(&path, text).map_err(|source| LayoutError::Write {
            path: path.clone(),
            source,
        })?;
        Ok(path)
    }

    /// Finds `count` different free loopback addresses.
    ///
    /// They lie below the ephemeral port range, so that no outgoing connection takes a port before its
    /// process listens on it. The search starts at a random port, so that concurrent fleets get different
    /// ones.
    pub fn free_addresses(count: usize) -> Result<Vec<SocketAddress>, LayoutError> {
        let mut listeners = Vec::with_capacity(count);
        let mut addresses = Vec::with_capacity(count);
        let span = PORTS.len() as u16;
        let first = rand::random_range(0..span);
        for offset in 0..span {
            if addresses.len() == count {
                return Ok(addresses);
            }
            let port = PORTS.start + (first + offset) % span;
            if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, port)) {
                listeners.push(listener);
                let address = format!("{}:{port}", Ipv4Addr::LOCALHOST);
                addresses.push(address.parse().expect("an IP number and a port"));
            }
        }
        Err(LayoutError::Ports {
            wanted: count,
            found: addresses.len(),
        })
    }
}
