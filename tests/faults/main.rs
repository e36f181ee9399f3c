//! Injects every fault at every step of every life cycle, in one process and in virtual time.
//!
//! `docs/faults.md` shows the matrix and is generated from the tables in `matrix`. See section 11 of `docs/design.md`.

mod actor;
mod checker;
mod checker_test;
mod evidence;
mod fault;
mod instance;
mod life_cycle;
mod matrix;
mod missing_mechanism;
mod operator;
mod outage;
mod page;
mod simulation;
