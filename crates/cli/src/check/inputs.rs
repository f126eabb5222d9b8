//! Collects the files to check by kind.

use std::fs;
use std::path::{Path, PathBuf};

use crate::error::CliError;
use crate::files::file_error;

/// Files of one deployment by kind. Files found in a folder are sorted by name.
#[derive(Default)]
pub(crate) struct Inputs {
    pub(crate) settings: Vec<PathBuf>,
    pub(crate) bundles: Vec<PathBuf>,
    pub(crate) histories: Vec<PathBuf>,
}

impl Inputs {
    /// Each folder in `paths` is a deployment of its own, without its subfolders; the files in `paths`
    /// form one deployment together. A file in `paths` must be of a known kind; other files in a folder
    /// are ignored.
    pub(crate) fn collect(paths: &[PathBuf]) -> Result<Vec<Self>, CliError> {
        let mut folders = Vec::new();
        let mut named = Self::default();
        for path in paths {
            if path.is_dir() {
                folders.push(Self::of_folder(path)?);
            } else if !named.add(path) {
                return Err(CliError::Argument {
                    argument: "PATH",
                    value: path.display().to_string(),
                    reason: "settings end in .toml, bundles in .json, histories in .jsonl"
                        .to_owned(),
                });
            }
        }
        folders.push(named);
        Ok(folders)
    }

    fn of_folder(folder: &Path) -> Result<Self, CliError> {
        let mut inputs = Self::default();
        for file in files_of(folder)? {
            inputs.add(&file);
        }
        Ok(inputs)
    }

    pub(crate) fn count(&self) -> usize {
        self.settings.len() + self.bundles.len() + self.histories.len()
    }

    fn add(&mut self, file: &Path) -> bool {
        let ending = file.extension().and_then(|ending| ending.to_str());
        let list = match ending {
            Some("toml") => &mut self.settings,
            Some("json") => &mut self.bundles,
            Some("jsonl") => &mut self.histories,
            _ => return false,
        };
        list.push(file.to_owned());
        true
    }
}

fn files_of(folder: &Path) -> Result<Vec<PathBuf>, CliError> {
    let entries = fs::read_dir(folder).map_err(|source| file_error(folder, source))?;
    let mut files = Vec::new();
    for entry in entries {
        let path = entry.map_err(|source| file_error(folder, source))?.path();
        if path.is_file() {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}
