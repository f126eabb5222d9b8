//! The checkers, one for each promise.

mod assignments;
mod at_most_once;
mod bundles;
mod leaving;
mod not_run;
mod planned_stop;
mod sole_ownership;
mod whole_answer;

use crate::{CheckLimits, History, Violation};

/// Finds the violations of one promise.
pub(crate) type Checker = fn(&History<'_>, &CheckLimits) -> Vec<Violation>;

/// Every checker, in the order of [`crate::Promise::ALL`].
pub(crate) const ALL: [Checker; 8] = [
    sole_ownership::check,
    assignments::check,
    whole_answer::check,
    not_run::check,
    at_most_once::check,
    leaving::check,
    planned_stop::check,
    bundles::check,
];
