//! attribution
