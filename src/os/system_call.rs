//! The system calls that the gateway makes on sockets, and fault injection into them for tests.
//!
//! Every call checks the fault schedule of its thread first. The gateway program never sets one, and no
//! environment variable, file or signal can: only a test that links this library and runs the gateway in a
//! thread of its own.

use std::cell::Cell;

/// A kind of system call on a socket. The meaning of an error number depends on the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Creates a socket and listens on it.
    Listen,
    /// Accepts a connection.
    Accept,
    /// Creates a socket and connects it.
    Connect,
    /// Reads bytes.
    Read,
    /// Writes bytes.
    Write,
    /// Reads bytes without removing them from the socket.
    Peek,
    /// Sends a datagram.
    SendDatagram,
    /// Receives a datagram.
    ReceiveDatagram,
}

/// A fault to be injected into a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails with this error number and has no effect.
    Error(i32),
    /// The call transfers at most one byte.
    Short,
}

/// A function that returns the fault to inject into the next call, if any.
pub type FaultSchedule = fn(Call) -> Option<Fault>;

thread_local! {
    static FAULT_SCHEDULE: Cell<Option<FaultSchedule>> = const { Cell::new(None) };
}

/// Sets the schedule of faults that are injected into the calls of this thread. For tests only.
pub fn set_fault_schedule(schedule: FaultSchedule) {
    FAULT_SCHEDULE.set(Some(schedule));
}

/// Returns the fault scheduled for the next call of this thread, if any.
pub(super) fn next_fault(call: Call) -> Option<Fault> {
    FAULT_SCHEDULE.get().and_then(|schedule| schedule(call))
}
