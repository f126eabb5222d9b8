//! What the threads of one router share.
//!
//! Invariant: the view in force is replaced by the control thread only, and never by one of a lower
//! log index.

use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use crossbeam_channel::{Receiver, Sender};
use grebepin_schema::LogIndex;
use grebepin_settings::{RouterLimits, RouterSettings};
use grebepin_telemetry::{Metrics, MetricsError, RouterMetrics};
use grebepin_traffic::{Guards, RoutingTable};

use crate::clock::Clock;
use crate::load::LoadCounters;
use crate::view::View;

/// Priority whose requests may use every permit.
const TOP_PRIORITY: u32 = 0;

/// Part of the permits, one in this many, that is kept for the top priority.
const KEPT_PART: u64 = 4;

/// What the threads of one router share.
pub struct Shared {
    /// Settings of the router.
    pub settings: RouterSettings,
    /// Clock of the process.
    pub clock: Clock,
    /// Registry of all metrics.
    pub registry: Metrics,
    /// Metrics of the router.
    pub metrics: RouterMetrics,
    /// Load counted since the last report.
    pub load: LoadCounters,
    /// Number of this start.
    pub incarnation: u64,
    view: ArcSwap<View>,
    index: Mutex<LogIndex>,
    changed: Condvar,
    leaving: AtomicBool,
    closed: AtomicBool,
    stop_sender: Mutex<Option<Sender<Infallible>>>,
    stop_receiver: Receiver<Infallible>,
    control_seen: AtomicU64,
    running: Permits,
    waiting_for_table: Permits,
    body_bytes: Permits,
}

impl Shared {
    /// State of a router that starts.
    ///
    /// # Errors
    /// [`MetricsError`] when a metric cannot be registered.
    pub fn new(settings: RouterSettings, incarnation: u64) -> Result<Self, MetricsError> {
        let registry = Metrics::new();
        let metrics = RouterMetrics::register(&registry)?;
        let table = RoutingTable::new(settings.group, Guards::all());
        let threads = u64::from(settings.limits.threads);
        let (stop_sender, stop_receiver) = crossbeam_channel::bounded(0);
        let body_bytes = threads.saturating_mul(settings.limits.body_bytes);
        Ok(Self {
            clock: Clock::start(),
            registry,
            metrics,
            load: LoadCounters::default(),
            incarnation,
            view: ArcSwap::from_pointee(View::new(table)),
            index: Mutex::new(LogIndex(0)),
            changed: Condvar::new(),
            leaving: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            stop_sender: Mutex::new(Some(stop_sender)),
            stop_receiver,
            control_seen: AtomicU64::new(0),
            running: Permits::new(threads),
            waiting_for_table: Permits::new((threads / 2).max(1)),
            body_bytes: Permits::new(body_bytes),
            settings,
        })
    }

    /// Bounds of the router.
    pub fn limits(&self) -> &RouterLimits {
        &self.settings.limits
    }

    /// The view in force.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Puts a view in force and wakes those who wait for it.
    pub fn put_in_force(&self, view: View) {
        let index = view.table.index();
        self.metrics.table_index.set(index.0 as i64);
        self.metrics
            .bundle_version
            .set(view.table.bundle_version() as i64);
        self.view.store(Arc::new(view));
        *self.index.lock().unwrap_or_else(PoisonError::into_inner) = index;
        self.changed.notify_all();
    }

    /// Waits until the index in force is above `beyond`, at most until `until`. False, at once, when
    /// too many requests wait already.
    pub fn wait_for_table(&self, beyond: LogIndex, until: Instant) -> bool {
        let Some(_permit) = self.waiting_for_table.take(1, 0) else {
            return false;
        };
        let mut index = self.index.lock().unwrap_or_else(PoisonError::into_inner);
        while *index <= beyond {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(index, left);
            index = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }

    /// A permit to run a request; `None` when the router has as many as it may. The last quarter of
    /// the permits is kept for the top priority.
    pub fn permit(&self, priority: u32) -> Option<Permit<'_>> {
        let kept = match priority {
            TOP_PRIORITY => 0,
            _ => self.running.most / KEPT_PART,
        };
        self.running.take(1, kept)
    }

    /// Room for a body of at most `bytes`. All callers' bodies together take at most as much memory as
    /// `threads` bodies of the largest size; `None` when this is used up.
    pub fn body_room(&self, bytes: u64) -> Option<Permit<'_>> {
        self.body_bytes.take(bytes, 0)
    }

    /// Requests that run now.
    pub fn running(&self) -> u64 {
        self.running.taken.load(Ordering::Acquire)
    }

    /// The router leaves: it still answers requests, and ends each connection with its next answer.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Whether the router leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// From now on no connection and no request is taken.
    pub fn close(&self) {
        self.leave();
        self.closed.store(true, Ordering::Release);
    }

    /// Whether no connection and no request is taken any more.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Ends the control thread.
    pub fn stop(&self) {
        let sender = self
            .stop_sender
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        drop(sender);
    }

    /// A channel that is disconnected by [`Shared::stop`], and never carries anything.
    pub fn stop_signal(&self) -> &Receiver<Infallible> {
        &self.stop_receiver
    }

    /// The control thread says that it runs.
    pub fn control_runs(&self) {
        let now = self.now().as_millis() as u64;
        self.control_seen.store(now, Ordering::Release);
    }

    /// Time since the control thread said that it runs.
    pub fn control_silent_for(&self) -> Duration {
        let seen = Duration::from_millis(self.control_seen.load(Ordering::Acquire));
        self.now().saturating_sub(seen)
    }

    /// Time since the start of the router.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }
}

struct Permits {
    most: u64,
    taken: AtomicU64,
}

/// Some units of a bounded good; given back when dropped.
pub struct Permit<'a> {
    taken: &'a AtomicU64,
    units: u64,
}

impl Permits {
    fn new(most: u64) -> Self {
        Self {
            most,
            taken: AtomicU64::new(0),
        }
    }

    /// Takes `units`, if `kept` units are left over after that.
    fn take(&self, units: u64, kept: u64) -> Option<Permit<'_>> {
        let most = self.most.saturating_sub(kept);
        let more = |taken: u64| taken.checked_add(units).filter(|taken| *taken <= most);
        let taken = self
            .taken
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, more);
        taken.ok().map(|_| Permit {
            taken: &self.taken,
            units,
        })
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.taken.fetch_sub(self.units, Ordering::AcqRel);
    }
}
