//! State of one simulated back end, shared by its threads.
//!
//! Invariant: changes of the held shards are recorded in the order in which they were made.

use std::collections::BTreeMap;
use std::io;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use grebepin_holder::{Guards, Holder, HolderConfig, HoldingChange, HoldingChangeKind};
use grebepin_schema::{EffectRecord, HealthState, HistoryEvent, Holding, LoadAnswer};
use rand::rngs::SmallRng;
use rand::SeedableRng;

use super::faults::Faults;
use super::handover::FetchQueues;
use super::slots::Slots;
use super::{Args, FalseReport};
use crate::history::HistoryWriter;
use crate::http::{HttpRequest, HttpResponse, ServerHooks};
use crate::{lock, milliseconds};

/// Boot ids stay below 2^53, so that JSON parsers that read numbers as doubles keep them exact.
const BOOT_BITS: u32 = 53;

/// Number of waiting requests in a false report of high load.
const FALSE_WAITING: u32 = 1000;

/// One simulated back end.
pub(crate) struct Node {
    pub(crate) arguments: Args,
    pub(crate) slots: Slots,
    pub(crate) faults: Faults,
    pub(crate) history: HistoryWriter,
    pub(crate) random: Mutex<SmallRng>,
    pub(crate) fetches: FetchQueues,
    pub(crate) running: Mutex<BTreeMap<u64, EffectRecord>>,
    started: Instant,
    holder: Mutex<Holder>,
}

impl Node {
    pub(crate) fn new(arguments: &Args, guards: Guards, fetches: FetchQueues) -> io::Result<Self> {
        let boot = rand::random::<u64>() >> (u64::BITS - BOOT_BITS);
        let mut config = HolderConfig::new(boot);
        config.guards = guards;
        config.report_changes = arguments.history.is_some();
        Ok(Self {
            slots: Slots::new(arguments.slots, arguments.waiting),
            faults: Faults::new(arguments.lie),
            history: HistoryWriter::open(arguments.history.as_deref())?,
            random: Mutex::new(SmallRng::seed_from_u64(arguments.seed)),
            fetches,
            running: Mutex::default(),
            started: Instant::now(),
            holder: Mutex::new(Holder::new(config)),
            arguments: arguments.clone(),
        })
    }

    /// Time since the start of the server.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Runs `change` on the locked holder with the current time and records the resulting changes.
    pub(crate) fn with_holder<T>(&self, change: impl FnOnce(&mut Holder, Duration) -> T) -> T {
        let mut holder = lock(&self.holder);
        let result = change(&mut holder, self.started.elapsed());
        for change in holder.take_changes() {
            self.record_change(change);
        }
        result
    }

    /// Records an event at the current time. A failure is only logged, as nothing depends on the record.
    pub(crate) fn record(&self, event: HistoryEvent) {
        self.record_at(Instant::now(), event);
    }

    /// Factor on the service time: above 1 while the server is cold, then 1.
    pub(crate) fn cold_factor(&self) -> f64 {
        let cold = Duration::from_millis(self.arguments.cold_ms);
        let left = cold.saturating_sub(self.now());
        if left.is_zero() {
            return 1.0;
        }
        let fraction = left.as_secs_f64() / cold.as_secs_f64();
        1.0 + (self.arguments.cold_factor - 1.0) * fraction
    }

    pub(crate) fn health(&self) -> HealthState {
        match self.faults.false_report() {
            FalseReport::Idle | FalseReport::Busy => return HealthState::Ok,
            FalseReport::Failing => return HealthState::Failing,
            FalseReport::None => {}
        }
        if self.with_holder(|holder, _| holder.is_draining()) {
            return HealthState::Draining;
        }
        match self.cold_factor() > 1.0 {
            true => HealthState::Cold,
            false => HealthState::Ok,
        }
    }

    pub(crate) fn load(&self) -> LoadAnswer {
        let slots = self.arguments.slots as u32;
        let lag = Duration::from_millis(self.arguments.report_lag_ms);
        let load = self.slots.load(lag);
        let (in_flight, waiting) = match self.faults.false_report() {
            FalseReport::None => (load.running as u32, load.waiting as u32),
            FalseReport::Idle => (0, 0),
            FalseReport::Busy | FalseReport::Failing => (slots, FALSE_WAITING),
        };
        LoadAnswer {
            slots,
            in_flight,
            waiting,
        }
    }

    fn record_change(&self, change: HoldingChange) {
        let holding = Holding {
            server: self.arguments.name.clone(),
            service: change.shard.service,
            shard: change.shard.shard,
            epoch: change.shard.epoch,
        };
        let event = match change.kind {
            HoldingChangeKind::Acquired => HistoryEvent::Acquired(holding),
            HoldingChangeKind::Forfeited => HistoryEvent::Forfeited(holding),
        };
        self.record_at(self.started + change.at, event);
    }

    fn record_at(&self, at: Instant, event: HistoryEvent) {
        if let Err(error) = self.history.record(at, event) {
            grebepin_telemetry::event!(grebepin_telemetry::Event::HistoryNotWritten, error = error);
        }
    }

    fn network_delay(&self) {
        std::thread::sleep(milliseconds(self.arguments.delay_ms));
    }
}

impl ServerHooks for Node {
    fn connected(&self) {
        std::thread::sleep(milliseconds(self.arguments.connect_ms));
    }

    fn before_transfer(&self) {
        self.faults.wait_while_frozen();
    }

    fn respond(&self, http_request: HttpRequest) -> HttpResponse {
        self.network_delay();
        let answer = match http_request.path.starts_with("/grebepin/") {
            true => self.answer_control(&http_request),
            false if http_request.path.starts_with("/stand-in/") => {
                self.answer_fault_call(&http_request)
            }
            false => self.serve(&http_request),
        };
        self.network_delay();
        answer
    }
}
