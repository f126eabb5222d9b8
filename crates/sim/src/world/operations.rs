//! What operators do in a fault's place: rolls, drains and planned stops.
//!
//! Invariant: a server is stopped as planned only while it holds nothing and runs nothing.

use grebepin_schema::HistoryEvent;

use super::faults::Active;
use super::World;
use crate::actors::operators::Wish;
use crate::clock::{Instant, MILLISECOND};
use crate::deployment::{server_name, SERVERS};
use crate::message::{Input, OperatorInput};
use crate::process::{Condition, Process};

/// Time between two looks at a server that leaves.
const WATCH_INTERVAL: Instant = 40 * MILLISECOND;

/// Time between two of the operators' jobs that make entries.
const CHURN_INTERVAL: Instant = 30 * MILLISECOND;

impl World {
    pub(super) fn race(&mut self) -> Active {
        for (operator, new_share) in [(0, 35), (1, 65)] {
            let note = format!("race at {} by operator {operator}", self.now);
            self.add_wish(Wish::Roll { new_share, note }, operator, self.now);
        }
        Active::Nothing
    }

    pub(super) fn roll(&mut self, new_share: u32) -> Active {
        let note = format!("roll at {}", self.now);
        self.add_wish(Wish::Roll { new_share, note }, 1, self.now);
        Active::Nothing
    }

    pub(super) fn churn(&mut self, times: u64) -> Active {
        let mut last = None;
        for time in 0..times {
            let server = (time as usize / 2) % SERVERS;
            let draining = time % 2 == 0;
            let wish = Wish::Drain { server, draining };
            let at = self.now + time * CHURN_INTERVAL;
            last = Some(match last {
                Some(after) => self.add_wish_after(wish, after, at),
                None => self.add_wish(wish, 0, at),
            });
        }
        if let (Some(after), 1) = (last, times % 2) {
            let server = (times as usize / 2) % SERVERS;
            let draining = false;
            self.add_wish_after(Wish::Drain { server, draining }, after, self.now);
        }
        Active::Nothing
    }

    pub(super) fn begin_drain(&mut self, fault: usize, server: usize) -> Active {
        let draining = true;
        let job = self.add_wish(Wish::Drain { server, draining }, 0, self.now);
        self.watch_again(fault);
        Active::Leaving {
            server,
            job: Some(job),
            stopped: false,
        }
    }

    pub(super) fn tell_to_leave(&mut self, fault: usize, server: usize) -> Active {
        if self.condition(Process::Server(server)) == Condition::Running {
            let now = self.local(Process::Server(server));
            self.servers[server].holder().drain(now, true);
            self.record(HistoryEvent::Leaving(server_name(server)));
        }
        self.watch_again(fault);
        Active::Leaving {
            server,
            job: None,
            stopped: false,
        }
    }

    pub(super) fn watch_again(&mut self, fault: usize) {
        let input = Input::Operators(OperatorInput::WatchLeaving(fault));
        self.push(self.now + WATCH_INTERVAL, Process::Operators, None, input);
    }

    /// Stops a leaving server once it holds nothing and runs nothing.
    pub(super) fn watch_leaving(&mut self, fault: usize) {
        let Active::Leaving {
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
        self.take_down(process);
        self.faults.planned[fault].active = Active::Leaving {
            server,
            job,
            stopped: true,
        };
    }

    pub(super) fn end_leaving(&mut self, server: usize, job: Option<usize>, stopped: bool) {
        let process = Process::Server(server);
        if stopped {
            if let Some(body) = self.bodies.get_mut(&process) {
                body.kills = body.kills.saturating_sub(1);
            }
            self.start_again(process);
        }
        match job {
            Some(job) => {
                let draining = false;
                let wish = Wish::Drain { server, draining };
                self.add_wish_after(wish, job, self.now);
            }
            None => {
                let now = self.local(process);
                self.servers[server].holder().drain(now, false);
                self.record(HistoryEvent::Staying(server_name(server)));
            }
        }
    }
}
