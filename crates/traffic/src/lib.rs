//! Request routing decisions without I/O: routing table, admission, retry budget, slow start, ejection,
//! and the state machine of one request.
//!
//! Invariant: nothing here reads a clock, a socket or a random source. Every time is a
//! [`std::time::Duration`] since the start of the process.

pub mod admission;
pub mod ejection;
pub mod flow;
pub mod guards;
pub mod owners;
pub mod ramp;
pub mod reply;
pub mod retry;
pub mod table;

pub use admission::{
    Admission, AdmissionConfig, AdmissionDecision, AdmissionEvent, AdmissionRefusal, Ticket,
};
pub use ejection::{Ejection, EjectionConfig, Verdict};
pub use flow::{
    FinalAnswer, FlowAction, FlowInput, LossReason, OwnerLookup, RequestFlow, RequestSpec, Target,
};
pub use guards::{Guard, Guards};
pub use ramp::Ramp;
pub use retry::RetryBudget;
pub use table::{ApplyError, ApplyOutcome, Owner, RoutingTable, ServiceRoute};
