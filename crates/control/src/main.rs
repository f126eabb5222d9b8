//! Entry point of `grebepin-control`.

fn main() {}
