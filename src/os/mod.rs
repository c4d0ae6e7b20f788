//! The operating system: stream and datagram sockets, the clock, signals, inherited descriptors.
//!
//! | file | concern |
//! | --- | --- |
//! | [`socket`] | calls on stream sockets |
//! | [`datagram`] | calls on datagram sockets |
//! | [`socket_error`] | their failures, classified by what the caller has to do |
//! | [`system_call`] | the names of these calls, and the faults that tests inject |
//! | [`clock`] | Unix time that never jumps |
//! | [`signals`] | the signals that the gateway acts on |
//! | [`inherited`] | the listening socket that the platform holds |
//!
//! Every system call on a socket is made here, so that no call misses its retry or its error class. The
//! folder keeps no state but the fault schedule of a test's thread. It may import no other folder.

pub mod clock;
pub mod datagram;
pub mod inherited;
pub mod signals;
pub mod socket;
pub mod socket_error;
pub mod system_call;
