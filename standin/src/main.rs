//! The stand-in program.

fn main() {}
