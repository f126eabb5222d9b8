//! Processes that die, freeze and come back.
//!
//! Invariant: a process runs again only when every fault that keeps it down has ended.

use grebepin_schema::{HistoryEvent, MemberRole};
use grebepin_storage::Crash;

use super::faults::Active;
use super::World;
use crate::message::{Input, RouterInput};
use crate::process::{Condition, Process};

impl World {
    pub(super) fn kill(&mut self, process: Process, crash: Crash) -> Active {
        self.take_down(process);
        self.note_struck(process, HistoryEvent::Killed(process.name()));
        if let Process::Control(number) = process {
            self.controls[number].disk.crash(crash);
        }
        Active::Down(process)
    }

    /// Stops a process for good; it is opened anew when it comes back.
    pub(super) fn take_down(&mut self, process: Process) {
        match process {
            Process::Control(number) => {
                self.forget_beliefs(number);
                self.controls[number].node = None;
                self.close_connections_to(number);
                self.led_until = self.led_until.min(self.now);
            }
            Process::Server(number) => {
                self.flush_server(number);
                self.break_connections(number);
            }
            _ => {}
        }
        if let Some(body) = self.bodies.get_mut(&process) {
            body.condition = Condition::Down;
            body.kills += 1;
            body.held.clear();
        }
    }

    /// Loses a disk if the group tolerates it now; else the process only dies.
    pub(super) fn lose_disk(&mut self, control: usize) -> Active {
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

    /// Whether all other replicas are voters of the membership that the latest replica knows.
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

    pub(super) fn revive(&mut self, process: Process) {
        let Some(body) = self.bodies.get_mut(&process) else {
            return;
        };
        body.kills = body.kills.saturating_sub(1);
        if body.kills == 0 {
            self.start_again(process);
        }
        self.note_mended(process);
    }

    /// Starts a process that is down, unless a fault keeps it down.
    pub(super) fn start_again(&mut self, process: Process) {
        let now = self.now;
        let Some(body) = self.bodies.get_mut(&process) else {
            return;
        };
        if body.kills > 0 || body.condition != Condition::Down {
            return;
        }
        body.restart(now);
        if body.freezes > 0 {
            body.condition = Condition::Frozen;
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

    pub(super) fn freeze(&mut self, process: Process) -> Active {
        if let Some(body) = self.bodies.get_mut(&process) {
            body.freezes += 1;
            if body.condition == Condition::Running {
                body.condition = Condition::Frozen;
            }
        }
        self.note_struck(process, HistoryEvent::Frozen(process.name()));
        Active::Frozen(process)
    }

    pub(super) fn thaw(&mut self, process: Process) {
        let Some(body) = self.bodies.get_mut(&process) else {
            return;
        };
        body.freezes = body.freezes.saturating_sub(1);
        if body.freezes > 0 {
            return self.note_mended(process);
        }
        if body.condition == Condition::Frozen {
            body.condition = Condition::Running;
        }
        self.note_mended(process);
        let held = self
            .bodies
            .get_mut(&process)
            .map(|body| std::mem::take(&mut body.held));
        for input in held.unwrap_or_default() {
            self.arrive(process, None, input);
        }
    }

    pub(super) fn note_struck(&mut self, process: Process, event: HistoryEvent) {
        *self.faults.in_force.entry(process).or_default() += 1;
        self.record(event);
    }

    pub(super) fn note_mended(&mut self, process: Process) {
        let count = self.faults.in_force.entry(process).or_default();
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.record(HistoryEvent::Returned(process.name()));
        }
    }

    /// A replica that lost its disk is back only once a leader counts it as a voter.
    pub(super) fn note_voters(&mut self, leader: usize) {
        if self.faults.joining.is_empty() || self.leader() != Some(leader) {
            return;
        }
        let joining = self.faults.joining.clone();
        for control in joining {
            if self.is_voter(leader, control) {
                self.faults.joining.remove(&control);
                self.note_mended(Process::Control(control));
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
