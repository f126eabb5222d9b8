//! What a majority reached.

/// The highest value that a majority of the voters reached, given one value for each voter; `None`
/// without voters.
pub(crate) fn reached_by_majority<T: Ord + Copy>(mut values: Vec<T>) -> Option<T> {
    values.sort_unstable_by(|left, right| right.cmp(left));
    values.get(values.len() / 2).copied()
}

/// Whether `granted` of `voters` are a majority.
pub(crate) fn is_majority(granted: usize, voters: usize) -> bool {
    granted > voters / 2
}
