//! Numbered log events and their catalogue, logging set-up and metrics.
//!
//! Invariant: every log line of a daemon is an [`Event`], and `docs/EVENTS.md` lists exactly these events.

pub mod event;
pub mod metrics;
mod structured;

pub use event::Event;
pub use metrics::{
    ControlMetrics, DirectoryMetrics, GatewayMetrics, Metrics, MetricsError, RouterMetrics,
    ServiceMetrics,
};
pub use structured::start_structured_logging;

/// Logs one event of the catalogue with key-value pairs.
///
/// `event!(Event::LeaderElected, term = term.0, leader = replica.0)`
#[macro_export]
macro_rules! event {
    ($event:expr $(, $key:ident = $value:expr)* $(,)?) => {{
        let event: $crate::Event = $event;
        $crate::log::log!(
            event.level(),
            event = event.number() $(, $key:% = $value)*;
            "{}", event.text()
        );
    }};
}

pub use log;

/// An age in milliseconds as log lines and metrics state it: -1 if it is not known.
pub fn age_ms(age: Option<std::time::Duration>) -> i64 {
    age.map_or(-1, |age| age.as_millis() as i64)
}

/// Starts logging to standard error; the environment variable `GREBEPIN_LOG` overrides `level`. If a logger is
/// already installed, the call has no effect.
pub fn start_logging(level: log::LevelFilter) {
    let mut builder = env_logger::Builder::new();
    builder.filter_level(level);
    builder.parse_env("GREBEPIN_LOG");
    builder.try_init().ok();
}
