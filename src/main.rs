//! The basilgw binary.
fn main() {}
