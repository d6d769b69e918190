//! The load and experiment tool.

fn main() {}
