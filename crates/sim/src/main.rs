//! Entry point of `grebepin-sim`.

fn main() {}
