//! Faults that consist of actions of operators: rolls, drains and planned stops.
//!
//! Invariant: a planned stop happens only while the server holds no shard and runs no request.

use grebepin_schema::HistoryEvent;

use super::faults::ActiveFault;
use super::World;
use crate::actors::operators::OperatorAction;
use crate::clock::{Instant, MILLISECOND};
use crate::deployment::{server_name, SERVERS};
use crate::message::{Input, OperatorInput};
use crate::process::{Condition, Process};

/// Interval between checks whether a draining server is idle.
const WATCH_INTERVAL: Instant = 40 * MILLISECOND;

/// Interval between the starts of the drain requests of a churn fault.
const CHURN_INTERVAL: Instant = 30 * MILLISECOND;

impl World {
    pub(super) fn submit_racing_bundles(&mut self) -> ActiveFault {
        for (operator, new_share) in [(0, 35), (1, 65)] {
            let note = format!("race at {} by operator {operator}", self.now);
            self.add_operator_action(OperatorAction::Roll { new_share, note }, operator, self.now);
        }
        ActiveFault::Nothing
    }

    pub(super) fn roll(&mut self, new_share: u32) -> ActiveFault {
        let note = format!("roll at {}", self.now);
        self.add_operator_action(OperatorAction::Roll { new_share, note }, 1, self.now);
        ActiveFault::Nothing
    }

    pub(super) fn churn(&mut self, times: u64) -> ActiveFault {
        let mut last = None;
        for time in 0..times {
            let server = (time as usize / 2) % SERVERS;
            let draining = time % 2 == 0;
            let action = OperatorAction::Drain { server, draining };
            let at = self.now + time * CHURN_INTERVAL;
            last = Some(match last {
                Some(after) => self.add_operator_action_after(action, after, at),
                None => self.add_operator_action(action, 0, at),
            });
        }
        if let (Some(after), 1) = (last, times % 2) {
            let server = (times as usize / 2) % SERVERS;
            let draining = false;
            self.add_operator_action_after(
                OperatorAction::Drain { server, draining },
                after,
                self.now,
            );
        }
        ActiveFault::Nothing
    }

    pub(super) fn begin_drain(&mut self, fault: usize, server: usize) -> ActiveFault {
        let draining = true;
        let job = self.add_operator_action(OperatorAction::Drain { server, draining }, 0, self.now);
        self.watch_again(fault);
        ActiveFault::Leaving {
            server,
            job: Some(job),
            stopped: false,
        }
    }

    pub(super) fn request_leave(&mut self, fault: usize, server: usize) -> ActiveFault {
        if self.condition(Process::Server(server)) == Condition::Running {
            let now = self.local(Process::Server(server));
            self.servers[server].holder().drain(now, true);
            self.record(HistoryEvent::Leaving(server_name(server)));
        }
        self.watch_again(fault);
        ActiveFault::Leaving {
            server,
            job: None,
            stopped: false,
        }
    }

    pub(super) fn watch_again(&mut self, fault: usize) {
        let input = Input::Operators(OperatorInput::WatchLeaving(fault));
        self.push(self.now + WATCH_INTERVAL, Process::Operators, None, input);
    }

    /// Stops a draining server once it holds no shard and runs no request.
    pub(super) fn watch_leaving(&mut self, fault: usize) {
        let ActiveFault::Leaving {
            server,
            job,
            stopped: false,
        } = self.faults.planned[fault].active
        else {
            return;
        };
        let process = Process::Server(server);
        let now = self.local(process);
        let told = job.is_none_or(|job| self.operators.is_done(job));
        let running = self.condition(process) == Condition::Running;
        if !running || !told || !self.servers[server].is_idle(now) {
            return self.watch_again(fault);
        }
        self.record(HistoryEvent::Stopped(server_name(server)));
        self.stop_process(process);
        self.faults.planned[fault].active = ActiveFault::Leaving {
            server,
            job,
            stopped: true,
        };
    }

    pub(super) fn end_leaving(&mut self, server: usize, job: Option<usize>, stopped: bool) {
        let process = Process::Server(server);
        if stopped {
            if let Some(state) = self.process_states.get_mut(&process) {
                state.kills = state.kills.saturating_sub(1);
            }
            self.restart_process(process);
        }
        match job {
            Some(job) => {
                let draining = false;
                let action = OperatorAction::Drain { server, draining };
                self.add_operator_action_after(action, job, self.now);
            }
            None => {
                let now = self.local(process);
                self.servers[server].holder().drain(now, false);
                self.record(HistoryEvent::Staying(server_name(server)));
            }
        }
    }
}
