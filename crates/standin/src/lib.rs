//! Stand-ins of the systems served: back end, caller, platform list.
