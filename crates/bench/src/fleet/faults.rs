//! Executes the faults of an experiment.
//!
//! The runner's history records each fault, so that the checkers don't take its effects for a violation
//! by the process. A freeze or cut is recorded before it begins and after it ends. A kill is recorded after
//! the process has exited, a start before the process is launched.

use std::thread;
use std::time::Duration;

use grebepin_schema::{Fault, Freeze, HistoryEvent, ProcessKind, ServerName, SignedBundle};

use super::cluster::Fleet;
use super::error::FleetError;
use super::experiment::LEADER;
use super::plans::Kind;

/// Pause between two processes of a rolling restart, so that each has restarted before the next one stops.
const RESTART_PAUSE: Duration = Duration::from_millis(1500);

/// A process that a step froze and that must be resumed later.
#[derive(Debug)]
pub struct Frozen {
    /// Name of the process.
    pub process: String,
    /// How long the process stays frozen.
    pub duration: Duration,
}

/// Executes one fault. When it froze a process, the caller has to resume that process later.
pub fn execute(fleet: &mut Fleet, fault: &Fault) -> Result<Option<Frozen>, FleetError> {
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

/// Resumes a frozen process and records its return.
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

/// Starts a process unless it is running.
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
    let duration = Duration::from_millis(freeze.for_ms.get());
    Ok(Frozen { process, duration })
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

/// Rolls two bundles of the same version concurrently. They differ only in their notes, and at most one
/// may be accepted.
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
