//! What several test files of this crate use.

pub mod digest;
