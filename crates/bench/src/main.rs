//! Entry point of `grebepin-bench`.

fn main() {}
