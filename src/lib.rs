//! Scheduler for multi-accelerator jobs under team guarantees.
