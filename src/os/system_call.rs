//! The system calls that the gateway makes on sockets, and the place where a test lets them fail.
//!
//! Every call asks here before the kernel. In the program no schedule is ever set, so that this is one look at a value of
//! the thread: no variable, file or signal sets one, only code that links this library and runs the gateway in a thread of
//! its own.

use std::cell::Cell;

/// A system call on a socket. The same error number means different things to different calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Creates a socket and listens on it.
    Listen,
    /// Takes the next connection from a listener's backlog.
    Accept,
    /// Creates a socket and connects it.
    Connect,
    /// Reads bytes.
    Read,
    /// Writes bytes.
    Write,
    /// Reads bytes and leaves them in the kernel.
    Peek,
    /// Sends a datagram.
    SendDatagram,
    /// Receives a datagram.
    ReceiveDatagram,
}

/// What becomes of a call in place of what the kernel would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It fails with this error number, and does nothing.
    Error(i32),
    /// It moves one byte at most.
    Short,
}

/// Draws the fault of the next call, if it has one.
pub type FaultSchedule = fn(Call) -> Option<Fault>;

thread_local! {
    static FAULT_SCHEDULE: Cell<Option<FaultSchedule>> = const { Cell::new(None) };
}

/// From now on, calls of this thread fail by this schedule. For tests.
pub fn set_fault_schedule(schedule: FaultSchedule) {
    FAULT_SCHEDULE.set(Some(schedule));
}

/// The fault of the next call, if it has one.
pub(super) fn next_fault(call: Call) -> Option<Fault> {
    FAULT_SCHEDULE.get().and_then(|draw| draw(call))
}
