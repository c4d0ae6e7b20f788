//! Settings that decide what the gateway does: the deployment's and the operator's.
//!
//! Both are checked once, when they are read; what cannot be used ends in one sentence. Imports no other folder.

pub mod deployment;
pub mod operator;
