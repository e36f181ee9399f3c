//! reclaim
