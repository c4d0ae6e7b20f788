//! The gateway process: how it starts, its event loop, and the errors that end it.

pub mod error;
pub mod gateway;
pub mod startup;
