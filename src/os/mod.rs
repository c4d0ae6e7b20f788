//! The operating system: stream and datagram sockets, the clock, signals, inherited descriptors.
//!
//! Every system call on a socket is made here, so that no call misses its retry or its error class. Imports no other
//! folder.

pub mod clock;
pub mod datagram;
pub mod inherited;
pub mod signals;
pub mod socket;
pub mod socket_error;
pub mod system_call;
