//! One module for each command.

pub(crate) mod bundle;
pub(crate) mod check;
pub(crate) mod drain;
pub(crate) mod explain;
pub(crate) mod found;
pub(crate) mod generate;
pub(crate) mod key;
pub(crate) mod members;
pub(crate) mod plan;
pub(crate) mod replay;
pub(crate) mod status;
