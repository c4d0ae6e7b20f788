//! Settings that decide what the gateway does: the deployment's, in the platform's JSON, and the operator's,
//! in a file of typed records.
//!
//! Both are checked once, when they are read; an unusable value ends in one sentence for the operator. Owns
//! nothing: the values belong to the [configuration](crate::control::config). Imports no other folder.

pub mod deployment;
pub mod operator;
