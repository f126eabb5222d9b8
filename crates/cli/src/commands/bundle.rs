//! `grebepin bundle`: checks, signs, rolls and shows bundles.

mod summary;

use std::fmt;
use std::path::{Path, PathBuf};

use grebepin_bundle::{check, check_successor, digest, Finding};
use grebepin_schema::{Digest, OperatorName, RollAnswer, SignedBundle};
use serde::Serialize;

use crate::arguments::{
    BundleNext, BundleRoll, BundleShow, BundleSign, BundleValidate, Connection,
};
use crate::error::CliError;
use crate::files;
use crate::output::Format;

use summary::Summary;

/// File name extension of signed bundles.
const SIGNED_EXTENSION: &str = "signed.json";

#[derive(Serialize)]
struct Validation {
    digest: Digest,
    version: u64,
    findings: Vec<String>,
}

impl fmt::Display for Validation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(formatter, "{finding}")?;
        }
        let verdict = match self.findings.is_empty() {
            true => "valid",
            false => "not valid",
        };
        write!(
            formatter,
            "version {}, {verdict}, digest {}",
            self.version,
            self.digest.as_str()
        )
    }
}

pub(crate) fn validate(arguments: &BundleValidate, format: Format) -> Result<(), CliError> {
    let bundle = files::read_bundle(&arguments.file)?.bundle;
    let mut findings = check(&bundle).err().unwrap_or_default();
    if let Some(path) = &arguments.follows {
        let old = files::read_bundle(path)?.bundle;
        findings.extend(check_successor(&old, &bundle).err().unwrap_or_default());
    }
    format.print(&Validation {
        digest: digest(&bundle),
        version: bundle.version,
        findings: findings.iter().map(Finding::to_string).collect(),
    })?;
    refuse(findings.len())
}

#[derive(Serialize)]
struct Signed {
    digest: Digest,
    signatures: Vec<OperatorName>,
    file: PathBuf,
}

impl fmt::Display for Signed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<_> = self.signatures.iter().map(|name| name.as_str()).collect();
        writeln!(formatter, "digest {}", self.digest.as_str())?;
        writeln!(formatter, "signed by {}", names.join(", "))?;
        write!(formatter, "written to {}", self.file.display())
    }
}

pub(crate) fn sign(arguments: &BundleSign, format: Format) -> Result<(), CliError> {
    let operator = operator_name(&arguments.operator)?;
    let key = files::read_signing_key(&arguments.key)?;
    let mut signed = files::read_bundle(&arguments.file)?;
    refuse_invalid(&signed, format)?;
    signed.signatures.retain(|one| one.operator != operator);
    let signature = grebepin_bundle::sign(&signed.bundle, &operator, &key);
    signed.signatures.push(signature);
    let file = match &arguments.out {
        Some(out) => out.clone(),
        None => signed_path(&arguments.file),
    };
    files::replace_json(&file, &signed)?;
    format.print(&Signed {
        digest: digest(&signed.bundle),
        signatures: signed
            .signatures
            .into_iter()
            .map(|one| one.operator)
            .collect(),
        file,
    })
}

fn signed_path(path: &Path) -> PathBuf {
    if path.to_string_lossy().ends_with(SIGNED_EXTENSION) {
        return path.to_owned();
    }
    path.with_extension(SIGNED_EXTENSION)
}

fn operator_name(text: &str) -> Result<OperatorName, CliError> {
    text.parse().map_err(|_| CliError::Argument {
        argument: "--operator",
        value: text.to_owned(),
        reason: "a name is lower-case letters, digits, dots and dashes".to_owned(),
    })
}

#[derive(Serialize)]
struct Rolled(RollAnswer);

impl fmt::Display for Rolled {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RollAnswer {
            digest,
            index,
            repeated,
            version,
        } = &self.0;
        let again = if *repeated { " before" } else { "" };
        writeln!(
            formatter,
            "version {version} accepted{again} at log index {index}"
        )?;
        writeln!(formatter, "digest {}", digest.as_str())?;
        write!(
            formatter,
            "`grebepin status` shows when every router has it"
        )
    }
}

pub(crate) fn roll(arguments: &BundleRoll, format: Format) -> Result<(), CliError> {
    let signed = files::read_bundle(&arguments.file)?;
    refuse_invalid(&signed, format)?;
    let answer = arguments.connection.client().roll(&signed)?;
    format.print(&Rolled(answer))
}

pub(crate) fn show(arguments: &BundleShow, format: Format) -> Result<(), CliError> {
    let signed = match &arguments.file {
        Some(file) => files::read_bundle(file)?,
        None => in_force(&arguments.connection)?,
    };
    format.print(&Summary::new(signed))
}

#[derive(Serialize)]
struct Written {
    file: PathBuf,
    version: u64,
    parent: Digest,
}

impl fmt::Display for Written {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "version {} written to {}",
            self.version,
            self.file.display()
        )?;
        writeln!(formatter, "it follows {}", self.parent.as_str())?;
        write!(
            formatter,
            "edit it, then `grebepin plan`, `bundle sign` and `bundle roll`"
        )
    }
}

pub(crate) fn next(arguments: &BundleNext, format: Format) -> Result<(), CliError> {
    let signed = match &arguments.follows {
        Some(file) => files::read_bundle(file)?,
        None => in_force(&arguments.connection)?,
    };
    let parent = digest(&signed.bundle);
    let mut bundle = signed.bundle;
    bundle.parent = Some(parent.clone());
    bundle.version += 1;
    bundle.note = None;
    files::create_json(&arguments.out, &bundle)?;
    format.print(&Written {
        file: arguments.out.clone(),
        version: bundle.version,
        parent,
    })
}

fn in_force(connection: &Connection) -> Result<SignedBundle, CliError> {
    connection.client().bundle()?.ok_or(CliError::NoBundle)
}

/// Fails on a bundle that the control group would refuse as invalid, and prints every finding.
fn refuse_invalid(signed: &SignedBundle, format: Format) -> Result<(), CliError> {
    let Err(findings) = check(&signed.bundle) else {
        return Ok(());
    };
    format.print(&Validation {
        digest: digest(&signed.bundle),
        version: signed.bundle.version,
        findings: findings.iter().map(Finding::to_string).collect(),
    })?;
    refuse(findings.len())
}

fn refuse(errors: usize) -> Result<(), CliError> {
    match errors {
        0 => Ok(()),
        errors => Err(CliError::Findings { errors }),
    }
}
