//! The operating system: stream and datagram sockets, the clock, signals, inherited descriptors.
//!
//! | file | concern |
//! | --- | --- |
//! | [`socket`] | system calls on stream sockets |
//! | [`datagram`] | system calls on datagram sockets |
//! | [`socket_error`] | their errors, classified by how the caller must react |
//! | [`system_call`] | the kinds of these calls, and fault injection for tests |
//! | [`clock`] | Unix time that does not jump |
//! | [`process_memory`] | the private memory of the process |
//! | [`signals`] | the signals that the gateway handles |
//! | [`inherited`] | the listening socket inherited from the platform |
//!
//! All system calls on sockets are made here, so that each is retried if interrupted and its errors are
//! classified. The only state is the fault schedule of a test's thread. May import no other folder.

pub mod clock;
pub mod datagram;
pub mod inherited;
pub mod process_memory;
pub mod signals;
pub mod socket;
pub mod socket_error;
pub mod system_call;
