//! Repository tasks.
//!
//! `cargo xtask generate` generates `crates/schema/src/generated.rs` from the JSON Schema files under
//! `schema/`; `cargo xtask generate --check` fails when the committed file is out of date.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use anyhow::{bail, Context, Result};
use clap::{Parser, Subcommand};
use schemars::schema::{RootSchema, Schema};
use typify::{TypeSpace, TypeSpacePatch, TypeSpaceSettings};

const HEADER: &str =
    "//! Generated from the files under `schema/` by `cargo xtask generate`. Do not edit.\n\
#![allow(missing_docs, clippy::all)]\n\n";

/// Additional derives of the types in [`NUMBER_IDENTIFIERS`].
const IDENTIFIER_DERIVES: [&str; 6] = ["Copy", "PartialOrd", "Ord", "Eq", "Hash", "Default"];

/// Generated types that wrap a number used as an identifier or counter.
const NUMBER_IDENTIFIERS: [&str; 8] = [
    "Epoch",
    "GroupId",
    "LogIndex",
    "Nonce",
    "ReplicaId",
    "Session",
    "ShardId",
    "Term",
];

/// Generated types that are used as map keys, besides those whose name ends in `Name`.
const MAP_KEYS: [&str; 7] = [
    "ClusterId",
    "Digest",
    "HeldShard",
    "Member",
    "RequestId",
    "ShardKey",
    "SocketAddress",
];

/// Additional derives of the types used as map keys.
const MAP_KEY_DERIVES: [&str; 4] = ["PartialOrd", "Ord", "Eq", "Hash"];

#[derive(Parser)]
#[command(about = "Repository tasks")]
struct Arguments {
    #[command(subcommand)]
    task: Task,
}

#[derive(Subcommand)]
enum Task {
    /// Write the Rust types of the schema.
    Generate {
        /// Compare with the committed file instead of writing it.
        #[arg(long)]
        check: bool,
    },
}

fn main() -> Result<()> {
    match Arguments::parse().task {
        Task::Generate { check } => generate(check),
    }
}

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .expect("xtask lies directly under the repository root")
        .to_path_buf()
}

fn generate(check: bool) -> Result<()> {
    let root = repository_root();
    let definitions = read_definitions(&root.join("schema"))?;
    let generated = render(definitions)?;
    let target = root.join("crates/schema/src/generated.rs");
    if !check {
        fs::write(&target, generated)?;
        return Ok(());
    }
    if fs::read_to_string(&target)? != generated {
        bail!("crates/schema/src/generated.rs is out of date: run `cargo xtask generate`");
    }
    Ok(())
}

/// Reads every schema file and merges their definitions into one map; a name may be defined only once.
fn read_definitions(folder: &Path) -> Result<BTreeMap<String, Schema>> {
    let mut paths: Vec<PathBuf> = fs::read_dir(folder)?
        .map(|entry| entry.map(|entry| entry.path()))
        .collect::<std::io::Result<_>>()?;
    paths.retain(|path| {
        path.extension()
            .is_some_and(|extension| extension == "json")
    });
    paths.sort();
    let mut merged = BTreeMap::new();
    for path in paths {
        let text = fs::read_to_string(&path)?;
        let schema: RootSchema =
            serde_json::from_str(&text).with_context(|| format!("reading {}", path.display()))?;
        for (name, definition) in schema.definitions {
            if merged.insert(name.clone(), definition).is_some() {
                bail!("{name} is defined twice, again in {}", path.display());
            }
        }
    }
    Ok(merged)
}

fn render(definitions: BTreeMap<String, Schema>) -> Result<String> {
    let names: Vec<String> = definitions.keys().cloned().collect();
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_string());
    settings.with_replacement("Bytes", "crate::Bytes", std::iter::empty());
    for name in names {
        let derives: &[&str] = if NUMBER_IDENTIFIERS.contains(&name.as_str()) {
            &IDENTIFIER_DERIVES
        } else if name.ends_with("Name") || MAP_KEYS.contains(&name.as_str()) {
            &MAP_KEY_DERIVES
        } else {
            continue;
        };
        let mut patch = TypeSpacePatch::default();
        for derive in derives {
            patch.with_derive(derive);
        }
        settings.with_patch(&name, &patch);
    }
    let mut space = TypeSpace::new(&settings);
    space.add_ref_types(definitions)?;
    let file = syn::parse2::<syn::File>(space.to_stream())?;
    Ok(format!("{HEADER}{}", prettyplease::unparse(&file)))
}
