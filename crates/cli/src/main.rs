//! Entry point of `grebepin`.

fn main() {}
