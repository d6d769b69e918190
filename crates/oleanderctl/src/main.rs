//! Operator command line of oleanderlock.

fn main() {}
