//! Addresses and folders of a fleet.

use std::net::TcpListener;
use std::path::{Path, PathBuf};

use grebepin_schema::SocketAddress;

/// Why a fleet could not be laid out.
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
    /// No free port was found.
    #[error("no free port on loopback: {0}")]
    Port(std::io::Error),
}

/// The folder of one fleet and the ports it was given.
pub struct Layout {
    folder: PathBuf,
}

impl Layout {
    /// Creates the folder `folder`, empty.
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

    /// Writes `text` to `name` in the fleet's folder and returns its path.
    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf, LayoutError> {
        let path = self.folder.join(name);
        std::fs::write(&path, text).map_err(|source| LayoutError::Write {
            path: path.clone(),
            source,
        })?;
        Ok(path)
    }

    /// As many free loopback addresses as asked for, all different.
    pub fn free_addresses(count: usize) -> Result<Vec<SocketAddress>, LayoutError> {
        let listeners: Vec<TcpListener> = (0..count)
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<Result<_, _>>()
            .map_err(LayoutError::Port)?;
        listeners
            .iter()
            .map(|listener| {
                let address = listener.local_addr().map_err(LayoutError::Port)?;
                Ok(address
                    .to_string()
                    .parse()
                    .expect("an IP number and a port fit the schema"))
            })
            .collect()
    }
}
