//! Crashes, freezes and restarts of processes.
//!
//! Invariant: a process runs again only when every fault that keeps it down or frozen has ended.

use grebepin_schema::{HistoryEvent, MemberRole};
use grebepin_storage::Crash;

use super::faults::ActiveFault;
use super::World;
use crate::message::{Input, RouterInput};
use crate::process::{Condition, Process};

impl World {
    pub(super) fn kill(&mut self, process: Process, crash: Crash) -> ActiveFault {
        self.stop_process(process);
        self.record_fault_start(process, HistoryEvent::Killed(process.name()));
        if let Process::Control(number) = process {
            self.controls[number].disk.crash(crash);
        }
        ActiveFault::Down(process)
    }

    /// Stops a process. A restart creates it anew, a control replica from its disk.
    pub(super) fn stop_process(&mut self, process: Process) {
        match process {
            Process::Control(number) => {
                self.clear_recorded_epochs(number);
                self.controls[number].node = None;
                self.close_connections_to(number);
                self.leader_lease_end = self.leader_lease_end.min(self.now);
            }
            Process::Server(number) => {
                self.flush_server(number);
                self.break_connections(number);
            }
            _ => {}
        }
        if let Some(state) = self.process_states.get_mut(&process) {
            state.condition = Condition::Down;
            state.kills += 1;
            state.deferred.clear();
        }
    }

    /// Wipes the disk of a replica if the group tolerates the loss now; otherwise the process only crashes.
    pub(super) fn lose_disk(&mut self, control: usize) -> ActiveFault {
        let tolerated = self.tolerates_lost_disk(control);
        let active = self.kill(Process::Control(control), Crash::KeepAll);
        if tolerated {
            self.controls[control].disk.wipe();
            if self.faults.joining.insert(control) {
                *self
                    .faults
                    .in_force
                    .entry(Process::Control(control))
                    .or_default() += 1;
            }
        }
        active
    }

    /// Whether all other replicas run and are voters in the membership known to the replica with the highest
    /// commit index.
    pub(super) fn tolerates_lost_disk(&self, control: usize) -> bool {
        let nodes = self.controls.iter().filter_map(|actor| actor.node.as_ref());
        let Some(latest) = nodes.max_by_key(|node| node.consensus().commit()) else {
            return false;
        };
        let members = &latest.consensus().membership().members;
        let others = self
            .controls
            .iter()
            .enumerate()
            .filter(|(number, _)| *number != control);
        let mut others = others.map(|(_, actor)| actor.node.as_ref());
        others.all(|node| {
            node.is_some_and(|node| {
                members.iter().any(|member| {
                    member.replica == node.replica() && member.role == MemberRole::Voter
                })
            })
        })
    }

    pub(super) fn end_kill(&mut self, process: Process) {
        let Some(state) = self.process_states.get_mut(&process) else {
            return;
        };
        state.kills = state.kills.saturating_sub(1);
        if state.kills == 0 {
            self.restart_process(process);
        }
        self.record_fault_end(process);
    }

    /// Restarts a process that is down, unless a fault keeps it down.
    pub(super) fn restart_process(&mut self, process: Process) {
        let now = self.now;
        let Some(state) = self.process_states.get_mut(&process) else {
            return;
        };
        if state.kills > 0 || state.condition != Condition::Down {
            return;
        }
        state.restart(now);
        if state.freezes > 0 {
            state.condition = Condition::Frozen;
        }
        match process {
            Process::Control(number) => self.open_control(number),
            Process::Server(number) => self.servers[number] = self.new_server(number),
            Process::Router(number) => {
                self.routers[number] = self.new_router(number);
                self.deliver_now(process, Input::Router(RouterInput::Tick));
            }
            _ => {}
        }
        if self
            .faults
            .in_force
            .get(&process)
            .is_none_or(|count| *count == 0)
        {
            self.record(HistoryEvent::Returned(process.name()));
        }
    }

    pub(super) fn freeze(&mut self, process: Process) -> ActiveFault {
        if let Some(state) = self.process_states.get_mut(&process) {
            state.freezes += 1;
            if state.condition == Condition::Running {
                state.condition = Condition::Frozen;
            }
        }
        self.record_fault_start(process, HistoryEvent::Frozen(process.name()));
        ActiveFault::Frozen(process)
    }

    pub(super) fn end_freeze(&mut self, process: Process) {
        let Some(state) = self.process_states.get_mut(&process) else {
            return;
        };
        state.freezes = state.freezes.saturating_sub(1);
        if state.freezes > 0 {
            return self.record_fault_end(process);
        }
        if state.condition == Condition::Frozen {
            state.condition = Condition::Running;
        }
        self.record_fault_end(process);
        let held = self
            .process_states
            .get_mut(&process)
            .map(|state| std::mem::take(&mut state.deferred));
        for input in held.unwrap_or_default() {
            self.deliver(process, None, input);
        }
    }

    pub(super) fn record_fault_start(&mut self, process: Process, event: HistoryEvent) {
        *self.faults.in_force.entry(process).or_default() += 1;
        self.record(event);
    }

    pub(super) fn record_fault_end(&mut self, process: Process) {
        let count = self.faults.in_force.entry(process).or_default();
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.record(HistoryEvent::Returned(process.name()));
        }
    }

    /// Ends the fault of a replica that lost its disk once the leader counts it as a voter again.
    pub(super) fn update_joining_replicas(&mut self, leader: usize) {
        if self.faults.joining.is_empty() || self.leader() != Some(leader) {
            return;
        }
        let joining = self.faults.joining.clone();
        for control in joining {
            if self.is_voter(leader, control) {
                self.faults.joining.remove(&control);
                self.record_fault_end(Process::Control(control));
            }
        }
    }

    fn is_voter(&self, leader: usize, control: usize) -> bool {
        let node = |number: usize| self.controls[number].node.as_ref();
        let (Some(leader), Some(control)) = (node(leader), node(control)) else {
            return false;
        };
        let mut members = leader.consensus().membership().members.iter();
        members
            .any(|member| member.replica == control.replica() && member.role == MemberRole::Voter)
    }
}
