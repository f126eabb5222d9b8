//! Entry point of `grebepin-router`.

fn main() {}
