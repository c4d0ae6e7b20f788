//! The system calls that the gateway makes on sockets, and the faults that tests inject into them.
//!
//! Every call checks the fault schedule of its thread first. The program sets none, and no variable, file or
//! signal does: only a test that links this library and runs the gateway in a thread of its own can.

use std::cell::Cell;

/// A system call on a socket. The same error number means different things to different calls.
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

/// A fault that is injected into a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails with this error number and does nothing.
    Error(i32),
    /// The call moves at most one byte.
    Short,
}

/// Returns the fault of the next call, if it has one.
pub type FaultSchedule = fn(Call) -> Option<Fault>;

thread_local! {
    static FAULT_SCHEDULE: Cell<Option<FaultSchedule>> = const { Cell::new(None) };
}

/// Injects faults into the calls of this thread by this schedule. For tests.
pub fn set_fault_schedule(schedule: FaultSchedule) {
    FAULT_SCHEDULE.set(Some(schedule));
}

/// The fault of the next call, if it has one.
pub(super) fn next_fault(call: Call) -> Option<Fault> {
    FAULT_SCHEDULE.get().and_then(|draw| draw(call))
}
