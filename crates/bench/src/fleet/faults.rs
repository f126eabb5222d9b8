//! Carries out the steps of an experiment.
//!
//! Invariant: a fault's record is written before a kill or freeze takes effect, and after a process
//! has come back, so that the checkers never blame a process for what a fault did.

use std::thread;
use std::time::Duration;

use grebepin_schema::{Fault, Freeze, HistoryEvent, ProcessKind, ServerName, SignedBundle};

use super::cluster::Fleet;
use super::error::FleetError;
use super::experiment::LEADER;
use super::plans::Kind;

/// Pause between two processes of a rolling restart, so that each is back before the next goes.
const RESTART_PAUSE: Duration = Duration::from_millis(1500);

/// A process that a step froze, and that must go on at the end of its time.
#[derive(Debug)]
pub struct Frozen {
    /// Name of the process.
    pub process: String,
    /// How long it stands still.
    pub length: Duration,
}

/// Carries out one fault; returns a process to be resumed later, if it froze one.
pub fn carry_out(fleet: &mut Fleet, fault: &Fault) -> Result<Option<Frozen>, FleetError> {
    match fault {
        Fault::Kill(name) => kill(fleet, &resolve(fleet, name)?)?,
        Fault::Start(name) => start(fleet, name)?,
        Fault::Stop(name) => stop(fleet, name)?,
        Fault::Freeze(freeze) => return Ok(Some(freeze_process(fleet, freeze)?)),
        Fault::LoseDisk(name) => lose_disk(fleet, &resolve(fleet, name)?)?,
        Fault::Cut(cut) => {
            fleet.record(HistoryEvent::CutOff(cut.process.to_string()))?;
            fleet.cuts(&cut.process)?.cut(cut.traffic);
        }
        Fault::Heal(name) => {
            fleet.cuts(name)?.heal();
            fleet.record(HistoryEvent::Returned(name.to_string()))?;
        }
        Fault::Drain(server) => drain(fleet, server, true)?,
        Fault::Restore(server) => drain(fleet, server, false)?,
        Fault::Roll(version) => {
            fleet.roll(version.get())?;
        }
        Fault::Race(version) => race(fleet, version.get())?,
        Fault::RollingRestart(kind) => rolling_restart(fleet, *kind)?,
    }
    Ok(None)
}

/// Lets a frozen process go on.
pub fn resume(fleet: &mut Fleet, name: &str) -> Result<(), FleetError> {
    fleet.process(name)?.resume()?;
    fleet.record(HistoryEvent::Returned(name.to_string()))
}

fn resolve(fleet: &Fleet, name: &str) -> Result<String, FleetError> {
    match name {
        LEADER => fleet.leader(),
        name => Ok(name.to_string()),
    }
}

fn kill(fleet: &mut Fleet, name: &str) -> Result<(), FleetError> {
    fleet.kill(name)?;
    fleet.record(HistoryEvent::Killed(name.to_string()))
}

/// Starts a process; one that runs is left alone.
fn start(fleet: &mut Fleet, name: &str) -> Result<(), FleetError> {
    if fleet.is_running(name)? {
        return Ok(());
    }
    if fleet.kind(name)? == Kind::BackEnd {
        fleet.record(HistoryEvent::Staying(server_name(name)))?;
    }
    fleet.record(HistoryEvent::Returned(name.to_string()))?;
    fleet.launch(name)
}

fn stop(fleet: &mut Fleet, name: &str) -> Result<(), FleetError> {
    if fleet.kind(name)? == Kind::BackEnd {
        let server = server_name(name);
        fleet.record(HistoryEvent::Leaving(server.clone()))?;
        fleet.stop(name)?;
        return fleet.record(HistoryEvent::Stopped(server));
    }
    fleet.stop(name)
}

fn freeze_process(fleet: &mut Fleet, freeze: &Freeze) -> Result<Frozen, FleetError> {
    let process = resolve(fleet, &freeze.process)?;
    fleet.record(HistoryEvent::Frozen(process.clone()))?;
    fleet.process(&process)?.freeze()?;
    let length = Duration::from_millis(freeze.for_ms.get());
    Ok(Frozen { process, length })
}

fn lose_disk(fleet: &mut Fleet, name: &str) -> Result<(), FleetError> {
    kill(fleet, name)?;
    fleet.empty_data_folder(name)?;
    start(fleet, name)
}

fn drain(fleet: &Fleet, server: &ServerName, draining: bool) -> Result<(), FleetError> {
    fleet.client().drain(server, draining)?;
    fleet.record(match draining {
        true => HistoryEvent::Leaving(server.clone()),
        false => HistoryEvent::Staying(server.clone()),
    })
}

/// Rolls two bundles of one version, which differ in their notes, from two threads at once.
fn race(fleet: &Fleet, version: u64) -> Result<(), FleetError> {
    let first = fleet.prepare(version)?;
    let mut second = first.bundle.clone();
    second.note = Some("rolled at the same moment by another operator".to_string());
    let second = fleet.deployment.sign(second);
    let client = fleet.client();
    let roll = |signed: &SignedBundle| client.roll(signed);
    let answers = thread::scope(|scope| {
        let other = scope.spawn(|| roll(&second));
        [Some(roll(&first)), other.join().ok()]
    });
    for answer in answers.into_iter().flatten().flatten() {
        fleet.record_accepted(&answer)?;
    }
    Ok(())
}

fn rolling_restart(fleet: &mut Fleet, kind: ProcessKind) -> Result<(), FleetError> {
    let kind = match kind {
        ProcessKind::Control => Kind::Control,
        ProcessKind::Router => Kind::Router,
        ProcessKind::BackEnd => Kind::BackEnd,
    };
    for name in fleet.names(kind) {
        stop(fleet, &name)?;
        start(fleet, &name)?;
        thread::sleep(RESTART_PAUSE);
    }
    Ok(())
}

fn server_name(name: &str) -> ServerName {
    name.parse()
        .expect("a back end's process has its server's name")
}
