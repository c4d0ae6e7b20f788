//! Every way in which a connection, or an attempt on one, can end.

use petrelgauge_policy::Ending;

/// How it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum End {
    /// A database host served the request.
    Served,
    /// It serves the request with a long row, which is streamed to the client.
    Flows,
    /// It answered with an error; there may have been an effect.
    HostError,
    /// It rejected the request without running it: not the primary, or its data are too old.
    Rejected,
    /// It can't execute the statement, and neither could any other host.
    Unusable,
    /// It rejected the request before reading it: queue full, draining, too many connections.
    QueueFull,
    /// It refused the connection.
    ConnectRefused,
    /// The connection was not established in time.
    ConnectSilent,
    /// The connection broke before the request's last byte was written.
    BrokenUnsent,
    /// The connection broke or ended after that.
    BrokenSent,
    /// The host broke the protocol after that.
    HostMalformed,
    /// Its answer was a copy of the previous one.
    HostRepeated,
    /// Its answer began and was not continued.
    HostStalled,
    /// Idle, and the host sent bytes that belong to no answer.
    HostSurplus,
    /// No answer before the attempt's deadline.
    NoAnswer,
    /// The router cancelled the attempt.
    Cancelled,
    /// No file descriptor was left for a connection.
    NoDescriptor,
    /// No address is known for the host.
    NoAddress,
    /// Too much memory was in use to buffer its answer.
    NoMemory,
    /// Its deadline passed before it could be written.
    TooLate,
    /// Its connection was ready, but by then its client had left or its host accepted no more requests.
    NotWanted,
    /// Idle too long, or its host moved, restarted or was removed: closed by the gateway.
    Retired,
    /// Idle, and closed by the host.
    HostClosedIdle,
    /// The client closed its connection, or it broke.
    ClientLeft,
    /// The client sent a Terminate message.
    ClientTerminated,
    /// The client broke the protocol.
    ClientMalformed,
    /// The client did not send its startup message in time.
    ClientSilent,
    /// The client had its answers and sent no further query.
    ClientIdle,
    /// The client did not read its answer in time.
    ClientStuck,
    /// Idle, and closed to free its descriptor for another client.
    ClientShed,
    /// Idle, and closed because the gateway stops.
    Stopped,
}

impl End {
    /// All variants, in order.
    pub const ALL: [End; 31] = [
        End::Served,
        End::Flows,
        End::HostError,
        End::Rejected,
        End::Unusable,
        End::QueueFull,
        End::ConnectRefused,
        End::ConnectSilent,
        End::BrokenUnsent,
        End::BrokenSent,
        End::HostMalformed,
        End::HostRepeated,
        End::HostStalled,
        End::HostSurplus,
        End::NoAnswer,
        End::Cancelled,
        End::NoDescriptor,
        End::NoAddress,
        End::NoMemory,
        End::TooLate,
        End::NotWanted,
        End::Retired,
        End::HostClosedIdle,
        End::ClientLeft,
        End::ClientTerminated,
        End::ClientMalformed,
        End::ClientSilent,
        End::ClientIdle,
        End::ClientStuck,
        End::ClientShed,
        End::Stopped,
    ];

    /// Whether the host sent this end in a complete answer to the attempt.
    pub fn is_answer(self) -> bool {
        matches!(self, End::Served | End::HostError | End::Rejected | End::QueueFull | End::Unusable)
    }

    /// What is reported to the router about an attempt that ended like this.
    pub fn as_ending(self) -> Ending {
        match self {
            End::Served | End::Flows => Ending::Served,
            End::HostError => Ending::Error,
            End::Rejected => Ending::Rejected,
            End::QueueFull => Ending::QueueFull,
            End::ConnectRefused | End::ConnectSilent | End::BrokenUnsent => Ending::ConnectFailed,
            End::BrokenSent | End::HostMalformed | End::HostRepeated | End::HostStalled => {
                Ending::ConnectionLost
            }
            End::NoAnswer => Ending::TimedOut,
            // It was sent, and then given up because memory ran out here: not a fault of the host.
            End::Cancelled | End::NoMemory => Ending::Cancelled,
            // Not a fault of the host: it must not count against it.
            End::NoDescriptor | End::NoAddress | End::TooLate | End::NotWanted | End::Unusable => {
                Ending::NotSent
            }
            // These end connections that carry no attempt.
            End::Retired
            | End::HostClosedIdle
            | End::HostSurplus
            | End::ClientLeft
            | End::ClientTerminated
            | End::ClientMalformed
            | End::ClientSilent
            | End::ClientIdle
            | End::ClientStuck
            | End::ClientShed
            | End::Stopped => Ending::NotSent,
        }
    }
}
