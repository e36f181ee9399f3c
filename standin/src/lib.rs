//! Stand-ins for the platform and the workers.
