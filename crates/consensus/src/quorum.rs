//! Majority calculations.

/// Returns the highest value that a majority of the voters has reached, given one value for each voter;
/// `None` if there are no voters.
pub(crate) fn reached_by_majority<T: Ord + Copy>(mut values: Vec<T>) -> Option<T> {
    values.sort_unstable_by(|left, right| right.cmp(left));
    values.get(values.len() / 2).copied()
}

/// Returns whether `granted` votes are a majority of `voters`.
pub(crate) fn is_majority(granted: usize, voters: usize) -> bool {
    granted > voters / 2
}
