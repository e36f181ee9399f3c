//! guarantee
