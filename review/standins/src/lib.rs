//! Stand-ins for clients, upstreams and the operator of the users' platform, and how the cases of the review start
//! the project's programs. Built on the standard library only.

pub mod deployment;
pub mod http;
pub mod json;
pub mod keys;
pub mod record;
pub mod run;
pub mod upstream;
