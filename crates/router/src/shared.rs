//! State shared by the threads of one router.
//!
//! Invariant: only the control thread replaces the current view, and never with one of a lower log index.

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

/// Priority whose requests may use all permits.
const TOP_PRIORITY: u32 = 0;

/// The number of permits divided by this is reserved for the top priority.
const RESERVED_PERMITS_DIVISOR: u64 = 4;

/// State shared by the threads of one router.
pub struct Shared {
    /// Settings as loaded at the start.
    pub settings: RouterSettings,
    /// Monotonic clock that starts with the router.
    pub clock: Clock,
    /// Registry that renders all metrics.
    pub registry: Metrics,
    /// Metrics of the router that belong to no service.
    pub metrics: RouterMetrics,
    /// Load counters since the last report.
    pub load: LoadCounters,
    /// Random number that identifies this start of the router.
    pub incarnation: u64,
    view: ArcSwap<View>,
    index: Mutex<LogIndex>,
    changed: Condvar,
    draining: AtomicBool,
    closed: AtomicBool,
    stop_sender: Mutex<Option<Sender<Infallible>>>,
    stop_receiver: Receiver<Infallible>,
    control_active_at: AtomicU64,
    running: Semaphore,
    waiting_for_table: Semaphore,
    body_bytes: Semaphore,
}

impl Shared {
    /// Creates the state of a starting router, with an empty table.
    ///
    /// # Errors
    /// [`MetricsError`] if a metric cannot be registered.
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
            draining: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            stop_sender: Mutex::new(Some(stop_sender)),
            stop_receiver,
            control_active_at: AtomicU64::new(0),
            running: Semaphore::new(threads),
            waiting_for_table: Semaphore::new((threads / 2).max(1)),
            body_bytes: Semaphore::new(body_bytes),
            settings,
        })
    }

    /// Limits from the settings.
    pub fn limits(&self) -> &RouterLimits {
        &self.settings.limits
    }

    /// The current view; it stays valid after a replacement.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Replaces the current view and wakes the threads in [`Shared::wait_for_table`].
    pub fn publish(&self, view: View) {
        let index = view.table.index();
        self.metrics.table_index.set(index.0 as i64);
        self.metrics
            .bundle_version
            .set(view.table.bundle_version() as i64);
        self.view.store(Arc::new(view));
        *self.index.lock().unwrap_or_else(PoisonError::into_inner) = index;
        self.changed.notify_all();
    }

    /// Waits until the index of the current table is above `newer_than`, at most until `until`. Returns
    /// false at once if too many requests are waiting already.
    pub fn wait_for_table(&self, newer_than: LogIndex, until: Instant) -> bool {
        let Some(_permit) = self.waiting_for_table.take(1, 0) else {
            return false;
        };
        let mut index = self.index.lock().unwrap_or_else(PoisonError::into_inner);
        while *index <= newer_than {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(index, left);
            index = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }

    /// Takes a permit to run a request; `None` if no permit is free. The last quarter of the permits is
    /// reserved for the top priority.
    pub fn permit(&self, priority: u32) -> Option<Permit<'_>> {
        let reserved = match priority {
            TOP_PRIORITY => 0,
            _ => self.running.limit / RESERVED_PERMITS_DIVISOR,
        };
        self.running.take(1, reserved)
    }

    /// Reserves memory for a body of at most `bytes`. The bodies of all callers together take at most as
    /// much memory as `threads` bodies of the maximum size; `None` if that is exhausted.
    pub fn reserve_body(&self, bytes: u64) -> Option<Permit<'_>> {
        self.body_bytes.take(bytes, 0)
    }

    /// Number of requests being handled.
    pub fn running(&self) -> u64 {
        self.running.taken.load(Ordering::Acquire)
    }

    /// Starts draining: requests are still answered, and each connection is closed with its next answer.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Whether the router is draining or closed.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Stops accepting connections and requests.
    pub fn close(&self) {
        self.start_draining();
        self.closed.store(true, Ordering::Release);
    }

    /// Whether connections and requests are no longer accepted.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Signals the control thread to end; does not wait for it.
    pub fn stop(&self) {
        let sender = self
            .stop_sender
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        drop(sender);
    }

    /// A channel that [`Shared::stop`] disconnects; it never carries a message.
    pub fn stop_signal(&self) -> &Receiver<Infallible> {
        &self.stop_receiver
    }

    /// Records that the control thread is running; called by the control thread.
    pub fn record_control_activity(&self) {
        let now = self.now().as_millis() as u64;
        self.control_active_at.store(now, Ordering::Release);
    }

    /// Time since the last call of [`Shared::record_control_activity`].
    pub fn control_idle_time(&self) -> Duration {
        let seen = Duration::from_millis(self.control_active_at.load(Ordering::Acquire));
        self.now().saturating_sub(seen)
    }

    /// Time since the start of the router, on [`Shared::clock`].
    pub fn now(&self) -> Duration {
        self.clock.now()
    }
}

struct Semaphore {
    limit: u64,
    taken: AtomicU64,
}

/// Units taken from a bounded resource; returned when dropped.
pub struct Permit<'a> {
    taken: &'a AtomicU64,
    units: u64,
}

impl Semaphore {
    fn new(limit: u64) -> Self {
        Self {
            limit,
            taken: AtomicU64::new(0),
        }
    }

    /// Takes `units` if at least `reserved` units remain free afterwards.
    fn take(&self, units: u64, reserved: u64) -> Option<Permit<'_>> {
        let limit = self.limit.saturating_sub(reserved);
        let more = |taken: u64| taken.checked_add(units).filter(|taken| *taken <= limit);
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
