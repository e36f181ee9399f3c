//! The yuccaridge program.

fn main() {}
