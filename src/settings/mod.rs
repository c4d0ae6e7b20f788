//! The gateway's settings: the deployment's, in the platform's JSON, and the operator's, in a file of typed
//! records.
//!
//! Both are validated once, when they are read; an invalid value is reported to the operator in one sentence.
//! Keeps no state: the values are owned by the [configuration](crate::control::config). Imports no other
//! folder.

pub mod deployment;
pub mod operator;
