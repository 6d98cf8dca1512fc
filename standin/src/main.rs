//! Stand-ins.
fn main() {}
