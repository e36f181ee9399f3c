//! Every fault at every step of every life cycle, in one process and in virtual time.
//!
//! `docs/faults.md` shows the matrix and is made from its table here. See section 11 of `docs/design.md`.

mod actor;
mod broken;

mod checker;
mod evidence;
mod fault;
mod fed;
mod life;
mod matrix;
mod node;
mod operator;
mod outage;
mod page;

mod world;
