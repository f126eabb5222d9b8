//! Checkers of the promises over a recorded history.
