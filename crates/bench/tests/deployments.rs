//! Checks that the repository's experiments match their deployments.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use grebepin_bench::fleet::{experiment, Deployment, FleetError, Layout};
use grebepin_schema::{Experiment, Fault, Step};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn load(deployment: &str, file: &str) -> (Deployment, Experiment) {
    let deployment = Deployment::load(&root().join("deployments").join(deployment));
    let experiment = experiment::load(&root().join("experiments").join(file));
    (deployment.expect("it loads"), experiment.expect("it loads"))
}

#[test]
fn every_experiment_fits_its_deployment() {
    let table = [
        ("recife", "demo.toml"),
        ("recife", "recife.toml"),
        ("recife", "recife-leases.toml"),
        ("recife", "recife-restarts.toml"),
        ("pnw-west", "pnw-west.toml"),
        ("pnw-west", "pnw-west-leases.toml"),
    ];
    for (folder, file) in table {
        let (deployment, experiment) = load(folder, file);
        experiment::check(&experiment, &deployment).expect(file);
        assert!(
            deployment.signed(1, None).is_some(),
            "{folder} has a first bundle"
        );
    }
}

#[test]
fn a_step_or_load_that_the_deployment_lacks_is_refused_by_type() {
    let (deployment, experiment) = load("recife", "recife.toml");
    let with_step = |fault: Fault| {
        let mut changed = experiment.clone();
        changed.steps.push(Step { at_ms: 1, fault });
        experiment::check(&changed, &deployment)
    };
    let process = "nobody".parse().expect("a name");
    assert!(matches!(
        with_step(Fault::Kill(process)),
        Err(FleetError::UnknownProcess { name, .. }) if name == "nobody"
    ));
    let version = 9.try_into().expect("not zero");
    assert!(matches!(
        with_step(Fault::Roll(version)),
        Err(FleetError::UnknownBundle { version: 9 })
    ));
    let mut changed = experiment.clone();
    changed.load[0].service = "nothing".parse().expect("a name");
    assert!(matches!(
        experiment::check(&changed, &deployment),
        Err(FleetError::UnknownService { service }) if service == "nothing"
    ));
}

#[test]
fn a_missing_folder_and_an_unknown_field_name_the_file() {
    let missing = Deployment::load(&root().join("deployments/nowhere"));
    assert!(missing.is_err_and(|error| error.to_string().contains("nowhere")));
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("wrong.toml");
    std::fs::write(
        &path,
        "name = \"x\"\nseconds = 1\nload = []\nsteps = []\nspeed = 3\n",
    )
    .expect("written");
    let error = experiment::load(&path).expect_err("an unknown field");
    let text = error.to_string();
    assert!(
        text.contains("wrong.toml") && text.contains("speed"),
        "{text}"
    );
}

#[test]
fn free_addresses_differ() {
    let addresses = Layout::free_addresses(50).expect("free ports");
    let different: BTreeSet<_> = addresses.iter().collect();
    assert_eq!(different.len(), 50);
}
